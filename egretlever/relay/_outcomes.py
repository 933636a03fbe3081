"""Final answers of an entry node, and what it has learned on the way."""

import dataclasses
import enum

from egretlever.core import Seconds
from egretlever.placement import (
    Answer,
    Failure,
    FailureReason,
    Refusal,
    RefusalReason,
    Reply,
)
from egretlever.platform import headers
from egretlever.relay._clients import ClientAnswer

_SERVER_ERROR = 500
# Shortest and longest wait that a rejected client is asked for. It returns
# when queues have moved on, and not while it would be rejected again.
_MIN_RETRY_AFTER = Seconds(0.2)
_MAX_RETRY_AFTER = Seconds(2.0)


class Ending(enum.Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed-out"
    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    MALFORMED = "malformed"


class Stop(enum.Enum):
    """Why no further home node is offered a request."""

    NO_HOME = "no-home-takes-it"
    ATTEMPTS_USED = "attempts-used"
    MAY_HAVE_RUN = "may-have-run"
    NO_BUDGET = "no-budget"


@dataclasses.dataclass(slots=True)
class History:
    """What became of the attempts of one request.

    Attributes
    ----------
    arrivals : int
        Servers that the request was sent to, whether they ran it or not.
    may_have_run : bool
        Whether any server may have run it.
    failed_answer : Answer or None
        Latest answer by which a server said that it failed.
    reason : RefusalReason or FailureReason or None
        Latest reason for not having an answer.
    """

    arrivals: int = 0
    may_have_run: bool = False
    failed_answer: Answer | None = None
    reason: RefusalReason | FailureReason | None = None

    def observe(self, reply: Reply) -> None:
        """Take the reply to an offer."""
        if isinstance(reply, Refusal):
            self.reason = reply.reason
            if reply.reason in (RefusalReason.SHED, RefusalReason.MISDIRECTED):
                self.arrivals += 1
            return
        self.arrivals += 1
        self.may_have_run = True
        if isinstance(reply, Failure):
            self.reason = reply.reason
        else:
            self.failed_answer = reply


def is_failed(reply: Reply) -> bool:
    """Tell whether another server may do better, for an idempotent request."""
    if isinstance(reply, Answer):
        return reply.status >= _SERVER_ERROR
    return True


def make_answer(reply: Answer) -> ClientAnswer:
    """Make the client's answer of a server's."""
    return ClientAnswer(reply.status, reply.headers, reply.body)


def make_own_answer(
    status: int, request_id: str | None, text: str
) -> ClientAnswer:
    """Make an answer of the node's own."""
    fields: list[tuple[bytes, bytes]] = [(b"content-type", b"text/plain")]
    if request_id is not None:
        fields.append((headers.REQUEST_ID, request_id.encode("latin-1")))
    return ClientAnswer(status, tuple(fields), f"{text}\n".encode())


def make_rejection(
    request_id: str | None, text: str, wait: Seconds
) -> ClientAnswer:
    """Make an answer that says "not run, come back later".

    Parameters
    ----------
    request_id : str or None
        Id of the request.
    text : str
        Why it was rejected.
    wait : Seconds
        Forecast time until it could be served.
    """
    answer = make_own_answer(503, request_id, text)
    wait = max(_MIN_RETRY_AFTER, min(_MAX_RETRY_AFTER, wait))
    field = (headers.RETRY_AFTER, b"%.2f" % wait)
    return dataclasses.replace(answer, headers=(*answer.headers, field))
