"""Length-prefixed protobuf frames on a connection between two nodes."""

import collections
import struct
import zlib
from typing import Any

import curio
from curio import socket
from google.protobuf import message

from egretlever.core import Seconds, make_log
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

    Attributes
    ----------
    last_received_at : Seconds
        Clock time at which bytes were last received.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self._compressor = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )
        self._decompressor = zlib.decompressobj(_WINDOW_BITS)
        self._received = bytearray()
        self._queued: collections.deque[bytes] = collections.deque()
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

    async def post(self, frame: relay_pb2.RelayFrame | bytes) -> None:
        """Queue a frame for sending; a stream that ends ignores it.

        Parameters
        ----------
        frame : RelayFrame or bytes
            The frame, or its serialized form.
        """
        if self._closed or self._sending_ended:
            return
        data = frame if isinstance(frame, bytes) else frame.SerializeToString()
        self._queued.append(_LENGTH.pack(len(data)) + data)
        self._queued_bytes += len(data)
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
            data = self._compressor.compress(b"".join(self._queued))
            data += self._compressor.flush(zlib.Z_SYNC_FLUSH)
            self._queued.clear()
            try:
                await self._sock.sendall(data)
            except OSError as error:
                _LOG.debug("Sending to a node failed: %s.", error)
                break
            self._queued_bytes = sum(map(len, self._queued))
        await self.shut_down()

    async def read(self) -> relay_pb2.RelayFrame | None:
        """Read the next frame; None when the connection has ended.

        Raises
        ------
        FrameError
            When the received bytes are not a valid frame.
        """
        size = _LENGTH.size
        while True:
            if len(self._received) >= size:
                (length,) = _LENGTH.unpack_from(self._received)
                if length > _MAX_FRAME_BYTES:
                    raise FrameError(f"frame of {length} bytes is too large")
                if len(self._received) >= size + length:
                    data = bytes(self._received[size : size + length])
                    del self._received[: size + length]
                    return _decode(data)
            try:
                received = await self._reader.receive()
            except OSError as error:
                _LOG.debug("Receiving from a node failed: %s.", error)
                return None
            if not received:
                return None
            self.last_received_at = read_clock()
            try:
                self._received += self._decompressor.decompress(received)
            except zlib.error as error:
                raise FrameError(str(error)) from None

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
