"""HTTP endpoint for heartbeats and departures of the server on the host."""

from collections.abc import Awaitable, Callable

from returns.result import Failure

from egretlever.core import make_log
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
_JSON = "application/json"
_ACKNOWLEDGED = Answer(200, b"{}", _JSON)
_CHANGE_EFFECTS = frozenset(
    {
        HeartbeatEffect.STARTED,
        HeartbeatEffect.CHANGED,
        HeartbeatEffect.DEPARTED,
    }
)


class AnnouncementPage:
    """Handles the announcements of the server on the host.

    When a server announces that it leaves, new requests are stopped before the
    acknowledgement, which promises that the server gets none afterwards, also
    when this process is restarted.

    Parameters
    ----------
    home : HomeNode
        Home node of the server.
    notify : callable
        Coroutine function that is called when the server has changed, with
        whether it is leaving.
    """

    def __init__(
        self, home: HomeNode, notify: Callable[[bool], Awaitable[None]]
    ) -> None:
        self._home = home
        self._notify = notify

    async def handle(self, head: RequestHead, body: bytes) -> Answer:
        """Answer a heartbeat (PUT) or a departure (DELETE)."""
        server_id = parse_server_path(head.target)
        if server_id is None:
            return Answer(404, b"{}", _JSON)
        if head.method == "DELETE":
            effect = self._home.local.depart(
                server_id, read_clock(), decode_departure(body)
            )
        elif head.method == "PUT":
            result = decode_heartbeat(server_id, body)
            if isinstance(result, Failure):
                metrics.HEARTBEATS.labels("malformed").inc()
                for finding in result.failure():
                    _LOG.warning("%s: %s.", server_id, finding)
                return Answer(400, b"{}", _JSON)
            effect = self._home.local.observe(result.unwrap(), read_clock())
        else:
            return Answer(405, b"{}", _JSON)
        metrics.HEARTBEATS.labels(effect.value).inc()
        if effect in _CHANGE_EFFECTS:
            self._home.apply_heartbeat()
            server = self._home.local.current
            _LOG.event(
                logs_pb2.StateLine(
                    event=f"server-{effect.value}",
                    subject=server_id,
                    outcome=_describe(server),
                )
            )
            await self._notify(server is None or server.draining)
        return _ACKNOWLEDGED


def _describe(server: Heartbeat | None) -> str:
    if server is None:
        return "gone"
    return "draining" if server.draining else "serving"
