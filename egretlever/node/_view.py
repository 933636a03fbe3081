"""Servers and members as gossip tells them, handed to the decision parts."""

from egretlever.core import (
    NodeState,
    RegionName,
    Seconds,
    Server,
    ServerId,
)
from egretlever.detection import Detector, Member
from egretlever.membership import Change, GossipMembership
from egretlever.node import _metrics as metrics
from egretlever.node._selections import Selections
from egretlever.routing import LiveNodes, Router

_LIVE = frozenset({NodeState.ALIVE, NodeState.SUSPECT})


class FleetView:
    """Takes change notifications and updates the parts with what changed.

    Parameters
    ----------
    region : RegionName
        Region of this node.
    selections, router, detector
        Parts that need the servers and the members.
    """

    def __init__(
        self,
        region: RegionName,
        selections: Selections,
        router: Router,
        detector: Detector,
    ) -> None:
        self._region = region
        self._selections = selections
        self._router = router
        self._detector = detector
        self._servers: dict[ServerId, Server] = {}
        self._changed = True

    @property
    def servers(self) -> dict[ServerId, Server]:
        """Known servers by id."""
        return self._servers

    def observe(self, change: Change, now: Seconds) -> None:
        """Note that the view has changed; `refresh` does the work."""
        self._changed = True

    def refresh(self, membership: GossipMembership, now: Seconds) -> None:
        """Hand the changes since the last call to the parts."""
        if not self._changed:
            return
        self._changed = False
        self._refresh_servers(membership, now)
        self._refresh_members(membership, now)

    def _refresh_servers(
        self, membership: GossipMembership, now: Seconds
    ) -> None:
        found = {server.id: server for server in membership.servers()}
        changed = [
            server
            for server in found.values()
            if self._servers.get(server.id) != server
        ]
        gone = [
            server
            for server in self._servers.values()
            if server.id not in found
        ]
        self._servers = found
        for server in changed:
            self._selections.update(server)
        for server in gone:
            self._selections.forget(server)
        if changed:
            self._router.update(changed, now)
            self._detector.update_servers(changed, now)
        if gone:
            self._router.forget([server.id for server in gone], now)
        metrics.KNOWN_SERVERS.set(len(found))

    def _refresh_members(
        self, membership: GossipMembership, now: Seconds
    ) -> None:
        nodes = membership.nodes()
        counts = dict.fromkeys(NodeState, 0)
        for node in nodes:
            counts[node.state] += 1
        for state, count in counts.items():
            metrics.KNOWN_NODES.labels(state.value).set(count)
        members = [
            Member(node.id, node.region, node.incarnation)
            for node in nodes
            if node.state in _LIVE
        ]
        self._detector.update_members(members, now)
        near = sum(member.region == self._region for member in members)
        self._router.observe(LiveNodes(max(1, near)), now)
