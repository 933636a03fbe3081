"""Waiting for the signals that ask a program to stop."""

import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio.io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _ignore(number: int, frame: Any) -> None:
    """Keep the default action away; the wakeup socket carries the signal."""


@contextlib.asynccontextmanager
async def catch_stop_signals() -> AsyncIterator[Callable[[], Awaitable[None]]]:
    """Catch SIGTERM and SIGINT inside an ``async with`` block.

    Signals arrive through ``signal.set_wakeup_fd`` on a socket, because
    curio 1.6 has no signal events and its selector is not interrupted.

    Yields
    ------
    callable
        Waits for the first signal.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous = {
        number: signal.signal(number, _ignore) for number in STOP_SIGNALS
    }
    stream = curio.io.Socket(reader)

    async def wait() -> None:
        await stream.recv(1)

    try:
        yield wait
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)
        signal.set_wakeup_fd(previous_fd)
        await stream.close()
        writer.close()
