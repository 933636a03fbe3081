"""Client side of HTTP/1.1: one connection to a backend server."""

from typing import Any

import curio
import h11
from curio import socket

from egretlever.transport._heads import (
    RequestHead,
    ResponseHead,
    find_content_length,
    is_chunked,
    is_valid_status,
)
from egretlever.transport._sockets import (
    MAX_EVENTS_PER_TURN,
    SocketReader,
    is_open_and_empty,
    read_clock,
    send_all,
)

_MAX_HEAD_BYTES = 65536
_MAX_INTERIM_RESPONSES = 16  # informational responses before the final one
# Chunk headers, chunk extensions and trailers of a response may take this many
# bytes in addition to as many bytes as the body itself.
_MAX_FRAMING_BYTES = 65536
# Head and body are sent at once up to this size of the body.
_MAX_JOINED_BYTES = 65536
_LENGTH = b"content-length"
_SEND_TIMEOUT = 3600.0  # seconds; the longest timeout of a request


class BackendClosedError(Exception):
    """The backend server closed or reset the connection."""


class BackendProtocolError(Exception):
    """The backend server sent bytes that are not valid HTTP/1.1."""


class BackendConnection:
    """A connection to a backend server, which carries one request at a time.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket; the connection owns it.

    Attributes
    ----------
    sent : bool
        Whether any byte of the current request may have been written.
    responded : bool
        Whether any byte of the current response has been received.
    declared_length : int or None
        Length of the current response's body according to its head, in bytes.
    used : int
        Number of requests before the current one.
    idle_since : Seconds
        Clock reading at the end of the last exchange.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._request: h11.Request | None = None
        self._reusable = True
        self._ended = False
        self._ends_with_connection = False
        self._send_failed = False
        self._unparsed = False
        self._received_bytes = 0
        self._body_bytes = 0
        self.declared_length: int | None = None
        self.sent = False
        self.responded = False
        self.used = 0
        self.idle_since = read_clock()

    async def send_request(
        self,
        head: RequestHead,
        data: bytes = b"",
        ended: bool = True,
        timeout: float = _SEND_TIMEOUT,
    ) -> None:
        """Send the head of a request with the first part of its body.

        Parameters
        ----------
        head : RequestHead
            Head of the request.
        data : bytes, optional
            First part of the body.
        ended : bool, default=True
            Whether the body is complete.
        timeout : float, default=3600
            Time allowed for sending, in seconds.

        Raises
        ------
        BackendClosedError
            When the connection is closed; `sent` tells whether bytes may
            have been written.
        """
        self._request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        encoded = self._parser.send(self._request) or b""
        body = self._encode_body(data, ended)
        if len(body) > _MAX_JOINED_BYTES:
            # Joining would copy the body.
            await self._send(encoded, timeout)
            await self._send(body, timeout)
            return
        await self._send(encoded + body, timeout)

    async def send_data(self, data: bytes, ended: bool) -> None:
        """Send a further part of the body.

        Raises
        ------
        BackendClosedError
            When the connection is closed.
        """
        await self._send(self._encode_body(data, ended))

    def _encode_body(self, data: bytes, ended: bool) -> bytes:
        encoded = self._parser.send(h11.Data(data=data)) if data else b""
        if not ended:
            return encoded or b""
        end = self._parser.send(h11.EndOfMessage())
        return (encoded or b"") + end if end else encoded or b""

    async def _send(self, data: bytes, timeout: float = _SEND_TIMEOUT) -> None:
        self.sent = True
        try:
            await send_all(self._sock, data, timeout)
        except OSError as error:
            self._send_failed = True
            raise BackendClosedError(str(error)) from None

    async def read_response(self) -> ResponseHead:
        """Read the head of the response, skipping informational ones.

        Raises
        ------
        BackendClosedError
            When the connection ends before the response head.
        BackendProtocolError
            When the received bytes are not a valid response head, the status is
            not one of HTTP, or too many informational responses precede it.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._read_event()
            if isinstance(event, h11.Response):
                if not is_valid_status(event.status_code):
                    raise BackendProtocolError(
                        f"{event.status_code} is not a valid status"
                    )
                fields = list(event.headers)
                chunked = is_chunked(fields)
                if chunked:
                    # Chunked framing overrides a length (RFC 9112, 6.3).
                    fields = [field for field in fields if field[0] != _LENGTH]
                self.declared_length = find_content_length(fields)
                self._ends_with_connection = (
                    self.declared_length is None and not chunked
                )
                self._received_bytes = len(self._parser.trailing_data[0])
                self._body_bytes = 0
                return ResponseHead(event.status_code, fields)
            if not isinstance(event, h11.InformationalResponse):
                raise BackendClosedError(
                    "the connection ended before a response"
                )
        raise BackendProtocolError("too many informational responses")

    async def read_data(self) -> tuple[bytes, bool]:
        """Read the next part of the body.

        Returns
        -------
        data : bytes
            Next part, possibly empty.
        ended : bool
            Whether the body is complete.

        Raises
        ------
        BackendClosedError
            When the connection ends before the body is complete.
        BackendProtocolError
            When the framing of the body is invalid.
        """
        if self._unparsed:
            await curio.sleep(0)
        data, ended = self.read_buffered_data()
        if data or ended:
            return data, ended
        await self._receive()
        return self.read_buffered_data()

    def read_buffered_data(self) -> tuple[bytes, bool]:
        """Return a part of the body received so far, without waiting."""
        parts: list[bytes] = []
        self._unparsed = False
        while not self._ended:
            if len(parts) >= MAX_EVENTS_PER_TURN:
                self._unparsed = True
                break
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._check_end()
                self._ended = True
            elif event is h11.NEED_DATA:
                break
            else:
                raise BackendClosedError(
                    "the connection ended within the response body"
                )
        data = b"".join(parts)
        self._body_bytes += len(data)
        if self._received_bytes > 2 * self._body_bytes + _MAX_FRAMING_BYTES:
            self._check_framing()
        return data, self._ended

    def _check_end(self) -> None:
        """Check that the connection did not end the body by a reset.

        The system reports a reset once. A task that sends the request's body
        may take the report, and the end then looks orderly to the reader.

        Raises
        ------
        BackendClosedError
            When the body ends with a connection that was reset.
        """
        _, closed = self._parser.trailing_data
        if self._ends_with_connection and closed and self._send_failed:
            raise BackendClosedError(
                "the connection was reset within the response body"
            )

    def _check_framing(self) -> None:
        """Check that most of the parsed bytes belong to the body.

        Raises
        ------
        BackendProtocolError
            When the framing takes far more bytes than the body.
        """
        parsed = self._received_bytes - len(self._parser.trailing_data[0])
        if parsed > 2 * self._body_bytes + _MAX_FRAMING_BYTES:
            raise BackendProtocolError(
                f"the framing of a body of {self._body_bytes} bytes takes"
                f" {parsed - self._body_bytes} bytes"
            )

    async def _read_event(self) -> Any:
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    def _next_event(self) -> Any:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            # h11 reports a connection that ends within a message as a protocol
            # error.
            if self._parser.trailing_data[1]:
                raise BackendClosedError(str(error)) from None
            raise BackendProtocolError(str(error)) from None

    async def _receive(self) -> None:
        try:
            data = await self._reader.receive()
        except OSError as error:
            raise BackendClosedError(str(error)) from None
        if data:
            self.responded = True
        self._received_bytes += len(data)
        self._parser.receive_data(data)

    def prevent_reuse(self) -> None:
        """Make `prepare_next` return false: the request was not fully sent."""
        self._reusable = False

    def skip_response(self) -> None:
        """Discard the current response and prepare to read another one.

        A server may send the response of an earlier request twice. The second
        copy then precedes the response to the current request, so the bytes
        after it are parsed again. Such a connection cannot be reused.

        Raises
        ------
        BackendClosedError
            When the connection ends after the current response.
        """
        trailing, closed = self._parser.trailing_data
        if closed or self._parser.their_state is not h11.DONE:
            raise BackendClosedError(
                "the connection ended after a duplicate response"
            )
        request = self._request
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        if request is not None:
            self._parser.send(request)
        if trailing:
            self._parser.receive_data(trailing)
        self._ended = False
        self._reusable = False

    @property
    def ended(self) -> bool:
        """Whether the complete response has been read."""
        return self._ended

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes.

        Bytes received between exchanges would be read as the next response.
        """
        return is_open_and_empty(self._sock)

    async def shut_down(self) -> None:
        """Shut the socket down while another task waits for the response."""
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def prepare_next(self) -> bool:
        """Prepare for the next request.

        Returns
        -------
        bool
            False when the connection cannot be reused. Bytes received after
            the response prevent reuse too: they would be read as the next
            response.
        """
        done = self._parser.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }
        clean = self._parser.trailing_data == (b"", False)
        if not (done and clean and self._reusable):
            return False
        self._parser.start_next_cycle()
        self._ended = self.sent = self.responded = False
        self.used += 1
        self.idle_since = read_clock()
        return True

    async def close(self) -> None:
        """Close the socket; the backend server then cancels the request."""
        await self._sock.close()
