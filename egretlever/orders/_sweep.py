"""Removal of expired claims, which bounds their number."""

import dataclasses
import hashlib
import time
from collections.abc import Callable, Iterable

from returns.result import Failure, Result, Success

from egretlever.core import Interval, NodeId, Seconds, check_parameters
from egretlever.orders._encoding import ROW_PREFIX, decode_claim, encode_sweep
from egretlever.platform import Row, StoreError, TableStore

RETENTION = Seconds(7 * 86400.0)
# One page a second covers 8.6 million rows a day: the claims of 100 orders/s.
PAGE_SIZE = 100
FENCE_KEY = "order-sweep/fence"


@dataclasses.dataclass(frozen=True, slots=True)
class SweepReport:
    """Result of one page of a sweep.

    Parameters
    ----------
    read : int
        Rows of the page.
    removed : int
        Expired claims that were removed.
    finished : bool
        Whether the page was the last one.
    """

    read: int
    removed: int
    finished: bool


class ClaimSweep:
    """Removes claims that are older than the retention, page by page.

    A removal can't make an order run twice:

    - Callers retry a key for a day at most and the retention is 7 days, which
      allows for days of clock skew between hosts.
    - A node dispatches an order within an hour of its claim or not at all.
    - A removal is conditional on the version of each row, so that a row written
      after the page was read is kept.
    - Row versions restart after a removal. Each removal therefore also writes
      the fence row, conditional on its version read before the page. This
      refuses delayed removals and those of another sweeper, so that two nodes
      which both consider themselves the sweeper don't conflict.

    Parameters
    ----------
    store : TableStore
        Table service.
    node_id : NodeId
        Id of the sweeping node.
    retention : Seconds
        Age from which claims are removed.
    page_size : int
        Rows read in one step.
    read_unix_time : callable
        Returns the Unix time in seconds.
    """

    def __init__(
        self,
        store: TableStore,
        node_id: NodeId,
        retention: Seconds,
        page_size: int,
        read_unix_time: Callable[[], float],
    ) -> None:
        check_parameters(
            "ClaimSweep",
            {"retention": retention, "page_size": page_size},
            # Callers retry a key for up to a day.
            {
                "retention": Interval(2 * 86400),
                "page_size": Interval(1, 1000),
            },
        )
        self._store = store
        self._node_id = node_id
        self._retention = retention
        self._page_size = page_size
        self._read_unix_time = read_unix_time
        self._cursor = ""

    async def expire(self) -> Result[SweepReport, StoreError]:
        """Read one page and remove its expired claims.

        Returns
        -------
        Result of SweepReport or StoreError
            Report of the page. After an error the next call reads the same
            page again.
        """
        fence = await self._store.read(FENCE_KEY)
        if isinstance(fence, Failure):
            return fence
        page = await self._store.scan(ROW_PREFIX, self._page_size, self._cursor)
        if isinstance(page, Failure):
            return page
        rows = page.unwrap()
        now = self._read_unix_time()
        expired = select_expired(rows, now - self._retention)
        if expired:
            removal = {row.key: b"" for row in expired}
            removal[FENCE_KEY] = encode_sweep(self._node_id, now)
            conditions = {row.key: row.version for row in expired}
            conditions[FENCE_KEY] = fence.unwrap().version
            written = await self._store.write(removal, conditions)
            if isinstance(written, Failure):
                return written
        finished = len(rows) < self._page_size
        self._cursor = "" if finished else rows[-1].key
        return Success(SweepReport(len(rows), len(expired), finished))


def select_expired(rows: Iterable[Row], before: float) -> list[Row]:
    """Select the claims made before a Unix time.

    Rows that can't be decoded have no known age and are kept.
    """
    found = []
    for row in rows:
        claim = decode_claim(row.value)
        if claim is not None and claim.claimed_at < before:
            found.append(row)
    return found


def choose_sweeper(nodes: Iterable[NodeId]) -> NodeId | None:
    """Choose the sweeping node by rendezvous hashing over live nodes.

    Nodes with different membership views may choose different sweepers for some
    time, which is safe: see ``ClaimSweep``.

    Parameters
    ----------
    nodes : iterable of NodeId
        Live nodes.

    Returns
    -------
    NodeId or None
        The chosen node, None without nodes.

    Examples
    --------
    >>> nodes = [NodeId("a"), NodeId("b"), NodeId("c")]
    >>> choose_sweeper(nodes) == choose_sweeper(reversed(nodes))
    True
    """

    def weigh(node: NodeId) -> bytes:
        return hashlib.sha256(f"{FENCE_KEY}\0{node}".encode()).digest()

    return max(nodes, key=weigh, default=None)


def make_claim_sweep(
    store: TableStore,
    node_id: NodeId,
    retention: Seconds = RETENTION,
    page_size: int = PAGE_SIZE,
    read_unix_time: Callable[[], float] = time.time,
) -> ClaimSweep:
    """Make the sweep of one node.

    Parameters
    ----------
    store : TableStore
        Table service.
    node_id : NodeId
        Id of the sweeping node.
    retention : Seconds, default=7 days
        Age from which claims are removed, at least 2 days.
    page_size : int, default=100
        Rows read in one step.
    read_unix_time : callable, default=time.time
        Returns the Unix time in seconds.

    Returns
    -------
    ClaimSweep
        A sweep that starts at the first claim.

    Raises
    ------
    FindingsError
        When a parameter is out of its interval.
    """
    return ClaimSweep(store, node_id, retention, page_size, read_unix_time)
