"""Length-prefixed protobuf frames on a connection between two nodes."""

import collections
import struct
import zlib
from collections.abc import Callable
from typing import Any

import curio
from curio import socket
from google.protobuf import message

from egretlever.core import Seconds, make_log
from egretlever.relay._frame_bodies import (
    MAX_INLINE_BYTES,
    BodyPlace,
    encode_before_body,
    find_body,
)
from egretlever.schema import relay_pb2
from egretlever.transport import (
    SocketReader,
    measure_unacknowledged,
    read_clock,
)

_LOG = make_log("relay")
_LENGTH = struct.Struct(">I")
# Holds the largest body that a client may send, with its head.
_MAX_FRAME_BYTES = 72 << 20
# Traffic between failure domains and regions is paid, and the heads of requests
# and answers are similar. A window of 4 KiB holds several of them and takes
# 28 KiB of memory for each connection and direction.
_WINDOW_BITS = -12  # negative for raw deflate without a checksum
_MEMORY_LEVEL = 4
_COMPRESSION_LEVEL = 6
# A connection with more unsent bytes is closed: its peer reads too slowly.
_MAX_QUEUED_BYTES = 96 << 20
# Queued bytes are compressed and sent in parts of about this size.
_SEND_SIZE = 262144  # bytes
# A client's body of zeros shrinks to a thousandth, so few received bytes may
# give many.
_INFLATE_SIZE = 262144  # bytes
# A peer that acknowledges nothing for this time is unreachable.
_STALL_TIME = Seconds(1.0)


class FrameError(Exception):
    """The received bytes are not a valid frame."""


