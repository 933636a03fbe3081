"""Local copy of all records, with suspicions, orphans and tombstones."""

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from egretlever.core import (
    Address,
    Incarnation,
    NodeId,
    NodeState,
    RegionName,
    Seconds,
    ServerId,
    Version,
)
from egretlever.membership._messages import RecordVersion, Suspicion
from egretlever.membership._records import (
    BUCKETS,
    NodeRecord,
    RecordDelta,
    ServerEntry,
    apply_delta,
    hash_record,
    hash_text,
)

MAX_TOMBSTONES = 4096
MAX_DEPARTED = 32768

Stamp = tuple[Incarnation, Version]


@dataclasses.dataclass(slots=True)
class HeldSuspicion:
    """Local suspicion that a node has failed.

    Parameters
    ----------
    stamp : tuple of Incarnation and Version
        Version of the suspected record; a newer version ends the suspicion.
    state : NodeState
        SUSPECT or DEAD.
    since : Seconds
        Time at which the state was reached.
    """

    stamp: Stamp
    state: NodeState
    since: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Orphan:
    """Server that its home node has not listed again since a restart."""

    record: NodeRecord
    entry: ServerEntry
    since: Seconds


class View:
    """Local copy of all records, their bucket hashes, and suspicions.

    Parameters
    ----------
    orphan_time : float
        Time for which records of dead nodes are kept, in seconds.
    """

    def __init__(self, orphan_time: float) -> None:
        self._orphan_time = orphan_time
        self.records: dict[NodeId, NodeRecord] = {}
        self.suspicions: dict[NodeId, HeldSuspicion] = {}
        self.orphans: dict[ServerId, Orphan] = {}
        # Nodes whose records list a server, for looking up single servers.
        self.homes: dict[ServerId, dict[NodeId, None]] = {}
        self.ramp_starts: dict[ServerId, tuple[Incarnation, Seconds]] = {}
        self.regions: dict[Address, RegionName] = {}
        self.digest = [0] * BUCKETS
        self.generation = 0
        self._bucket_nodes: list[set[NodeId]] = [set() for _ in range(BUCKETS)]
        self._bucket_of: dict[NodeId, int] = {}
        self._hashes: dict[NodeId, int] = {}
        self._left_since: dict[NodeId, Seconds] = {}
        self._tombstones: collections.OrderedDict[NodeId, Stamp] = (
            collections.OrderedDict()
        )
        self._departed: collections.OrderedDict[ServerId, ServerEntry] = (
            collections.OrderedDict()
        )

    def state(self, node: NodeId) -> NodeState:
        """Return the liveness of a node whose record is held."""
        record = self.records[node]
        if record.state is NodeState.LEFT:
            return NodeState.LEFT
        suspicion = self.suspicions.get(node)
        return suspicion.state if suspicion else NodeState.ALIVE

    def live(self) -> Iterator[NodeRecord]:
        """Iterate over the records of nodes that are not dead or left."""
        for node, record in self.records.items():
            if self.state(node) in (NodeState.ALIVE, NodeState.SUSPECT):
                yield record

    def bucket(self, node: NodeId) -> int:
        """Return the bucket of the digest that a node's record belongs to."""
        found = self._bucket_of.get(node)
        return hash_text(node) % BUCKETS if found is None else found

    def versions(self, bucket: int) -> list[RecordVersion]:
        """Return the versions of all records in a bucket of the digest."""
        return [self.version_of(node) for node in self._bucket_nodes[bucket]]

    def version_of(self, node: NodeId) -> RecordVersion:
        """Return the held version of a node's record, or 0 for none."""
        record = self.records.get(node)
        if record is None:
            return RecordVersion(node, Incarnation(0), Version(0))
        suspicion = self.suspicions.get(node)
        dead = suspicion is not None and suspicion.state is NodeState.DEAD
        return RecordVersion(node, record.incarnation, record.version, dead)

    def has_tombstone(self, node: NodeId, stamp: Stamp) -> bool:
        """Return whether a record was dropped at this or a newer version."""
        tombstone = self._tombstones.get(node)
        return tombstone is not None and stamp <= tombstone

    def make_tombstone_suspicion(self, node: NodeId) -> Suspicion:
        """Return the suspicion that reports a dropped record to other nodes."""
        incarnation, version = self._tombstones[node]
        return Suspicion(
            node, incarnation, version, NodeState.DEAD, self._orphan_time
        )

    def apply(self, delta: RecordDelta, now: Seconds) -> NodeRecord | None:
        """Apply a delta; return the newer record, or None when rejected."""
        node = delta.node
        if self.has_tombstone(node, (delta.incarnation, delta.version)):
            return None
        held = self.records.get(node)
        record = apply_delta(held, delta)
        if record is None:
            return None
        if held is not None and held.incarnation < record.incarnation:
            self._keep_orphans(held, now)
        self._note_entries(delta, now)
        self._tombstones.pop(node, None)
        suspicion = self.suspicions.get(node)
        if suspicion is not None and suspicion.stamp < record.stamp:
            del self.suspicions[node]
            self.generation += 1
        self.store(record, now)
        return record

    def store(self, record: NodeRecord, now: Seconds) -> None:
        """Store a record, replacing an older one."""
        node = record.header.node
        old = self.records.get(node)
        self.records[node] = record
        self._index_servers(node, old.entries if old else {}, record.entries)
        self.regions[record.header.gossip] = record.header.region
        if old is None:
            self._bucket_of[node] = hash_text(node) % BUCKETS
            self._bucket_nodes[self._bucket_of[node]].add(node)
        if old is None or old.state is not record.state:
            self.generation += 1
        if record.state is NodeState.LEFT:
            self._left_since.setdefault(node, now)
        else:
            self._left_since.pop(node, None)
        self._update_digest(node)

    def _index_servers(
        self,
        node: NodeId,
        before: Mapping[ServerId, ServerEntry],
        after: Mapping[ServerId, ServerEntry],
    ) -> None:
        for server in before.keys() - after.keys():
            homes = self.homes[server]
            del homes[node]
            if not homes:
                del self.homes[server]
        for server in after:
            if server not in before:
                self.homes.setdefault(server, {})[node] = None

    def _keep_orphans(self, held: NodeRecord, now: Seconds) -> None:
        for entry in held.entries.values():
            if not entry.departing and held.state is not NodeState.LEFT:
                self.orphans[entry.id] = Orphan(held, entry, now)

    def _note_entries(self, delta: RecordDelta, now: Seconds) -> None:
        for entry in delta.entries:
            self.orphans.pop(entry.id, None)
            self.note_entry(entry, now)

    def note_entry(self, entry: ServerEntry, now: Seconds) -> None:
        """Record a departure, or the start of a server's warm-up ramp."""
        if entry.departing:
            self._departed[entry.id] = entry
            if len(self._departed) > MAX_DEPARTED:
                self._departed.popitem(last=False)
        elif entry.uptime is not None:
            known = self.ramp_starts.get(entry.id)
            if known is None or known[0] < entry.incarnation:
                start = Seconds(now - entry.uptime)
                self.ramp_starts[entry.id] = (entry.incarnation, start)

    def resolve_departure(self, entry: ServerEntry) -> ServerEntry:
        """Return the entry, or a known departure of the same or a later start.

        A home node that restarts may announce an older state of a server,
        which must not undo its departure.
        """
        departed = self._departed.get(entry.id)
        if departed is None or departed.incarnation < entry.incarnation:
            return entry
        return entry if entry.departing else departed

    def add_suspicion(
        self, node: NodeId, stamp: Stamp, state: NodeState, since: Seconds
    ) -> bool:
        """Add a suspicion about a record; return whether it is new."""
        record = self.records.get(node)
        if record is None or record.state is NodeState.LEFT:
            return False
        if stamp < record.stamp:
            return False
        held = self.suspicions.get(node)
        if held and (held.state is state or held.state is NodeState.DEAD):
            return False
        self.suspicions[node] = HeldSuspicion(stamp, state, since)
        if state is NodeState.DEAD:
            self.generation += 1
        self._update_digest(node)
        return True

    def clear_suspicion(self, node: NodeId) -> bool:
        """End a suspicion after direct contact.

        A death ends only by a refutation: a newer version of the record.
        """
        suspicion = self.suspicions.get(node)
        if suspicion is None or suspicion.state is not NodeState.SUSPECT:
            return False
        del self.suspicions[node]
        return True

    def expired(self, now: Seconds) -> list[NodeId]:
        """Return dead and left nodes whose records have expired."""
        limit = now - self._orphan_time
        due = [
            node
            for node, suspicion in self.suspicions.items()
            if suspicion.state is NodeState.DEAD and suspicion.since <= limit
        ]
        return due + [
            node for node, since in self._left_since.items() if since <= limit
        ]

    def drop(self, node: NodeId) -> None:
        """Drop a record; keep a tombstone so that old copies are rejected."""
        record = self.records.pop(node)
        self._index_servers(node, record.entries, {})
        bucket = self._bucket_of.pop(node)
        self._bucket_nodes[bucket].discard(node)
        self.digest[bucket] ^= self._hashes.pop(node)
        self.regions.pop(record.header.gossip, None)
        self.suspicions.pop(node, None)
        self._left_since.pop(node, None)
        self.generation += 1
        for entry in record.entries:
            self.ramp_starts.pop(entry, None)
        self._tombstones[node] = record.stamp
        self._tombstones.move_to_end(node)
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def prune(self, now: Seconds, max_gossiped_uptime: float) -> None:
        """Drop expired orphans, and ramp starts that are too old to gossip."""
        limit = now - self._orphan_time
        for server, orphan in list(self.orphans.items()):
            if orphan.since <= limit:
                del self.orphans[server]
        for server, (_, start) in list(self.ramp_starts.items()):
            if start < now - max_gossiped_uptime:
                del self.ramp_starts[server]

    def _update_digest(self, node: NodeId) -> None:
        record = self.records[node]
        suspicion = self.suspicions.get(node)
        dead = suspicion is not None and suspicion.state is NodeState.DEAD
        fresh = hash_record(node, record.incarnation, record.version, dead)
        bucket = self._bucket_of[node]
        self.digest[bucket] ^= self._hashes.get(node, 0) ^ fresh
        self._hashes[node] = fresh
