"""One-shot HTTP requests, such as those to the admin API of a node."""

import dataclasses
import enum
import io
from collections.abc import Sequence
from typing import Protocol

import curio
from returns.result import Failure, Result, Success

from egretlever.core import Address, Seconds
from egretlever.transport._backends import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
)
from egretlever.transport._faults import NO_FAULTS, FaultInjector
from egretlever.transport._heads import RequestHead, ResponseHead
from egretlever.transport._sockets import ConnectError, open_connection

_MAX_BODY_BYTES = 64 << 20
# Bytes of a body that take no room in a shared bound. Most bodies are smaller.
_UNCOUNTED_BODY_BYTES = 65536
# Servers cut off a response that stays unread for some seconds.
_ROOM_CHECKS = 20
_ROOM_CHECK_INTERVAL = 0.05  # seconds


class NoRoomError(BackendProtocolError):
    """A valid response can't be received for want of memory."""


class ExchangeFailure(enum.Enum):
    """How far a failed exchange, one request with its response, got."""

    NOT_CONNECTED = "not-connected"
    NO_ANSWER = "no-answer"
    BAD_ANSWER = "bad-answer"


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeError:
    """A failed exchange.

    Parameters
    ----------
    failure : ExchangeFailure
        How far the exchange got.
    message : str
        What failed.
    """

    failure: ExchangeFailure
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Complete response of a service.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    body : bytes
        Complete body.
    """

    head: ResponseHead
    body: bytes


async def send_request(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    timeout: Seconds = Seconds(5.0),
    headers: Sequence[tuple[bytes, bytes]] = (),
    faults: FaultInjector = NO_FAULTS,
) -> Result[Reply, ExchangeError]:
    """Send one request on a new connection and read the complete response.

    Parameters
    ----------
    address : Address
        Address of the service.
    method, target : str
        Method and request target.
    body : bytes, optional
        Body of the request.
    timeout : Seconds, default=5
        Timeout of connecting, and of the exchange that follows.
    headers : sequence of tuple of bytes, optional
        Further headers with lower-case names.
    faults : FaultInjector, optional
        Link faults injected by tests.

    Returns
    -------
    Result of Reply or ExchangeError
        The complete response, whatever its status.
    """
    try:
        sock = await open_connection(address, timeout, faults)
    except ConnectError as error:
        return Failure(ExchangeError(ExchangeFailure.NOT_CONNECTED, str(error)))
    connection = BackendConnection(sock)
    head = RequestHead(
        method,
        target,
        [
            (b"host", str(address).encode()),
            (b"content-length", b"%d" % len(body)),
            *headers,
        ],
    )
    try:
        async with curio.timeout_after(timeout):
            await connection.send_request(head, body)
            response = await connection.read_response()
            return Success(Reply(response, await read_body(connection)))
    except curio.TaskTimeout:
        message = f"{address} sent no complete response within {timeout:g} s"
        return Failure(ExchangeError(ExchangeFailure.NO_ANSWER, message))
    except BackendClosedError as error:
        return Failure(ExchangeError(ExchangeFailure.NO_ANSWER, str(error)))
    except BackendProtocolError as error:
        return Failure(ExchangeError(ExchangeFailure.BAD_ANSWER, str(error)))
    finally:
        await connection.close()


class BodyRoom(Protocol):
    """Grants the bytes of bodies while they are received."""

    def reserve(self, size: int) -> bool:
        """Take room for some bytes; false when there is not enough."""

    def release(self, size: int) -> None:
        """Return room taken by `reserve`."""


class BufferLimit:
    """Bound of the bytes that several bodies may take in memory together.

    Parameters
    ----------
    most : int
        Bound, in bytes.

    Attributes
    ----------
    used : int
        Bytes in use.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Take room for some bytes; false when there is not enough."""
        if self.used + size > self._most:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return room taken by `reserve`."""
        self.used -= size


async def _read_part(
    connection: BackendConnection, timeout: Seconds | None
) -> tuple[bytes, bool]:
    if timeout is None:
        return await connection.read_data()
    try:
        async with curio.timeout_after(timeout):
            return await connection.read_data()
    except curio.TaskTimeout:
        raise BackendClosedError(
            f"no more of the response body within {timeout:g} s"
        ) from None


async def _await_room(buffered: BodyRoom, size: int) -> None:
    """Take room for bytes; meanwhile the server waits with the rest.

    Raises
    ------
    NoRoomError
        When there is not enough in time.
    """
    for _ in range(_ROOM_CHECKS):
        if buffered.reserve(size):
            return
        await curio.sleep(_ROOM_CHECK_INTERVAL)
    raise NoRoomError("too many large response bodies are received together")


async def read_body(
    connection: BackendConnection,
    max_body: int = _MAX_BODY_BYTES,
    buffered: BodyRoom | None = None,
    part_timeout: Seconds | None = None,
) -> bytes:
    """Read the complete body of a response.

    Parameters
    ----------
    connection : BackendConnection
        Connection whose response head has been read.
    max_body : int, default=64 MiB
        Largest accepted body, in bytes.
    buffered : BodyRoom, optional
        Bound that this body shares with others while it is received.
    part_timeout : Seconds, optional
        Time in which further bytes of the body have to be received.

    Raises
    ------
    BackendClosedError
        When the connection ends within the body, or no bytes of it are received
        for `part_timeout`.
    BackendProtocolError
        When the framing of the body is invalid or the body is too large.
    NoRoomError
        When the bound that it shares leaves no room for it.
    """
    # Its value takes no copy, unlike that of a byte array.
    body = io.BytesIO()
    size = 0
    ended = False
    reserved = 0
    if (connection.declared_length or 0) > max_body:
        raise BackendProtocolError(
            f"the response body exceeds {max_body} bytes"
        )
    try:
        while not ended:
            data, ended = await _read_part(connection, part_timeout)
            body.write(data)
            size += len(data)
            if size > max_body:
                raise BackendProtocolError(
                    f"the response body exceeds {max_body} bytes"
                )
            needed = size - _UNCOUNTED_BODY_BYTES - reserved
            if buffered is None or needed <= 0:
                continue
            await _await_room(buffered, needed)
            reserved += needed
        return body.getvalue()
    finally:
        if buffered is not None:
            buffered.release(reserved)
