"""Reading of client requests, within the account of held bytes."""

import io
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11

from egretlever.core import Seconds
from egretlever.memory import SHORT_BYTES, ByteAccount, Holder, HoldingKind
from egretlever.placement import ClientLimits
from egretlever.relay._client_messages import ClientRequest
from egretlever.transport import (
    ParsingTurns,
    RequestError,
    RequestHead,
    SocketReader,
    check_raw_head,
    check_request,
    find_content_length,
    make_request_error,
    read_clock,
)

_READ_SIZE = 65536
_HEAD_END = b"\r\n\r\n"
# Clients reuse connections up to the idle timeout, so the node closes them only
# this much later.
_IDLE_MARGIN = Seconds(1.5)
_BODY_TIMEOUT = Seconds(10.0)  # of each read of a body


class RequestReader:
    """Reads the requests of one client connection, one after the other.

    Parameters
    ----------
    sock : curio.io.Socket
        Accepted socket.
    holder : Holder
        Connection that holds the bytes.
    account : ByteAccount
        Grants the bytes that are held for the client.
    awaits_answer : callable
        Tells whether the client has requests without an answer.
    send_continue : callable
        Coroutine function that sends the interim response 100 of a parser.

    Attributes
    ----------
    received : bytearray
        Received bytes of the next request.
    input_ended : bool
        Whether the client has ended its input.
    dropped : bool
        Whether the connection was dropped to free bytes.
    body_bytes : int
        Bytes held for the body of the latest request.
    """

    def __init__(
        self,
        sock: Any,
        holder: Holder,
        account: ByteAccount,
        awaits_answer: Callable[[], bool],
        send_continue: Callable[[h11.Connection], Awaitable[None]],
    ) -> None:
        self._reader = SocketReader(sock)
        self._turns = ParsingTurns()
        self._holder = holder
        self._account = account
        self._awaits_answer = awaits_answer
        self._send_continue = send_continue
        self._body = io.BytesIO()
        self.body_bytes = 0
        self.received = bytearray()
        self.input_ended = False
        self.dropped = False

    def drop(self) -> None:
        """Free what is held for a request that is being read."""
        self.dropped = True
        self._body.close()
        self.received.clear()

    def take_body_bytes(self) -> int:
        """Return the bytes held for the latest body, which its request owns."""
        taken, self.body_bytes = self.body_bytes, 0
        return taken

    async def receive(self) -> bytes:
        """Receive bytes of the client; empty when it is gone or dropped."""
        data = await self._reader.receive()
        self._account.touch(self._holder, read_clock())
        return b"" if self.dropped else data

    async def read(
        self, http: h11.Connection, limits: ClientLimits
    ) -> ClientRequest | None:
        """Read one request; None when no further request follows.

        Parameters
        ----------
        http : h11.Connection
            Parser of the request.
        limits : ClientLimits
            Limits of its size and time.

        Raises
        ------
        RequestError
            When the request is invalid, too slow or too large.
        """
        if not await self._await_first_byte(limits):
            return None
        try:
            async with curio.timeout_after(limits.head_timeout):
                if not await self._read_raw_head(limits):
                    self.input_ended = True
                    return None
        except curio.TaskTimeout:
            raise RequestError(
                408, "the request head came too slowly"
            ) from None
        http.receive_data(bytes(self.received))
        self.received.clear()
        try:
            event = http.next_event()
        except h11.RemoteProtocolError as error:
            raise make_request_error(error) from None
        if not isinstance(event, h11.Request):
            raise RequestError(400, "the request head can't be parsed")
        head = RequestHead(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            list(event.headers),
        )
        check_request(head)
        try:
            body = await self._read_body(http, head, limits)
        except RequestError:
            self._free_body()
            raise
        if body is None:
            self.input_ended = True
            self._free_body()
            return None
        return ClientRequest(head, body, read_clock())

    async def _await_first_byte(self, limits: ClientLimits) -> bool:
        """Wait for a request; false when the connection ends first."""
        while not self.received:
            try:
                async with curio.timeout_after(
                    limits.idle_timeout + _IDLE_MARGIN
                ):
                    data = await self.receive()
            except curio.TaskTimeout:
                if self._awaits_answer():
                    continue
                return False
            if not data:
                self.input_ended = True
                return False
            self.received += data
        return True

    async def _read_raw_head(self, limits: ClientLimits) -> bool:
        """Receive a complete head; false when the client disconnects first."""
        while True:
            # RFC 9112, 2.2 allows empty lines before a request line.
            while self.received[:2] == b"\r\n":
                del self.received[:2]
            end = self.received.find(_HEAD_END)
            if end > limits.max_head_bytes or (
                end < 0 and len(self.received) > limits.max_head_bytes
            ):
                raise RequestError(431, "the request head is too large")
            if end >= 0:
                check_raw_head(bytes(self.received[: end + 2]))
                return True
            data = await self.receive()
            if not data:
                return False
            self.received += data

    async def _read_body(
        self, http: h11.Connection, head: RequestHead, limits: ClientLimits
    ) -> bytes | None:
        """Receive a complete body; None when the client disconnects first."""
        if (find_content_length(head.headers) or 0) > limits.max_body_bytes:
            raise RequestError(413, "the request body is too large")
        # Its value takes no copy, unlike that of a byte array.
        self._body = io.BytesIO()
        size = 0
        while True:
            await self._turns.count_event()
            if self.dropped:
                return None
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                raise make_request_error(error) from None
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise RequestError(413, "the request body is too large")
                self._hold_body(size)
                self._body.write(event.data)
            elif isinstance(event, h11.EndOfMessage):
                body, self._body = self._body, io.BytesIO()
                return body.getvalue()
            elif event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    await self._send_continue(http)
                data = await self._receive_body()
                if not data:
                    return None
                http.receive_data(data)
            else:
                return None

    def _hold_body(self, size: int) -> None:
        """Hold a body of this size, which grows in steps.

        Raises
        ------
        RequestError
            When the process can't hold it.
        """
        needed = size - self.body_bytes
        if needed <= 0:
            return
        # A short body that arrives whole takes one step.
        step = needed if size <= _READ_SIZE else max(needed, _READ_SIZE)
        if not self._account.grow(
            self._holder,
            HoldingKind.REQUEST,
            step,
            read_clock(),
            short=size <= SHORT_BYTES,
        ):
            raise RequestError(503, "too many large requests are received")
        self.body_bytes += step

    def _free_body(self) -> None:
        self._body = io.BytesIO()
        self._account.shrink(self._holder, HoldingKind.REQUEST, self.body_bytes)
        self.body_bytes = 0

    async def _receive_body(self) -> bytes:
        try:
            async with curio.timeout_after(_BODY_TIMEOUT):
                return await self.receive()
        except curio.TaskTimeout:
            raise RequestError(
                408, "the request body came too slowly"
            ) from None
