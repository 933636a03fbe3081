"""Repeated attempts at one home node, within the bounds of the whole fleet."""

from egretlever.core import Seconds, ServiceName
from egretlever.home import RepeatBudget
from egretlever.placement import Offer
from egretlever.platform import Bounds
from egretlever.relay._fleet import Neighbours
from egretlever.transport import read_clock

# Use of the repeats from which on few trials are made.
_TRIAL_USE = 0.5


class RepeatCounter:
    """Counts arrivals at one server, and allows repeated ones.

    Parameters
    ----------
    bounds : Bounds
        Bounds of repeated attempts.
    neighbours : Neighbours
        What is known of the other home nodes, which share them.
    """

    def __init__(self, bounds: Bounds, neighbours: Neighbours) -> None:
        self._neighbours = neighbours
        self._bounds = bounds
        self._budget = _make_budget(bounds)

    def reload(self, bounds: Bounds) -> None:
        """Take over bounds of repeated attempts; the same ones keep counts."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._budget = _make_budget(bounds)

    def measure_use(self, service: ServiceName) -> float:
        """Return the used share of this home node's part."""
        homes = self._neighbours.count_homes(service)
        return self._budget.measure_use(read_clock(), homes)

    def _read(
        self, service: ServiceName, now: Seconds
    ) -> tuple[int, float, float | None]:
        """Return the number of home nodes, the own use and the pooled one."""
        homes = self._neighbours.count_homes(service)
        use = self._budget.measure_use(now, homes)
        return homes, use, self._neighbours.measure_repeat_use(service, use)

    def has_room(self, service: ServiceName, now: Seconds) -> bool:
        """Tell whether a repeated attempt is allowed."""
        homes, _, pooled = self._read(service, now)
        return self._budget.has_room(now, homes, pooled)

    def is_scarce(self, service: ServiceName, now: Seconds) -> bool:
        """Tell whether few repeats are left for trials that fail.

        The last part of them is kept for requests that failed at a server that
        was trusted: they have no other way to be served.
        """
        homes, own, pooled = self._read(service, now)
        use = own if pooled is None else pooled
        room = self._budget.has_room(now, homes, pooled)
        return use >= _TRIAL_USE or not room

    def count_arrival(self, offer: Offer) -> bool:
        """Count an arrival at the server; false when it is not allowed."""
        now = read_clock()
        if offer.repeated:
            homes, _, pooled = self._read(offer.service, now)
            return self._budget.take(now, homes, pooled)
        self._budget.observe(now, offer.derived)
        return True


def _make_budget(bounds: Bounds) -> RepeatBudget:
    return RepeatBudget(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window,
        read_clock(),
    )
