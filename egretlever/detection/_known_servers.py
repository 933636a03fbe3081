"""Servers and live nodes known to a detector."""

from collections.abc import Iterable

from egretlever.core import (
    NodeId,
    RegionName,
    Server,
    ServerId,
    ServerState,
    ServiceName,
)
from egretlever.detection._hashing import choose_evidence_nodes
from egretlever.detection._types import Member, Sender

# Nodes may disagree on the live nodes for a few seconds. Evidence is therefore
# also accepted from the next two nodes in hash order.
_MAX_ACCEPTED_EVIDENCE_NODES = 4


class KnownServers:
    """Known servers by service, live nodes, and their evidence nodes.

    Parameters
    ----------
    region : RegionName
        Region of this node, in which evidence is pooled.
    """

    def __init__(self, region: RegionName) -> None:
        self.region = region
        self.servers: dict[ServerId, Server] = {}
        self.members: dict[NodeId, Member] = {}
        # Number of live nodes of the own region, the possible reporters.
        self.region_node_count = 0
        self._by_service: dict[ServiceName, dict[ServerId, Server]] = {}
        self._evidence_nodes: dict[ServiceName, tuple[NodeId, ...]] = {}

    def update_server(self, server: Server) -> bool:
        """Apply a record; true if earlier evidence must be discarded."""
        before = self.servers.get(server.id)
        if before is not None and before.incarnation > server.incarnation:
            return False
        if server.state is ServerState.STOPPED:
            self._remove(server.id)
            return True
        if before is not None and before.service != server.service:
            self._remove(server.id)
        self.servers[server.id] = server
        self._by_service.setdefault(server.service, {})[server.id] = server
        return before is not None and before.incarnation != server.incarnation

    def _remove(self, server_id: ServerId) -> None:
        server = self.servers.pop(server_id, None)
        if server is None:
            return
        servers = self._by_service[server.service]
        del servers[server_id]
        if not servers:
            del self._by_service[server.service]

    def update_members(self, members: Iterable[Member]) -> None:
        """Replace the set of live nodes."""
        self.members = {member.id: member for member in members}
        own = [m for m in self.members.values() if m.region == self.region]
        self.region_node_count = len(own)
        self._evidence_nodes.clear()

    def find_servers(self, service: ServiceName) -> dict[ServerId, Server]:
        """Return the known servers of a service."""
        return self._by_service.get(service, {})

    def _rank_evidence_nodes(self, service: ServiceName) -> tuple[NodeId, ...]:
        ranked = self._evidence_nodes.get(service)
        if ranked is None:
            ranked = choose_evidence_nodes(
                service,
                self.members.values(),
                self.region,
                _MAX_ACCEPTED_EVIDENCE_NODES,
            )
            if len(self._evidence_nodes) >= 512:
                self._evidence_nodes.clear()
            self._evidence_nodes[service] = ranked
        return ranked

    def find_evidence_nodes(self, service: ServiceName) -> tuple[NodeId, ...]:
        """Return the evidence nodes of a service in this region."""
        return self._rank_evidence_nodes(service)[:2]

    def is_accepted_evidence_node(
        self, service: ServiceName, sender: Sender
    ) -> bool:
        """Return whether pooled evidence of a service is accepted."""
        return sender.node in self._rank_evidence_nodes(
            service
        ) and self.is_current_sender(sender)

    def is_current_sender(self, sender: Sender) -> bool:
        """Return whether a sender is live in its stated incarnation."""
        member = self.members.get(sender.node)
        return member is not None and member.incarnation == sender.incarnation
