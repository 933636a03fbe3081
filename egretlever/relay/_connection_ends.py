"""Log lines of client connections that end with something unfinished."""

import dataclasses
import enum

from egretlever.core import RequestId, make_log
from egretlever.relay import _metrics as metrics
from egretlever.relay._sampling import RequestSampler
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("client")
_MAX_NAMED_REQUESTS = 8


class EndReason(enum.Enum):
    """Why a connection ended."""

    CLIENT_CLOSED = "client-closed"
    NODE_ENDED = "node-ended"
    NOT_READ = "answer-not-read"
    NOT_CLOSED = "not-closed-by-client"
    DROPPED = "silent-while-memory-was-full"


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """State of a client connection at its end.

    Parameters
    ----------
    unanswered : tuple of RequestId
        Requests that were read and whose answers were not sent completely.
    answer_bytes : int
        Size of the last answer.
    sent_bytes : int
        Bytes of it that were handed to the system.
    unacknowledged_bytes : int or None
        Bytes of the connection that its client has not acknowledged; None when
        the system does not tell.
    stopping : bool
        Whether the node was stopping.
    reason : EndReason
        Why the connection ended.
    """

    unanswered: tuple[RequestId, ...]
    answer_bytes: int
    sent_bytes: int
    unacknowledged_bytes: int | None
    stopping: bool
    reason: EndReason

    @property
    def cut(self) -> bool:
        """Whether a client that still waited may miss an answer."""
        if self.reason is EndReason.CLIENT_CLOSED:
            return False
        return bool(self.unanswered or self.unacknowledged_bytes)


class ConnectionEndLog:
    """Logs and counts connections that were cut, at a bounded rate."""

    def __init__(self) -> None:
        self._sampler = RequestSampler()

    def report(self, end: ConnectionEnd) -> None:
        """Log the end of a connection unless nothing was unfinished.

        Clients that leave are only logged during a planned stop.
        """
        if not (end.cut or (end.stopping and end.unanswered)):
            return
        if end.cut:
            metrics.CONNECTIONS_CUT.labels(end.reason.value).inc()
        first = end.unanswered[0] if end.unanswered else RequestId("")
        if not self._sampler.decide(first, read_clock()):
            return
        named = end.unanswered[:_MAX_NAMED_REQUESTS]
        unacknowledged = end.unacknowledged_bytes
        _LOG.event(
            logs_pb2.ConnectionLine(
                event="connection-cut" if end.cut else "client-left",
                reason=end.reason.value,
                requests=" ".join(named),
                unanswered=len(end.unanswered),
                answer_bytes=end.answer_bytes,
                sent_bytes=end.sent_bytes,
                unacknowledged=(
                    "unknown" if unacknowledged is None else str(unacknowledged)
                ),
            )
        )
