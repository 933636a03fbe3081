"""Keeps the decision parts up to date with the servers and nodes in gossip."""

import collections
import itertools
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Generic, Protocol, TypeVar

from egretlever.core import (
    NodeId,
    NodeState,
    RegionName,
    Seconds,
    Server,
    ServerId,
    make_log,
)
from egretlever.detection import Detector, Member
from egretlever.membership import Change, ChangeKind, NodeSnapshot
from egretlever.node import _metrics as metrics
from egretlever.node._selection_cache import SelectionCache
from egretlever.routing import LiveNodes, Router

_LOG = make_log("view")
_LIVE = frozenset({NodeState.ALIVE, NodeState.SUSPECT})
# Changes that don't affect the node's record or liveness.
_KINDS_WITHOUT_RECORD_CHANGE = frozenset(
    {
        ChangeKind.CATALOGUE_HEAD,
        ChangeKind.NODE_DUPLICATE,
        ChangeKind.SERVERS_CHANGED,
    }
)
# There is no notification when a record expires, so each refresh also checks a
# few servers and nodes in turn. A round takes 90 s for 14,000 servers.
_SERVERS_PER_REFRESH = 8
_NODES_PER_REFRESH = 1

_Key = TypeVar("_Key")


class MembershipReader(Protocol):
    """Read access to the members of the gossip overlay."""

    def servers(self) -> list[Server]:
        """Return all known servers except stopped ones."""

    def nodes(self) -> list[NodeSnapshot]:
        """Return all known nodes."""

    def server(self, server: ServerId) -> Server | None:
        """Return a server, None when it is stopped or unknown."""

    def node(self, node: NodeId) -> NodeSnapshot | None:
        """Return a node, None when it is unknown."""


class _RoundRobin(Generic[_Key]):
    """Cycles through a changing set of keys, a few at a time."""

    def __init__(self, read_keys: Callable[[], Sequence[_Key]]) -> None:
        self._read_keys = read_keys
        self._keys: Iterator[_Key] = iter(())

    def take(self, count: int) -> list[_Key]:
        taken = list(itertools.islice(self._keys, count))
        if len(taken) < count:
            self._keys = iter(self._read_keys())
        return taken


class FleetView:
    """Processes change notifications and updates the parts that depend on them.

    Parameters
    ----------
    region : RegionName
        Region of this node.
    selection_cache, router, detector
        Parts to update with servers and nodes.
    """

    def __init__(
        self,
        region: RegionName,
        selection_cache: SelectionCache,
        router: Router,
        detector: Detector,
    ) -> None:
        self._region = region
        self._selection_cache = selection_cache
        self._router = router
        self._detector = detector
        self._servers: dict[ServerId, Server] = {}
        self._servers_by_node: dict[NodeId, dict[ServerId, None]] = {}
        self._nodes: dict[NodeId, NodeState] = {}
        self._members: dict[NodeId, Member] = {}
        self._counts: collections.Counter[NodeState] = collections.Counter()
        for state in NodeState:
            metrics.KNOWN_NODES.labels(state.value).set(0)
        self._due_servers: dict[ServerId, None] = {}
        self._due_nodes: dict[NodeId, None] = {}
        self._all_due = True
        self._server_rotation = _RoundRobin(lambda: tuple(self._servers))
        self._node_rotation = _RoundRobin(lambda: tuple(self._nodes))

    @property
    def servers(self) -> dict[ServerId, Server]:
        """Known servers by id."""
        return self._servers

    def observe(self, change: Change, now: Seconds) -> None:
        """Record what changed; `refresh` updates the parts."""
        self._due_servers.update(dict.fromkeys(change.servers))
        if change.kind is ChangeKind.NODE_DUPLICATE:
            metrics.DUPLICATE_NODES.inc()
            _LOG.error("two processes use node id %s", change.node)
        if change.kind not in _KINDS_WITHOUT_RECORD_CHANGE:
            self._due_nodes[change.node] = None

    def invalidate(self) -> None:
        """Check all servers again, after the length of their ramps changed."""
        self._all_due = True

    def refresh(self, members: MembershipReader, now: Seconds) -> None:
        """Update the parts with the changes since the last call."""
        nodes = dict.fromkeys(self._node_rotation.take(_NODES_PER_REFRESH))
        servers = dict.fromkeys(
            self._server_rotation.take(_SERVERS_PER_REFRESH)
        )
        nodes.update(self._due_nodes)
        servers.update(self._due_servers)
        for node in self._due_nodes:
            servers.update(self._servers_by_node.get(node, {}))
        if self._all_due:
            nodes.update({one.id: None for one in members.nodes()})
            servers.update({one.id: None for one in members.servers()})
            nodes.update(dict.fromkeys(self._nodes))
            servers.update(dict.fromkeys(self._servers))
        self._all_due = False
        self._due_nodes.clear()
        self._due_servers.clear()
        self._refresh_servers(members, servers, now)
        self._refresh_members(members, nodes, now)

    def _refresh_servers(
        self, members: MembershipReader, due: Iterable[ServerId], now: Seconds
    ) -> None:
        changed: list[Server] = []
        gone: list[Server] = []
        for server_id in due:
            previous = self._servers.get(server_id)
            current = members.server(server_id)
            if current == previous:
                continue
            if previous is not None:
                self._servers_by_node[previous.node].pop(server_id)
            if current is not None:
                self._servers_by_node.setdefault(current.node, {})[
                    server_id
                ] = None
                self._servers[server_id] = current
                changed.append(current)
            elif previous is not None:
                del self._servers[server_id]
                gone.append(previous)
        self._update_parts(changed, gone, now)

    def _update_parts(
        self, changed: list[Server], gone: list[Server], now: Seconds
    ) -> None:
        for server in changed:
            self._selection_cache.update(server)
        for server in gone:
            self._selection_cache.remove(server)
        if changed:
            self._router.update(changed, now)
            self._detector.update_servers(changed, now)
        if gone:
            self._router.forget([server.id for server in gone], now)
        if changed or gone:
            metrics.KNOWN_SERVERS.set(len(self._servers))

    def _refresh_members(
        self, members: MembershipReader, due: Iterable[NodeId], now: Seconds
    ) -> None:
        live_changed = False
        for node_id in due:
            live_changed |= self._refresh_member(node_id, members.node(node_id))
        if live_changed:
            self._detector.update_members(self._members.values(), now)
            region_node_count = sum(
                member.region == self._region
                for member in self._members.values()
            )
            self._router.observe(LiveNodes(max(1, region_node_count)), now)

    def _refresh_member(
        self, node_id: NodeId, current: NodeSnapshot | None
    ) -> bool:
        """Update a node; return whether the live members changed."""
        state = current.state if current is not None else None
        previous = self._nodes.get(node_id)
        if state is not previous:
            self._count(previous, -1)
            self._count(state, 1)
            if state is None:
                del self._nodes[node_id]
            else:
                self._nodes[node_id] = state
        member = None
        if current is not None and current.state in _LIVE:
            member = Member(current.id, current.region, current.incarnation)
        if member == self._members.get(node_id):
            return False
        if member is None:
            del self._members[node_id]
        else:
            self._members[node_id] = member
        return True

    def _count(self, state: NodeState | None, step: int) -> None:
        if state is not None:
            self._counts[state] += step
            metrics.KNOWN_NODES.labels(state.value).set(self._counts[state])
