"""Client side of HTTP/1.1: one connection to a backend server."""

from typing import Any

import h11
from curio import socket

from egretlever.transport._heads import (
    RequestHead,
    ResponseHead,
    is_chunked,
)
from egretlever.transport._sockets import is_quiet, read_clock, send_all

_READ_SIZE = 65536
_MAX_HEAD_BYTES = 65536
_LENGTH = b"content-length"
_SEND_TIMEOUT = 3600.0  # seconds; the largest timeout of a request


class BackendClosedError(Exception):
    """The backend server closed or reset the connection."""


class BackendProtocolError(Exception):
    """The backend server sent something that is not HTTP/1.1."""


class BackendConnection:
    """A connection to a backend server, which carries one request at a time.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket; the connection owns it.

    Attributes
    ----------
    sent : bool
        Whether any byte of the present request may have been written.
    responded : bool
        Whether any byte of the present response was received.
    used : int
        Requests carried before the present one.
    idle_since : Seconds
        Reading of the clock when the last exchange ended.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._request: h11.Request | None = None
        self._reusable = True
        self._ended = False
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
            have left.
        """
        self._request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        encoded = self._http.send(self._request)
        encoded = (encoded or b"") + self._encode_body(data, ended)
        await self._send(encoded, timeout)

    async def send_data(self, data: bytes, ended: bool) -> None:
        """Send a further part of the body.

        Raises
        ------
        BackendClosedError
            When the connection is closed.
        """
        await self._send(self._encode_body(data, ended))

    def _encode_body(self, data: bytes, ended: bool) -> bytes:
        encoded = self._http.send(h11.Data(data=data)) if data else b""
        if ended:
            encoded = (encoded or b"") + (
                self._http.send(h11.EndOfMessage()) or b""
            )
        return encoded or b""

    async def _send(self, data: bytes, timeout: float = _SEND_TIMEOUT) -> None:
        self.sent = True
        try:
            await send_all(self._sock, data, timeout)
        except OSError as error:
            raise BackendClosedError(str(error)) from None

    async def read_response(self) -> ResponseHead:
        """Read the head of the response, skipping informational ones.

        Raises
        ------
        BackendClosedError
            When the connection ends first.
        BackendProtocolError
            When what came is not a response.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.Response):
                fields = list(event.headers)
                if is_chunked(fields):
                    # The chunks decide over a length (RFC 9112, 6.3).
                    fields = [field for field in fields if field[0] != _LENGTH]
                return ResponseHead(event.status_code, fields)
            if isinstance(event, h11.InformationalResponse):
                continue
            raise BackendClosedError("the connection ended before a response")

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
            When the connection ends within the body.
        BackendProtocolError
            When the body is badly framed.
        """
        data, ended = self.take_data()
        if data or ended:
            return data, ended
        await self._receive()
        return self.take_data()

    def take_data(self) -> tuple[bytes, bool]:
        """Take the part of the body that was received already."""
        parts = []
        while not self._ended:
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
            elif event is h11.NEED_DATA:
                break
            else:
                raise BackendClosedError("the connection ended within a body")
        return b"".join(parts), self._ended

    async def _read_event(self) -> Any:
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    def _next_event(self) -> Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            # h11 reports an end within a message as a protocol error.
            if self._http.trailing_data[1]:
                raise BackendClosedError(str(error)) from None
            raise BackendProtocolError(str(error)) from None

    async def _receive(self) -> None:
        try:
            data = await self._sock.recv(_READ_SIZE)
        except OSError as error:
            raise BackendClosedError(str(error)) from None
        if data:
            self.responded = True
        self._http.receive_data(data)

    def prevent_reuse(self) -> None:
        """Let `prepare_next` refuse, since the request was not sent whole."""
        self._reusable = False

    def skip_response(self) -> None:
        """Prepare to read another response to the present request.

        A server may send the response of an earlier request twice. The second
        copy then comes first, and the bytes after it are read again. Such a
        connection can't be reused.

        Raises
        ------
        BackendClosedError
            When the connection ends behind the present response.
        """
        trailing, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise BackendClosedError("the connection ended behind a response")
        request = self._request
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        if request is not None:
            self._http.send(request)
        if trailing:
            self._http.receive_data(trailing)
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the whole response has been read."""
        return self._ended

    def is_usable(self) -> bool:
        """Tell whether an idle connection is open and nothing was received.

        What arrives between exchanges would be taken for the next answer.
        """
        return is_quiet(self._sock)

    async def shut_down(self) -> None:
        """End the connection under a task that waits for its response."""
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def prepare_next(self) -> bool:
        """Prepare for the next request.

        Returns
        -------
        bool
            False when the connection can't be reused, also when bytes came
            after the response: they would be taken for the next answer.
        """
        done = self._http.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }
        clean = self._http.trailing_data == (b"", False)
        if not (done and clean and self._reusable):
            return False
        self._http.start_next_cycle()
        self._ended = self.sent = self.responded = False
        self.used += 1
        self.idle_since = read_clock()
        return True

    async def close(self) -> None:
        """Close the socket, which tells the backend server to cancel."""
        await self._sock.close()
