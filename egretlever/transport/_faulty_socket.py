"""A TCP socket whose traffic meets injected faults."""

import collections
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Any

import curio
import curio.kernel

from egretlever.core import Seconds

_CHECK = 0.02  # seconds between looks whether a cut has ended
# The system gives up on unacknowledged bytes of a closed socket as well.
_LINGER = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class LinkEffect:
    """What happens to traffic on a link in one direction.

    Parameters
    ----------
    cut : bool
        Nothing gets through.
    lost : bool
        This datagram is lost, or these bytes have to be sent again.
    delay : Seconds
        Time added.
    """

    cut: bool
    lost: bool
    delay: Seconds


Plan = Callable[[], Seconds | None]


class FaultySocket:
    """Socket that behaves like TCP over a link with faults.

    Bytes written into a cut are accepted and held in order, as the send
    buffer of the system does. They leave when the cut ends, also after the
    socket was closed. Bytes received during a cut, and the peer's close, are
    seen when it ends.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket; this one owns it.
    plan_send, plan_receive : callable
        Return the delay at this moment, or None during a cut.
    """

    def __init__(self, sock: Any, plan_send: Plan, plan_receive: Plan) -> None:
        self._sock = sock
        self._plan_send = plan_send
        self._plan_receive = plan_receive
        self._held: collections.deque[tuple[float, bytes]] = collections.deque()
        self._pump: Any = None
        self._received: bytes | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    async def sendall(self, data: bytes) -> None:
        """Send bytes, or hold them until the link lets them through."""
        delay = self._plan_send()
        if delay == 0 and self._pump is None:
            await self._sock.sendall(data)
            return
        due = curio.kernel.time.monotonic() + (delay or 0.0)
        self._held.append((due, bytes(data)))
        if self._pump is None:
            self._pump = await curio.spawn(self._send_held, daemon=True)

    async def _send_held(self) -> None:
        try:
            while self._held:
                due, data = self._held[0]
                await self._wait_for_send(due)
                self._held.popleft()
                await self._sock.sendall(data)
        except OSError:
            self._held.clear()
        finally:
            self._pump = None

    async def _wait_for_send(self, due: float) -> None:
        while (left := due - curio.kernel.time.monotonic()) > 0:
            await curio.sleep(left)
        while self._plan_send() is None:
            await curio.sleep(_CHECK)

    async def recv(self, size: int) -> bytes:
        """Receive bytes once the link lets them through."""
        if self._received is None:
            self._received = await self._sock.recv(size)
        # A reader that gives up here finds the bytes at its next read.
        while (delay := self._plan_receive()) is None:
            await curio.sleep(_CHECK)
        if delay:
            await curio.sleep(delay)
        data, self._received = self._received, None
        return data

    def blocking(self) -> Any:
        """Give the plain socket, which seems silent during a cut."""
        if self._received or self._plan_receive() is None:
            return contextlib.nullcontext(_SilentSocket())
        return self._sock.blocking()

    async def shutdown(self, how: int) -> None:
        """Shut down after the held bytes."""
        if self._pump is None:
            await self._sock.shutdown(how)

    async def close(self) -> None:
        """Close; during a cut the peer learns of it when the cut ends."""
        if self._pump is None and self._plan_send() is not None:
            await self._sock.close()
            return
        await curio.spawn(self._close_later, daemon=True)

    async def _close_later(self) -> None:
        with contextlib.suppress(curio.TaskTimeout):
            async with curio.timeout_after(_LINGER):
                while self._pump is not None or self._plan_send() is None:
                    await curio.sleep(_CHECK)
        await self._sock.close()


class _SilentSocket:
    """Plain socket that never has anything to read."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Raise as a socket without data does."""
        raise BlockingIOError
