"""Stable subsets of servers by rendezvous hashing."""

import functools
import hashlib
import math
from collections.abc import Iterable

from egretlever.core import FailureDomain, Server

_MASK = (1 << 64) - 1

# Part of the connections that servers accept which subsets may use; the rest
# serves probes, fresh connections and uneven subsets.
_CONNECTION_SHARE = 0.75
_SMALLEST_SUBSET = 4

# Part of the subset's slots that the node's own load may fill.
_PLANNED_USE = 0.5


@functools.lru_cache(maxsize=65536)
def hash_name(name: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def score_pair(node_hash: int, server_hash: int) -> int:
    """Return the rendezvous score of a node and a server.

    The two hashes are combined by the finaliser of the SplitMix64 generator.

    Parameters
    ----------
    node_hash, server_hash : int
        64-bit hashes.

    Returns
    -------
    int
        64-bit score; a node prefers the servers with the highest scores.
    """
    value = node_hash ^ server_hash
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & _MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK
    return value ^ (value >> 31)


def order_servers(node: str, servers: Iterable[Server]) -> list[Server]:
    """Order servers by a node's preference, spread over failure domains.

    Each failure domain is ordered by rendezvous scores, and the domains take
    turns. A server that leaves moves only the servers of its own domain by
    one place.

    Parameters
    ----------
    node : str
        Name of the node.
    servers : iterable of Server
        Servers of one service.

    Returns
    -------
    list of Server
        The first ones are the node's subset.
    """
    node_hash = hash_name(node)
    domains: dict[FailureDomain, list[tuple[int, Server]]] = {}
    for server in servers:
        score = score_pair(node_hash, hash_name(server.id))
        domains.setdefault(server.failure_domain, []).append((score, server))
    placed = []
    for domain, members in domains.items():
        members.sort(key=lambda member: (-member[0], member[1].id))
        turn = score_pair(node_hash, hash_name(domain))
        for place, (_, server) in enumerate(members):
            placed.append((place, turn, server.id, server))
    placed.sort(key=lambda item: item[:3])
    return [item[3] for item in placed]


def choose_size(
    servers: int, concurrency: float, slots: int, connections: int, nodes: int
) -> int:
    """Return the size of a subset.

    It grows with the square root of the service, which balances load over
    servers, and with the node's own load. The connections that servers accept
    limit it where many nodes share few servers.

    Parameters
    ----------
    servers : int
        Servers of the service in the region.
    concurrency : float
        Attempts that the node has in flight on average.
    slots, connections : int
        Slots and connections of a typical server.
    nodes : int
        Live nodes of the region.

    Returns
    -------
    int
        Between 1 and ``servers``, or 0 without servers.

    Examples
    --------
    >>> choose_size(8, 1.0, slots=4, connections=330, nodes=19)
    6
    >>> choose_size(18, 0.0, slots=4, connections=330, nodes=500)
    8
    >>> choose_size(100, 100.0, slots=4, connections=330, nodes=19)
    50
    """
    balanced = math.ceil(2.0 * math.sqrt(servers))
    needed = math.ceil(concurrency / (slots * _PLANNED_USE))
    allowed = int(_CONNECTION_SHARE * connections * servers / max(nodes, 1))
    wanted = max(balanced, needed, _SMALLEST_SUBSET)
    return min(servers, wanted, max(allowed, 2))
