"""Removal of directory rows whose hosts are gone for good."""

import curio

from egretlever.core import Address, FailureDomain, Seconds
from egretlever.placement import Directory, OrphanTracker
from egretlever.platform import RowStore
from egretlever.relay._links import LinkError, LinkPool
from egretlever.relay._publishing import remove_row
from egretlever.relay._sharing import TableSharing
from egretlever.transport import read_clock

_CHECK_INTERVAL = Seconds(30.0)


class OrphanRemover:
    """Removes the rows of lost hosts of the own failure domain.

    Only the node that reads the directory for its failure domain does so: the
    living nodes follow it.

    Parameters
    ----------
    store : RowStore
        The store.
    directory : Directory
        Rows of all servers.
    failure_domain : FailureDomain
        Failure domain of this node.
    own_relay : Address
        Relay address of this node.
    sharing : TableSharing
        Knows the nodes that follow this one.
    links : LinkPool
        Connections to the other nodes.
    """

    def __init__(
        self,
        store: RowStore,
        directory: Directory,
        failure_domain: FailureDomain,
        own_relay: Address,
        sharing: TableSharing,
        links: LinkPool,
    ) -> None:
        self._store = store
        self._directory = directory
        self._failure_domain = failure_domain
        self._own_relay = own_relay
        self._sharing = sharing
        self._links = links
        self._tracker = OrphanTracker()

    async def remove_forever(self) -> None:
        """Look for orphans from time to time until cancelled."""
        while True:
            await curio.sleep(_CHECK_INTERVAL)
            if self._sharing.reads_store:
                await self._remove_orphans()
            else:
                self._tracker.reset()

    async def _remove_orphans(self) -> None:
        relays = {
            server.relay
            for server in self._directory.list_all()
            if server.failure_domain == self._failure_domain
        }
        named = self._sharing.list_subscribed_relays()
        live = {relay for relay in relays if str(relay) in named}
        live.add(self._own_relay)
        orphans = self._tracker.list_orphans(relays, live, read_clock())
        for relay in orphans:
            if await self._is_reachable(relay):
                # Its process may be of an earlier release and not follow.
                self._tracker.observe_reached(relay, read_clock())
                continue
            for server in self._directory.list_at(relay):
                await remove_row(self._store, self._directory, server)

    async def _is_reachable(self, relay: Address) -> bool:
        try:
            await self._links.acquire(relay)
        except LinkError:
            return False
        return True
