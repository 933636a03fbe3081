"""Server side of HTTP/1.1: one caller's connection, parsed by h11."""

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
)
from egretlever.transport._sockets import (
    has_unread_data,
    is_closed_by_peer,
    is_reset_by_peer,
    reset_on_close,
    send_all,
    send_now,
)

_READ_SIZE = 65536
_HEAD_END = b"\r\n\r\n"
_BARE_HEAD_END = b"\n\n"
_LINGER = 1.0  # seconds


class CallerGoneError(Exception):
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
        Time for the caller to send a whole head once it has begun.
    body_timeout : Seconds, default=30
        Longest silence while a body is received or an answer is sent.
    idle_timeout : Seconds, default=60
        Longest wait for the next request.

    Attributes
    ----------
    method : str
        Method of the present request, empty until its head is read.
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
        self._max_head = max_head
        self._head_timeout = head_timeout
        self._body_timeout = body_timeout
        self._idle_timeout = idle_timeout
        self._pending = bytearray()
        self._http = self._make_parser()
        self._body_ended = False
        self._answer_ended = False
        self._half_closed: bool | None = None
        self.method = ""
        self._last = False

    def announce_close(self) -> None:
        """Say in the next answer that the connection ends behind it.

        A caller that isn't told may send its next request just when the
        connection is closed, and can't know whether that request has run.
        """
        self._last = True

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_head + _READ_SIZE
        )

    async def read_request(self) -> RequestHead | None:
        """Read the head of the next request.

        Returns
        -------
        RequestHead or None
            None when the caller closed the connection or stayed idle.

        Raises
        ------
        RequestError
            When the head is too large, too slow, or badly formed.
        CallerGoneError
            When the connection ended within a head.
        """
        if not await self.wait_for_request():
            return None
        self.method = ""
        if _HEAD_END in self._pending:
            await self._read_raw_head()
        else:
            await self._read_slow_head()
        self._http.receive_data(bytes(self._pending))
        self._pending.clear()
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestError(error.error_status_hint, str(error)) from None
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

    async def _read_slow_head(self) -> None:
        try:
            async with curio.timeout_after(self._head_timeout):
                await self._read_raw_head()
        except curio.TaskTimeout:
            raise RequestError(
                408, "the request head came too slowly"
            ) from None

    async def wait_for_request(self) -> bool:
        """Wait for the first byte of a request; false when there is none."""
        if self._pending:
            return True
        try:
            async with curio.timeout_after(self._idle_timeout):
                data = await self._sock.recv(_READ_SIZE)
        except (curio.TaskTimeout, OSError):
            return False
        self._pending += data
        return bool(data)

    async def _read_raw_head(self) -> None:
        scanned = 0
        while True:
            # Empty lines before a request line are allowed (RFC 9112, 2.2).
            while self._pending[:2] == b"\r\n":
                del self._pending[:2]
            end = self._pending.find(_HEAD_END, max(0, scanned - 3))
            if end >= 0:
                if end > self._max_head:
                    raise RequestError(431, "the request head is too large")
                check_raw_head(bytes(self._pending[: end + 2]))
                return
            if self._pending.find(_BARE_HEAD_END) >= 0:
                raise RequestError(400, "a line ends without a carriage return")
            if len(self._pending) > self._max_head:
                raise RequestError(431, "the request head is too large")
            scanned = len(self._pending)
            try:
                data = await self._sock.recv(_READ_SIZE)
            except OSError as error:
                raise CallerGoneError(str(error)) from None
            if not data:
                raise CallerGoneError("the connection ended within a head")
            self._pending += data

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue`` before its body."""
        return self._http.they_are_waiting_for_100_continue

    @property
    def body_ended(self) -> bool:
        """Whether the whole body of the request has been read."""
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
            When the body is badly framed or too slow.
        CallerGoneError
            When the connection ended within the body.
        """
        while not self._body_ended:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestError(400, str(error)) from None
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._body_ended = True
            elif event is h11.NEED_DATA:
                await self._receive_body()
            else:
                raise CallerGoneError("the connection ended within a body")
        return b""

    def skip_body(self) -> None:
        """Drop the received body before an answer that does not need it.

        When the rest of the body is still to come, the connection ends behind
        the answer, and the answer says so.
        """
        while not self._body_ended:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                event = h11.NEED_DATA
            if isinstance(event, h11.EndOfMessage):
                self._body_ended = True
            elif not isinstance(event, h11.Data):
                self._last = True
                return

    async def _receive_body(self) -> None:
        if self.expects_continue:
            await self._send(
                self._http.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        try:
            async with curio.timeout_after(self._body_timeout):
                data = await self._sock.recv(_READ_SIZE)
        except curio.TaskTimeout:
            raise RequestError(
                408, "the request body came too slowly"
            ) from None
        except OSError as error:
            raise CallerGoneError(str(error)) from None
        try:
            self._http.receive_data(data)
        except RuntimeError:
            raise CallerGoneError("the connection ended twice") from None
        if not data:
            raise CallerGoneError("the connection ended within a body")

    async def send_response(
        self, head: ResponseHead, data: bytes = b"", ended: bool = True
    ) -> None:
        """Send the head of a response with the first part of its body.

        Parameters
        ----------
        head : ResponseHead
            Status and headers; the framing is chosen by h11.
        data : bytes, optional
            First part of the body.
        ended : bool, default=True
            Whether the body is complete.

        Raises
        ------
        CallerGoneError
            When the caller does not take the answer.
        """
        fields = head.headers
        if self._last:
            fields = [*fields, (b"connection", b"close")]
        parts = self._http.send(
            h11.Response(status_code=head.status, headers=fields)
        )
        await self._send(parts + self._encode_body(data, ended))

    async def send_data(self, data: bytes, ended: bool) -> None:
        """Send a further part of the body.

        Raises
        ------
        CallerGoneError
            When the caller does not take the answer.
        """
        encoded = self._encode_body(data, ended)
        if encoded:
            await self._send(encoded)

    def _encode_body(self, data: bytes, ended: bool) -> bytes:
        encoded = self._http.send(h11.Data(data=data)) if data else b""
        if ended:
            encoded += self._http.send(h11.EndOfMessage()) or b""
            self._answer_ended = True
        return encoded or b""

    async def _send(self, data: bytes) -> None:
        try:
            await send_all(self._sock, data, self._body_timeout)
        except curio.TaskTimeout:
            raise CallerGoneError("the caller does not read") from None
        except OSError as error:
            raise CallerGoneError(str(error)) from None

    @property
    def answer_begun(self) -> bool:
        """Whether any part of the response may have been sent."""
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def is_gone(self) -> bool:
        """Tell without waiting whether the caller closed its connection.

        A caller that only ended its sending side still gets its answer. Both
        look the same until something is written: a closed connection answers
        it with a reset, which the next call sees.
        """
        if not is_closed_by_peer(self._sock):
            return False
        if self._half_closed is None:
            self._half_closed = self._probe_half_closed()
            return not self._half_closed
        return not self._half_closed or is_reset_by_peer(self._sock)

    def _probe_half_closed(self) -> bool:
        """Write an interim response; false when the connection is reset."""
        if self.answer_begun or self._http.their_http_version != b"1.1":
            return not is_reset_by_peer(self._sock)
        interim = h11.InformationalResponse(status_code=100, headers=[])
        return send_now(self._sock, self._http.send(interim) or b"")

    def has_input(self) -> bool:
        """Tell without waiting whether a request has begun to arrive."""
        return bool(self._pending) or has_unread_data(self._sock)

    def prepare_next(self) -> bool:
        """Prepare for the next request on this connection.

        Returns
        -------
        bool
            False when the connection can't carry another request.
        """
        if not (self._answer_ended and self._skip_received_body()):
            return False
        if self._http.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        trailing, closed = self._http.trailing_data
        self._body_ended = self._answer_ended = False
        if trailing or closed:
            # The next head was received with this request. It has to pass the
            # same checks, so it goes back to the raw buffer.
            self._pending += trailing
            self._http = self._make_parser()
            return bool(trailing)
        self._http.start_next_cycle()
        return True

    def _skip_received_body(self) -> bool:
        """Drop the rest of a body that was received and never read."""
        while not self._body_ended:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                return False
            self._body_ended = isinstance(event, h11.EndOfMessage)
            if not self._body_ended and not isinstance(event, h11.Data):
                return False
        return True

    async def close_gracefully(self) -> None:
        """Close after the caller has had time to read what was sent.

        Closing while received bytes are unread resets the connection, which
        can destroy an answer that the caller has not read yet.
        """
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            async with curio.timeout_after(_LINGER):
                while await self._sock.recv(_READ_SIZE):
                    pass
        except (OSError, curio.TaskTimeout):
            pass
        await self._sock.close()

    async def close(self) -> None:
        """Close the socket, cutting an answer that is not complete."""
        await self._sock.close()

    async def abort(self) -> None:
        """Reset the connection.

        An answer to an HTTP/1.0 caller may be delimited by the end of the
        connection, so only a reset shows that it was cut.
        """
        reset_on_close(self._sock)
        await self._sock.close()
