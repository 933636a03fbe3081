"""Table store with faults whose calls pause, to interleave coroutines."""

import random
import types
from collections.abc import Generator

from returns.result import Failure, Result

from egretlever.core import Version
from egretlever.platform import Row, StoreError, StoreErrorKind
from egretlever.testing._fakes import FakeTableStore

_UNKNOWN_EFFECT = StoreError(StoreErrorKind.UNKNOWN_EFFECT, "no response")


@types.coroutine
def pause_step() -> Generator[None, None, None]:
    """Yield control to the caller that steps the coroutine."""
    yield


class FlakyTableStore:
    """Store that pauses around each call and fails at random.

    Parameters
    ----------
    rows : FakeTableStore
        Store with the rows, shared by all nodes.
    randomness : random.Random
        Chooses the faults.

    Attributes
    ----------
    fault_share : float
        Probability that the response to a write is lost. The write takes
        effect, has no effect, or takes effect when ``apply_delayed_write`` is
        called.
    stale_share : float
        Probability that a read returns a state of the row that any earlier
        read returned.
    """

    def __init__(self, rows: FakeTableStore, randomness: random.Random) -> None:
        self.rows = rows
        self.fault_share = 0.0
        self.stale_share = 0.0
        self._randomness = randomness
        self._delayed_writes: list[
            tuple[dict[str, bytes], dict[str, Version]]
        ] = []
        self._read_states: dict[str, list[Row]] = {}

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row, possibly an earlier state of it."""
        await pause_step()
        result = await self.rows.read(key)
        await pause_step()
        if isinstance(result, Failure):
            return result
        states = self._read_states.setdefault(key, [])
        states.append(result.unwrap())
        if self._randomness.random() < self.stale_share:
            return type(result)(self._randomness.choice(states))
        return result

    async def scan(
        self, prefix: str, limit: int = 100, after: str = ""
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read rows by prefix."""
        await pause_step()
        result = await self.rows.scan(prefix, limit, after)
        await pause_step()
        return result

    async def write(
        self, rows: dict[str, bytes], conditions: dict[str, Version]
    ) -> Result[None, StoreError]:
        """Write rows; the response may be lost."""
        await pause_step()
        if self._randomness.random() < self.fault_share:
            effect = self._randomness.randrange(3)
            if effect == 0:
                await self.rows.write(rows, conditions)
            elif effect == 1:
                self._delayed_writes.append((rows, conditions))
            await pause_step()
            return Failure(_UNKNOWN_EFFECT)
        result = await self.rows.write(rows, conditions)
        await pause_step()
        return result

    async def apply_delayed_write(self) -> None:
        """Apply one delayed write, chosen at random, if there is any."""
        if self._delayed_writes and not self.rows.unavailable:
            position = self._randomness.randrange(len(self._delayed_writes))
            await self.rows.write(*self._delayed_writes.pop(position))
