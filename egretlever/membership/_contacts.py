"""Selection of the peers that a node sends gossip to."""

import functools
import hashlib
import heapq
import random
from collections.abc import Iterable, Sequence

from egretlever.core import NodeId, RegionName
from egretlever.membership._records import NodeRecord

REPRESENTATIVES_PER_REGION = 3


@functools.lru_cache(maxsize=16384)
def _score(node: NodeId, purpose: str) -> int:
    text = f"{purpose}/{node}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def choose_representatives(
    nodes: Iterable[NodeId],
    purpose: str,
    count: int = REPRESENTATIVES_PER_REGION,
) -> tuple[NodeId, ...]:
    """Choose nodes by rendezvous hashing.

    Nodes with the same set of live nodes choose the same representatives, and
    a failed node is replaced without changing the other choices.

    Parameters
    ----------
    nodes : iterable of NodeId
        Live nodes of one region.
    purpose : str
        Role of the chosen nodes and part of the hash, for example
        ``bridge/punjab``.
    count : int, default=3
        Nodes to choose.

    Returns
    -------
    tuple of NodeId
        The chosen nodes, best first; fewer when fewer are live.

    Examples
    --------
    >>> nodes = [NodeId(f"node-{number}") for number in range(9)]
    >>> chosen = choose_representatives(nodes, "reader/punjab")
    >>> rest = [node for node in nodes if node != chosen[0]]
    >>> choose_representatives(rest, "reader/punjab")[:2] == chosen[1:]
    True
    """
    return tuple(
        heapq.nlargest(count, nodes, key=lambda node: _score(node, purpose))
    )


class Contacts:
    """Live peers by region, and the bridge nodes of each region.

    Bridge nodes exchange gossip between regions in every round. ``complete``
    is False while this node knows too few nodes to tell who is a bridge.

    Parameters
    ----------
    node : NodeId
        This node.
    region : RegionName
        Region of this node.
    rng : random.Random
        Source of the random choices.
    """

    def __init__(
        self, node: NodeId, region: RegionName, rng: random.Random
    ) -> None:
        self._node = node
        self._region = region
        self._rng = rng
        self._probe_order: list[NodeId] = []
        self.complete = True
        self.local: list[NodeId] = []
        self.remote: dict[RegionName, list[NodeId]] = {}
        self.bridges: dict[RegionName, tuple[NodeId, ...]] = {}

    @property
    def is_bridge(self) -> bool:
        """Whether this node exchanges gossip with other regions each round."""
        return self.complete and self._node in self.bridges.get(
            self._region, ()
        )

    def update(self, records: Iterable[NodeRecord]) -> None:
        """Update the peers from the records of all live nodes."""
        regions: dict[RegionName, list[NodeId]] = {self._region: []}
        for record in records:
            header = record.header
            regions.setdefault(header.region, []).append(header.node)
        self.bridges = {
            region: choose_representatives(nodes, f"bridge/{region}")
            for region, nodes in regions.items()
        }
        self.local = [
            node for node in regions.pop(self._region) if node != self._node
        ]
        self.remote = regions

    def next_local(self) -> NodeId | None:
        """Return the next local peer in shuffled round-robin order.

        Unlike independent random choices, this probes every peer in bounded
        time.
        """
        if not self._probe_order:
            self._probe_order = list(self.local)
            self._rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def pick_local(
        self, count: int, exclude: Sequence[NodeId] = ()
    ) -> list[NodeId]:
        """Return distinct random local peers."""
        drawn = min(count + len(exclude), len(self.local))
        chosen = self._rng.sample(self.local, drawn)
        return [node for node in chosen if node not in exclude][:count]

    def pick_remote(self) -> list[NodeId]:
        """Return one random node of each other region."""
        return [self._rng.choice(nodes) for nodes in self.remote.values()]

    def pick_remote_bridges(self) -> list[NodeId]:
        """Return one bridge node of each other region."""
        return [
            self._rng.choice(self.bridges[region])
            for region, nodes in self.remote.items()
            if nodes
        ]
