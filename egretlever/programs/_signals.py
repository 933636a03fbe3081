"""Handling of the signals that stop or reload a program."""

import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import curio.io

from egretlever.core import Seconds
from egretlever.transport import read_clock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class ReceivedSignal(NamedTuple):
    """A signal, and the clock time at which it was received."""

    signal: signal.Signals
    at: Seconds


@contextlib.asynccontextmanager
async def catch_signals() -> AsyncIterator[
    Callable[[], Awaitable[ReceivedSignal]]
]:
    """Catch SIGTERM, SIGINT and SIGHUP inside an ``async with`` block.

    Signals are delivered through ``signal.set_wakeup_fd`` and a socket,
    because curio 1.6 has no signal events and signals do not interrupt its
    selector. The handler only notes the time: a turn of the loop may be long.

    Yields
    ------
    callable
        Waits for the next signal and returns it.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    received: dict[int, Seconds] = {}

    def note(number: int, frame: Any) -> None:
        received.setdefault(number, read_clock())

    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous = {
        number: signal.signal(number, note)
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL)
    }
    stream = curio.io.Socket(reader)

    async def wait() -> ReceivedSignal:
        # The interpreter writes the number of each signal as one byte.
        number = (await stream.recv(1))[0]
        at = received.pop(number, read_clock())
        return ReceivedSignal(signal.Signals(number), at)

    try:
        yield wait
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(previous_fd)
        await stream.close()
        writer.close()
