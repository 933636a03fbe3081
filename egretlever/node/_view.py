"""Servers and members as gossip tells them, handed to the decision parts."""

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
from egretlever.node._selections import Selections
from egretlever.routing import LiveNodes, Router

_LOG = make_log("view")
_LIVE = frozenset({NodeState.ALIVE, NodeState.SUSPECT})
# Changes that say nothing of the node's record or liveness.
_OTHER_KINDS = frozenset(
    {
        ChangeKind.CATALOGUE_HEAD,
        ChangeKind.NODE_DUPLICATE,
        ChangeKind.SERVERS_CHANGED,
    }
)
# Records that expire are not notified. Each refresh also looks at a few
# servers and nodes in turn, which takes 90 s for 14,000 servers.
_CHECKED_SERVERS = 8
_CHECKED_NODES = 1

_Key = TypeVar("_Key")


class Members(Protocol):
    """What the view needs of the gossip overlay."""

    def servers(self) -> list[Server]:
        """Return all known servers but stopped ones."""

    def nodes(self) -> list[NodeSnapshot]:
        """Return all known nodes."""

    def server(self, server: ServerId) -> Server | None:
        """Return a server, None when it is stopped or not known."""

    def node(self, node: NodeId) -> NodeSnapshot | None:
        """Return a node, None when it is not known."""


class _Rounds(Generic[_Key]):
    """Goes through changing keys again and again, a few at a time."""

    def __init__(self, read_keys: Callable[[], Sequence[_Key]]) -> None:
        self._read_keys = read_keys
        self._keys: Iterator[_Key] = iter(())

    def take(self, count: int) -> list[_Key]:
        taken = list(itertools.islice(self._keys, count))
        if len(taken) < count:
            self._keys = iter(self._read_keys())
        return taken


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
        self._on_node: dict[NodeId, dict[ServerId, None]] = {}
        self._nodes: dict[NodeId, NodeState] = {}
        self._members: dict[NodeId, Member] = {}
        self._counts: collections.Counter[NodeState] = collections.Counter()
        for state in NodeState:
            metrics.KNOWN_NODES.labels(state.value).set(0)
        self._due_servers: dict[ServerId, None] = {}
        self._due_nodes: dict[NodeId, None] = {}
        self._all_due = True
        self._server_rounds = _Rounds(lambda: tuple(self._servers))
        self._node_rounds = _Rounds(lambda: tuple(self._nodes))

    @property
    def servers(self) -> dict[ServerId, Server]:
        """Known servers by id."""
        return self._servers

    def observe(self, change: Change, now: Seconds) -> None:
        """Note what has changed; `refresh` does the work."""
        self._due_servers.update(dict.fromkeys(change.servers))
        if change.kind is ChangeKind.NODE_DUPLICATE:
            metrics.DUPLICATE_NODES.inc()
            _LOG.error("two processes use the node id %s", change.node)
        if change.kind not in _OTHER_KINDS:
            self._due_nodes[change.node] = None

    def invalidate(self) -> None:
        """Look at all servers again, after their ramps have changed."""
        self._all_due = True

    def refresh(self, members: Members, now: Seconds) -> None:
        """Hand the changes since the last call to the parts."""
        nodes = dict.fromkeys(self._node_rounds.take(_CHECKED_NODES))
        servers = dict.fromkeys(self._server_rounds.take(_CHECKED_SERVERS))
        nodes.update(self._due_nodes)
        servers.update(self._due_servers)
        for node in self._due_nodes:
            servers.update(self._on_node.get(node, {}))
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
        self, members: Members, due: Iterable[ServerId], now: Seconds
    ) -> None:
        changed: list[Server] = []
        gone: list[Server] = []
        for name in due:
            held = self._servers.get(name)
            found = members.server(name)
            if found == held:
                continue
            if held is not None:
                self._on_node[held.node].pop(name)
            if found is not None:
                self._on_node.setdefault(found.node, {})[name] = None
                self._servers[name] = found
                changed.append(found)
            elif held is not None:
                del self._servers[name]
                gone.append(held)
        self._hand_over(changed, gone, now)

    def _hand_over(
        self, changed: list[Server], gone: list[Server], now: Seconds
    ) -> None:
        for server in changed:
            self._selections.update(server)
        for server in gone:
            self._selections.forget(server)
        if changed:
            self._router.update(changed, now)
            self._detector.update_servers(changed, now)
        if gone:
            self._router.forget([server.id for server in gone], now)
        if changed or gone:
            metrics.KNOWN_SERVERS.set(len(self._servers))

    def _refresh_members(
        self, members: Members, due: Iterable[NodeId], now: Seconds
    ) -> None:
        live_changed = False
        for name in due:
            live_changed |= self._refresh_member(name, members.node(name))
        if live_changed:
            self._detector.update_members(self._members.values(), now)
            near = sum(
                member.region == self._region
                for member in self._members.values()
            )
            self._router.observe(LiveNodes(max(1, near)), now)

    def _refresh_member(self, name: NodeId, found: NodeSnapshot | None) -> bool:
        """Take in a node; return whether the live members changed."""
        state = found.state if found is not None else None
        held = self._nodes.get(name)
        if state is not held:
            self._count(held, -1)
            self._count(state, 1)
            if state is None:
                del self._nodes[name]
            else:
                self._nodes[name] = state
        member = None
        if found is not None and found.state in _LIVE:
            member = Member(found.id, found.region, found.incarnation)
        if member == self._members.get(name):
            return False
        if member is None:
            del self._members[name]
        else:
            self._members[name] = member
        return True

    def _count(self, state: NodeState | None, step: int) -> None:
        if state is not None:
            self._counts[state] += step
            metrics.KNOWN_NODES.labels(state.value).set(self._counts[state])
