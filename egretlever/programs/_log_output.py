"""Output of log lines that never blocks the loop."""

import collections
import json
import os
import select

import curio

# Largest write that a pipe which is ready takes without blocking (POSIX).
_CHUNK_BYTES = select.PIPE_BUF
# Bytes of lines that may wait; more are dropped and counted.
_MAX_WAITING_BYTES = 1 << 20
_INTERVAL = 0.25  # seconds; a line is written within half a second


class LogOutput:
    """Stream that keeps lines until its descriptor takes them.

    A reader that stops reading costs log lines and no request: whole lines
    beyond the bound are dropped, and one line says how many.

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
        self._waiting = 0
        self._rest = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Keep a line, or count it as dropped when too much waits."""
        data = text.encode("utf-8", "replace")
        if self._waiting + len(data) > _MAX_WAITING_BYTES:
            self.dropped += data.count(b"\n")
        else:
            self._lines.append(data)
            self._waiting += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the handler calls this after each line."""

    def drain(self) -> None:
        """Write what the descriptor takes without blocking."""
        while self._rest or self._lines or self.dropped:
            if not self._rest:
                self._rest = self._take_chunk()
            events = self._poller.poll(0)
            if not events or not events[0][1] & select.POLLOUT:
                return
            try:
                sent = os.write(self._descriptor, self._rest[:_CHUNK_BYTES])
            except OSError:
                # The reader has gone for good; there is nowhere to say so.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._rest = b""
                self._waiting = 0
                return
            self._rest = self._rest[sent:]

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
        self._waiting -= size
        return b"".join(parts)

    async def drain_forever(self) -> None:
        """Drain often enough that no line waits for long."""
        while True:
            await curio.sleep(_INTERVAL)
            self.drain()

    def close(self) -> None:
        """Drain what is kept, when logging shuts down."""
        self.drain()
