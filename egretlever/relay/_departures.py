"""Departures that the store has lost in a restore from an older copy."""

from returns.result import Failure

from egretlever.core import NO_ERA, FailureDomain, describe_version
from egretlever.placement import Directory, HomeServer
from egretlever.platform import RowStore
from egretlever.relay import _metrics as metrics
from egretlever.relay._codec import encode_row
from egretlever.relay._followers import SERVER_TABLE
from egretlever.relay._publishing import remove_row
from egretlever.relay._sharing import TableSharing
from egretlever.relay._store_calls import log_state
from egretlever.relay._table_follower import TableFollower


class DepartureRecorder:
    """Writes to rows that came back with an older copy that their servers left.

    Rows that had been removed are removed again.

    The home node of such a server may have ended, and its next process knows
    the departure from the store only. The node that reads the directory for its
    failure domain remembers it.

    Parameters
    ----------
    store : RowStore
        The store.
    directory : Directory
        Rows of all servers, and departures that the store has lost.
    failure_domain : FailureDomain
        Failure domain of this node.
    sharing : TableSharing
        Knows whether this node reads the directory for the others.
    follower : TableFollower
        Keeps the directory up to date.
    """

    def __init__(
        self,
        store: RowStore,
        directory: Directory,
        failure_domain: FailureDomain,
        sharing: TableSharing,
        follower: TableFollower,
    ) -> None:
        self._store = store
        self._directory = directory
        self._failure_domain = failure_domain
        self._sharing = sharing
        self._follower = follower

    async def record_forever(self) -> None:
        """Write lost departures after each restore until cancelled."""
        era = NO_ERA
        while True:
            era = await self._follower.wait_beyond_era(era)
            if not self._sharing.reads_store:
                continue
            for server in self._directory.list_all():
                if not self._has_lost_departure(server):
                    continue
                if self._directory.has_returned(server.id):
                    await remove_row(self._store, self._directory, server)
                else:
                    await self._record(server)

    def _has_lost_departure(self, server: HomeServer) -> bool:
        return (
            server.draining
            and server.failure_domain == self._failure_domain
            and not self._directory.is_recorded(server.id)
            and not self._directory.is_missing(server.id)
        )

    async def _record(self, server: HomeServer) -> None:
        version = self._directory.find_version(server.id)
        result = await self._store.write(
            SERVER_TABLE, server.id, encode_row(server), version
        )
        if isinstance(result, Failure):
            # The home node has written it, or still does.
            error = result.failure()
            metrics.STORE_CALLS.labels("write", error.kind.value).inc()
            log_state("row-not-written", server.id, reason=error.message)
            return
        metrics.STORE_CALLS.labels("write", "done").inc()
        metrics.ROWS_RESTORED.labels("leaving").inc()
        written = result.unwrap()
        log_state("row-written-again", server.id, describe_version(written))
        self._directory.update(server, written)
