"""Publishes the row of a home node's server in the platform's store."""

import dataclasses
import random
from collections.abc import Callable

import curio
from returns.result import Failure, Success

from egretlever.core import (
    NO_ERA,
    Incarnation,
    Seconds,
    ServerId,
    Version,
    describe_version,
    find_era,
)
from egretlever.placement import Directory, HomeServer
from egretlever.platform import RowStore, StoreErrorKind
from egretlever.relay import _metrics as metrics
from egretlever.relay._codec import encode_row
from egretlever.relay._followers import SERVER_TABLE, decode_server
from egretlever.relay._store_calls import Backoff, log_state
from egretlever.relay._table_follower import TableFollower
from egretlever.transport import read_clock

# Time between checks of the local directory for rows that reappeared. The check
# makes no store call.
_CHECK_INTERVAL = Seconds(2.0)
# Time over which the nodes of a fleet write their rows again after a restore of
# the store.
_REWRITE_SPREAD = Seconds(1.0)
_MAX_WRITTEN_IDS = 16  # latest server ids whose rows may reappear
# The row of a server that has left says so for this time. A delayed heartbeat
# of it may reach the next process of this node while it still runs.
_LEFT_ROW_RETENTION = Seconds(10.0)
# Time for which the reply to a departure waits for the row. Servers call again
# when they have no reply after a second.
_LEAVING_WRITE_TIMEOUT = Seconds(0.5)


async def remove_row(
    store: RowStore, directory: Directory, server: HomeServer
) -> bool:
    """Remove a row as the directory shows it.

    Returns
    -------
    bool
        False when it has to be tried again.
    """
    if directory.is_missing(server.id):
        return True
    version = directory.find_version(server.id)
    result = await store.write(SERVER_TABLE, server.id, None, version)
    kind = "done" if isinstance(result, Success) else "failed"
    metrics.STORE_CALLS.labels("write", kind).inc()
    if isinstance(result, Failure):
        message = result.failure().message
        log_state("row-not-removed", server.id, reason=message)
        return result.failure().kind is StoreErrorKind.CONDITION_FAILED
    log_state("row-removed", server.id, describe_version(result.unwrap()))
    directory.remove(server.id, result.unwrap())
    return True


