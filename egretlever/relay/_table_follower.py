"""Follower of a table in the platform's store."""

import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio
from returns.result import Failure, Result

from egretlever.core import (
    NO_ERA,
    Seconds,
    StoreEra,
    Version,
    describe_version,
    find_era,
)
from egretlever.platform import (
    RowPage,
    RowStore,
    StoredRow,
    StoreError,
    StoreErrorKind,
)
from egretlever.relay import _metrics as metrics
from egretlever.relay._changes import TableChange
from egretlever.relay._freshness import ReadTimes
from egretlever.relay._sharing import TableSharing
from egretlever.relay._store_calls import Backoff, log_state
from egretlever.relay._table_reading import read_table, record_rows
from egretlever.transport import read_clock

# Duration of a long poll. Store calls are paid, and one change ends the polls
# of all nodes. Keepalive probes detect a connection that stopped working
# meanwhile.
_LONG_POLL_TIME = Seconds(29.0)
# Duration of a long poll of a node that others follow. An answer that the store
# loses goes unnoticed until the end of the poll, and concerns all of them.
_SHARED_POLL_TIME = Seconds(8.0)
# Duration of a long poll after a failed call, and timeout of any call then. A
# silent store never answers the calls that began before its recovery, and a
# configuration has to take effect within seconds of it. Slow calls take 0.4 s.
_RECOVERY_POLL_TIME = Seconds(0.5)
_RECOVERY_TIMEOUT = Seconds(1.2)
# Time for which a node that knows of a later era of the store waits for its
# source before it reads the table by itself: the source may be of an earlier
# release, or not have the table yet.
_SOURCE_RESTORE_TIME = Seconds(2.0)
# Time in which the rows that a restore has lost are written again. Their
# servers are used until then, also when their owners find the store late.
_MISSING_ROW_TIME = Seconds(10.0)
# Greater than all keys of the tables that are followed.
_AFTER_ALL_KEYS = "\U0010ffff"


class FailureObserver(Protocol):
    """Knows whether the store can be read."""

    async def wait_while_failing(self) -> None:
        """Wait until the latest calls of the store have succeeded."""
        ...

    async def wait_for_recovery(self) -> None:
        """Wait until the store is found to be back after a failure."""
        ...


