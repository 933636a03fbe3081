"""Handling of the signals that stop or reload a program."""

import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio.io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


def _ignore(number: int, frame: Any) -> None:
    """Replace the default action; the wakeup socket delivers the signal."""


@contextlib.asynccontextmanager
async def catch_signals() -> AsyncIterator[
    Callable[[], Awaitable[signal.Signals]]
]:
    """Catch SIGTERM, SIGINT and SIGHUP inside an ``async with`` block.

    Signals are delivered through ``signal.set_wakeup_fd`` and a socket,
    because curio 1.6 has no signal events and signals do not interrupt its
    selector.

    Yields
    ------
    callable
        Waits for the next signal and returns it.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous = {
        number: signal.signal(number, _ignore)
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL)
    }
    stream = curio.io.Socket(reader)

    async def wait() -> signal.Signals:
        # The interpreter writes the number of each signal as one byte.
        return signal.Signals((await stream.recv(1))[0])

    try:
        yield wait
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(previous_fd)
        await stream.close()
        writer.close()
