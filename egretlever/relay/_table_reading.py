"""Full read of a table in the platform's store, page by page."""

import dataclasses

from returns.result import Failure, Result, Success

from egretlever.core import (
    Seconds,
    Version,
    describe_version,
    find_era,
    make_log,
)
from egretlever.platform import RowPage, RowStore, StoredRow, StoreError
from egretlever.relay import _metrics as metrics
from egretlever.relay._freshness import ReadTimes
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("store")


@dataclasses.dataclass(frozen=True, slots=True)
class WholeTable:
    """All rows of a table.

    Parameters
    ----------
    rows : tuple of StoredRow
        Rows in key order.
    version : Version
        Store version of the first page; later changes have to be followed.
    times : ReadTimes
        When the table was read.
    """

    rows: tuple[StoredRow, ...]
    version: Version
    times: ReadTimes


async def read_table(
    store: RowStore, table: str, timeout: Seconds | None
) -> Result[WholeTable, StoreError]:
    """Read a whole table; pages of two eras of the store are never mixed.

    Parameters
    ----------
    store : RowStore
        The store.
    table : str
        Name of the table.
    timeout : Seconds, optional
        Timeout of each call, None for the usual one.
    """
    rows: list[StoredRow] = []
    first = ""
    version: Version | None = None
    asked_at = read_clock()
    while True:
        result = await store.read(table, first, timeout=timeout)
        if isinstance(result, Failure):
            return result
        page = result.unwrap()
        record_rows(table, page)
        if version is not None and find_era(page.version) != find_era(version):
            # The store was restored between two pages.
            rows, first, version = [], "", None
            asked_at = read_clock()
            continue
        rows.extend(page.rows)
        version = page.version if version is None else version
        if not page.more or not page.last_key:
            times = ReadTimes(asked_at, read_clock())
            return Success(WholeTable(tuple(rows), version, times))
        # The smallest key after the last one.
        first = page.last_key + "\0"


def record_rows(table: str, page: RowPage) -> None:
    """Count and log an answer with rows."""
    if not page.rows:
        return
    metrics.STORE_BYTES.labels(table).inc(page.size)
    _LOG.event(
        logs_pb2.StateLine(
            event="rows-read",
            subject=table,
            version=describe_version(page.version),
            count=len(page.rows),
            bytes=page.size,
            transfer_s=round(page.transfer_time, 4),
        )
    )
