"""Frames of protobuf messages on a connection between two nodes."""

import collections
import struct
import zlib
from typing import Any

import curio
from curio import socket
from google.protobuf import message

from egretlever.core import Seconds, make_log
from egretlever.schema import relay_pb2
from egretlever.transport import read_clock

_LOG = make_log("relay")
_LENGTH = struct.Struct(">I")
_READ_SIZE = 65536
# Largest frame: the largest body that a client may send, with its head.
_MAX_FRAME_BYTES = 72 << 20
# Bytes between failure domains and regions are paid, and the heads of requests
# and answers resemble one another. A window of 4 KiB holds several of them and
# takes 28 KiB for each connection and direction.
_WINDOW_BITS = -12  # negative for raw deflate without a checksum
_MEMORY_LEVEL = 4
_LEVEL = 6
# Bytes that may wait to be sent; a peer that reads so slowly is given up.
_MAX_WAITING_BYTES = 96 << 20


class FrameError(Exception):
    """The peer sent something that is not a frame."""


class FrameStream:
    """Sends and receives frames, compressed as one stream.

    `post` only queues a frame, so that a task can withdraw its request while it
    is being cancelled; `write_forever` sends what was posted. The task that
    reads owns the end: `shut_down` wakes it, and it closes the stream.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket; the stream owns it.

    Attributes
    ----------
    heard_at : Seconds
        Reading of the clock when bytes were received last.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._packer = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )
        self._unpacker = zlib.decompressobj(_WINDOW_BITS)
        self._received = bytearray()
        self._posted: collections.deque[bytes] = collections.deque()
        self._posted_bytes = 0
        self._wake = curio.Event()
        self._closed = False
        self.heard_at: Seconds = read_clock()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    async def post(self, frame: relay_pb2.RelayFrame) -> None:
        """Queue a frame to be sent; nothing happens on a closed stream."""
        if self._closed:
            return
        data = frame.SerializeToString()
        self._posted.append(_LENGTH.pack(len(data)) + data)
        self._posted_bytes += len(data)
        if self._posted_bytes > _MAX_WAITING_BYTES:
            _LOG.warning("A peer does not read; its connection is closed.")
            await self.shut_down()
        await self._wake.set()

    async def write_forever(self) -> None:
        """Send posted frames until the connection ends."""
        while not self._closed:
            await self._wake.wait()
            self._wake.clear()
            data = self._packer.compress(b"".join(self._posted))
            data += self._packer.flush(zlib.Z_SYNC_FLUSH)
            self._posted.clear()
            try:
                await self._sock.sendall(data)
            except OSError as error:
                _LOG.debug("A connection between nodes failed: %s.", error)
                break
            self._posted_bytes = sum(map(len, self._posted))
        await self.shut_down()

    async def read(self) -> relay_pb2.RelayFrame | None:
        """Read the next frame; None when the connection has ended.

        Raises
        ------
        FrameError
            When the bytes are no frame.
        """
        size = _LENGTH.size
        while True:
            if len(self._received) >= size:
                (length,) = _LENGTH.unpack_from(self._received)
                if length > _MAX_FRAME_BYTES:
                    raise FrameError(f"a frame of {length} bytes")
                if len(self._received) >= size + length:
                    data = bytes(self._received[size : size + length])
                    del self._received[: size + length]
                    return _decode(data)
            try:
                received = await self._sock.recv(_READ_SIZE)
            except OSError as error:
                _LOG.debug("A connection between nodes failed: %s.", error)
                return None
            if not received:
                return None
            self.heard_at = read_clock()
            try:
                self._received += self._unpacker.decompress(received)
            except zlib.error as error:
                raise FrameError(str(error)) from None

    async def shut_down(self) -> None:
        """End the connection under the tasks that read and write it."""
        self._closed = True
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection has ended already.
            return

    async def close(self) -> None:
        """Close the socket, when no task reads or writes it any more."""
        self._closed = True
        await self._sock.close()


def _decode(data: bytes) -> relay_pb2.RelayFrame:
    try:
        return relay_pb2.RelayFrame.FromString(data)
    except message.DecodeError as error:
        raise FrameError(str(error)) from None
