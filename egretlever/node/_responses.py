"""Answers that the node itself gives, with their outcome for the caller."""

import dataclasses
import math

from egretlever.core import Outcome, RequestId, Seconds
from egretlever.transport import ResponseHead, headers, remove_hop_by_hop


@dataclasses.dataclass(frozen=True, slots=True)
class OwnAnswer:
    """An answer of the node.

    Parameters
    ----------
    status : int
        HTTP status.
    outcome : Outcome
        What the caller may conclude about its request.
    reason : str
        Short reason, given in a header and in the body.
    retry_after : Seconds or None
        Wait after which another try makes sense.
    """

    status: int
    outcome: Outcome
    reason: str
    retry_after: Seconds | None = None


def encode_own_answer(
    answer: OwnAnswer, request_id: RequestId
) -> tuple[ResponseHead, bytes]:
    """Make the head and body of an answer of the node.

    Parameters
    ----------
    answer : OwnAnswer
        The answer.
    request_id : RequestId
        Request that it belongs to.

    Returns
    -------
    tuple of ResponseHead and bytes
        Head and whole body.
    """
    body = f"{answer.outcome.value}: {answer.reason}\n".encode()
    fields = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", b"%d" % len(body)),
        (headers.REASON, _make_printable(answer.reason)),
    ]
    if answer.retry_after is not None:
        seconds = max(1, math.ceil(answer.retry_after))
        fields.append((headers.RETRY_AFTER, b"%d" % seconds))
    head = ResponseHead(answer.status, fields)
    return mark_outcome(head, answer.outcome, request_id), body


def _make_printable(text: str) -> bytes:
    printable = "".join(char if char.isprintable() else "?" for char in text)
    return printable.strip().encode("ascii", "replace")


def mark_outcome(
    head: ResponseHead, outcome: Outcome, request_id: RequestId
) -> ResponseHead:
    """Make the head to forward, with the outcome and the request's id.

    Parameters
    ----------
    head : ResponseHead
        Head of a backend server's answer, or of the node's own.
    outcome : Outcome
        What the caller may conclude.
    request_id : RequestId
        Request that the answer belongs to.

    Returns
    -------
    ResponseHead
        Head without the headers that concern one connection only.
    """
    replaced = (headers.OUTCOME, headers.REQUEST_ID)
    fields = [
        (name, value)
        for name, value in remove_hop_by_hop(head.headers)
        if name not in replaced
    ]
    fields.append((headers.OUTCOME, outcome.value.encode()))
    fields.append((headers.REQUEST_ID, request_id.encode()))
    return ResponseHead(head.status, fields)
