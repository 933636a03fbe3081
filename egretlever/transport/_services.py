"""Accept loops, and servers for requests with small, complete bodies."""

import dataclasses
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from egretlever.core import make_log
from egretlever.transport._callers import (
    CallerConnection,
    CallerDisconnectedError,
)
from egretlever.transport._heads import (
    RequestError,
    RequestHead,
    ResponseHead,
)
from egretlever.transport._sockets import set_no_delay

_LOG = make_log("transport")
# Non-standard status; counted when the caller disconnects.
_CLIENT_CLOSED_REQUEST = 499
# Seconds until the next accept after an error, such as too many open files.
_ACCEPT_RETRY_DELAY = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP response, as a `Handler` returns it.

    Parameters
    ----------
    status : int, default=200
        HTTP status.
    body : bytes, optional
        Body of the response.
    content_type : str, default="text/plain; charset=utf-8"
        Media type of the body.
    headers : tuple of tuple of bytes, optional
        Further headers with lower-case names.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers: tuple[tuple[bytes, bytes], ...] = ()


Handler = Callable[[RequestHead, bytes], Awaitable[Answer]]


def _ignore(status: int) -> None:
    """Ignore a status; default of the ``count_status`` callbacks."""


async def accept_connections(
    listener: Any,
    handle: Callable[[Any], Awaitable[None]],
    limit: int,
    count_status: Callable[[int], None] = _ignore,
    cancel_connections: bool = False,
) -> None:
    """Accept connections until cancelled and handle each in a task.

    Parameters
    ----------
    listener : curio.io.Socket
        Listening socket.
    handle : callable
        Coroutine function that gets the accepted socket and owns it.
    limit : int
        Maximum number of concurrent connections; further ones are closed
        immediately.
    count_status : callable, optional
        Called with 0 when a handler raises an unexpected exception.
    cancel_connections : bool, default=False
        Whether cancelling the accept loop also cancels the connection tasks.
        Tasks that go on could spawn tasks during the shutdown of curio's
        kernel, which curio does not allow.
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
            # An exception in one handler must not stop the accept loop.
            count_status(0)
            _LOG.error(
                "Unexpected exception in a connection handler:\n%s",
                traceback.format_exc(),
            )
        finally:
            active.discard(task)
            await sock.close()

    try:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as error:
                _LOG.warning("Accepting a connection failed: %s.", error)
                await curio.sleep(_ACCEPT_RETRY_DELAY)
                continue
            if len(active) >= limit:
                await sock.close()
                continue
            set_no_delay(sock)
            await curio.spawn(run, sock, daemon=True)
            # Accepting waiting connections does not suspend this task. Without
            # a turn of the others, more would be open than are let in.
            await curio.sleep(0)
    finally:
        if cancel_connections:
            for task in list(active):
                await task.cancel()


async def _read_complete_body(
    connection: CallerConnection, max_body: int
) -> bytes:
    body = bytearray()
    while data := await connection.read_body():
        body += data
        if len(body) > max_body:
            raise RequestError(413, f"the body exceeds {max_body} bytes")
    return bytes(body)


def make_response(answer: Answer) -> ResponseHead:
    """Make the response head of an answer."""
    return ResponseHead(
        answer.status,
        [
            (b"content-type", answer.content_type.encode("latin-1")),
            (b"content-length", b"%d" % len(answer.body)),
            *answer.headers,
        ],
    )


async def answer_requests(
    connection: CallerConnection,
    handle: Handler,
    max_body: int = 1 << 20,
    count_status: Callable[[int], None] = _ignore,
) -> None:
    """Handle the requests of one connection until it ends.

    Parameters
    ----------
    connection : CallerConnection
        Connection of the caller.
    handle : callable
        Coroutine function that maps a request head and body to an `Answer`.
    max_body : int, default=1048576
        Largest accepted body, in bytes.
    count_status : callable, optional
        Called with the status of each rejected request, and with 499 when
        the caller disconnects.
    """
    try:
        while head := await connection.read_request():
            body = await _read_complete_body(connection, max_body)
            answer = await handle(head, body)
            data = b"" if head.method == "HEAD" else answer.body
            await connection.send_response(make_response(answer), data)
            if not connection.prepare_next():
                return
    except RequestError as error:
        count_status(error.status)
        await _send_error(connection, error)
    except CallerDisconnectedError:
        count_status(_CLIENT_CLOSED_REQUEST)


async def _send_error(
    connection: CallerConnection, error: RequestError
) -> None:
    if connection.response_started:
        return
    answer = Answer(error.status, f"{error}\n".encode())
    head = make_response(answer)
    head.headers.append((b"connection", b"close"))
    try:
        await connection.send_response(head, answer.body)
    except CallerDisconnectedError:
        return


async def serve_requests(
    listener: Any,
    handle: Handler,
    limit: int = 256,
    count_status: Callable[[int], None] = _ignore,
) -> None:
    """Serve HTTP requests on a listening socket until cancelled.

    Parameters
    ----------
    listener : curio.io.Socket
        Listening socket.
    handle : callable
        Coroutine function that maps a request head and body to an `Answer`.
    limit : int, default=256
        Maximum number of concurrent connections.
    count_status : callable, optional
        Called with the status of each rejected request, 499 when the caller
        disconnects, and 0 when a handler raises an unexpected exception.
    """

    async def serve(sock: Any) -> None:
        await answer_requests(
            CallerConnection(sock), handle, count_status=count_status
        )

    await accept_connections(listener, serve, limit, count_status)
