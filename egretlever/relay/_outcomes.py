"""Final answers of an entry node, and the attempts that led to them."""

import dataclasses
import enum
from collections.abc import Mapping

from egretlever.core import Seconds
from egretlever.placement import (
    Answer,
    Exclusion,
    Failure,
    FailureReason,
    Refusal,
    RefusalReason,
    Reply,
)
from egretlever.platform import headers
from egretlever.relay._client_messages import ClientAnswer

_SERVER_ERROR = 500
_DEADLINE_PASSED = 504  # status of a server that stopped at the deadline
# Bounds of the Retry-After of rejected requests: long enough for queues to
# shrink, so that a returning client is not rejected again at once.
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
    UNKNOWN_KEY = "unknown-key"
    OVER_ALLOTMENT = "over-allotment"


class GiveUpReason(enum.Enum):
    """Why a request gets no further attempt."""

    NO_HOME = "no-home-takes-it"
    ATTEMPTS_USED = "attempts-used"
    MAY_HAVE_RUN = "may-have-run"
    NO_BUDGET = "no-budget"
    STOPPING = "node-stops"


class AttemptEnd(enum.Enum):
    """What ended an attempt whose server may have been at work."""

    SERVER = "server"
    LINK = "link"  # the connection to the home node, or the home node
    TIMEOUT = "timeout"  # of the client or the route
    STOP = "stop"  # the planned stop of the entry node


_ENDS_BY_FAILURE = {
    FailureReason.CUT_OFF: AttemptEnd.SERVER,
    FailureReason.GARBLED: AttemptEnd.SERVER,
    FailureReason.OVERDUE: AttemptEnd.TIMEOUT,
    FailureReason.HOME_LOST: AttemptEnd.LINK,
}


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """Outcomes of the attempts of one request.

    Attributes
    ----------
    attempts : int
        Number of servers to which the request was or may have been sent.
    may_have_run : bool
        Whether any server may have run it.
    failed_answer : Answer or None
        Latest answer with a server error status.
    reason : RefusalReason or FailureReason or None
        Reason of the latest refusal or failure.
    ended_by : AttemptEnd or None
        What ended the latest attempt that got no answer.
    at_work : Seconds
        Time for which its server may have been at work.
    """

    attempts: int = 0
    may_have_run: bool = False
    failed_answer: Answer | None = None
    reason: RefusalReason | FailureReason | None = None
    ended_by: AttemptEnd | None = None
    at_work: Seconds = Seconds(0.0)

    def observe(self, reply: Reply, took: Seconds) -> None:
        """Record the reply to an offer.

        Parameters
        ----------
        reply : Answer, Refusal or Failure
            The reply.
        took : Seconds
            Time from the offer to the reply.
        """
        if isinstance(reply, Refusal):
            self.reason = reply.reason
            if reply.reason in (RefusalReason.SHED, RefusalReason.MISDIRECTED):
                self.attempts += 1
            return
        self.attempts += 1
        self.may_have_run = True
        if isinstance(reply, Failure):
            self.reason = reply.reason
            self.observe_end(_ENDS_BY_FAILURE[reply.reason], reply.ran or took)
        else:
            self.failed_answer = reply
            if is_stopped_at_deadline(reply):
                self.observe_end(AttemptEnd.SERVER, reply.ran)

    def observe_end(self, ended_by: AttemptEnd, at_work: Seconds) -> None:
        """Record what ended an attempt that got no answer."""
        self.ended_by = ended_by
        self.at_work = at_work


def describe_exclusions(excluded: Mapping[Exclusion, int]) -> str:
    """Describe what kept a request from home nodes, such as ``wait 3``."""
    return ", ".join(
        f"{reason.value} {count}" for reason, count in excluded.items()
    )


def is_failed(reply: Reply) -> bool:
    """Tell whether a retry at another server is worthwhile if it is allowed."""
    if isinstance(reply, Answer):
        return reply.status >= _SERVER_ERROR
    return True


def is_stopped_at_deadline(reply: Reply) -> bool:
    """Tell whether the server itself gave up at the deadline."""
    return isinstance(reply, Answer) and reply.status == _DEADLINE_PASSED


def is_unanswered(reply: Reply) -> bool:
    """Tell whether the server was still at work at the end of its time."""
    if isinstance(reply, Failure):
        return reply.reason is FailureReason.OVERDUE
    return is_stopped_at_deadline(reply)


def make_answer(reply: Answer) -> ClientAnswer:
    """Convert a server's answer into the client's."""
    return ClientAnswer(reply.status, reply.headers, reply.body)


def make_local_answer(
    status: int, request_id: str | None, text: str
) -> ClientAnswer:
    """Make an answer that the node itself generates."""
    fields: list[tuple[bytes, bytes]] = [(b"content-type", b"text/plain")]
    if request_id is not None:
        fields.append((headers.REQUEST_ID, request_id.encode("latin-1")))
    return ClientAnswer(status, tuple(fields), f"{text}\n".encode())


def make_unauthorized_answer(request_id: str | None) -> ClientAnswer:
    """Make the answer to a request without the key of a customer."""
    answer = make_local_answer(401, request_id, "no known key")
    # RFC 9110, 15.5.2 asks for it.
    field = (b"www-authenticate", b"Bearer")
    return dataclasses.replace(answer, headers=(*answer.headers, field))


def make_throttled_answer(request_id: str, wait: Seconds) -> ClientAnswer:
    """Make the answer to a request beyond its customer's allotment.

    Parameters
    ----------
    request_id : str
        Id of the request.
    wait : Seconds
        Time until the allotment is expected to have room for it.
    """
    answer = make_local_answer(429, request_id, "beyond the allotment")
    return _add_retry_after(answer, wait)


def _add_retry_after(answer: ClientAnswer, wait: Seconds) -> ClientAnswer:
    field = (headers.RETRY_AFTER, b"%.2f" % wait)
    return dataclasses.replace(answer, headers=(*answer.headers, field))


def make_rejection(
    request_id: str | None, text: str, wait: Seconds, exact: bool = False
) -> ClientAnswer:
    """Make an answer that says "not run, retry later".

    Parameters
    ----------
    request_id : str or None
        Id of the request.
    text : str
        Reason of the rejection.
    wait : Seconds
        Estimated time until it could be served.
    exact : bool, default=False
        Whether this time is chosen for the client, and not to be bounded.
    """
    answer = make_local_answer(503, request_id, text)
    if not exact:
        wait = max(_MIN_RETRY_AFTER, min(_MAX_RETRY_AFTER, wait))
    return _add_retry_after(answer, Seconds(wait))
