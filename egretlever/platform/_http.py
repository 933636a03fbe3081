"""HTTP/1.1 client connections through h11 on curio sockets."""

import dataclasses
import socket as sockets
from typing import Any

import curio
import h11
from curio import socket
from returns.result import Failure, Result, Success

from egretlever.core import Address, Seconds

MAX_HEAD_BYTES = 16 * 1024
_RECEIVE_BYTES = 64 * 1024
# An idle connection is dropped before usual middleboxes forget it.
_IDLE_TIMEOUT = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Complete body.
    """

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpError:
    """A request without a complete response.

    Parameters
    ----------
    sent : bool
        True when at least one byte of the request was written.
    message : str
        What failed.
    """

    sent: bool
    message: str


class _ReplyError(Exception):
    """The response is malformed, incomplete or too large."""


class HttpConnection:
    """One client connection that carries one request at a time.

    Parameters
    ----------
    stream : curio.io.Socket
        Connected socket.
    host : str
        Value of the Host header.
    max_body : int
        Largest accepted response body, in bytes.

    Attributes
    ----------
    sent : bool
        True when a byte of the current request was written.
    idle_since : Seconds
        Clock reading at the end of the last request.
    """

    def __init__(self, stream: Any, host: str, max_body: int) -> None:
        self.sent = False
        self.idle_since = Seconds(0.0)
        self._stream = stream
        self._host = host
        self._max_body = max_body
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    async def exchange(
        self, method: str, target: str, body: bytes
    ) -> HttpReply:
        """Send a request and receive its complete response."""
        self.sent = False
        request = h11.Request(
            method=method,
            target=target,
            headers=[("host", self._host), ("content-length", str(len(body)))],
        )
        data = self._codec.send(request) or b""
        data += self._codec.send(h11.Data(data=body)) or b""
        data += self._codec.send(h11.EndOfMessage()) or b""
        await self._send(data)
        return await self._receive()

    async def _send(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            count = await self._stream.send(view)
            self.sent = True
            view = view[count:]

    async def _receive(self) -> HttpReply:
        status = 0
        body = bytearray()
        while True:
            event = self._codec.next_event()
            if event is h11.NEED_DATA:
                self._codec.receive_data(
                    await self._stream.recv(_RECEIVE_BYTES)
                )
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_body:
                    raise _ReplyError(f"body exceeds {self._max_body} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return HttpReply(status, bytes(body))
            elif not isinstance(event, h11.InformationalResponse):
                raise _ReplyError("the connection ended before the response")

    def finish(self, now: Seconds) -> bool:
        """Prepare for the next request; False when it can't be reused."""
        if self._codec.our_state is not h11.DONE:
            return False
        if self._codec.their_state is not h11.DONE:
            return False
        self._codec.start_next_cycle()
        self.idle_since = now
        return True

    def is_stale(self, now: Seconds) -> bool:
        """Whether an idle connection was closed or got unexpected data."""
        if now - self.idle_since > _IDLE_TIMEOUT:
            return True
        try:
            with self._stream.blocking() as raw:
                raw.setblocking(False)
                raw.recv(1, sockets.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def close(self) -> None:
        """Close the socket."""
        await self._stream.close()


class HttpClient:
    """Client of one address with kept connections.

    Parameters
    ----------
    address : Address
        Address of the service.
    timeout : Seconds
        Limit of one request, connection included.
    max_body : int
        Largest request and response body, in bytes.
    max_connections : int, default=32
        Connections open at the same time; further requests wait.
    max_idle : int, default=4
        Connections kept between requests.
    """

    def __init__(
        self,
        address: Address,
        timeout: Seconds,
        max_body: int,
        max_connections: int = 32,
        max_idle: int = 4,
    ) -> None:
        self._address = address
        self._timeout = timeout
        self._max_body = max_body
        self._max_idle = max_idle
        self._permits = curio.Semaphore(max_connections)
        self._idle: list[HttpConnection] = []

    async def request(
        self, method: str, target: str, body: bytes = b""
    ) -> Result[HttpReply, HttpError]:
        """Send one request.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Request target, quoted.
        body : bytes, optional
            Request body.

        Returns
        -------
        Result of HttpReply or HttpError
            The complete response, or whether the request was sent.
        """
        if len(body) > self._max_body:
            return Failure(
                HttpError(
                    False,
                    f"body of {len(body)} bytes exceeds {self._max_body}",
                )
            )
        held: list[HttpConnection] = []
        try:
            async with curio.timeout_after(self._timeout), self._permits:
                return Success(await self._exchange(held, method, target, body))
        except curio.TaskTimeout:
            message = f"no response within {self._timeout:g} s"
        except (OSError, h11.ProtocolError, _ReplyError) as error:
            message = str(error) or type(error).__name__
        finally:
            for connection in held:
                await connection.close()
        sent = any(connection.sent for connection in held)
        return Failure(HttpError(sent, f"{self._address}: {message}"))

    async def _exchange(
        self, held: list[HttpConnection], method: str, target: str, body: bytes
    ) -> HttpReply:
        connection = await self._take_idle()
        if connection is None:
            connection = await self._connect()
        held.append(connection)
        reply = await connection.exchange(method, target, body)
        keep = len(self._idle) < self._max_idle
        if keep and connection.finish(Seconds(await curio.clock())):
            held.remove(connection)
            self._idle.append(connection)
        return reply

    async def _take_idle(self) -> HttpConnection | None:
        now = Seconds(await curio.clock())
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale(now):
                return connection
            await connection.close()
        return None

    async def _connect(self) -> HttpConnection:
        stream = await curio.open_connection(
            self._address.ip, self._address.port
        )
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            await stream.close()
            raise
        return HttpConnection(stream, str(self._address), self._max_body)

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()