class FrameStream:
    """Sends and receives frames, compressed as one stream.

    `post` only queues a frame, so that a task can send a withdrawal while it is
    being cancelled; `write_forever` sends queued frames. The reading task has
    to close the stream: `shut_down` only wakes it.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket; the stream owns it.
    grant : callable, optional
        Called with the size of a large body before it is received; returns
        whether the process can hold it. Without it, `read` returns bodies
        within their frames.

    Attributes
    ----------
    body : bytes or None
        Large body of the frame that was read last; None when it has none or
        its body was refused.
    body_refused : bool
        Whether the body of the frame that was read last was discarded.
    sent_parts : int
        Number of parts of frames that were handed to the system.
    last_received_at : Seconds
        Clock time at which bytes were last received.
    """

    def __init__(
        self, sock: Any, grant: Callable[[int], bool] | None = None
    ) -> None:
        self._sock = sock
        self._grant = grant
        self.body: bytes | None = None
        self.body_refused = False
        self._reader = SocketReader(sock)
        self._compressor = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )
        self._decompressor = zlib.decompressobj(_WINDOW_BITS)
        self._received = bytearray()
        self._granted = False
        self._inflating = False
        self.sent_parts = 0
        self._queued: collections.deque[bytes | memoryview] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._wake = curio.Event()
        self._closed = False
        self._sending_ended = False
        self._unacknowledged_bytes = 0
        self._acknowledged_at = read_clock()
        self.last_received_at: Seconds = read_clock()

    @property
    def closed(self) -> bool:
        """Whether the connection was closed."""
        return self._closed

    @property
    def has_unsent_frames(self) -> bool:
        """Whether queued frames are not sent completely."""
        return self._queued_bytes > 0 and not self._closed

    def is_still_read(self, now: Seconds) -> bool:
        """Tell whether the peer's system is getting the rest of sent frames.

        Parameters
        ----------
        now : Seconds
            Clock time.
        """
        if self._closed:
            return False
        count = measure_unacknowledged(self._sock, self._sending_ended) or 0
        if count != self._unacknowledged_bytes:
            self._unacknowledged_bytes, self._acknowledged_at = count, now
        return count > 0 and now - self._acknowledged_at < _STALL_TIME

    async def post(
        self, frame: relay_pb2.RelayFrame | bytes, body: bytes = b""
    ) -> None:
        """Queue a frame for sending; a stream that ends ignores it.

        Parameters
        ----------
        frame : RelayFrame or bytes
            The frame, or its serialized form.
        body : bytes, optional
            Body that follows the other fields of an offer.
        """
        if self._closed or self._sending_ended:
            return
        if body and not isinstance(frame, bytes):
            data = encode_before_body(frame, len(body))
        else:
            data = (
                frame if isinstance(frame, bytes) else frame.SerializeToString()
            )
        self._queued.append(_LENGTH.pack(len(data) + len(body)) + data)
        view = memoryview(body)
        for start in range(0, len(body), _SEND_SIZE):
            self._queued.append(view[start : start + _SEND_SIZE])
        self._queued_bytes += len(data) + len(body)
        if self._queued_bytes > _MAX_QUEUED_BYTES:
            _LOG.warning(
                "Peer does not read and the send queue is full; closing the"
                " connection."
            )
            await self.shut_down()
        await self._wake.set()

    async def write_forever(self) -> None:
        """Send queued frames until the connection ends."""
        while not self._closed:
            await self._wake.wait()
            self._wake.clear()
            try:
                while self._queued:
                    await self._sock.sendall(self._compress_queued())
                    self.sent_parts += 1
                    # Compressing the next part must not delay other tasks.
                    await curio.sleep(0)
                    self._queued_bytes = sum(map(len, self._queued))
            except OSError as error:
                _LOG.debug("Sending to a node failed: %s.", error)
                break
        await self.shut_down()

    def _compress_queued(self) -> bytes:
        """Compress what is queued, up to a bounded size."""
        parts = []
        size = 0
        while self._queued and size < _SEND_SIZE:
            parts.append(self._queued.popleft())
            size += len(parts[-1])
        data = self._compressor.compress(b"".join(parts))
        return data + self._compressor.flush(zlib.Z_SYNC_FLUSH)

    async def read(self) -> relay_pb2.RelayFrame | None:
        """Read the next frame; None when the connection has ended.

        Raises
        ------
        FrameError
            When the received bytes are not a valid frame.
        """
        self.body, self.body_refused = None, False
        size = _LENGTH.size
        while True:
            if len(self._received) >= size:
                (length,) = _LENGTH.unpack_from(self._received)
                if length > _MAX_FRAME_BYTES:
                    raise FrameError(f"frame of {length} bytes is too large")
                if len(self._received) >= size + length:
                    return self._take_frame(size + length)
                if length > MAX_INLINE_BYTES and self._grant is not None:
                    place = find_body(self._received, size, size + length)
                    body_size = size + length - place.body_start if place else 0
                    if place is not None and not (
                        self._granted or self._grant(body_size)
                    ):
                        return await self._skip_body(place, size + length)
                    self._granted = place is not None
            if not await self._receive():
                return None

    async def _receive(self) -> bool:
        """Receive further bytes; false when the connection has ended.

        Raises
        ------
        FrameError
            When they can't be decompressed.
        """
        if self._inflating:
            received = self._decompressor.unconsumed_tail
            await curio.sleep(0)
        else:
            try:
                received = await self._reader.receive()
            except OSError as error:
                _LOG.debug("Receiving from a node failed: %s.", error)
                return False
            if not received:
                return False
            self.last_received_at = read_clock()
        try:
            data = self._decompressor.decompress(received, _INFLATE_SIZE)
        except zlib.error as error:
            raise FrameError(str(error)) from None
        self._inflating = len(data) == _INFLATE_SIZE
        self._received += data
        return True

    def _take_frame(self, end: int) -> relay_pb2.RelayFrame:
        """Remove the first frame from the received bytes, and decode it."""
        start = _LENGTH.size
        place = None
        if end - start > MAX_INLINE_BYTES and self._grant is not None:
            place = find_body(self._received, start, end)
        message_end = end if place is None else place.message_end
        with memoryview(self._received) as view:
            data = bytes(view[start:message_end])
            if place is not None:
                self.body = bytes(view[place.body_start : end])
        if place is not None and not self._granted:
            # It was received at once.
            assert self._grant is not None
            if not self._grant(end - place.body_start):
                self.body, self.body_refused = None, True
        self._granted = False
        del self._received[:end]
        return _decode(data)

    async def _skip_body(
        self, place: BodyPlace, end: int
    ) -> relay_pb2.RelayFrame | None:
        """Receive the rest of a frame without holding its body."""
        self.body_refused = True
        data = bytes(self._received[_LENGTH.size : place.message_end])
        left = end - len(self._received)
        self._received.clear()
        while left > 0:
            if not await self._receive():
                return None
            taken = min(left, len(self._received))
            del self._received[:taken]
            left -= taken
        return _decode(data)

    async def end_sending(self) -> None:
        """Half-close, so that the peer reads all frames and closes.

        Frames that it sends meanwhile have to be read: the system resets a
        connection that is closed with unread bytes.
        """
        self._sending_ended = True
        try:
            await self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            _LOG.debug("A node had closed its connection: %s.", error)

    async def shut_down(self) -> None:
        """Shut the socket down, which ends the reading and writing tasks."""
        self._closed = True
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection is already closed.
            return

    async def close(self) -> None:
        """Close the socket; no task may be reading or writing it."""
        self._closed = True
        await self._sock.close()


def _decode(data: bytes) -> relay_pb2.RelayFrame:
    try:
        return relay_pb2.RelayFrame.FromString(data)
    except message.DecodeError as error:
        raise FrameError(str(error)) from None
