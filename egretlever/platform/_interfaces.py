"""Interfaces of the platform's table service and object store."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from egretlever.core import Version


class StoreErrorKind(enum.Enum):
    """What is known after a store operation failed.

    ``UNAVAILABLE`` means that the operation had no effect. After
    ``UNKNOWN_EFFECT`` a write may have taken effect. ``HISTORY_LOST`` means
    that changes can't be followed from the given version any more.
    """

    REFUSED_CONDITION = "refused-condition"
    UNAVAILABLE = "unavailable"
    UNKNOWN_EFFECT = "unknown-effect"
    HISTORY_LOST = "history-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Parameters
    ----------
    key : str
        Key of the row.
    value : bytes
        Content; empty for a row that does not exist.
    version : Version
        Number of writes since the row was made, 0 for a row that does not
        exist.
    """

    key: str
    value: bytes
    version: Version


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed store operation.

    Parameters
    ----------
    kind : StoreErrorKind
        What is known of the operation's effect.
    message : str
        What failed.
    conflicts : tuple of Row, optional
        Current rows whose conditions failed.
    """

    kind: StoreErrorKind
    message: str
    conflicts: tuple[Row, ...] = ()


class TableStore(Protocol):
    """Transactional table service."""

    async def read(self, key: str) -> Result[Row, StoreError]:
        """Read one row; a missing row has version 0."""

    async def scan(
        self, prefix: str, limit: int = 100, after: str = ""
    ) -> Result[tuple[Row, ...], StoreError]:
        """Read rows whose key starts with a prefix, in the order of keys.

        Only keys greater than ``after`` are read, so that the last key of a
        page asks for the next one.
        """

    async def write(
        self,
        rows: dict[str, bytes],
        conditions: dict[str, Version],
    ) -> Result[None, StoreError]:
        """Write all rows if every condition's row has the given version.

        An empty value removes the row.
        """


class ObjectStore(Protocol):
    """Store of immutable objects by name."""

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Read an object; a missing one is ``REFUSED_CONDITION``."""

    async def put(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object."""
