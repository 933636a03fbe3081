"""Stores with more faults, and coroutines run one store operation at a time."""

import types
from collections.abc import Coroutine, Generator
from typing import Any, Generic, TypeVar

from returns.result import Failure, Result, Success

from egretlever.core import Version
from egretlever.platform import (
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableStore,
)
from egretlever.testing._fakes import FakeTableStore

_Value = TypeVar("_Value")


class FaultyTableStore(FakeTableStore):
    """Table service in memory with stale reads and delayed writes.

    Attributes
    ----------
    stale_writes : int
        Reads are answered from this many writes ago.
    delay_writes : int
        Number of coming writes that report unknown effect and reach the store
        only when ``deliver`` is called.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stale_writes = 0
        self.delay_writes = 0
        self._past: list[dict[str, Row]] = []
        self._delayed: list[tuple[dict[str, bytes], dict[str, Version]]] = []

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row, as it was some writes ago."""
        current = await super().read(key)
        if not self.stale_writes or not self._past or self.away:
            return current
        past = self._past[-min(self.stale_writes, len(self._past))]
        return Success(past.get(key, Row(key, b"", Version(0))))

    async def write(
        self,
        rows: dict[str, bytes],
        conditions: dict[str, Version],
    ) -> Result[None, StoreError]:
        """Write all rows if every condition's row has the given version."""
        if self.delay_writes and not self.away:
            self.delay_writes -= 1
            self._delayed.append((dict(rows), dict(conditions)))
            return Failure(
                StoreError(StoreErrorKind.UNKNOWN_EFFECT, "the write is late")
            )
        before = dict(self._rows)
        result = await super().write(rows, conditions)
        if self._rows != before:
            self._past.append(before)
        return result

    async def deliver(self) -> None:
        """Let the delayed writes reach the store, in their order."""
        delayed, self._delayed = self._delayed, []
        for rows, conditions in delayed:
            await self.write(rows, conditions)


@types.coroutine
def _pause() -> Generator[None, None, None]:
    yield


class SteppedTableStore:
    """Table service whose operations pause before and after their effect."""

    def __init__(self, tables: TableStore) -> None:
        self._tables = tables

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row; a missing row has version 0."""
        return await _run_paused(self._tables.read(key))

    async def scan(
        self, prefix: str, limit: int = 100, after: str = ""
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read rows whose key starts with a prefix, in the order of keys."""
        return await _run_paused(self._tables.scan(prefix, limit, after))

    async def write(
        self,
        rows: dict[str, bytes],
        conditions: dict[str, Version],
    ) -> Result[None, StoreError]:
        """Write all rows if every condition's row has the given version."""
        return await _run_paused(self._tables.write(rows, conditions))


class SteppedObjectStore:
    """Object store whose operations pause before and after their effect."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Read an object."""
        return await _run_paused(self._objects.get(name))

    async def put(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object."""
        return await _run_paused(self._objects.put(name, body))


async def _run_paused(operation: Coroutine[Any, Any, _Value]) -> _Value:
    try:
        await _pause()
    except GeneratorExit:
        operation.close()
        raise
    value = await operation
    await _pause()
    return value


class Stepper(Generic[_Value]):
    """Runs a coroutine over stepped stores from pause to pause.

    Parameters
    ----------
    coroutine : coroutine
        What to run. It must not wait for anything but stepped stores.
    """

    def __init__(self, coroutine: Coroutine[Any, Any, _Value]) -> None:
        self._coroutine = coroutine
        self.result: _Value | None = None
        self.done = False

    def step(self) -> bool:
        """Run to the next pause and return whether the coroutine ended."""
        try:
            self._coroutine.send(None)
        except StopIteration as stop:
            self.result = stop.value
            self.done = True
        return self.done

    def kill(self) -> None:
        """End the coroutine where it stands, as a death of its process does."""
        self._coroutine.close()
        self.done = True


def run_steps(coroutine: Coroutine[Any, Any, _Value]) -> _Value:
    """Run a coroutine over fake stores to its end, without a loop.

    Examples
    --------
    >>> run_steps(FaultyTableStore().read("a")).unwrap().version
    0
    """
    stepper = Stepper(coroutine)
    while not stepper.step():
        pass
    return stepper.result  # type: ignore[return-value]
