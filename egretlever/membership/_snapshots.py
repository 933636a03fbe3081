"""Snapshots of the known nodes and servers."""

import dataclasses

from egretlever.core import (
    Address,
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    NodeState,
    RegionName,
    Seconds,
    Server,
    ServerId,
    ServerState,
    Version,
)
from egretlever.membership._interfaces import Warmup
from egretlever.membership._records import NodeRecord, ServerEntry
from egretlever.membership._state import State

DEFAULT_WARMUP_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSnapshot:
    """Snapshot of one known node.

    Parameters
    ----------
    id, incarnation, version, traffic, gossip, admin, host, failure_domain
        From the node's record, as is ``region``.
    state : NodeState
        Liveness from the point of view of this node.
    servers : int
        Servers in the record that are not stopped.
    """

    id: NodeId
    incarnation: Incarnation
    version: Version
    state: NodeState
    traffic: Address
    gossip: Address
    admin: Address
    host: HostName
    failure_domain: FailureDomain
    region: RegionName
    servers: int


class Snapshots:
    """Makes snapshots of the view.

    Parameters
    ----------
    state : State
        Shared state of the member.
    warmup : Warmup or None
        Warm-up times of cold servers; 5 s when absent.
    """

    def __init__(self, state: State, warmup: Warmup | None) -> None:
        self._state = state
        self._warmup = warmup

    def nodes(self) -> list[NodeSnapshot]:
        """Return all known nodes."""
        return [
            self._node(record) for record in self._state.view.records.values()
        ]

    def node(self, node: NodeId) -> NodeSnapshot | None:
        """Return a node, or None when it is unknown."""
        record = self._state.view.records.get(node)
        return self._node(record) if record is not None else None

    def _node(self, record: NodeRecord) -> NodeSnapshot:
        header = record.header
        return NodeSnapshot(
            header.node,
            record.incarnation,
            record.version,
            self._state.view.state(header.node),
            header.traffic,
            header.gossip,
            header.admin,
            header.host,
            header.failure_domain,
            header.region,
            sum(
                entry.state is not ServerState.STOPPED
                for entry in record.entries.values()
            ),
        )

    def servers(self) -> list[Server]:
        """Return all known servers that are not stopped.

        A server whose home node left is draining. A server whose home node is
        dead, or that stopped announcing itself, is orphaned.
        """
        view = self._state.view
        server_ids = {**view.homes, **view.orphans}
        found = [self.server(name) for name in server_ids]
        return [server for server in found if server is not None]

    def server(self, server: ServerId) -> Server | None:
        """Return a server, or None when it is stopped or unknown.

        When several nodes list it, the entry with the highest incarnation
        wins, then one that is not orphaned, then the most recently listed.
        """
        view = self._state.view
        found = None
        for node in view.homes.get(server, ()):
            record = view.records[node]
            entry = record.entries[server]
            orphaned = entry.silent or view.state(node) is NodeState.DEAD
            other = self._server(record, entry, orphaned)
            if other and (found is None or _rank(other) >= _rank(found)):
                found = other
        orphan = view.orphans.get(server)
        if found is None and orphan is not None:
            found = self._server(orphan.record, orphan.entry, True)
        return found

    def _server(
        self, record: NodeRecord, entry: ServerEntry, orphaned: bool
    ) -> Server | None:
        resolved = self._state.view.resolve_departure(entry)
        state = resolved.state
        if state is ServerState.STOPPED:
            return None
        if record.state is NodeState.LEFT:
            state = ServerState.DRAINING
        header = record.header
        return Server(
            entry.id,
            entry.service,
            entry.address,
            header.host,
            header.node,
            header.failure_domain,
            header.region,
            entry.slots,
            entry.connections,
            state,
            entry.incarnation,
            self._warm_at(entry),
            orphaned,
        )

    def _warm_at(self, entry: ServerEntry) -> Seconds:
        known = self._state.view.ramp_starts.get(entry.id)
        if known is None or known[0] != entry.incarnation:
            return Seconds(0.0)
        ramp = DEFAULT_WARMUP_S
        if self._warmup is not None:
            ramp = self._warmup.duration(entry.service)
        return Seconds(known[1] + ramp)


def _rank(server: Server) -> tuple[Incarnation, bool]:
    return server.incarnation, not server.orphaned
