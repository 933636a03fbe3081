"""Fake stores with delayed writes, stepped stores and a coroutine stepper."""

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
        Reads return the state before this many of the last writes.
    delayed_writes_left : int
        Number of following writes that report an unknown effect and take
        effect only when ``apply_delayed_writes`` is called.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stale_writes = 0
        self.delayed_writes_left = 0
        self._previous_states: list[dict[str, Row]] = []
        self._delayed_writes: list[
            tuple[dict[str, bytes], dict[str, Version]]
        ] = []

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row, as it was some writes ago."""
        current = await super().read(key)
        if (
            not self.stale_writes
            or not self._previous_states
            or self.unavailable
        ):
            return current
        previous_rows = self._previous_states[
            -min(self.stale_writes, len(self._previous_states))
        ]
        return Success(previous_rows.get(key, Row(key, b"", Version(0))))

    async def write(
        self,
        rows: dict[str, bytes],
        conditions: dict[str, Version],
    ) -> Result[None, StoreError]:
        """Write all rows if every condition's row has the given version."""
        if self.delayed_writes_left and not self.unavailable:
            self.delayed_writes_left -= 1
            self._delayed_writes.append((dict(rows), dict(conditions)))
            return Failure(
                StoreError(
                    StoreErrorKind.UNKNOWN_EFFECT, "the write is delayed"
                )
            )
        before = dict(self._rows)
        result = await super().write(rows, conditions)
        if self._rows != before:
            self._previous_states.append(before)
        return result

    async def apply_delayed_writes(self) -> None:
        """Apply the delayed writes in the order in which they were made."""
        delayed, self._delayed_writes = self._delayed_writes, []
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
        """Read rows whose key starts with a prefix, in key order."""
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
    """Runs a coroutine on stepped stores from one pause to the next.

    Parameters
    ----------
    coroutine : coroutine
        Coroutine to run. It must wait only for stepped stores.
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
        """Close the coroutine at its pause, as when its process is killed."""
        self._coroutine.close()
        self.done = True


def run_steps(coroutine: Coroutine[Any, Any, _Value]) -> _Value:
    """Run a coroutine on fake stores to its end, without an event loop.

    Examples
    --------
    >>> run_steps(FaultyTableStore().read("a")).unwrap().version
    0
    """
    stepper = Stepper(coroutine)
    while not stepper.step():
        pass
    return stepper.result  # type: ignore[return-value]
