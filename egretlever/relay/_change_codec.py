"""Conversion between changes of shared tables and protobuf messages."""

from egretlever.core import (
    Seconds,
    StoreEra,
    find_era,
    find_number,
    join_version,
)
from egretlever.platform import StoredRow
from egretlever.relay._changes import (
    Handover,
    Position,
    SharedTable,
    TableChange,
)
from egretlever.relay._codec import to_clock_milliseconds, to_seconds
from egretlever.schema import relay_pb2

# Table of each kind of frame that holds a change or a subscription.
TABLES_BY_CHANGE = {
    "directory_change": SharedTable.DIRECTORY,
    "configuration_change": SharedTable.CONFIGURATION,
}
TABLES_BY_SUBSCRIPTION = {
    "directory_subscription": SharedTable.DIRECTORY,
    "configuration_subscription": SharedTable.CONFIGURATION,
}


def _encode_change(change: TableChange) -> relay_pb2.DirectoryChange:
    rows = [
        relay_pb2.DirectoryRow(
            key=row.key,
            value=row.value,
            version=find_number(row.version),
            removed=row.removed,
            era=find_era(row.version),
        )
        for row in change.rows
    ]
    return relay_pb2.DirectoryChange(
        base=find_number(change.base),
        base_era=find_era(change.base),
        version=find_number(change.version),
        version_era=find_era(change.version),
        rows=rows,
        unavailable=not change.available,
        searching=change.searching,
        store_era=change.store_era,
        whole=change.whole,
    )


def encode_change(
    table: SharedTable, change: TableChange, now: Seconds
) -> relay_pb2.RelayFrame:
    """Encode a change of a shared table, with a reading of the clock."""
    encoded = _encode_change(change)
    if change.timed:
        encoded.clock_ms = to_clock_milliseconds(now)
    if change.position is not None:
        encoded.as_of_ms = to_clock_milliseconds(change.position.as_of)
        encoded.hops = change.position.hops
    if table is SharedTable.DIRECTORY:
        return relay_pb2.RelayFrame(directory_change=encoded)
    return relay_pb2.RelayFrame(configuration_change=encoded)


def encode_subscription(
    table: SharedTable, subscription: relay_pb2.DirectorySubscription
) -> relay_pb2.RelayFrame:
    """Encode a subscription to the changes of a shared table, or its end."""
    if table is SharedTable.DIRECTORY:
        return relay_pb2.RelayFrame(directory_subscription=subscription)
    return relay_pb2.RelayFrame(configuration_subscription=subscription)


def decode_change(change: relay_pb2.DirectoryChange) -> TableChange:
    """Decode a change of a shared table; its times are of its sender."""
    rows = tuple(
        StoredRow(
            row.key,
            row.value,
            join_version(StoreEra(row.era), row.version),
            row.removed,
        )
        for row in change.rows
    )
    return TableChange(
        join_version(StoreEra(change.base_era), change.base),
        join_version(StoreEra(change.version_era), change.version),
        rows,
        not change.unavailable,
        Position(to_seconds(change.as_of_ms), change.hops)
        if change.as_of_ms
        else None,
        change.clock_ms > 0,
        change.searching,
        StoreEra(change.store_era),
        change.whole,
    )


def encode_handover(handover: Handover) -> relay_pb2.RelayFrame:
    """Encode a handover."""
    return relay_pb2.RelayFrame(
        handover=relay_pb2.Handover(
            configuration=_encode_change(handover.configuration),
            directory=_encode_change(handover.directory),
        )
    )


def decode_handover(handover: relay_pb2.Handover) -> Handover:
    """Decode a handover."""
    return Handover(
        decode_change(handover.configuration),
        decode_change(handover.directory),
    )
