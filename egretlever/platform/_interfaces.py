"""Interfaces of the platform's table service and object store."""

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from egretlever.core import Version


class StoreErrorKind(enum.Enum):
    """Known effect of a failed store operation.

    ``CONDITION_FAILED`` means that a condition of the operation did not hold,
    ``UNAVAILABLE`` that the operation had no effect. After ``UNKNOWN_EFFECT``
    a write may have taken effect. ``HISTORY_LOST`` means that the store no
    longer keeps the changes after the given version, and ``RESTORED`` that the
    operation rests on an earlier era of the store than the current one; its
    effect is not known if it was a write that was sent.
    """

    CONDITION_FAILED = "refused-condition"
    UNAVAILABLE = "unavailable"
    UNKNOWN_EFFECT = "unknown-effect"
    HISTORY_LOST = "history-lost"
    RESTORED = "restored"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Parameters
    ----------
    key : str
        Key of the row.
    value : bytes
        Value; empty for a row that does not exist.
    version : Version
        Number of writes since the row was created, 0 for a row that does not
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
        Known effect of the operation.
    message : str
        Description of the failure.
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
        """Read rows whose keys start with a prefix, in key order.

        Only keys greater than ``after`` are returned. The last key of a page
        is therefore the ``after`` of the next page.
        """

    async def write(
        self,
        rows: dict[str, bytes],
        conditions: dict[str, Version],
    ) -> Result[None, StoreError]:
        """Write all rows atomically if all given rows have their versions.

        An empty value deletes the row.
        """


class ObjectStore(Protocol):
    """Store of immutable objects by name."""

    async def get(self, name: str) -> Result[bytes, StoreError]:
        """Read an object; a missing one is ``CONDITION_FAILED``."""

    async def put(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object."""
