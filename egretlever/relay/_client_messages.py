"""Requests and answers of clients."""

import dataclasses
from collections.abc import Awaitable, Callable

import h11

from egretlever.core import Seconds
from egretlever.placement import HeaderFields
from egretlever.transport import RequestError, RequestHead


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
    """Make the answer to an invalid request."""
    return ClientAnswer(error.status, (), f"{error}\n".encode())


def encode_answer(
    http: h11.Connection, method: str, answer: ClientAnswer, ends: bool
) -> bytes:
    """Encode an answer with its framing.

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
    encoded = http.send(response) or b""
    if answer.body and method != "HEAD" and not empty:
        encoded += http.send(h11.Data(data=answer.body)) or b""
    return encoded + (http.send(h11.EndOfMessage()) or b"")