class ServerPublisher:
    """Keeps the row of the server on this host up to date.

    Each write is conditional on the previous version of the row, so that a
    delayed write whose answer was lost can't take effect after a later one. The
    exception is the first write: its condition (no row) holds again after the
    row was removed. A row that such a write restores is removed when the
    directory shows it.

    That a server is leaving must outlast this process once it has been
    acknowledged, so its row says so until the server has ended, or for as long
    as a delayed heartbeat of it may arrive.

    When the store was restored from an older copy, the directory is read anew.
    Then the row is written again if it is missing or says something else, and
    rows of former servers that came back with the copy are removed again.

    Parameters
    ----------
    store : RowStore
        The store.
    find_local : callable
        Returns the server on this host, None when there is none or it has
        left.
    mark_leaving : callable
        Called with the id and the incarnation of a server that was leaving when
        a former process of this node ended.
    directory : Directory
        Holds the rows that former processes of this node have written.
    follower : TableFollower
        Keeps the directory up to date.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        store: RowStore,
        find_local: Callable[[], HomeServer | None],
        mark_leaving: Callable[[ServerId, Incarnation], None],
        directory: Directory,
        follower: TableFollower,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._find_local = find_local
        self._mark_leaving = mark_leaving
        self._directory = directory
        self._follower = follower
        self._rng = rng
        self._backoff = Backoff(rng)
        self._wake = curio.Event()
        self._published = curio.Event()
        self._written: HomeServer | None = None
        self._leaving: HomeServer | None = None
        self._left_at: Seconds | None = None
        self._left_drained = False
        self._stopping = False
        self._version = Version(0)
        # Era of the directory by which the row was checked.
        self._checked_era = NO_ERA
        self._written_again = False
        # Latest own version of each row; the oldest come first.
        self._own_versions: dict[ServerId, Version] = {}

    async def notify(self) -> None:
        """Signal that the server on this host may have changed."""
        await self._wake.set()

    async def record_leaving(self, server: HomeServer) -> bool:
        """Write to the row of a server that it leaves.

        Parameters
        ----------
        server : HomeServer
            The server, with the latest incarnation that leaves. Its other
            fields count only if it has no row: this process may not have heard
            from it.

        Returns
        -------
        bool
            Whether the row says so within half a second. The write goes on.
        """
        if self._is_recorded(server):
            return True
        row = self._directory.find(server.id)
        if self._written is not None and self._written.id == server.id:
            row = self._written
        if row is None:
            row = server
        self._leaving = dataclasses.replace(
            row,
            relay=server.relay,
            incarnation=max(row.incarnation, server.incarnation),
            draining=True,
        )
        self._left_at = None
        self._published.clear()
        await self._wake.set()
        async with curio.ignore_after(_LEAVING_WRITE_TIMEOUT):
            await self._published.wait()
        return self._is_recorded(server)

    def _is_recorded(self, server: HomeServer) -> bool:
        """Tell whether the store says that a server leaves or was replaced."""
        written = self._written
        if written is None:
            return False
        if written.id == server.id and not written.draining:
            return written.incarnation > server.incarnation
        return written.incarnation >= server.incarnation

    async def stop(self) -> None:
        """Remove the row of a server that has ended.

        A server that drains first ends with its departure. Another one serves
        on for a while, beside the next process of this node.
        """
        self._stopping = True
        await self._wake.set()

    async def publish_forever(self) -> None:
        """Write the row after each change of the server until cancelled."""
        restores = await curio.spawn(self._follow_restores, daemon=True)
        try:
            await self._follow_changes()
        finally:
            await restores.cancel()

    async def _follow_restores(self) -> None:
        """Check the row again each time that the store was restored."""
        while True:
            era = await self._follower.wait_beyond_era(self._checked_era)
            await curio.sleep(_REWRITE_SPREAD * self._rng.random())
            self._checked_era = era
            await self._wake.set()

    async def _follow_changes(self) -> None:
        while True:
            try:
                async with curio.timeout_after(_CHECK_INTERVAL):
                    await self._wake.wait()
            except curio.TaskTimeout:
                # Nothing was signalled; check for rows that reappeared.
                pass
            self._wake.clear()
            await self._follower.wait_synced()
            while not await self._publish():
                await self._backoff.wait()
                await self._follower.wait_while_failing()
            self._backoff.reset()
            if not self._wake.is_set():
                await self._published.set()

    async def _publish(self) -> bool:
        """Update the row; false when that failed."""
        wanted = self._decide_wanted(read_clock())
        if find_era(self._version) < self._checked_era and self._written:
            # The directory tells what the restored store has of it.
            self._written, self._version = None, Version(0)
            self._written_again = True
        old = self._written
        if old is not None and (wanted is None or wanted.id != old.id):
            if not await self._write(old, None):
                return False
            self._written, self._version = None, Version(0)
        for server_id in list(self._own_versions):
            own = wanted is not None and wanted.id == server_id
            if not own and not await self._remove_restored(server_id):
                return False
        if wanted is not None and (
            self._was_removed(wanted) or self._says_leaving(wanted)
        ):
            self._written, self._version = None, Version(0)
        if wanted is None or wanted == self._written:
            return True
        if self._written is None and self._adopt(wanted):
            return True
        # A former process of this node may have ended before its server left.
        for other in self._directory.list_at(wanted.relay):
            if other.id != wanted.id and not await remove_row(
                self._store, self._directory, other
            ):
                return False
        return wanted == self._written or await self._write(wanted, wanted)

    async def _remove_restored(self, server_id: ServerId) -> bool:
        """Remove a former row if it is back; false when that failed."""
        row = self._directory.find(server_id)
        if row is None:
            return True
        version = self._directory.find_version(server_id)
        if not await remove_row(self._store, self._directory, row):
            return False
        if find_era(version) > find_era(self._own_versions[server_id]):
            metrics.ROWS_RESTORED.labels("removed").inc()
            log_state("row-removed-again", server_id, describe_version(version))
        self._own_versions[server_id] = max(
            version, self._own_versions[server_id]
        )
        return True

    def _decide_wanted(self, now: Seconds) -> HomeServer | None:
        """Return what the row is to say, None when there is to be none."""
        server = self._find_local()
        if server is not None:
            self._leaving = self._left_at = None
            return server
        if self._leaving is None and self._left_at is None and self._written:
            self._leaving = dataclasses.replace(self._written, draining=True)
        if self._leaving is None:
            return None
        if self._left_at is None:
            self._left_at = now
            # The row has said so before the departure.
            self._left_drained = self._leaving == self._written
        has_ended = self._stopping and self._left_drained
        if has_ended or now - self._left_at >= _LEFT_ROW_RETENTION:
            self._leaving = None
        return self._leaving

    def _was_removed(self, server: HomeServer) -> bool:
        """Tell whether another node has removed the row that was written.

        It does so when it has not heard of this node for long.
        """
        return (
            server == self._written
            and self._directory.find(server.id) is None
            and self._directory.version > self._version
            and find_era(self._directory.version) == find_era(self._version)
        )

    def _says_leaving(self, server: HomeServer) -> bool:
        """Tell whether another node has written that the server leaves.

        It does so when a restore of the store has lost the departure, which a
        former process of this node has acknowledged.
        """
        row = self._directory.find(server.id)
        return (
            server == self._written
            and row is not None
            and row.draining
            and not server.draining
            and server.incarnation <= row.incarnation
            and self._directory.find_version(server.id) > self._version
        )

    def _adopt(self, wanted: HomeServer) -> bool:
        """Adopt the row that a former process has written.

        Returns
        -------
        bool
            Whether the row says that the server was leaving: its heartbeat was
            delayed, and the row stays.
        """
        found = self._directory.find(wanted.id)
        era = find_era(self._directory.version)
        recorded = False
        if era >= self._store.eras.current:
            self._version = self._directory.find_version(wanted.id)
            recorded = self._directory.is_recorded(wanted.id)
        if found == wanted and recorded:
            self._written, self._written_again = wanted, False
        if (
            found is None
            or not found.draining
            or wanted.draining
            or not 0 < wanted.incarnation <= found.incarnation
        ):
            return False
        if recorded:
            self._written = found
        else:
            # The row has to say so again.
            self._leaving = found
        log_state(
            "server-was-leaving", found.id, describe_version(self._version)
        )
        self._mark_leaving(found.id, found.incarnation)
        return True

    async def _write(
        self, named: HomeServer, wanted: HomeServer | None
    ) -> bool:
        value = None if wanted is None else encode_row(wanted)
        self._own_versions.setdefault(named.id, self._version)
        if len(self._own_versions) > _MAX_WRITTEN_IDS:
            del self._own_versions[next(iter(self._own_versions))]
        result = await self._store.write(
            SERVER_TABLE, named.id, value, self._version
        )
        if isinstance(result, Success):
            metrics.STORE_CALLS.labels("write", "done").inc()
            self._written, self._version = wanted, result.unwrap()
            if wanted is None:
                self._directory.remove(named.id, self._version)
            self._own_versions[named.id] = self._version
            event = "row-removed" if wanted is None else "row-written"
            if self._written_again and wanted is not None:
                event = "row-written-again"
                kind = "leaving" if wanted.draining else "serving"
                metrics.ROWS_RESTORED.labels(kind).inc()
            self._written_again = False
            log_state(event, named.id, describe_version(self._version))
            return True
        error = result.failure()
        metrics.STORE_CALLS.labels("write", error.kind.value).inc()
        log_state("row-not-written", named.id, reason=error.message)
        if error.kind is not StoreErrorKind.UNAVAILABLE:
            await self._read_back(named)
        return False

    async def _read_back(self, named: HomeServer) -> None:
        """Read the row's version after a write whose outcome is unknown."""
        result = await self._store.read(SERVER_TABLE, named.id, limit=1)
        if isinstance(result, Failure):
            metrics.STORE_CALLS.labels("read", "failed").inc()
            return
        metrics.STORE_CALLS.labels("read", "done").inc()
        rows = [row for row in result.unwrap().rows if row.key == named.id]
        self._version = rows[0].version if rows else Version(0)
        self._written = decode_server(rows[0]) if rows else None
