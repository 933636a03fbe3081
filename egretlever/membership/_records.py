"""Node records, and the deltas between their versions."""

import dataclasses
import functools
import hashlib
from collections.abc import Mapping

from egretlever.core import (
    Address,
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    NodeState,
    RegionName,
    ServerId,
    ServerState,
    ServiceName,
    Version,
)

BUCKETS = 64
# Maximum encoded size of all fixed-width fields with their tags.
ENTRY_FRAME_BYTES = 44
HEADER_FRAME_BYTES = 48
DELTA_FRAME_BYTES = 48

STATE_ORDER = {
    ServerState.COLD: 0,
    ServerState.SERVING: 1,
    ServerState.DRAINING: 2,
    ServerState.STOPPED: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """One backend server in the record of its home node.

    Parameters
    ----------
    id, service, address, state, incarnation, slots, connections
        As the server announced them.
    changed : Version
        Version of the record in which the entry last changed.
    silent : bool
        True when the server stopped announcing itself.
    uptime : float or None
        Time since the start of a server that may still be in its warm-up
        ramp, in seconds.
    """

    id: ServerId
    service: ServiceName
    address: Address
    state: ServerState
    incarnation: Incarnation
    slots: int
    connections: int
    changed: Version = Version(0)
    silent: bool = False
    uptime: float | None = None

    @property
    def departing(self) -> bool:
        """Whether the server is draining or stopped: it departs."""
        return STATE_ORDER[self.state] >= STATE_ORDER[ServerState.DRAINING]

    @property
    def size(self) -> int:
        """Upper bound of the encoded size without its service and IP."""
        return ENTRY_FRAME_BYTES + len(self.id)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeHeader:
    """The part of a record that is fixed within an incarnation."""

    node: NodeId
    traffic: Address
    gossip: Address
    admin: Address
    host: HostName
    failure_domain: FailureDomain
    region: RegionName

    @property
    def size(self) -> int:
        """Upper bound of the encoded size in bytes."""
        return (
            HEADER_FRAME_BYTES
            + len(self.traffic.ip)
            + len(self.gossip.ip)
            + len(self.admin.ip)
            + len(self.host)
            + len(self.failure_domain)
            + len(self.region)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """Copy of a node's record at one version.

    Parameters
    ----------
    header : NodeHeader
        Identity and addresses.
    incarnation : Incarnation
        Increases with each start of the node.
    version : Version
        Increases with each change within the incarnation.
    state : NodeState
        ALIVE or LEFT; suspicions of other nodes are not part of the record.
    entries : mapping of ServerId to ServerEntry
        The node's servers, stopped ones included.
    """

    header: NodeHeader
    incarnation: Incarnation
    version: Version
    state: NodeState
    entries: Mapping[ServerId, ServerEntry]

    @property
    def stamp(self) -> tuple[Incarnation, Version]:
        """Incarnation and version, ordered by recency."""
        return (self.incarnation, self.version)


@dataclasses.dataclass(frozen=True, slots=True)
class RecordDelta:
    """Changes of a record after version ``base`` up to ``version``.

    A holder of any version from ``base`` up to ``version - 1`` can apply it.
    A record too large for one datagram is sent as a chain of deltas, each of
    which leaves the holder with an older but consistent version.
    """

    node: NodeId
    incarnation: Incarnation
    base: Version
    version: Version
    state: NodeState
    header: NodeHeader | None
    entries: tuple[ServerEntry, ...]

    @property
    def size(self) -> int:
        """Upper bound of the encoded size in bytes."""
        size = DELTA_FRAME_BYTES + len(self.node)
        size += self.header.size if self.header else 0
        names: set[str] = set()
        for entry in self.entries:
            size += entry.size
            names.add(entry.service)
            names.add(entry.address.ip)
        return size + sum(len(name) + 2 for name in names)


def make_delta(
    record: NodeRecord, base: Version, limit: int = 1000
) -> RecordDelta:
    """Make a delta after a version, limited in size.

    Parameters
    ----------
    record : NodeRecord
        Record to send.
    base : Version
        Version that the receiver holds, 0 for none.
    limit : int, default=1000
        Maximum encoded size in bytes; one entry is always included.

    Returns
    -------
    RecordDelta
        Ends before ``record.version`` when the entries don't fit.
    """
    changed = [
        entry for entry in record.entries.values() if entry.changed > base
    ]
    changed.sort(key=lambda entry: entry.changed)
    header = None if base else record.header
    free_bytes = limit - DELTA_FRAME_BYTES - len(record.header.node)
    free_bytes -= header.size if header else 0
    names: set[str] = set()
    version, state = record.version, record.state
    chosen: list[ServerEntry] = []
    for entry in changed:
        new_names = {entry.service, entry.address.ip} - names
        names |= new_names
        free_bytes -= entry.size + sum(len(name) + 2 for name in new_names)
        if free_bytes < 0 and chosen:
            version, state = chosen[-1].changed, NodeState.ALIVE
            break
        chosen.append(entry)
    return RecordDelta(
        record.header.node,
        record.incarnation,
        base,
        version,
        state,
        header,
        tuple(chosen),
    )


def apply_delta(
    record: NodeRecord | None, delta: RecordDelta
) -> NodeRecord | None:
    """Apply a delta to a held record.

    Returns
    -------
    NodeRecord or None
        The newer record; None when the delta is out of date or the held record
        is no valid base for it.
    """
    if record is None or delta.incarnation > record.incarnation:
        if delta.header is None or delta.base:
            return None
        held: Mapping[ServerId, ServerEntry] = {}
        header = delta.header
    elif delta.incarnation < record.incarnation:
        return None
    else:
        if not delta.base <= record.version < delta.version:
            return None
        held, header = record.entries, record.header
    entries = held
    if delta.entries:
        entries = {**held, **{entry.id: entry for entry in delta.entries}}
    return NodeRecord(
        header, delta.incarnation, delta.version, delta.state, entries
    )


@functools.lru_cache(maxsize=8192)
def hash_text(text: str) -> int:
    """Return a 32-bit hash whose values are combined by XOR.

    CRC is linear, so the CRCs of related texts can cancel out under XOR.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def hash_record(
    node: NodeId, incarnation: Incarnation, version: Version, dead: bool
) -> int:
    """Return a record's contribution to the hash of its bucket."""
    return hash_text(f"{node}/{incarnation}/{version}/{dead:d}")
