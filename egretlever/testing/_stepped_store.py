"""Table store whose calls pause, to interleave coroutines step by step."""

import random
import types
from collections.abc import Generator

from returns.result import Failure, Result

from egretlever.core import Version
from egretlever.platform import Row, StoreError, StoreErrorKind
from egretlever.testing._fakes import FakeTableStore

_UNKNOWN = StoreError(StoreErrorKind.UNKNOWN_EFFECT, "no answer")


@types.coroutine
def pause() -> Generator[None, None, None]:
    """Hand control to whoever steps the coroutine."""
    yield


class FlakyTableStore:
    """Store over shared rows with pauses and faults around each call.

    Parameters
    ----------
    rows : FakeTableStore
        Rows shared by all nodes.
    randomness : random.Random
        Chooses the faults.

    Attributes
    ----------
    fault_share : float
        Share of writes whose answer is lost: after their effect, without
        effect, or with the effect delayed until ``land``.
    stale_share : float
        Share of reads answered with an earlier state of the row.
    """

    def __init__(self, rows: FakeTableStore, randomness: random.Random) -> None:
        self.rows = rows
        self.fault_share = 0.0
        self.stale_share = 0.0
        self._randomness = randomness
        self._delayed: list[tuple[dict[str, bytes], dict[str, Version]]] = []
        self._seen: dict[str, list[Row]] = {}

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row, possibly an earlier state of it."""
        await pause()
        result = await self.rows.read(key)
        await pause()
        if isinstance(result, Failure):
            return result
        seen = self._seen.setdefault(key, [])
        seen.append(result.unwrap())
        if self._randomness.random() < self.stale_share:
            return type(result)(self._randomness.choice(seen))
        return result

    async def scan(
        self, prefix: str, limit: int = 100, after: str = ""
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read rows by prefix."""
        await pause()
        result = await self.rows.scan(prefix, limit, after)
        await pause()
        return result

    async def write(
        self, rows: dict[str, bytes], conditions: dict[str, Version]
    ) -> Result[None, StoreError]:
        """Write rows, with a lost answer at times."""
        await pause()
        if self._randomness.random() < self.fault_share:
            fate = self._randomness.randrange(3)
            if fate == 0:
                await self.rows.write(rows, conditions)
            elif fate == 1:
                self._delayed.append((rows, conditions))
            await pause()
            return Failure(_UNKNOWN)
        result = await self.rows.write(rows, conditions)
        await pause()
        return result

    async def land(self) -> None:
        """Let one delayed write take effect, if any."""
        if self._delayed and not self.rows.away:
            position = self._randomness.randrange(len(self._delayed))
            await self.rows.write(*self._delayed.pop(position))
