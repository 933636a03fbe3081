"""What a node reads from the platform's store and keeps there."""

import collections
import random
from collections.abc import Callable

import curio
from returns.result import Failure, Success

from egretlever.core import Seconds, ServerId, Version, make_log
from egretlever.placement import Configuration, Directory, HomeServer
from egretlever.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    RowPage,
    RowStore,
    StoredRow,
    StoreError,
    StoreErrorKind,
    decode_configuration,
)
from egretlever.relay import _metrics as metrics
from egretlever.relay._codec import decode_row, encode_row
from egretlever.schema import logs_pb2

_LOG = make_log("store")
SERVER_TABLE = "egretlever-servers"
# Calls of the store are paid, and one change answers the waiting calls of all
# nodes. Keepalive probes find a connection that went silent meanwhile.
_FOLLOW_WAIT = Seconds(25.0)
# Changes of servers within this time are read together. Home nodes refuse for
# servers that have left, so that an entry node may learn of it late.
_GATHER_TIME = Seconds(2.0)
# Waits after failed calls: the first one, and the longest. They are drawn at
# random up to their bound, so that nodes do not all return at once.
_FIRST_PAUSE = Seconds(0.2)
# Time between looks at the directory for rows that came back; it calls no one.
_CHECK_INTERVAL = Seconds(2.0)
_MAX_TRIED = 16  # servers of one host whose rows are looked for
_MAX_PAUSE = Seconds(1.5)


def _log_state(
    event: str, subject: str, version: str = "", reason: str = ""
) -> None:
    _LOG.event(
        logs_pb2.StateLine(
            event=event, subject=subject, version=version, reason=reason
        )
    )


class _Pauses:
    """Waits between failed calls, with full jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._bound = _FIRST_PAUSE

    async def wait(self) -> None:
        await curio.sleep(self._bound * (0.5 + 0.5 * self._rng.random()))
        self._bound = Seconds(min(_MAX_PAUSE, 2 * self._bound))

    def reset(self) -> None:
        self._bound = _FIRST_PAUSE


class TableFollower:
    """Keeps up with one table of the store.

    Parameters
    ----------
    store : RowStore
        The store.
    table : str
        Table to follow.
    replace : callable
        Takes all rows of a whole reading and its store version.
    update : callable
        Takes changed rows, in order, and the store version.
    gather_time : Seconds
        Wait between two calls that both found changes.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    synced : bool
        Whether the table was read at least once.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        replace: Callable[[list[StoredRow], Version], None],
        update: Callable[[tuple[StoredRow, ...], Version], None],
        gather_time: Seconds,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._replace = replace
        self._update = update
        self._gather_time = gather_time
        self._pauses = _Pauses(rng)
        self._version: Version | None = None
        self._failing = False
        self.synced = False

    async def follow_forever(self) -> None:
        """Read the table, then follow its changes, for ever."""
        while True:
            if self._version is None:
                await self._read_all()
            else:
                await self._read_changes(self._version)

    async def _read_all(self) -> None:
        rows: list[StoredRow] = []
        first = ""
        while True:
            result = await self._store.read(self._table, first)
            if isinstance(result, Failure):
                await self._handle_failure("read", result.failure())
                return
            page = result.unwrap()
            rows.extend(page.rows)
            if not page.more or not page.rows:
                break
            # The smallest key behind the last one.
            first = page.rows[-1].key + "\0"
        self._succeed("read")
        self._replace(rows, page.version)
        self._version = page.version
        self.synced = True

    async def _read_changes(self, version: Version) -> None:
        result = await self._store.follow(self._table, version, _FOLLOW_WAIT)
        if isinstance(result, Failure):
            await self._handle_failure("follow", result.failure())
            return
        page: RowPage = result.unwrap()
        self._succeed("follow")
        self._version = max(version, page.version)
        if page.rows:
            self._update(page.rows, page.version)
            await curio.sleep(self._gather_time)

    def _succeed(self, call: str) -> None:
        metrics.STORE_CALLS.labels(call, "done").inc()
        self._pauses.reset()
        if self._failing:
            self._failing = False
            _log_state("store-regained", self._table)

    async def _handle_failure(self, call: str, error: StoreError) -> None:
        metrics.STORE_CALLS.labels(call, error.kind.value).inc()
        if error.kind is StoreErrorKind.HISTORY_LOST:
            _log_state("history-lost", self._table)
            self._version = None
        elif not self._failing:
            self._failing = True
            _log_state("store-lost", self._table, reason=error.message)
        await self._pauses.wait()


