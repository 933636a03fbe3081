"""HTTP/1.1 client of one address with pooled connections."""

import dataclasses

import curio
import h11
from returns.result import Failure, Result, Success

from egretlever.core import Address, Seconds
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    ConnectError,
    ConnectionPool,
    RequestHead,
    ResponseHead,
    read_body,
    read_clock,
)

# Shorter than the time after which common middleboxes drop idle connections.
_IDLE_TIMEOUT = Seconds(20.0)
# Longest time of the body of a response whose bytes keep coming.
_MAX_TRANSFER_TIME = Seconds(30.0)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Complete body.
    transfer_time : Seconds
        Time between the head of the response and its last byte.
    head : ResponseHead, optional
        Head of the response.
    """

    status: int
    body: bytes
    transfer_time: Seconds = Seconds(0.0)
    head: ResponseHead | None = None

    def find(self, name: bytes) -> str | None:
        """Return the first value of a header, None when there is none."""
        return None if self.head is None else self.head.find(name)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpError:
    """Failure of a request without a complete response.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request may have been written.
    message : str
        What failed.
    """

    sent: bool
    message: str


class HttpClient:
    """Client of one address with pooled connections.

    Parameters
    ----------
    address : Address
        Address of the service.
    timeout : Seconds
        Timeout of one request, including connecting.
    max_body : int
        Maximum size of a request or response body, in bytes.
    max_connections : int, default=32
        Maximum number of concurrent connections; further requests wait.
    max_idle : int, default=4
        Maximum number of idle connections.
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
        self._connection_slots = curio.Semaphore(max_connections)
        self._pool = ConnectionPool(
            timeout, _IDLE_TIMEOUT, max_idle, keepalive=True
        )

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: Seconds | None = None,
    ) -> Result[HttpReply, HttpError]:
        """Send one request.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Request target, percent-encoded.
        body : bytes, optional
            Request body.
        timeout : Seconds, optional
            Time until the response begins, and without further bytes of it;
            by default the timeout of the client, which also bounds the latter.

        Returns
        -------
        Result of HttpReply or HttpError
            The complete response, or the error.
        """
        if len(body) > self._max_body:
            return Failure(
                HttpError(
                    False,
                    f"body of {len(body)} bytes exceeds {self._max_body}",
                )
            )
        in_use: list[BackendConnection] = []
        limit = self._timeout if timeout is None else timeout
        try:
            async with curio.timeout_after(limit):
                await self._connection_slots.acquire()
            try:
                return Success(
                    await self._exchange(in_use, method, target, body, limit)
                )
            finally:
                await self._connection_slots.release()
        except curio.TaskTimeout:
            message = f"no complete response within {limit:g} s"
        except (
            BackendClosedError,
            BackendProtocolError,
            ConnectError,
            h11.LocalProtocolError,
        ) as error:
            message = str(error) or type(error).__name__
        finally:
            for connection in in_use:
                await connection.close()
        sent = any(connection.sent for connection in in_use)
        return Failure(HttpError(sent, f"{self._address}: {message}"))

    async def _exchange(
        self,
        in_use: list[BackendConnection],
        method: str,
        target: str,
        body: bytes,
        limit: Seconds,
    ) -> HttpReply:
        fields = [
            (b"host", str(self._address).encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        head = RequestHead(method, target, fields)
        async with curio.timeout_after(limit):
            connection = await self._pool.acquire(self._address)
            in_use.append(connection)
            await connection.send_request(head, body)
            response = await connection.read_response()
        begun = read_clock()
        # A large response may take long on a full link. If it were given up, it
        # would begin anew and take as long again.
        async with curio.timeout_after(_MAX_TRANSFER_TIME):
            content = await read_body(
                connection,
                self._max_body,
                part_timeout=Seconds(min(limit, self._timeout)),
            )
        transfer_time = Seconds(read_clock() - begun)
        in_use.remove(connection)
        await self._pool.release(self._address, connection)
        return HttpReply(response.status, content, transfer_time, response)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._pool.close()
