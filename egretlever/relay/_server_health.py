"""What the outcomes of a home node's server say about it."""

import dataclasses
from collections.abc import Awaitable, Callable

from egretlever.core import Seconds, make_log
from egretlever.home import (
    CircuitBreaker,
    Heartbeat,
    LocalServer,
    ServerSignals,
    SlotQueue,
)
from egretlever.placement import Answer, Offer, Reply
from egretlever.relay._outcomes import is_stopped_at_deadline
from egretlever.relay._server_client import ServerResult
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("home")
# A failure after this share of the route's mean service time counts as one that
# came after real processing. Gray servers mostly fail at once: 845 of 976 of
# their failures came within 10 ms, but only 4 of 251 of healthy servers.
_USUAL_TIME_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class _ServerKey:
    """Identity of a server whose outcomes are recorded."""

    id: str
    incarnation: int


class ServerHealth:
    """Records the outcomes and the signals of the current server.

    Parameters
    ----------
    local : LocalServer
        State of the server according to its heartbeats.
    queue : SlotQueue
        Queue of its slots, which its signals may limit.
    report_leaving : callable
        Coroutine function that is called when the server says in its answers
        that it leaves.

    Attributes
    ----------
    circuit_breaker : CircuitBreaker
        Decides which requests the server may get.
    """

    def __init__(
        self,
        local: LocalServer,
        queue: SlotQueue,
        report_leaving: Callable[[], Awaitable[None]],
    ) -> None:
        self._local = local
        self._queue = queue
        self._report_leaving = report_leaving
        self.circuit_breaker = CircuitBreaker()
        self._signals = ServerSignals()
        self._key: _ServerKey | None = None

    def identify(self, server: Heartbeat) -> bool:
        """Start anew for another server; false when it is the same one."""
        key = _ServerKey(server.id, server.incarnation)
        if key == self._key:
            return False
        # Outcomes of the previous server do not apply to this one.
        self._key = key
        self.circuit_breaker = CircuitBreaker()
        self._signals = ServerSignals()
        self._queue.limit_rate(None, read_clock())
        return True

    def is_current(self, server: Heartbeat) -> bool:
        """Tell whether outcomes of a server still apply."""
        return self._key == _ServerKey(server.id, server.incarnation)

    async def observe_signals(self, signals: ServerSignals) -> None:
        """Apply what the server says about itself, and log its changes."""
        before, self._signals = self._signals, signals
        server = self._local.current
        if signals == before or server is None:
            return
        self._queue.limit_rate(signals.limit, read_clock())
        limit = "none" if signals.limit is None else f"{signals.limit:g}/s"
        leaving = ", leaving" if signals.leaving else ""
        _LOG.event(
            logs_pb2.StateLine(
                event="server-signals",
                subject=server.id,
                outcome=f"limit {limit}{leaving}",
            )
        )
        if signals.leaving and self._local.drain(server.id, server.incarnation):
            await self._report_leaving()

    def observe(
        self, offer: Offer, result: ServerResult, begun: Seconds
    ) -> None:
        """Update the circuit breaker with an outcome, and log changes.

        Parameters
        ----------
        offer : Offer
            The request.
        result : ServerResult
            Its outcome at the current server.
        begun : Seconds
            Clock time at which it was sent to the server.
        """
        end = read_clock()
        before = self.circuit_breaker.describe()
        after_usual_time = self._came_after_usual_time(
            result.reply, offer, Seconds(end - begun)
        )
        self.circuit_breaker.observe(result.good is True, end, after_usual_time)
        after = self.circuit_breaker.describe()
        if after is not before and self._local.current is not None:
            share = self.circuit_breaker.failure_share_
            _LOG.event(
                logs_pb2.StateLine(
                    event="trust-changed",
                    subject=self._local.current.id,
                    outcome=after.value,
                    reason=(
                        f"failures {share:.2f} after {result.reply.name}"
                        f" of {offer.request_id}"
                    ),
                )
            )

    def _came_after_usual_time(
        self, reply: Reply, offer: Offer, took: Seconds
    ) -> bool:
        """Tell whether a failure came after a usual service time.

        A timeout at the deadline does not count as such a failure.
        """
        usual = self._queue.find_mean_service_time(offer.route)
        return (
            isinstance(reply, Answer)
            and not is_stopped_at_deadline(reply)
            and usual > 0
            and took >= _USUAL_TIME_SHARE * usual
        )
