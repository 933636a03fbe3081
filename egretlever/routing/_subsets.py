"""Stable subsets of servers by rendezvous hashing."""

import functools
import hashlib
import math
from collections.abc import Iterable

from egretlever.core import FailureDomain, Server

_MASK = (1 << 64) - 1

# Share of the connections accepted by servers that subsets may use. The rest is
# for probes, fresh connections and uneven subsets.
_CONNECTION_SHARE = 0.75
_MIN_SUBSET_SIZE = 4

# Share of the subset's slots that the node's own load may fill.
_PLANNED_UTILIZATION = 0.5


@functools.lru_cache(maxsize=65536)
def hash_name(name: str) -> int:
    """Return a 64-bit hash that is stable across processes."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def score_pair(node_hash: int, server_hash: int) -> int:
    """Return the rendezvous score of a node and a server.

    The two hashes are combined by the finalizer of SplitMix64.

    Parameters
    ----------
    node_hash, server_hash : int
        64-bit hashes.

    Returns
    -------
    int
        64-bit score. A node prefers the servers with the highest scores.
    """
    value = node_hash ^ server_hash
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & _MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK
    return value ^ (value >> 31)


def order_servers(node: str, servers: Iterable[Server]) -> list[Server]:
    """Order servers by a node's preference, spread over failure domains.

    The servers of each failure domain are ordered by their rendezvous scores,
    and the domains are interleaved. The removal of a server moves only
    servers of its own domain, by one position each.

    Parameters
    ----------
    node : str
        Id of the node.
    servers : iterable of Server
        Servers of one service.

    Returns
    -------
    list of Server
        Ordered servers, of which the first ones are the node's subset.
    """
    node_hash = hash_name(node)
    domains: dict[FailureDomain, list[tuple[int, Server]]] = {}
    for server in servers:
        score = score_pair(node_hash, hash_name(server.id))
        domains.setdefault(server.failure_domain, []).append((score, server))
    keyed = []
    for domain, members in domains.items():
        members.sort(key=lambda member: (-member[0], member[1].id))
        domain_score = score_pair(node_hash, hash_name(domain))
        for position, (_, server) in enumerate(members):
            keyed.append((position, domain_score, server.id, server))
    keyed.sort(key=lambda item: item[:3])
    return [item[3] for item in keyed]


def choose_subset_size(
    servers: int, concurrency: float, slots: int, connections: int, nodes: int
) -> int:
    """Return the size of a subset.

    It grows with the square root of the number of servers, which balances the
    load over them, and with the node's own load. Where many nodes share few
    servers, it is limited by the connections that servers accept.

    Parameters
    ----------
    servers : int
        Number of servers of the service in the region.
    concurrency : float
        Mean number of outstanding attempts of the node.
    slots, connections : int
        Slots of a typical server, and connections that it accepts.
    nodes : int
        Number of live nodes in the region.

    Returns
    -------
    int
        Size from 1 to ``servers``, or 0 without servers.

    Examples
    --------
    >>> choose_subset_size(8, 1.0, slots=4, connections=330, nodes=19)
    6
    >>> choose_subset_size(18, 0.0, slots=4, connections=330, nodes=500)
    8
    >>> choose_subset_size(100, 100.0, slots=4, connections=330, nodes=19)
    50
    """
    balanced = math.ceil(2.0 * math.sqrt(servers))
    needed = math.ceil(concurrency / (slots * _PLANNED_UTILIZATION))
    allowed = int(_CONNECTION_SHARE * connections * servers / max(nodes, 1))
    wanted = max(balanced, needed, _MIN_SUBSET_SIZE)
    return min(servers, wanted, max(allowed, 2))
