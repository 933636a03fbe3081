"""Retry budget of one home node, as its share of the fleet's budget."""

from egretlever.core import Seconds, ServiceName
from egretlever.home import WindowRetryBudget
from egretlever.placement import Offer
from egretlever.platform import Bounds
from egretlever.relay._fleet import Neighbours
from egretlever.transport import read_clock

# Usage of the retry budget from which trials of broken servers become rare.
_LOW_BUDGET_USAGE = 0.5


class RetryCounter:
    """Counts attempts at one server and limits retries.

    Parameters
    ----------
    bounds : Bounds
        Limits of the retry budget.
    neighbours : Neighbours
        Reports of the other home nodes, which share the budget.
    """

    def __init__(self, bounds: Bounds, neighbours: Neighbours) -> None:
        self._neighbours = neighbours
        self._bounds = bounds
        self._budget = _make_budget(bounds)

    def reload(self, bounds: Bounds) -> None:
        """Apply limits of the retry budget; unchanged ones keep the counts."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._budget = _make_budget(bounds)

    def measure_usage(self, service: ServiceName) -> float:
        """Return the used share of this home node's retry budget."""
        homes = self._neighbours.count_homes(service)
        return self._budget.measure_usage(read_clock(), homes)

    def _read_usage(
        self, service: ServiceName, now: Seconds
    ) -> tuple[int, float, float | None]:
        """Return the number of home nodes, and the own and the pooled usage."""
        homes = self._neighbours.count_homes(service)
        usage = self._budget.measure_usage(now, homes)
        return (
            homes,
            usage,
            self._neighbours.measure_retry_usage(service, usage),
        )

    def has_room(self, service: ServiceName, now: Seconds) -> bool:
        """Tell whether a retry is allowed."""
        homes, _, pooled = self._read_usage(service, now)
        return self._budget.has_room(now, homes, pooled)

    def has_low_retry_budget(self, service: ServiceName, now: Seconds) -> bool:
        """Tell whether the retry budget is too low for frequent trials.

        A failed trial costs a retry. The rest of the budget is reserved for
        requests that failed at a trusted server and can be served only by a
        retry.
        """
        homes, own, pooled = self._read_usage(service, now)
        usage = own if pooled is None else pooled
        room = self._budget.has_room(now, homes, pooled)
        return usage >= _LOW_BUDGET_USAGE or not room

    def count_arrival(self, offer: Offer) -> bool:
        """Count an attempt at the server; false for a retry without budget."""
        now = read_clock()
        if offer.repeated:
            homes, _, pooled = self._read_usage(offer.service, now)
            return self._budget.take(now, homes, pooled)
        self._budget.observe(now, offer.derived)
        return True


def _make_budget(bounds: Bounds) -> WindowRetryBudget:
    return WindowRetryBudget(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window,
        read_clock(),
    )
