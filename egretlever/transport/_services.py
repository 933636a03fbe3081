"""Accept loops, and small services that answer whole requests."""

import dataclasses
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from egretlever.core import make_log
from egretlever.transport._callers import CallerConnection, CallerGoneError
from egretlever.transport._heads import (
    RequestError,
    RequestHead,
    ResponseHead,
)
from egretlever.transport._sockets import set_no_delay

_LOG = make_log("transport")
_GONE = 499  # status counted for a caller that went away
_ACCEPT_PAUSE = 0.05  # seconds without accepting when descriptors run out


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a small service.

    Parameters
    ----------
    status : int, default=200
        HTTP status.
    body : bytes, optional
        Body of the answer.
    content_type : str, default="text/plain; charset=utf-8"
        Media type of the body.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Handler = Callable[[RequestHead, bytes], Awaitable[Answer]]


def _ignore(status: int) -> None:
    """Count nothing."""


async def accept_connections(
    listener: Any,
    handle: Callable[[Any], Awaitable[None]],
    limit: int,
    count: Callable[[int], None] = _ignore,
    ends_connections: bool = False,
) -> None:
    """Accept connections for ever and handle each in a task of its own.

    Parameters
    ----------
    listener : curio.io.Socket
        Listening socket.
    handle : callable
        Coroutine function that takes the accepted socket and owns it.
    limit : int
        Connections handled at once; further ones are closed at once.
    count : callable, optional
        Called with 0 for a connection that ended by an unexpected exception.
    ends_connections : bool, default=False
        Whether cancelling the loop ends its connections too. They could start
        tasks while curio's kernel is being shut down, which it does not allow.
    """
    active: set[Any] = set()

    async def run(sock: Any) -> None:
        task = await curio.current_task()
        active.add(task)
        try:
            await handle(sock)
        except OSError as error:
            _LOG.debug("Connection failed: %s.", error)
        except Exception:
            # One connection must not end the others with its fault.
            count(0)
            _LOG.error("A connection ended by\n%s", traceback.format_exc())
        finally:
            active.discard(task)
            await sock.close()

    try:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                _LOG.warning("Accept failed: %s.", error)
                await curio.sleep(_ACCEPT_PAUSE)
                continue
            if len(active) >= limit:
                await sock.close()
                continue
            set_no_delay(sock)
            await curio.spawn(run, sock, daemon=True)
    finally:
        if ends_connections:
            for task in list(active):
                await task.cancel()


async def _read_whole_body(
    connection: CallerConnection, max_body: int
) -> bytes:
    body = bytearray()
    while data := await connection.read_body():
        body += data
        if len(body) > max_body:
            raise RequestError(413, f"the body exceeds {max_body} bytes")
    return bytes(body)


def make_response(answer: Answer) -> ResponseHead:
    """Make the response head of a whole answer."""
    return ResponseHead(
        answer.status,
        [
            (b"content-type", answer.content_type.encode("latin-1")),
            (b"content-length", b"%d" % len(answer.body)),
        ],
    )


async def answer_requests(
    connection: CallerConnection,
    handle: Handler,
    max_body: int = 1 << 20,
    count: Callable[[int], None] = _ignore,
) -> None:
    """Answer the requests of one connection with whole answers.

    Parameters
    ----------
    connection : CallerConnection
        Connection to serve until it ends.
    handle : callable
        Coroutine function from a request to its `Answer`.
    max_body : int, default=1048576
        Largest accepted body, in bytes.
    count : callable, optional
        Called with the status of each refused request, and with 499 when
        the caller went away.
    """
    try:
        while head := await connection.read_request():
            body = await _read_whole_body(connection, max_body)
            answer = await handle(head, body)
            data = b"" if head.method == "HEAD" else answer.body
            await connection.send_response(make_response(answer), data)
            if not connection.prepare_next():
                return
    except RequestError as error:
        count(error.status)
        await _refuse(connection, error)
    except CallerGoneError:
        count(_GONE)


async def _refuse(connection: CallerConnection, error: RequestError) -> None:
    if connection.answer_begun:
        return
    answer = Answer(error.status, f"{error}\n".encode())
    head = make_response(answer)
    head.headers.append((b"connection", b"close"))
    try:
        await connection.send_response(head, answer.body)
    except CallerGoneError:
        return


async def serve_requests(
    listener: Any,
    handle: Handler,
    limit: int = 256,
    count: Callable[[int], None] = _ignore,
) -> None:
    """Serve whole answers on a listening socket for ever.

    Parameters
    ----------
    listener : curio.io.Socket
        Listening socket.
    handle : callable
        Coroutine function from a request and its body to an `Answer`.
    limit : int, default=256
        Connections handled at once.
    count : callable, optional
        Called with the status of each refused request, 0 for an exception.
    """

    async def serve(sock: Any) -> None:
        await answer_requests(CallerConnection(sock), handle, count=count)

    await accept_connections(listener, serve, limit, count)
