"""Log output that never blocks the event loop."""

import collections
import json
import os
import select

import curio

# Largest write that does not block on a pipe that polls as writable (POSIX).
_CHUNK_BYTES = select.PIPE_BUF
# Limit of buffered lines; further lines are dropped and counted.
_MAX_BUFFERED_BYTES = 1 << 20
_DRAIN_INTERVAL = 0.25  # seconds; lines are written within half a second


class LogOutput:
    """Stream that buffers lines until its descriptor is writable.

    When the reader stops reading, requests go on: complete lines beyond the
    limit are dropped, and one line reports their number.

    Parameters
    ----------
    descriptor : int
        Open file descriptor, such as 1.
    """

    def __init__(self, descriptor: int) -> None:
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Buffer a line, or drop and count it when the buffer is full."""
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += data.count(b"\n")
        else:
            self._lines.append(data)
            self._buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the log handler calls this after each line."""

    def drain(self) -> None:
        """Write as much as possible without blocking."""
        while self._unwritten or self._lines or self.dropped:
            if not self._unwritten:
                self._unwritten = self._take_chunk()
            events = self._poller.poll(0)
            if not events or not events[0][1] & select.POLLOUT:
                return
            try:
                sent = os.write(
                    self._descriptor, self._unwritten[:_CHUNK_BYTES]
                )
            except OSError:
                # The reader closed the pipe: the error cannot be logged.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._unwritten = b""
                self._buffered_bytes = 0
                return
            self._unwritten = self._unwritten[sent:]

    def _take_chunk(self) -> bytes:
        if self.dropped:
            line = {"part": "log", "event": "lines-dropped"}
            text = json.dumps({**line, "count": self.dropped}) + "\n"
            self.dropped = 0
            return text.encode()
        parts = []
        size = 0
        while self._lines and size < _CHUNK_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        self._buffered_bytes -= size
        return b"".join(parts)

    async def drain_forever(self) -> None:
        """Drain the buffer at a fixed interval."""
        while True:
            await curio.sleep(_DRAIN_INTERVAL)
            self.drain()

    def close(self) -> None:
        """Drain the buffer when logging shuts down."""
        self.drain()
