"""Socket of a faulty peer that never stops sending."""

import curio

from egretlever.testing._clock import VirtualClock

_SECONDS_PER_BYTE = 1e-8  # 100 MB/s


class _AcceptingSocket:
    """Plain socket that accepts all sent bytes at once."""

    def send(self, data: bytes) -> int:
        """Accept the bytes."""
        return len(data)


class EndlessSocket:
    """Socket that always has data, so that receiving never blocks.

    Parameters
    ----------
    clock : VirtualClock
        Advanced by the time that the bytes take to arrive.
    first : bytes
        Bytes received first.
    repeated : bytes
        Bytes received over and over after them.
    limit : int, default=256 MiB
        Number of bytes after which a reader counts as stuck.

    Attributes
    ----------
    received : int
        Number of bytes received.
    longest_turn : int
        Largest number of bytes received without any other task running.
    turns : int
        Number of times that another task has run.
    """

    def __init__(
        self,
        clock: VirtualClock,
        first: bytes,
        repeated: bytes,
        limit: int = 256 << 20,
    ) -> None:
        self._socket = _AcceptingSocket()
        self._clock = clock
        self._pending = first
        self._repeated = repeated
        self._limit = limit
        self._turn_began_at = 0
        self.received = 0
        self.longest_turn = 0
        self.turns = 0

    async def recv(self, size: int) -> bytes:
        """Return up to `size` bytes without waiting."""
        if len(self._pending) < size:
            missing = size - len(self._pending)
            count = missing // len(self._repeated) + 1
            self._pending += self._repeated * count
        data, self._pending = self._pending[:size], self._pending[size:]
        self.received += len(data)
        self.longest_turn = max(
            self.longest_turn, self.received - self._turn_began_at
        )
        assert self.received <= self._limit, "the reader does not stop"
        self._clock.advance(len(data) * _SECONDS_PER_BYTE)
        return data

    async def sendall(self, data: bytes) -> None:
        """Accept the bytes."""

    def fileno(self) -> int:
        """Return no file descriptor."""
        return -1

    async def shutdown(self, how: int) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def observe_turns(self) -> None:
        """Record that another task runs, until cancelled."""
        while True:
            self._turn_began_at = self.received
            self.turns += 1
            await curio.sleep(0)