def make_configuration_follower(
    store: RowStore,
    configure: Callable[[Configuration], bool],
    rng: random.Random,
) -> TableFollower:
    """Make the follower that puts configurations in force.

    Parameters
    ----------
    store : RowStore
        The store.
    configure : callable
        Takes a configuration; false when it is not newer.
    rng : random.Random
        Source of jitter.
    """

    def take(rows: list[StoredRow] | tuple[StoredRow, ...], _: Version) -> None:
        for row in rows:
            if row.key == CONFIGURATION_KEY and not row.removed:
                _take_configuration(row, configure)

    return TableFollower(
        store, CONFIGURATION_TABLE, take, take, Seconds(0.0), rng
    )


def _take_configuration(
    row: StoredRow, configure: Callable[[Configuration], bool]
) -> None:
    result = decode_configuration(row.value)
    if isinstance(result, Failure):
        # The version before it stays in force.
        for finding in result.failure():
            _log_state("configuration-refused", row.key, reason=str(finding))
        return
    configuration = result.unwrap()
    if configure(configuration):
        metrics.CONFIGURATION_VERSION.set(configuration.version)
        _log_state(
            "configuration-in-force",
            row.key,
            version=f"{configuration.version:08x}",
        )


def make_directory_follower(
    store: RowStore,
    directory: Directory,
    forget: Callable[[ServerId], None],
    rng: random.Random,
) -> TableFollower:
    """Make the follower that keeps the directory of servers.

    Parameters
    ----------
    store : RowStore
        The store.
    directory : Directory
        Directory to keep.
    forget : callable
        Takes the id of each server that has left.
    rng : random.Random
        Source of jitter.
    """

    def replace(rows: list[StoredRow], version: Version) -> None:
        found = []
        for row in rows:
            server = _decode(row)
            if server is not None:
                found.append((server, row.version))
        directory.replace(found, version)
        metrics.SERVERS.set(len(directory))

    def update(rows: tuple[StoredRow, ...], version: Version) -> None:
        for row in rows:
            if row.removed:
                server_id = ServerId(row.key)
                if directory.remove(server_id, row.version):
                    forget(server_id)
                    _log_state("server-removed", row.key, str(row.version))
                continue
            server = _decode(row)
            if server is not None and directory.update(server, row.version):
                _log_state("server-known", server.id, str(row.version))
        metrics.SERVERS.set(len(directory))

    return TableFollower(
        store, SERVER_TABLE, replace, update, _GATHER_TIME, rng
    )


def _decode(row: StoredRow) -> HomeServer | None:
    result = decode_row(row.value)
    if isinstance(result, Success):
        return result.unwrap()
    _log_state("row-refused", row.key, reason=result.failure())
    return None


