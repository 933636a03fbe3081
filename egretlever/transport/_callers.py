"""Server side of HTTP/1.1: connection of one caller, parsed by h11."""

from collections.abc import Callable
from typing import Any

import curio
import h11
from curio import socket

from egretlever.core import Seconds
from egretlever.transport._heads import (
    RequestError,
    RequestHead,
    ResponseHead,
    check_raw_head,
    check_request,
    make_request_error,
)
from egretlever.transport._sockets import (
    ParsingTurns,
    SocketReader,
    has_unread_data,
    is_closed_by_peer,
    is_reset_by_peer,
    measure_unacknowledged,
    reset_on_close,
    send_all,
    send_now,
    send_some,
    shut_down_now,
)

_READ_SIZE = 65536
_HEAD_END = b"\r\n\r\n"
_BARE_LF_HEAD_END = b"\n\n"
_LINGER_TIMEOUT = 1.0  # seconds
_MAX_LINGERS = 10  # for a caller that is still reading
_MAX_DISCARDED_BYTES = 64 << 20


def _ignore() -> None:
    """Ignore that bytes were received or sent."""


class CallerDisconnectedError(Exception):
    """The caller's connection ended before the exchange was complete."""


class CallerConnection:
    """A caller's connection, which carries one request at a time.

    Parameters
    ----------
    sock : curio.io.Socket
        Accepted socket; the connection owns it.
    max_head : int, default=16384
        Largest accepted request head, in bytes.
    head_timeout : Seconds, default=10
        Longest time from the first byte of a request head to its last.
    body_timeout : Seconds, default=30
        Timeout of each read of a body and of each write of a response.
    idle_timeout : Seconds, default=60
        Longest wait for the next request.

    Attributes
    ----------
    method : str
        Method of the current request; empty until its head has been read.
    awaits_caller : bool
        Whether the next step is the caller's: to send or to read.
    observe_bytes : callable
        Called after bytes were received from the caller or sent to it.
    """

    def __init__(
        self,
        sock: Any,
        max_head: int = 16384,
        head_timeout: Seconds = Seconds(10.0),
        body_timeout: Seconds = Seconds(30.0),
        idle_timeout: Seconds = Seconds(60.0),
    ) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self._turns = ParsingTurns()
        self._max_head = max_head
        self._head_timeout = head_timeout
        self._body_timeout = body_timeout
        self._idle_timeout = idle_timeout
        self._received = bytearray()
        self._parser = self._make_parser()
        self._body_ended = False
        self._response_ended = False
        self._half_closed: bool | None = None
        self.method = ""
        self._closes_after_response = False
        self.awaits_caller = True
        self.observe_bytes: Callable[[], None] = _ignore

    def shut_down(self) -> None:
        """End the connection without waiting, which wakes its task."""
        shut_down_now(self._sock)

    async def _receive(self) -> bytes:
        self.awaits_caller = True
        data = await self._reader.receive()
        self.awaits_caller = False
        self.observe_bytes()
        return data

    def announce_close(self) -> None:
        """Add ``Connection: close`` to the next response.

        Without it a caller may send its next request while the connection is
        being closed, and cannot know whether that request has run.
        """
        self._closes_after_response = True

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head + _READ_SIZE
        )

    async def read_request(self) -> RequestHead | None:
        """Read the head of the next request.

        Returns
        -------
        RequestHead or None
            None when the caller closed the connection or the idle timeout
            expired.

        Raises
        ------
        RequestError
            When the head is too large, malformed, or not complete in time.
        CallerDisconnectedError
            When the connection ended before the head was complete.
        """
        if not await self.wait_for_request():
            return None
        self.method = ""
        if _HEAD_END in self._received:
            await self._read_raw_head()
        else:
            await self._read_raw_head_with_timeout()
        self._parser.receive_data(bytes(self._received))
        self._received.clear()
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise make_request_error(error) from None
        if not isinstance(event, h11.Request):
            raise RequestError(400, "the request head can't be parsed")
        head = RequestHead(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            list(event.headers),
        )
        self.method = head.method
        check_request(head)
        return head

    async def _read_raw_head_with_timeout(self) -> None:
        try:
            async with curio.timeout_after(self._head_timeout):
                await self._read_raw_head()
        except curio.TaskTimeout:
            raise RequestError(
                408, "the request head came too slowly"
            ) from None

    async def wait_for_request(self) -> bool:
        """Wait for the first byte of a request; false when none arrives."""
        if self._received:
            return True
        try:
            async with curio.timeout_after(self._idle_timeout):
                data = await self._receive()
        except (curio.TaskTimeout, OSError):
            return False
        self._received += data
        return bool(data)

    async def _read_raw_head(self) -> None:
        scanned = 0
        while True:
            # Empty lines before a request line are allowed (RFC 9112, 2.2).
            while self._received[:2] == b"\r\n":
                del self._received[:2]
            end = self._received.find(_HEAD_END, max(0, scanned - 3))
            if end >= 0:
                if end > self._max_head:
                    raise RequestError(431, "the request head is too large")
                check_raw_head(bytes(self._received[: end + 2]))
                return
            if self._received.find(_BARE_LF_HEAD_END) >= 0:
                raise RequestError(400, "a line ends without a carriage return")
            if len(self._received) > self._max_head:
                raise RequestError(431, "the request head is too large")
            scanned = len(self._received)
            try:
                data = await self._receive()
            except OSError as error:
                raise CallerDisconnectedError(str(error)) from None
            if not data:
                raise CallerDisconnectedError(
                    "the connection ended within the request head"
                )
            self._received += data

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue`` to send its body."""
        return self._parser.they_are_waiting_for_100_continue

    @property
    def body_ended(self) -> bool:
        """Whether the complete request body has been read."""
        return self._body_ended

    async def read_body(self) -> bytes:
        """Read the next part of the request body.

        Returns
        -------
        bytes
            Empty at the end of the body.

        Raises
        ------
        RequestError
            When the framing of the body is invalid or a read times out.
        CallerDisconnectedError
            When the connection ended before the body was complete.
        """
        while not self._body_ended:
            await self._turns.count_event()
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise make_request_error(error) from None
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._body_ended = True
            elif event is h11.NEED_DATA:
                await self._receive_body()
            else:
                raise CallerDisconnectedError(
                    "the connection ended within a body"
                )
        return b""

    def skip_body(self) -> None:
        """Discard the received body before a response that does not need it.

        When the rest of the body has not arrived yet, the response carries
        ``Connection: close``.
        """
        while not self._body_ended:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                event = h11.NEED_DATA
            if isinstance(event, h11.EndOfMessage):
                self._body_ended = True
            elif not isinstance(event, h11.Data):
                self._closes_after_response = True
                return

    async def _receive_body(self) -> None:
        if self.expects_continue:
            await self._send(
                self._parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        try:
            async with curio.timeout_after(self._body_timeout):
                data = await self._receive()
        except curio.TaskTimeout:
            raise RequestError(
                408, "the request body came too slowly"
            ) from None
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from None
        try:
            self._parser.receive_data(data)
        except RuntimeError:
            raise CallerDisconnectedError(
                "received data after the end of the connection"
            ) from None
        if not data:
            raise CallerDisconnectedError("the connection ended within a body")

    async def send_response(
        self, head: ResponseHead, data: bytes = b"", ended: bool = True
    ) -> None:
        """Send the head of a response with the first part of its body.

        Parameters
        ----------
        head : ResponseHead
            Status and headers; h11 adds the framing.
        data : bytes, optional
            First part of the body.
        ended : bool, default=True
            Whether the body is complete.

        Raises
        ------
        CallerDisconnectedError
            When the connection is closed or the write times out.
        """
        fields = head.headers
        if self._closes_after_response:
            fields = [*fields, (b"connection", b"close")]
        parts = self._parser.send(
            h11.Response(status_code=head.status, headers=fields)
        )
        await self._send(parts + self._encode_body(data, ended))

    def start_data(self, data: bytes, ended: bool) -> bytes:
        """Send a further part of the body as far as that needs no waiting.

        Returns
        -------
        bytes
            Encoded rest, for `send_encoded`.

        Raises
        ------
        CallerDisconnectedError
            When the connection is closed.
        """
        encoded = self._encode_body(data, ended)
        try:
            sent = send_some(self._sock, encoded)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from None
        if sent:
            self.observe_bytes()
        return encoded[sent:]

    def encode_data(self, data: bytes, ended: bool) -> bytes:
        """Encode a further part of the body, for `send_encoded`."""
        return self._encode_body(data, ended)

    async def send_encoded(self, encoded: bytes) -> None:
        """Send encoded bytes of the body.

        Raises
        ------
        CallerDisconnectedError
            When the connection is closed or the write times out.
        """
        if encoded:
            await self._send(encoded)

    def _encode_body(self, data: bytes, ended: bool) -> bytes:
        encoded = self._parser.send(h11.Data(data=data)) if data else b""
        if ended:
            encoded += self._parser.send(h11.EndOfMessage()) or b""
            self._response_ended = True
        return encoded or b""

    async def _send(self, data: bytes) -> None:
        self.awaits_caller = True
        try:
            await send_all(self._sock, data, self._body_timeout)
            self.awaits_caller = False
            self.observe_bytes()
        except curio.TaskTimeout:
            raise CallerDisconnectedError(
                "timed out while sending the response"
            ) from None
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from None

    @property
    def response_started(self) -> bool:
        """Whether any part of the response may have been sent."""
        return self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def is_disconnected(self) -> bool:
        """Return without waiting whether the caller closed its connection.

        A caller that only shut down its sending side still gets its response.
        The two cases differ only after a write: the peer resets a closed
        connection, which the next call detects.
        """
        if not is_closed_by_peer(self._sock):
            return False
        if self._half_closed is None:
            self._half_closed = self._probe_half_closed()
            return not self._half_closed
        return not self._half_closed or is_reset_by_peer(self._sock)

    def _probe_half_closed(self) -> bool:
        """Send an interim response; false when the connection is reset."""
        if self.response_started or self._parser.their_http_version != b"1.1":
            return not is_reset_by_peer(self._sock)
        interim = h11.InformationalResponse(status_code=100, headers=[])
        return send_now(self._sock, self._parser.send(interim) or b"")

    def has_input(self) -> bool:
        """Return without waiting whether a part of a request has arrived."""
        return bool(self._received) or has_unread_data(self._sock)

    def prepare_next(self) -> bool:
        """Prepare for the next request on this connection.

        Returns
        -------
        bool
            False when the connection cannot be used for another request.
        """
        if not (self._response_ended and self._discard_received_body()):
            return False
        if self._parser.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        trailing, closed = self._parser.trailing_data
        self._body_ended = self._response_ended = False
        if trailing or closed:
            # The caller pipelined its next request. Its head must pass the
            # same checks, so the bytes go back to the raw buffer.
            self._received += trailing
            self._parser = self._make_parser()
            return bool(trailing)
        self._parser.start_next_cycle()
        return True

    def _discard_received_body(self) -> bool:
        """Discard the rest of a received body that has not been read."""
        while not self._body_ended:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                return False
            self._body_ended = isinstance(event, h11.EndOfMessage)
            if not self._body_ended and not isinstance(event, h11.Data):
                return False
        return True

    async def close_gracefully(self) -> None:
        """Shut down the sending side and close once the caller has closed.

        Closing a socket with unread received bytes resets the connection, and
        the caller can lose a response that it has not read yet (RFC 9112, 9.6).
        The wait for the caller is limited to one second, and to ten while it
        has not acknowledged all bytes.
        """
        # Input that was not parsed is not held meanwhile.
        self._received.clear()
        self._parser = self._make_parser()
        self.awaits_caller = True
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            for _ in range(_MAX_LINGERS):
                async with curio.ignore_after(_LINGER_TIMEOUT):
                    await self._discard_until_closed()
                    break
                if not measure_unacknowledged(self._sock, ended=True):
                    break
        except OSError:
            pass
        await self._sock.close()

    async def _discard_until_closed(self) -> None:
        left = _MAX_DISCARDED_BYTES
        while left > 0 and (data := await self._reader.receive()):
            left -= len(data)

    async def close(self) -> None:
        """Close the socket; a response in progress is truncated."""
        await self._sock.close()

    async def abort(self) -> None:
        """Reset the connection.

        A response to an HTTP/1.0 caller may be delimited by the end of the
        connection, so only a reset shows that it is incomplete.
        """
        reset_on_close(self._sock)
        await self._sock.close()
