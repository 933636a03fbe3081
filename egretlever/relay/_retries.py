"""Retry budget of one home node, as its share of the fleet's budget."""

import dataclasses
import enum
import math
import zlib

from egretlever.core import Seconds, ServerId, ServiceName, make_log
from egretlever.home import CallRoutes, RetryKind, WindowRetryBudget
from egretlever.placement import (
    Answer,
    Offer,
    Refusal,
    RefusalReason,
    Reply,
)
from egretlever.platform import Bounds
from egretlever.relay import _metrics as metrics
from egretlever.relay._fleet import Neighbours
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("home")
_SERVER_ERROR = 500
# Longest time that a granted retry may wait for a slot.
_MAX_GRANTED_WAIT = Seconds(0.4)
# The server got the request and did not run it.
_REFUSALS_OF_SERVERS = frozenset(
    {RefusalReason.SHED, RefusalReason.MISDIRECTED}
)
# Usage of the retry budget from which trials of broken servers become rare.
_LOW_BUDGET_USAGE = 0.5


class _ArrivalKind(enum.Enum):
    """What an attempt at the server counts as."""

    REQUEST = "request"
    RETRY = "retry"
    GRANTED = "granted-retry"
    CALL = "call-of-retry"
    POSSIBLE_CALL = "possible-call-of-retry"

    @property
    def charged_as(self) -> RetryKind | None:
        """What it needs room for in the budget, None if for nothing."""
        if self is _ArrivalKind.RETRY:
            return RetryKind.RETRY
        return RetryKind.CALL if self is _ArrivalKind.CALL else None


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

    def has_room(self, offer: Offer, now: Seconds) -> bool:
        """Tell whether the budget allows an offer."""
        kind = self._classify(offer, offer.granted).charged_as
        if kind is None:
            return True
        size = self._find_size(offer.service)
        return self._budget.has_room(now, size.homes, size.host_share, kind)

    def _find_size(self, service: ServiceName) -> "_ServiceSize":
        return _ServiceSize(
            self._neighbours.count_homes(service),
            self._neighbours.measure_host_share(service),
        )

    def _classify(self, offer: Offer, granted: bool) -> "_ArrivalKind":
        if offer.repeated:
            return _ArrivalKind.GRANTED if granted else _ArrivalKind.RETRY
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
        size = self._find_size(service)
        usage = self._budget.measure_usage(now, size.homes, size.host_share)
        return usage >= _LOW_BUDGET_USAGE or not self._budget.has_room(
            now, size.homes, size.host_share
        )

    def count_arrival(self, offer: Offer, offered_at: Seconds) -> bool:
        """Count an attempt at the server; false when the budget forbids it.

        Parameters
        ----------
        offer : Offer
            The request.
        offered_at : Seconds
            Clock time at which it was offered.
        """
        now = read_clock()
        granted = offer.granted and now - offered_at <= _MAX_GRANTED_WAIT
        kind = self._classify(offer, granted)
        # Servers call other services only, so a request that began on a host of
        # the same service comes from a client.
        from_client = offer.caller_service == offer.service
        if kind.charged_as is not None:
            if not self._take(offer.service, now, kind.charged_as):
                return False
        elif kind is _ArrivalKind.POSSIBLE_CALL:
            size = self._find_size(offer.service)
            share = self._call_routes.estimate_call_share(
                offer.route, size.host_share
            )
            self._budget.observe_possible_call(now, share)
        elif kind is _ArrivalKind.REQUEST:
            self._budget.observe(now, from_client)
        if not offer.repeated:
            self._call_routes.observe(offer.route, from_client, offer.derived)
        metrics.ARRIVALS.labels(kind.value).inc()
        return True

    def grant(self, offer: Offer, reply: Reply, deadline: Seconds) -> bool:
        """Count a retry of a failed attempt; false when it gets none.

        Parameters
        ----------
        offer : Offer
            The request.
        reply : Answer, Refusal or Failure
            Outcome of the attempt at the server.
        deadline : Seconds
            Clock time at which the request expires.
        """
        now = read_clock()
        return (
            offer.retriable
            and now < deadline
            and _may_be_retried(offer, reply)
            and self._take(offer.service, now, RetryKind.GRANT)
        )

    def _take(
        self, service: ServiceName, now: Seconds, kind: RetryKind
    ) -> bool:
        size = self._find_size(service)
        return self._budget.take(now, size.homes, size.host_share, kind)

    def count_refusal(self) -> None:
        """Count an offer that was refused for want of budget."""
        self._refused += 1
        metrics.RETRIES_REFUSED.inc()

    def report(self, server_id: ServerId, service: ServiceName) -> None:
        """Write the counts of the window to the log if any were retries."""
        size = self._find_size(service)
        counts = self._budget.describe(
            read_clock(), size.homes, size.host_share
        )
        used = counts.retries + counts.grants + counts.calls
        metrics.RETRY_ALLOWANCE.set(counts.allowance)
        metrics.RETRIES_IN_WINDOW.set(used)
        if not (used or self._refused):
            return
        _LOG.event(
            logs_pb2.RetryBudgetLine(
                event="retry-budget",
                server=server_id,
                service=service,
                requests=counts.requests,
                client_requests=counts.client_requests,
                retries=counts.retries,
                grants=counts.grants,
                calls=counts.calls,
                refused=self._refused,
                allowance=round(counts.allowance, 2),
                homes=size.homes or 0,
                host_share=round(size.host_share, 3),
            )
        )
        self._refused = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceSize:
    """Size of a service, on which a home node's part of the budget depends."""

    homes: int | None
    host_share: float


def _may_be_retried(offer: Offer, reply: Reply) -> bool:
    """Tell whether an attempt failed in a way that allows another one."""
    if isinstance(reply, Refusal):
        return reply.reason in _REFUSALS_OF_SERVERS
    if isinstance(reply, Answer):
        return offer.idempotent and reply.status >= _SERVER_ERROR
    return offer.idempotent
