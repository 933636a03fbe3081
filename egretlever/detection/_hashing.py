"""Selection of the evidence nodes of a service."""

import hashlib
from collections.abc import Iterable

from egretlever.core import NodeId, RegionName, ServiceName
from egretlever.detection._types import Member

EVIDENCE_NODES_PER_REGION = 2


def choose_evidence_nodes(
    service: ServiceName,
    members: Iterable[Member],
    region: RegionName | None = None,
    count: int = EVIDENCE_NODES_PER_REGION,
) -> tuple[NodeId, ...]:
    """Choose the evidence nodes of a service by rendezvous hashing.

    Parameters
    ----------
    service : ServiceName
        Service whose evidence is pooled.
    members : iterable of Member
        Live nodes.
    region : RegionName, optional
        Region to choose nodes from; all regions by default.
    count : int, default=2
        Number of nodes chosen in each region.

    Returns
    -------
    tuple of NodeId
        Chosen nodes ordered by region, then by descending hash.

    Examples
    --------
    >>> members = [Member(NodeId(f"n{i}"), RegionName("a")) for i in range(9)]
    >>> chosen = choose_evidence_nodes(ServiceName("ordering"), members)
    >>> rest = [member for member in members if member.id != chosen[0]]
    >>> chosen[1] in choose_evidence_nodes(ServiceName("ordering"), rest)
    True
    """
    ranked: dict[RegionName, list[tuple[bytes, NodeId]]] = {}
    for member in members:
        if region is None or member.region == region:
            key = f"{service}\0{member.id}".encode()
            digest = hashlib.blake2b(key, digest_size=8).digest()
            ranked.setdefault(member.region, []).append((digest, member.id))
    return tuple(
        node
        for name in sorted(ranked)
        for _, node in sorted(ranked[name], reverse=True)[:count]
    )
