"""Rows of the simulated table service, with a bounded history of writes."""

import collections
from collections.abc import Mapping, Sequence

from egretlever.core import Version
from egretlever.platform import Row

# Number of writes; bounds the memory that stale reads need.
_HISTORY_LENGTH = 1000


class TableState:
    """Rows in memory with conditional transactions.

    Examples
    --------
    >>> table = TableState()
    >>> table.write({"a": b"1"}, {"a": Version(0)})
    ()
    >>> table.read(["a"])
    [Row(key='a', value=b'1', version=1)]
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        # For each recent write, the rows that it replaced; the latest is last.
        self._replaced: collections.deque[dict[str, Row]] = collections.deque(
            maxlen=_HISTORY_LENGTH
        )

    def _find(self, key: str) -> Row:
        return self._rows.get(key, Row(key, b"", Version(0)))

    def _collect_replaced_rows(self, stale_writes: int) -> dict[str, Row]:
        count = min(stale_writes, len(self._replaced))
        replaced: dict[str, Row] = {}
        for position in range(count):
            replaced.update(self._replaced[-1 - position])
        return replaced

    def read(self, keys: Sequence[str], stale_writes: int = 0) -> list[Row]:
        """Read rows as they were a number of writes ago."""
        replaced = self._collect_replaced_rows(stale_writes)
        return [replaced.get(key) or self._find(key) for key in keys]

    def scan(
        self, prefix: str, limit: int, after: str, stale_writes: int = 0
    ) -> list[Row]:
        """Read rows by prefix in key order, as of a number of writes ago."""
        replaced = self._collect_replaced_rows(stale_writes)
        rows = {**self._rows, **replaced}
        keys = sorted(
            key
            for key, row in rows.items()
            if key.startswith(prefix) and key > after and row.version
        )
        return [rows[key] for key in keys[:limit]]

    def write(
        self, rows: Mapping[str, bytes], conditions: Mapping[str, Version]
    ) -> tuple[Row, ...]:
        """Write all rows, or none and return the conflicting rows."""
        conflicts = tuple(
            self._find(key)
            for key, version in conditions.items()
            if self._find(key).version != version
        )
        if conflicts:
            return conflicts
        self._replaced.append({key: self._find(key) for key in rows})
        for key, value in rows.items():
            version = Version(self._find(key).version + 1)
            self._rows[key] = Row(key, value, version)
            if not value:
                del self._rows[key]
        return ()