class TableFollower:
    """Follows the changes of one table in the store.

    Parameters
    ----------
    store : RowStore
        The store.
    table : str
        Table to follow.
    replace : callable
        Receives all rows of the table and the store version.
    update : callable
        Receives changed rows, in order, and the store version.
    batch_time : Seconds
        Delay after a call that returned rows.
    rng : random.Random
        Source of jitter.
    leader : FailureObserver, optional
        Follower of another table in the same store. While both fail, only the
        leader tries again, since refused calls are paid too. Its polls are
        shorter, so that it notices failures for both.
    sharing : TableSharing, optional
        Provides changes that another node has read, and passes changes on.
    report_failure : callable, optional
        Called when the store can't be read any more.
    drop_missing : callable, optional
        Called some time after the table was read anew from a restored store,
        with the version of that read.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        replace: Callable[[list[StoredRow], Version], None],
        update: Callable[[tuple[StoredRow, ...], Version], None],
        batch_time: Seconds,
        rng: random.Random,
        leader: FailureObserver | None = None,
        sharing: TableSharing | None = None,
        report_failure: Callable[[], Awaitable[None]] | None = None,
        drop_missing: Callable[[Version], None] | None = None,
    ) -> None:
        self._store = store
        self._eras = store.eras
        self._rng = rng
        self._drop_missing = drop_missing
        self._era = NO_ERA  # of the rows that were applied
        self._era_advanced = curio.Event()
        self._table = table
        self._replace = replace
        self._update = update
        self._batch_time = batch_time
        self._backoff = Backoff(rng)
        self._leader = leader
        self._sharing = sharing
        self._report_failure = report_failure
        if report_failure is None and sharing is not None:
            self._report_failure = sharing.publish_failure
        # Clock time before which the store is not polled again.
        self._polls_from = read_clock()
        self._version: Version | None = None
        self._read_times: ReadTimes | None = None
        self._failing = False
        self._regained = curio.Event()
        self._recovery = curio.Event()
        self._synced = curio.Event()

    @property
    def synced(self) -> bool:
        """Whether the whole table was read at least once."""
        return bool(self._synced.is_set())

    async def wait_synced(self) -> None:
        """Wait until the whole table was read."""
        await self._synced.wait()

    async def wait_beyond_era(self, era: StoreEra) -> StoreEra:
        """Wait until rows of an era after the given one were applied."""
        while self._era <= era:
            await self._era_advanced.wait()
        return self._era

    async def follow_forever(self) -> None:
        """Read the table, then follow its changes until cancelled."""
        while True:
            if self._version is None:
                await self._read_all()
            else:
                await self._read_changes(self._version)

    async def follow_once(
        self, find_poll_time: Callable[[Seconds], Seconds], timeout: Seconds
    ) -> ReadTimes | None:
        """Read the table, or its next changes, from the store.

        Parameters
        ----------
        find_poll_time : callable
            Returns the duration of a long poll that begins at a clock time.
        timeout : Seconds
            Timeout of a long poll.

        Returns
        -------
        ReadTimes or None
            None when the call has failed.
        """
        self._read_times = None
        if self._version is None:
            await self._read_all()
            return self._read_times
        change = await self._poll(self._version, find_poll_time, timeout)
        if change is not None:
            await self._apply(change)
        return self._read_times

    @property
    def failing(self) -> bool:
        """Whether the latest call of the store has failed."""
        return self._failing

    async def probe(self) -> None:
        """Find out by a small answer whether the store can be read."""
        result = await self._store.read(
            self._table, _AFTER_ALL_KEYS, limit=1, timeout=self._find_timeout()
        )
        if isinstance(result, Failure):
            await self._handle_failure("probe", result.failure())
        else:
            await self._succeed("probe")
            await self._announce_recovery()

    async def _read_all(self) -> None:
        result = await read_table(
            self._store, self._table, self._find_timeout()
        )
        if isinstance(result, Failure):
            await self._handle_failure("read", result.failure())
            return
        table = result.unwrap()
        self._read_times = table.times
        await self._succeed("read")
        # When many nodes start together, each one's row would end the poll.
        self._polls_from = Seconds(read_clock() + self._batch_time)
        change = TableChange(table.version, table.version)
        if self._is_of_later_era(table.version):
            # The followers of this node need not read the table as well.
            change = TableChange(
                Version(0), table.version, table.rows, whole=True
            )
        await self._apply_whole(table.rows, change)

    def _is_of_later_era(self, version: Version) -> bool:
        """Tell whether the store was restored since rows were applied."""
        return self.synced and find_era(version) > self._era

    async def _apply_whole(
        self, rows: tuple[StoredRow, ...], change: TableChange
    ) -> None:
        """Apply all rows of the table, then pass a change on."""
        restored = self._is_of_later_era(change.version)
        self._replace(list(rows), change.version)
        await self._synced.set()
        if restored and self._drop_missing is not None:
            await curio.spawn(
                self._drop_missing_later, change.version, daemon=True
            )
        await self._advance(change)

    async def _drop_missing_later(self, version: Version) -> None:
        await curio.sleep(_MISSING_ROW_TIME)
        if self._drop_missing is not None:
            self._drop_missing(version)

    async def _read_changes(self, version: Version) -> None:
        change = None
        if self._sharing is not None:
            change = await self._receive(self._sharing, version)
        if change is None:
            change = await self._poll(version)
        else:
            await self.end_failure("changes come from another node")
        if change is not None:
            await self._apply(change)

    async def _receive(
        self, sharing: TableSharing, version: Version
    ) -> TableChange | None:
        """Return the next change of another node, None to ask the store."""
        async with curio.TaskGroup(wait=any) as group:
            receipt = await group.spawn(sharing.receive, version)
            await group.spawn(self._wait_for_restored_source, version)
        if group.exception is not None:
            raise group.exception
        if group.completed is not receipt:
            await sharing.restart("the source has no rows since the restore")
            return None
        change: TableChange | None = receipt.result
        return change

    async def _wait_for_restored_source(self, version: Version) -> None:
        await self._eras.wait_beyond(find_era(version))
        await curio.sleep(_SOURCE_RESTORE_TIME * (1.0 + self._rng.random()))

    async def _apply(self, change: TableChange) -> None:
        if change.whole:
            await self._apply_whole(change.rows, change)
            return
        if change.rows:
            self._update(change.rows, change.version)
        await self._advance(change)

    async def _poll(
        self,
        version: Version,
        find_poll_time: Callable[[Seconds], Seconds] | None = None,
        timeout: Seconds | None = None,
    ) -> TableChange | None:
        delay = self._polls_from - read_clock()
        if delay > 0:
            async with curio.ignore_after(delay):
                await self._eras.wait_beyond(find_era(version))
        asked_at = read_clock()
        if find_poll_time is None or self._failing:
            poll_time, timeout = self._find_poll_time(), self._find_timeout()
        else:
            poll_time = find_poll_time(asked_at)
        result = await self._watch(version, poll_time, timeout)
        if result is None:
            return None
        if isinstance(result, Failure):
            self._polls_from = read_clock()
            if result.failure().kind is StoreErrorKind.RESTORED:
                log_state(
                    "table-read-anew",
                    self._table,
                    describe_version(version),
                    f"the store is in era {self._eras.current}",
                )
                await self._read_all()
                return None
            await self._handle_failure("follow", result.failure())
            return None
        page = result.unwrap()
        self._read_times = ReadTimes(
            asked_at, read_clock(), poll_time, page.clock
        )
        record_rows(self._table, page)
        await self._succeed("follow")
        if page.rows:
            self._polls_from = Seconds(read_clock() + self._batch_time)
        return TableChange(version, page.version, page.rows)

    async def _watch(
        self, version: Version, poll_time: Seconds, timeout: Seconds | None
    ) -> Result[RowPage, StoreError] | None:
        """Poll the store; None when it has failed and recovered meanwhile.

        The answer to a poll that began before the recovery may be lost.
        """
        poll = self._store.watch(
            self._table, version, poll_time, timeout=timeout
        )
        if self._leader is None:
            return await poll
        async with curio.TaskGroup(wait=any) as group:
            poll_task = await group.spawn(poll)
            await group.spawn(self._leader.wait_for_recovery)
        if group.exception is not None:
            raise group.exception
        if group.completed is not poll_task:
            log_state("poll-restarted", self._table, describe_version(version))
            return None
        result: Result[RowPage, StoreError] = poll_task.result
        return result

    def _find_timeout(self) -> Seconds | None:
        """Return the timeout of the next call, None for the usual one."""
        return _RECOVERY_TIMEOUT if self._failing else None

    def _find_poll_time(self) -> Seconds:
        if self._failing:
            return _RECOVERY_POLL_TIME
        if self._sharing is not None and self._sharing.has_subscribers:
            return _SHARED_POLL_TIME
        return _LONG_POLL_TIME

    async def _advance(self, change: TableChange) -> None:
        """Move on to the version of a change that was applied."""
        self._version = max(self._version or Version(0), change.version)
        if find_era(change.version) > self._era:
            self._era = find_era(change.version)
            advanced, self._era_advanced = self._era_advanced, curio.Event()
            await advanced.set()
        if self._sharing is not None:
            await self._sharing.publish(change)

    async def wait_while_failing(self) -> None:
        """Wait until the latest calls of the store have succeeded.

        Those of the leader count too: a table that another node reads makes no
        calls here.
        """
        while self._failing:
            await self._regained.wait()
        if self._leader is not None:
            await self._leader.wait_while_failing()

    async def _succeed(self, call: str) -> None:
        metrics.STORE_CALLS.labels(call, "done").inc()
        self._backoff.reset()
        await self.end_failure()

    async def end_failure(self, reason: str = "") -> None:
        """Record that the changes of the table arrive, if they did not."""
        if not self._failing:
            return
        self._failing = False
        await self._regained.set()
        await self._announce_recovery()
        log_state("store-regained", self._table, reason=reason)

    async def wait_for_recovery(self) -> None:
        """Wait until the store is found to be back after a failure."""
        await self._recovery.wait()

    async def _announce_recovery(self) -> None:
        recovery, self._recovery = self._recovery, curio.Event()
        await recovery.set()

    async def _handle_failure(self, call: str, error: StoreError) -> None:
        metrics.STORE_CALLS.labels(call, error.kind.value).inc()
        if error.kind is StoreErrorKind.HISTORY_LOST:
            log_state("history-lost", self._table)
            self._version = None
        elif error.kind is StoreErrorKind.RESTORED:
            # The answer was made before the restore; the call is repeated.
            log_state("answer-outdated", self._table)
        elif not self._failing:
            self._failing = True
            self._regained.clear()
            log_state("store-lost", self._table, reason=error.message)
            if self._report_failure is not None:
                await self._report_failure()
        await self._backoff.wait()
        if self._leader is not None:
            await self._leader.wait_while_failing()
