"""HTTP endpoint for heartbeats and departures of the server on the host."""

import time
from collections.abc import Awaitable, Callable

from returns.result import Failure

from egretlever.core import Incarnation, ServerId, make_log
from egretlever.home import Heartbeat, HeartbeatEffect
from egretlever.platform import (
    decode_departure,
    decode_heartbeat,
    parse_server_path,
)
from egretlever.relay import _metrics as metrics
from egretlever.relay._home import HomeNode
from egretlever.schema import logs_pb2
from egretlever.transport import Answer, RequestHead, read_clock

_LOG = make_log("home")
_NANOSECONDS_PER_MILLISECOND = 1_000_000
_JSON = "application/json"
_ACKNOWLEDGED = Answer(200, b"{}", _JSON)
_NOT_ACKNOWLEDGED = Answer(503, b"{}", _JSON)
_CHANGE_EFFECTS = frozenset(
    {
        HeartbeatEffect.STARTED,
        HeartbeatEffect.CHANGED,
        HeartbeatEffect.DEPARTED,
    }
)
_LOGGED_EFFECTS = _CHANGE_EFFECTS | {HeartbeatEffect.UNCONFIRMED}


class AnnouncementPage:
    """Handles the announcements of the server on the host.

    When a server announces that it leaves, new requests are stopped at once.
    The acknowledgement promises that the server gets none afterwards, also when
    this process is restarted, so it waits for the store. The promise holds for
    a server that this process has not heard from, too. A server that gets no
    acknowledgement asks again.

    Parameters
    ----------
    home : HomeNode
        Home node of the server.
    notify : callable
        Coroutine function that is called when the server has changed.
    record_leaving : callable
        Coroutine function that is called with the id and the incarnation of a
        server that leaves, and tells whether the store has it.
    learn_departures : callable
        Coroutine function that tells whether this process knows the departures
        that former processes have acknowledged.
    """

    def __init__(
        self,
        home: HomeNode,
        notify: Callable[[], Awaitable[None]],
        record_leaving: Callable[[ServerId, Incarnation], Awaitable[bool]],
        learn_departures: Callable[[], Awaitable[bool]],
    ) -> None:
        self._home = home
        self._notify = notify
        self._record_leaving = record_leaving
        self._learn_departures = learn_departures
        # Departure that was not acknowledged; the server repeats it.
        self._pending: tuple[ServerId, Incarnation] | None = None

    async def handle(self, head: RequestHead, body: bytes) -> Answer:
        """Answer a heartbeat (PUT) or a departure (DELETE)."""
        server_id = parse_server_path(head.target)
        if server_id is None:
            return Answer(404, b"{}", _JSON)
        if head.method == "PUT":
            return await self._observe(server_id, body)
        if head.method == "DELETE":
            return await self._depart(server_id, body)
        return Answer(405, b"{}", _JSON)

    async def _observe(self, server_id: ServerId, body: bytes) -> Answer:
        result = decode_heartbeat(server_id, body)
        if isinstance(result, Failure):
            metrics.HEARTBEATS.labels("malformed").inc()
            for finding in result.failure():
                _LOG.warning("%s: %s.", server_id, finding)
            return Answer(400, b"{}", _JSON)
        heartbeat = result.unwrap()
        known = heartbeat.draining or await self._learn_departures()
        effect = self._home.local.observe(heartbeat, read_clock(), known)
        await self._apply(server_id, effect)
        if effect is HeartbeatEffect.UNCONFIRMED:
            return _NOT_ACKNOWLEDGED
        if heartbeat.draining:
            return await self._confirm_leaving(server_id, heartbeat.incarnation)
        return _ACKNOWLEDGED

    async def _depart(self, server_id: ServerId, body: bytes) -> Answer:
        incarnation = self._find_departing(server_id, body)
        self._pending = server_id, incarnation
        effect = self._home.local.depart(server_id, read_clock(), incarnation)
        await self._apply(server_id, effect)
        answer = await self._confirm_leaving(server_id, incarnation)
        if answer is _ACKNOWLEDGED:
            self._pending = None
        return answer

    async def _apply(
        self, server_id: ServerId, effect: HeartbeatEffect
    ) -> None:
        """Count and log an effect, and let the others know of a change."""
        metrics.HEARTBEATS.labels(effect.value).inc()
        if effect in _LOGGED_EFFECTS:
            _log(server_id, effect.value, _describe(self._home.local.current))
        if effect in _CHANGE_EFFECTS:
            self._home.apply_heartbeat()
            await self._notify()

    async def _confirm_leaving(
        self, server_id: ServerId, incarnation: Incarnation
    ) -> Answer:
        """Acknowledge that a server leaves, if the store has it."""
        if await self._record_leaving(server_id, incarnation):
            return _ACKNOWLEDGED
        metrics.HEARTBEATS.labels("not-recorded").inc()
        _log(server_id, "leaving-not-recorded", "not acknowledged")
        return _NOT_ACKNOWLEDGED

    def _find_departing(self, server_id: ServerId, body: bytes) -> Incarnation:
        """Return the latest incarnation that a departure stands for.

        A departure may not name it. It is then at most that of the current
        server, and without one any incarnation that has started so far. A
        repetition stands for the same one.
        """
        named = decode_departure(body)
        if named is not None:
            return named
        current = self._home.local.current
        if current is not None:
            return current.incarnation
        if self._pending is not None and self._pending[0] == server_id:
            return self._pending[1]
        return Incarnation(time.time_ns() // _NANOSECONDS_PER_MILLISECOND)


def _log(server_id: ServerId, event: str, outcome: str) -> None:
    _LOG.event(
        logs_pb2.StateLine(
            event=f"server-{event}", subject=server_id, outcome=outcome
        )
    )


def _describe(server: Heartbeat | None) -> str:
    if server is None:
        return "gone"
    return "draining" if server.draining else "serving"
