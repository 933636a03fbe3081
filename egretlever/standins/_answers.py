"""Responses of the simulated backend server, and checks of their bodies."""

import dataclasses
import hashlib

from egretlever.transport import RequestHead, ResponseHead, headers

TOKEN_HEADER = b"x-token"
_FILLER_BLOCK = 32  # bytes of a SHA-256 digest


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPlan:
    """Contents of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    size : int
        Bytes of filler after the first line.
    server : str
        Name of the server, written on the first line.
    draining : bool
        Whether to add the header of a draining server.
    load : str
        Value of the load header, as ``busy/total`` slots.
    """

    status: int
    size: int
    server: str = ""
    draining: bool = False
    load: str = ""


def make_body(token: str, server: str, size: int) -> bytes:
    """Make the response body of the request with a given token.

    Parameters
    ----------
    token : str
        Token of the request, unique for each request.
    server : str
        Name of the server that responds.
    size : int
        Bytes of filler, which depend on the token alone.

    Returns
    -------
    bytes
        A line of token, server and size, followed by the filler.
    """
    digest = hashlib.sha256(token.encode()).digest()
    filler = digest * (size // _FILLER_BLOCK + 1)
    return f"{token} {server} {size}\n".encode() + filler[:size]


def is_expected_body(token: str, size: int, body: bytes) -> bool:
    """Tell whether a body is the complete response to a token's request.

    Examples
    --------
    >>> is_expected_body("a", 3, make_body("a", "server-1", 3))
    True
    >>> is_expected_body("a", 3, make_body("b", "server-1", 3))
    False
    """
    first, _, _ = body.partition(b"\n")
    words = first.decode("latin-1").split(" ")
    if len(words) != 3:
        return False
    return body == make_body(token, words[1], size)


def make_answer(
    head: RequestHead, plan: AnswerPlan
) -> tuple[ResponseHead, bytes]:
    """Make the response to a request."""
    token = head.find(TOKEN_HEADER) or "-"
    body = make_body(token, plan.server or "-", plan.size)
    fields = [
        (b"content-type", b"application/octet-stream"),
        (b"content-length", b"%d" % len(body)),
    ]
    request_id = head.find(headers.REQUEST_ID)
    if request_id:
        fields.append((headers.REQUEST_ID, request_id.encode("latin-1")))
    if plan.load:
        fields.append((headers.LOAD, plan.load.encode()))
    if plan.draining:
        fields.append((headers.DRAINING, b"1"))
    return ResponseHead(plan.status, fields), (
        b"" if head.method == "HEAD" else body
    )


def make_shed_answer(head: RequestHead) -> tuple[ResponseHead, bytes]:
    """Make the 503 response that sheds a request without running it."""
    response, body = make_answer(head, AnswerPlan(status=503, size=0))
    response.headers.append((headers.SHED, b"1"))
    return response, body
