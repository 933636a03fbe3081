"""Follower of the directory."""

import dataclasses
import random
from collections.abc import Callable, Iterable

from returns.result import Failure, Success

from egretlever.core import Seconds, ServerId, Version, describe_version
from egretlever.placement import Directory, HomeServer
from egretlever.platform import RowStore, StoredRow
from egretlever.relay import _metrics as metrics
from egretlever.relay._changes import TableChange
from egretlever.relay._codec import decode_row, encode_row
from egretlever.relay._sharing import TableSharing
from egretlever.relay._store_calls import log_state
from egretlever.relay._table_follower import FailureObserver, TableFollower

SERVER_TABLE = "egretlever-servers"
# Changes of servers within this time are read together. The delay is harmless:
# home nodes refuse requests for servers that have left, and new servers become
# known before their slow start is over.
_SERVER_BATCH_TIME = Seconds(4.0)
# A batch of more changed servers has one log line. At the start of a fleet each
# node learns of every server.
_MAX_LOGGED_SERVERS = 8


def make_directory_follower(
    store: RowStore,
    directory: Directory,
    forget: Callable[[ServerId], None],
    rng: random.Random,
    leader: FailureObserver | None = None,
    sharing: TableSharing | None = None,
) -> TableFollower:
    """Make the follower that updates the directory of servers.

    Parameters
    ----------
    store : RowStore
        The store.
    directory : Directory
        Directory to update.
    forget : callable
        Called with the id of each server that has left.
    rng : random.Random
        Source of jitter.
    leader : FailureObserver, optional
        Follower that tries alone while the store fails.
    sharing : TableSharing, optional
        Shares changes with the other nodes of the failure domain.
    """

    def replace(rows: list[StoredRow], version: Version) -> None:
        for server_id in directory.replace(decode_servers(rows), version):
            forget(server_id)
        metrics.SERVERS.set(len(directory))

    def update(rows: tuple[StoredRow, ...], version: Version) -> None:
        changes = [
            (event, row)
            for row in rows
            if (event := apply_change(row)) is not None
        ]
        directory.version = max(directory.version, version)
        if len(changes) > _MAX_LOGGED_SERVERS:
            log_state(
                "servers-changed",
                SERVER_TABLE,
                describe_version(version),
                f"{len(changes)} changes; {len(directory)} servers known",
            )
        else:
            for event, row in changes:
                log_state(event, row.key, describe_version(row.version))
        metrics.SERVERS.set(len(directory))

    def drop_missing(version: Version) -> None:
        for server_id in directory.drop_missing(version):
            forget(server_id)
            log_state(
                "server-not-written-again", server_id, describe_version(version)
            )
        metrics.SERVERS.set(len(directory))

    def apply_change(row: StoredRow) -> str | None:
        """Apply a changed row, and return the event for the log, if any."""
        if row.removed:
            server_id = ServerId(row.key)
            if not directory.remove(server_id, row.version):
                return None
            forget(server_id)
            return "server-removed"
        server = decode_server(row)
        if server is None or not directory.update(server, row.version):
            return None
        return "server-known"

    return TableFollower(
        store,
        SERVER_TABLE,
        replace,
        update,
        _SERVER_BATCH_TIME,
        rng,
        leader,
        sharing,
        drop_missing=drop_missing,
    )


def describe_directory(directory: Directory) -> TableChange:
    """Return all rows that a node knows, also those that a restore has lost."""
    rows = tuple(
        StoredRow(
            server.id, encode_row(server), directory.find_version(server.id)
        )
        for server in directory.list_all()
    )
    return TableChange(Version(0), directory.version, rows, whole=True)


def describe_table(directory: Directory) -> TableChange:
    """Return all rows of the directory's table as the store has them."""
    rows = []
    for server in directory.list_all():
        if directory.is_missing(server.id):
            continue
        if not directory.is_recorded(server.id):
            # The row that came back with the copy does not say that it leaves.
            server = dataclasses.replace(server, draining=False)
        version = directory.find_version(server.id)
        rows.append(StoredRow(server.id, encode_row(server), version))
    return TableChange(Version(0), directory.version, tuple(rows), whole=True)


def decode_servers(
    rows: Iterable[StoredRow],
) -> list[tuple[HomeServer, Version]]:
    """Decode rows of servers; invalid ones are logged and skipped."""
    return [
        (server, row.version)
        for row in rows
        if (server := decode_server(row)) is not None
    ]


def decode_server(row: StoredRow) -> HomeServer | None:
    """Decode the row of a server; an invalid one is logged and skipped."""
    result = decode_row(row.value)
    if isinstance(result, Success) and result.unwrap().id == row.key:
        return result.unwrap()
    reason = "it names another server"
    if isinstance(result, Failure):
        reason = result.failure()
    log_state("row-refused", row.key, reason=reason)
    return None
