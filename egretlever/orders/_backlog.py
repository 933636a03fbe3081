"""Deferred writes of claim rows, in batches."""

import collections
import dataclasses
from collections.abc import Iterable

from returns.result import Failure

from egretlever.core import OrderKey, Version, make_log
from egretlever.orders._encoding import decode_claim, encode_claim, make_row_key
from egretlever.orders._rows import ClaimRow, check_deferred_write
from egretlever.platform import Row, StoreErrorKind, TableStore

_LOG = make_log("orders")

# At 300 writes/s, shared with the claims, a node gets about 5 batches a second.
# With 32 rows in each batch, outcomes are written more slowly than orders come
# in. 128 rows with answers of 4 KiB take 512 KiB.
BATCH_SIZE = 128
# A refused batch corrects the versions of all conflicting rows, so another
# refusal means that some other node wrote in the meantime.
_MAX_BATCH_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredWrite:
    """A claim row to be written.

    Parameters
    ----------
    row : ClaimRow
        Row to write.
    version : Version
        Expected version of the current row; corrected after a conflict.
    claim_ids : frozenset of str
        Claim ids of this node whose rows may be overwritten.
    """

    row: ClaimRow
    version: Version
    claim_ids: frozenset[str]


class Backlog:
    """Queue of deferred writes of one node, at most one for each key.

    Parameters
    ----------
    store : TableStore
        Table service.
    capacity : int
        Maximum number of writes.
    """

    def __init__(self, store: TableStore, capacity: int) -> None:
        self._store = store
        self._capacity = capacity
        self._writes: collections.OrderedDict[OrderKey, DeferredWrite] = (
            collections.OrderedDict()
        )
        # Keys of the batches being written; concurrent flushes skip them.
        self._sending: set[OrderKey] = set()

    def __len__(self) -> int:
        return len(self._writes)

    @property
    def is_full(self) -> bool:
        """Whether no further key is accepted."""
        return len(self._writes) >= self._capacity

    def get(self, key: OrderKey) -> DeferredWrite | None:
        """Return the deferred write of a key, None without one."""
        return self._writes.get(key)

    def put(self, write: DeferredWrite) -> bool:
        """Defer a write, replacing one of the same key; False when full."""
        key = write.row.key
        if key not in self._writes and self.is_full:
            return False
        self._writes[key] = write
        return True

    def discard(self, key: OrderKey) -> None:
        """Drop the write of a key, if any."""
        self._writes.pop(key, None)

    async def flush(self, keys: Iterable[OrderKey] | None = None) -> int:
        """Write one batch of rows in one transaction.

        Parameters
        ----------
        keys : iterable of OrderKey, optional
            Keys to write; the oldest ones by default.

        Returns
        -------
        int
            Number of deferred writes that are done.
        """
        before = len(self._writes)
        chosen = [
            key
            for key in (keys if keys is not None else self._writes)
            if key not in self._sending
        ][:BATCH_SIZE]
        self._sending.update(chosen)
        try:
            for _ in range(_MAX_BATCH_ATTEMPTS):
                batch = [
                    self._writes[key] for key in chosen if key in self._writes
                ]
                if not batch or not await self._write_batch(batch):
                    break
        finally:
            self._sending.difference_update(chosen)
        return max(0, before - len(self._writes))

    async def _write_batch(self, batch: list[DeferredWrite]) -> bool:
        """Write a batch; True after a conflict that a new attempt may solve."""
        result = await self._store.write(
            {make_row_key(w.row.key): encode_claim(w.row) for w in batch},
            {make_row_key(w.row.key): w.version for w in batch},
        )
        if not isinstance(result, Failure):
            for write in batch:
                self._remove(write)
            return False
        error = result.failure()
        if error.kind is not StoreErrorKind.CONDITION_FAILED:
            return False
        conflicts = {row.key: row for row in error.conflicts}
        for write in batch:
            current = conflicts.get(make_row_key(write.row.key))
            if current is not None:
                self._resolve_conflict(write, current)
        return bool(conflicts)

    def _remove(self, write: DeferredWrite) -> None:
        # A newer write of the key may have replaced this one meanwhile.
        if self._writes.get(write.row.key) is write:
            del self._writes[write.row.key]

    def _resolve_conflict(self, write: DeferredWrite, current: Row) -> None:
        if self._writes.get(write.row.key) is not write:
            return
        row = decode_claim(current.value) if current.version else None
        decision = check_deferred_write(row, write.row, write.claim_ids)
        if current.version and row is None:
            decision = None
        if decision:
            self._writes[write.row.key] = dataclasses.replace(
                write, version=current.version
            )
            return
        if decision is None:
            _LOG.info(
                "order %s: write dropped, the row belongs to another claim",
                write.row.key,
            )
        self._remove(write)
