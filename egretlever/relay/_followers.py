"""Followers of the configuration and of the directory."""

import random
from collections.abc import Callable, Iterable

from returns.result import Failure, Success

from egretlever.core import Seconds, ServerId, Version, make_log
from egretlever.placement import Configuration, Directory, HomeServer
from egretlever.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    RowStore,
    StoredRow,
    decode_configuration,
)
from egretlever.relay import _metrics as metrics
from egretlever.relay._codec import decode_row
from egretlever.relay._sharing import TableSharing
from egretlever.relay._table_follower import TableFollower, log_state
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("store")
SERVER_TABLE = "egretlever-servers"
# Changes of servers within this time are read together. The delay is harmless:
# home nodes refuse requests for servers that have left, and new servers become
# known before their slow start is over.
_SERVER_BATCH_TIME = Seconds(4.0)
# Configurations are read together within this share of the time in which they
# have to take effect.
_CONFIGURATION_BATCH_SHARE = 0.35
_DEFAULT_IN_FORCE_WITHIN = Seconds(2.0)
# A batch of more changed servers has one log line. At the start of a fleet each
# node learns of every server.
_MAX_LOGGED_SERVERS = 8


def make_configuration_follower(
    store: RowStore,
    configure: Callable[[Configuration], bool],
    rng: random.Random,
    in_force_within: Seconds = _DEFAULT_IN_FORCE_WITHIN,
    record: Callable[[StoredRow], None] = lambda row: None,
) -> TableFollower:
    """Make the follower that applies configurations.

    Parameters
    ----------
    store : RowStore
        The store.
    configure : callable
        Applies a configuration; returns false when it is not newer.
    rng : random.Random
        Source of jitter.
    in_force_within : Seconds, default=2
        Time in which a new configuration has to take effect.
    record : callable, optional
        Called with the row of each configuration that takes effect.
    """

    def apply_rows(
        rows: list[StoredRow] | tuple[StoredRow, ...], _: Version
    ) -> None:
        for row in rows:
            if (
                row.key == CONFIGURATION_KEY
                and not row.removed
                and apply_configuration(row, configure)
            ):
                record(row)

    return TableFollower(
        store,
        CONFIGURATION_TABLE,
        apply_rows,
        apply_rows,
        Seconds(_CONFIGURATION_BATCH_SHARE * in_force_within),
        rng,
    )


def apply_configuration(
    row: StoredRow, configure: Callable[[Configuration], bool]
) -> bool:
    """Apply a configuration; false when it is invalid or not newer."""
    begun = read_clock()
    result = decode_configuration(row.value)
    if isinstance(result, Failure):
        # The previous version stays in effect.
        for finding in result.failure():
            log_state("configuration-refused", row.key, reason=str(finding))
        return False
    configuration = result.unwrap()
    if not configure(configuration):
        return False
    metrics.CONFIGURATION_VERSION.set(configuration.version)
    _LOG.event(
        logs_pb2.StateLine(
            event="configuration-in-force",
            subject=row.key,
            version=f"{configuration.version:08x}",
            count=len(configuration.routes),
            took_s=round(read_clock() - begun, 4),
        )
    )
    return True


def make_directory_follower(
    store: RowStore,
    directory: Directory,
    forget: Callable[[ServerId], None],
    rng: random.Random,
    leader: TableFollower | None = None,
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
    leader : TableFollower, optional
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
                str(version),
                f"{len(changes)} changes; {len(directory)} servers known",
            )
        else:
            for event, row in changes:
                log_state(event, row.key, str(row.version))
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
    )


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
    if isinstance(result, Success):
        return result.unwrap()
    log_state("row-refused", row.key, reason=result.failure())
    return None
