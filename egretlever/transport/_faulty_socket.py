"""TCP socket with injected link faults."""

import collections
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Any

import curio
import curio.kernel

from egretlever.core import Seconds

_CUT_POLL_INTERVAL = 0.02  # seconds between checks for the end of a cut
# Seconds after which bytes of a closed socket are discarded. The operating
# system also discards unacknowledged bytes of a closed socket after a while.
_LINGER_TIMEOUT = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class LinkEffect:
    """Effect of link faults on traffic in one direction.

    Parameters
    ----------
    cut : bool
        No traffic passes.
    lost : bool
        The datagram is lost, or the bytes have to be retransmitted.
    delay : Seconds
        Additional delay.
    """

    cut: bool
    lost: bool
    delay: Seconds


DelayFunction = Callable[[], Seconds | None]


class FaultySocket:
    """Socket that simulates TCP over a faulty link.

    Bytes written during a cut are accepted and queued in order, as in the
    send buffer of the operating system. They are sent when the cut ends, also
    after the socket was closed. Bytes received during a cut and a close by the
    peer become visible when the cut ends.

    Parameters
    ----------
    sock : curio.io.Socket
        Connected socket, owned by this object.
    find_send_delay, find_receive_delay : callable
        Return the current delay, or None during a cut.
    """

    def __init__(
        self,
        sock: Any,
        find_send_delay: DelayFunction,
        find_receive_delay: DelayFunction,
    ) -> None:
        self._sock = sock
        self._find_send_delay = find_send_delay
        self._find_receive_delay = find_receive_delay
        self._queued: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._sender: Any = None
        self._received: bytes | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    async def sendall(self, data: bytes) -> None:
        """Send bytes, or queue them until delay or cut has ended."""
        delay = self._find_send_delay()
        if delay == 0 and self._sender is None:
            await self._sock.sendall(data)
            return
        due = curio.kernel.time.monotonic() + (delay or 0.0)
        self._queued.append((due, bytes(data)))
        if self._sender is None:
            self._sender = await curio.spawn(self._send_queued, daemon=True)

    async def _send_queued(self) -> None:
        try:
            while self._queued:
                due, data = self._queued[0]
                await self._wait_for_send(due)
                self._queued.popleft()
                await self._sock.sendall(data)
        except OSError:
            self._queued.clear()
        finally:
            self._sender = None

    async def _wait_for_send(self, due: float) -> None:
        while (left := due - curio.kernel.time.monotonic()) > 0:
            await curio.sleep(left)
        while self._find_send_delay() is None:
            await curio.sleep(_CUT_POLL_INTERVAL)

    async def recv(self, size: int) -> bytes:
        """Receive bytes once delay or cut has ended."""
        if self._received is None:
            self._received = await self._sock.recv(size)
        # When the caller cancels the read here, the next read gets the bytes.
        while (delay := self._find_receive_delay()) is None:
            await curio.sleep(_CUT_POLL_INTERVAL)
        if delay:
            await curio.sleep(delay)
        data, self._received = self._received, None
        return data

    def blocking(self) -> Any:
        """Return the plain socket; during a cut one without readable data."""
        if self._received or self._find_receive_delay() is None:
            return contextlib.nullcontext(_EmptySocket())
        return self._sock.blocking()

    async def shutdown(self, how: int) -> None:
        """Shut down, unless queued bytes have still to be sent."""
        if self._sender is None:
            await self._sock.shutdown(how)

    async def close(self) -> None:
        """Close; during a cut the peer sees the close when the cut ends."""
        if self._sender is None and self._find_send_delay() is not None:
            await self._sock.close()
            return
        await curio.spawn(self._close_later, daemon=True)

    async def _close_later(self) -> None:
        with contextlib.suppress(curio.TaskTimeout):
            async with curio.timeout_after(_LINGER_TIMEOUT):
                while (
                    self._sender is not None or self._find_send_delay() is None
                ):
                    await curio.sleep(_CUT_POLL_INTERVAL)
        await self._sock.close()


class _EmptySocket:
    """Plain socket that never has readable data."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Raise the error of a non-blocking socket without data."""
        raise BlockingIOError
