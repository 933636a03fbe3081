"""Buffer of log lines, written in batches by the event loop."""

import atexit
from typing import TextIO

import curio
from absl import logging

_DRAIN_INTERVAL = 0.5  # seconds; lines are written within one second
_MAX_BUFFERED_PARTS = 1000  # a full buffer is written immediately


class LogBuffer:
    """Stream that buffers log lines until they are drained.

    Parameters
    ----------
    stream : TextIO
        Stream to which buffered lines are written.

    Examples
    --------
    >>> import sys
    >>> buffer = LogBuffer(sys.stdout)
    >>> _ = buffer.write("a line"), buffer.write(" in parts")
    >>> buffer.drain()
    a line in parts
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._parts: list[str] = []

    def write(self, text: str) -> int:
        """Append text to the buffer; a full buffer is drained."""
        self._parts.append(text)
        if len(self._parts) >= _MAX_BUFFERED_PARTS:
            self.drain()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the log handler calls this after each line."""

    def drain(self) -> None:
        """Write the buffered text to the stream."""
        if not self._parts:
            return
        text = "".join(self._parts)
        self._parts.clear()
        self._stream.write(text)
        self._stream.flush()

    async def drain_forever(self) -> None:
        """Drain the buffer at least once per second."""
        while True:
            await curio.sleep(_DRAIN_INTERVAL)
            self.drain()

    def close(self) -> None:
        """Drain the buffer when logging shuts down."""
        self.drain()


def buffer_log() -> LogBuffer:
    """Buffer the lines of absl's handler; the buffer is also drained at exit.

    Returns
    -------
    LogBuffer
        Buffer, whose `LogBuffer.drain_forever` must run on the event loop.
    """
    handler = logging.get_absl_handler().python_handler
    buffer = LogBuffer(handler.stream)
    handler.setStream(buffer)
    atexit.register(buffer.drain)
    return buffer
