"""Log lines that are written in batches by the loop."""

import atexit
from typing import TextIO

import curio
from absl import logging

_INTERVAL = 0.5  # seconds; a line is written within a second
_LIMIT = 1000  # lines that may wait


class LogBuffer:
    """Stream that keeps lines until they are drained.

    Parameters
    ----------
    stream : TextIO
        Where the lines go.

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
        """Keep some text; a full buffer is drained."""
        self._parts.append(text)
        if len(self._parts) >= _LIMIT:
            self.drain()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the handler calls this after each line."""

    def drain(self) -> None:
        """Write what was kept."""
        if not self._parts:
            return
        text = "".join(self._parts)
        self._parts.clear()
        self._stream.write(text)
        self._stream.flush()

    async def drain_forever(self) -> None:
        """Drain often enough that no line waits for a second."""
        while True:
            await curio.sleep(_INTERVAL)
            self.drain()

    def close(self) -> None:
        """Drain what is buffered, when logging shuts down."""
        self.drain()


def buffer_log() -> LogBuffer:
    """Buffer the lines of absl's handler, which are drained at exit too.

    Returns
    -------
    LogBuffer
        The buffer; `LogBuffer.drain_forever` has to run on the loop.
    """
    handler = logging.get_absl_handler().python_handler
    buffer = LogBuffer(handler.stream)
    handler.setStream(buffer)
    atexit.register(buffer.drain)
    return buffer
