"""Requests and answers of clients."""

import dataclasses
from collections.abc import Awaitable, Callable

import h11

from egretlever.core import Seconds
from egretlever.placement import HeaderFields
from egretlever.platform import headers
from egretlever.transport import RequestError, RequestHead

# Seconds in which the process has dropped peers that are silent.
_RETRY_AFTER = b"1"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request of a client.

    Parameters
    ----------
    head : RequestHead
        Method, target and headers.
    body : bytes
        Complete body.
    received_at : Seconds
        Clock time at which the request was complete.
    """

    head: RequestHead
    body: bytes
    received_at: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAnswer:
    """A complete answer to a client.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of bytes
        Headers, without those of the message framing.
    body : bytes
        Complete body.
    """

    status: int
    headers: HeaderFields = ()
    body: bytes = b""


ClientHandler = Callable[[ClientRequest], Awaitable[ClientAnswer]]


def make_error_answer(error: RequestError) -> ClientAnswer:
    """Make the answer to a request that is refused before it has run."""
    fields = (
        ((headers.RETRY_AFTER, _RETRY_AFTER),) if error.status == 503 else ()
    )
    return ClientAnswer(error.status, fields, f"{error}\n".encode())


def encode_answer(
    http: h11.Connection, method: str, answer: ClientAnswer, ends: bool
) -> tuple[bytes, bytes]:
    """Encode an answer: its head, and its body without a copy of it.

    Parameters
    ----------
    http : h11.Connection
        Parser of the request.
    method : str
        Method of the request.
    answer : ClientAnswer
        The answer.
    ends : bool
        Whether the answer is the last one of its connection.
    """
    fields = list(answer.headers)
    empty = answer.status in (204, 304)
    if not empty:
        fields.append((b"content-length", b"%d" % len(answer.body)))
    if ends:
        fields.append((b"connection", b"close"))
    response = h11.Response(status_code=answer.status, headers=fields)
    head = http.send(response) or b""
    body = b""
    if answer.body and method != "HEAD" and not empty:
        body = http.send(h11.Data(data=answer.body)) or b""
    http.send(h11.EndOfMessage())
    return head, body
