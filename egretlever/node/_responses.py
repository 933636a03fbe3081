"""Responses that the node generates itself, and headers on all responses."""

import dataclasses
import math

from egretlever.core import Outcome, RequestId, Seconds
from egretlever.transport import ResponseHead, headers, remove_hop_by_hop


@dataclasses.dataclass(frozen=True, slots=True)
class LocalResponse:
    """A response that the node generates itself.

    Parameters
    ----------
    status : int
        HTTP status.
    outcome : Outcome
        What the caller may conclude about its request.
    reason : str
        Short reason, sent in a header and in the body.
    retry_after : Seconds or None
        Time after which a retry may succeed.
    """

    status: int
    outcome: Outcome
    reason: str
    retry_after: Seconds | None = None


def encode_local_response(
    response: LocalResponse, request_id: RequestId
) -> tuple[ResponseHead, bytes]:
    """Encode a response of the node.

    Parameters
    ----------
    response : LocalResponse
        Response to encode.
    request_id : RequestId
        Request that it answers.

    Returns
    -------
    tuple of ResponseHead and bytes
        Head and body.
    """
    body = f"{response.outcome.value}: {response.reason}\n".encode()
    fields = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", b"%d" % len(body)),
        (headers.REASON, _make_printable(response.reason)),
    ]
    if response.retry_after is not None:
        seconds = max(1, math.ceil(response.retry_after))
        fields.append((headers.RETRY_AFTER, b"%d" % seconds))
    head = ResponseHead(response.status, fields)
    return mark_outcome(head, response.outcome, request_id), body


def _make_printable(text: str) -> bytes:
    printable = "".join(char if char.isprintable() else "?" for char in text)
    return printable.strip().encode("ascii", "replace")


def mark_outcome(
    head: ResponseHead, outcome: Outcome, request_id: RequestId
) -> ResponseHead:
    """Add the outcome and the request id to the head of a response.

    Parameters
    ----------
    head : ResponseHead
        Head of a backend server's response, or of the node's own.
    outcome : Outcome
        What the caller may conclude about its request.
    request_id : RequestId
        Request that the response answers.

    Returns
    -------
    ResponseHead
        Head to send to the caller, without hop-by-hop headers.
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
