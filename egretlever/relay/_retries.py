"""Retry budget of one home node, as its share of the fleet's budget."""

import dataclasses
import enum
import math
import zlib

from egretlever.core import Seconds, ServerId, ServiceName, make_log
from egretlever.home import CallRoutes, WindowRetryBudget
from egretlever.placement import Offer
from egretlever.platform import Bounds
from egretlever.relay import _metrics as metrics
from egretlever.relay._fleet import Neighbours
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("home")
# Usage of the retry budget from which trials of broken servers become rare.
_LOW_BUDGET_USAGE = 0.5


class _ArrivalKind(enum.Enum):
    """What an attempt at the server counts as."""

    REQUEST = "request"
    RETRY = "retry"
    CALL = "call-of-retry"
    POSSIBLE_CALL = "possible-call-of-retry"

    @property
    def limited(self) -> bool:
        """Whether it needs room in the budget."""
        return self in (_ArrivalKind.RETRY, _ArrivalKind.CALL)


class RetryCounter:
    """Counts attempts at one server and limits retries.

    Parameters
    ----------
    bounds : Bounds
        Limits of the retry budget.
    neighbours : Neighbours
        Reports of the other home nodes, which share the budget.
    first_start : bool, default=False
        Whether there was no earlier process, whose retries would count.
    """

    def __init__(
        self,
        bounds: Bounds,
        neighbours: Neighbours,
        first_start: bool = False,
    ) -> None:
        self._neighbours = neighbours
        self._budget = WindowRetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window,
            Seconds(-math.inf) if first_start else read_clock(),
        )
        self._call_routes = CallRoutes()
        self._refused = 0

    def reload(self, bounds: Bounds) -> None:
        """Apply limits of the retry budget; the counts are kept."""
        self._budget.reload(
            read_clock(),
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window,
        )

    def identify(self, server_id: ServerId) -> None:
        """Derive the rounding of this home node's part from its server's id."""
        self._budget.rounding = zlib.crc32(server_id.encode()) / 2**32

    def measure_usage(self, service: ServiceName) -> float:
        """Return the used share of this home node's retry budget."""
        return self._read_usage(service, read_clock()).own

    def _read_usage(self, service: ServiceName, now: Seconds) -> "_Usage":
        homes = self._neighbours.count_homes(service)
        host_share = self._neighbours.measure_host_share(service)
        own = self._budget.measure_usage(now, homes, host_share)
        return _Usage(homes, host_share, own)

    def _measure_pooled(
        self, service: ServiceName, usage: "_Usage"
    ) -> float | None:
        return self._neighbours.measure_retry_usage(service, usage.own)

    def has_room(self, offer: Offer, now: Seconds) -> bool:
        """Tell whether the budget allows an offer."""
        kind = self._classify(offer)
        if not kind.limited:
            return True
        usage = self._read_usage(offer.service, now)
        pooled = self._measure_pooled(offer.service, usage)
        call = kind is _ArrivalKind.CALL
        return self._budget.has_room(
            now, usage.homes, pooled, usage.host_share, call
        )

    def _classify(self, offer: Offer) -> "_ArrivalKind":
        if offer.repeated:
            return _ArrivalKind.RETRY
        if not offer.derived:
            return _ArrivalKind.REQUEST
        host_share = self._neighbours.measure_host_share(offer.service)
        if self._call_routes.decide(offer.route, host_share):
            return _ArrivalKind.CALL
        return _ArrivalKind.POSSIBLE_CALL

    def has_low_retry_budget(self, service: ServiceName, now: Seconds) -> bool:
        """Tell whether the retry budget is too low for frequent trials.

        A failed trial costs a retry. The rest of the budget is reserved for
        requests that failed at a trusted server and can be served only by a
        retry.
        """
        usage = self._read_usage(service, now)
        pooled = self._measure_pooled(service, usage)
        used = usage.own if pooled is None else pooled
        room = self._budget.has_room(now, usage.homes, pooled, usage.host_share)
        return used >= _LOW_BUDGET_USAGE or not room

    def count_arrival(self, offer: Offer) -> bool:
        """Count an attempt at the server; false when the budget forbids it."""
        now = read_clock()
        kind = self._classify(offer)
        # Servers call other services only, so a request that began on a host of
        # the same service comes from a client.
        from_client = offer.caller_service == offer.service
        if kind.limited:
            usage = self._read_usage(offer.service, now)
            pooled = self._measure_pooled(offer.service, usage)
            call = kind is _ArrivalKind.CALL
            if not self._budget.take(
                now, usage.homes, pooled, usage.host_share, call
            ):
                return False
        elif kind is _ArrivalKind.POSSIBLE_CALL:
            self._budget.observe_call(now)
        else:
            self._budget.observe(now, from_client)
        if not offer.repeated:
            self._call_routes.observe(offer.route, from_client)
        metrics.ARRIVALS.labels(kind.value).inc()
        return True

    def count_refusal(self) -> None:
        """Count an offer that was refused for want of budget."""
        self._refused += 1
        metrics.RETRIES_REFUSED.inc()

    def report(self, server_id: ServerId, service: ServiceName) -> None:
        """Write the counts of the window to the log if any were retries."""
        homes = self._neighbours.count_homes(service)
        host_share = self._neighbours.measure_host_share(service)
        counts = self._budget.describe(read_clock(), homes, host_share)
        metrics.RETRY_ALLOWANCE.set(counts.allowance)
        metrics.RETRIES_IN_WINDOW.set(counts.retries + counts.calls)
        if not (counts.retries or counts.calls or self._refused):
            return
        _LOG.event(
            logs_pb2.RetryBudgetLine(
                event="retry-budget",
                server=server_id,
                service=service,
                requests=counts.requests,
                client_requests=counts.client_requests,
                retries=counts.retries,
                calls=counts.calls,
                refused=self._refused,
                allowance=round(counts.allowance, 2),
                homes=homes or 0,
                host_share=round(host_share, 3),
            )
        )
        self._refused = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Usage:
    """Use of a home node's retry budget, and what its part depends on."""

    homes: int | None
    host_share: float
    own: float