class ServerPublisher:
    """Keeps the row of the server on this host.

    Each write is conditional on the version of the row before it, so that a
    write whose answer was lost can't take effect after a later one. The
    condition of a first write holds until the row exists, and again after its
    removal; rows that such a write brings back are removed when the directory
    shows them.

    Parameters
    ----------
    store : RowStore
        The store.
    find_local : callable
        Returns the server on this host, None when there is none or it leaves.
    directory : Directory
        Tells which row a former process of this node has written.
    follower : TableFollower
        Keeps the directory.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        store: RowStore,
        find_local: Callable[[], HomeServer | None],
        directory: Directory,
        follower: TableFollower,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._find_local = find_local
        self._directory = directory
        self._follower = follower
        self._pauses = _Pauses(rng)
        self._wake = curio.Event()
        self._written: HomeServer | None = None
        self._version = Version(0)
        self._tried: collections.deque[ServerId] = collections.deque(
            maxlen=_MAX_TRIED
        )

    async def notify(self) -> None:
        """Say that the server on this host may have changed."""
        await self._wake.set()

    async def publish_forever(self) -> None:
        """Write the row whenever the server has changed, for ever."""
        while True:
            try:
                async with curio.timeout_after(_CHECK_INTERVAL):
                    await self._wake.wait()
            except curio.TaskTimeout:
                # No change is known; rows that came back are looked for.
                pass
            self._wake.clear()
            while not self._follower.synced:
                await curio.sleep(_FIRST_PAUSE)
            while not await self._publish():
                await self._pauses.wait()
            self._pauses.reset()

    async def _publish(self) -> bool:
        """Bring the row up to date; false when that failed."""
        wanted = self._find_local()
        old = self._written
        if old is not None and (wanted is None or wanted.id != old.id):
            if not await self._write(old, None):
                return False
            self._written, self._version = None, Version(0)
        for server_id in self._tried:
            back = self._directory.find(server_id)
            own = wanted is not None and wanted.id == server_id
            if back is not None and not own and not await self._remove(back):
                return False
        if wanted is None or wanted == self._written:
            return True
        # A former process of this node may have left before its server did.
        for other in self._directory.list_at(wanted.relay):
            if other.id != wanted.id and not await self._remove(other):
                return False
        if self._written is None:
            self._adopt(wanted)
        return wanted == self._written or await self._write(wanted, wanted)

    async def _remove(self, other: HomeServer) -> bool:
        """Remove a row that this process did not write."""
        version = self._directory.find_version(other.id)
        result = await self._store.write(SERVER_TABLE, other.id, None, version)
        kind = "done" if isinstance(result, Success) else "failed"
        metrics.STORE_CALLS.labels("write", kind).inc()
        if isinstance(result, Failure):
            message = result.failure().message
            _log_state("row-not-removed", other.id, reason=message)
            return result.failure().kind is StoreErrorKind.REFUSED_CONDITION
        _log_state("row-removed", other.id, str(result.unwrap()))
        self._directory.remove(other.id, result.unwrap())
        return True

    def _adopt(self, wanted: HomeServer) -> None:
        """Take over the row that a former process has written."""
        self._version = self._directory.find_version(wanted.id)
        if self._directory.find(wanted.id) == wanted:
            self._written = wanted

    async def _write(
        self, named: HomeServer, wanted: HomeServer | None
    ) -> bool:
        value = None if wanted is None else encode_row(wanted)
        if named.id not in self._tried:
            self._tried.append(named.id)
        result = await self._store.write(
            SERVER_TABLE, named.id, value, self._version
        )
        if isinstance(result, Success):
            metrics.STORE_CALLS.labels("write", "done").inc()
            self._written, self._version = wanted, result.unwrap()
            if wanted is None:
                self._directory.remove(named.id, self._version)
            event = "row-removed" if wanted is None else "row-written"
            _log_state(event, named.id, str(self._version))
            return True
        error = result.failure()
        metrics.STORE_CALLS.labels("write", error.kind.value).inc()
        _log_state("row-not-written", named.id, reason=error.message)
        if error.kind is not StoreErrorKind.UNAVAILABLE:
            await self._reread(named)
        return False

    async def _reread(self, named: HomeServer) -> None:
        """Find which version the row has after a write that may have worked."""
        result = await self._store.read(SERVER_TABLE, named.id, limit=1)
        if isinstance(result, Failure):
            metrics.STORE_CALLS.labels("read", "failed").inc()
            return
        metrics.STORE_CALLS.labels("read", "done").inc()
        rows = [row for row in result.unwrap().rows if row.key == named.id]
        self._version = rows[0].version if rows else Version(0)
        self._written = _decode(rows[0]) if rows else None
