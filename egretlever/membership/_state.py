"""State that the parts of membership share, and how they send."""

import collections
import dataclasses
import random
from collections.abc import Iterable
from typing import Unpack

from egretlever.core import (
    Address,
    Incarnation,
    NodeId,
    NodeState,
    Seconds,
    ServerId,
    Version,
)
from egretlever.membership._catalogue import CatalogueSpread
from egretlever.membership._contacts import REPRESENTATIVES, Contacts
from egretlever.membership._interfaces import (
    CatalogueCopy,
    Change,
    ChangeKind,
    Listener,
    RecordPacker,
)
from egretlever.membership._messages import (
    MESSAGE_FRAME_BYTES,
    CatalogueHead,
    Drop,
    Message,
    MessageFields,
    Priority,
    RecordVersion,
    Suspicion,
    measure_version,
)
from egretlever.membership._outbox import Outbox
from egretlever.membership._own import OwnRecord
from egretlever.membership._records import (
    NodeHeader,
    RecordDelta,
    ServerEntry,
    make_delta,
)
from egretlever.membership._rumors import Rumors
from egretlever.membership._view import View

# Under 10% loss at 1,000 nodes the worst of 8 departures took 1.65 s with 4
# peers and 0.95 s with 6.
FANOUT = 6
URGENT_RELAYS = 8
ORDINARY_RELAYS = 4
URGENT_TIME = 3.0
ORDINARY_TIME = 20.0
DELTA_ROOM = 1000
RIDE_ROOM = 500
BUSY_RIDE_ROOM = 200
# A larger change rides along as its version only and is pulled in a page.
LARGE_DELTA = 160
# One entry besides the header; the rest is pulled.
GREETING_BYTES = 100
# A new node's record reaches every peer in this time even at a mass start.
INTRODUCTION_TIME = 40.0
CONTACTS_INTERVAL = 0.5
SETTLED_SHARE = 0.8
# Gossip rounds repair a smaller gap; see `State.is_short`.
SHORT_RECORDS = 16
SHORT_SHARE = 0.1
# Five percent of a link of 30 Mbit/s, in bytes per second.
LINK_CONTROL_RATE = 30e6 / 8 * 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Settings of a member.

    Parameters
    ----------
    gossip_interval : float, default=0.5
        Time between gossip rounds in seconds.
    bytes_per_second : float, default=15000
        Upper bound of everything sent to other nodes.
    announcement_timeout : float, default=3
        Silence after which a server is marked silent, in seconds.
    suspicion_time : float, default=6
        Time to refute a suspicion, in seconds.
    orphan_time : float, default=600
        Time for which records of dead nodes are kept, in seconds.
    ramp_memory : float, default=600
        Age up to which the uptime of a server is passed on, in seconds.
    link_bytes_per_second : float
        Control traffic that one region may send over the region link.
    """

    gossip_interval: float = 0.5
    bytes_per_second: float = 15000.0
    announcement_timeout: float = 3.0
    suspicion_time: float = 6.0
    orphan_time: float = 600.0
    ramp_memory: float = 600.0
    link_bytes_per_second: float = LINK_CONTROL_RATE


class State:
    """Record, view, contacts and outgoing messages of a member."""

    def __init__(
        self,
        header: NodeHeader,
        incarnation: Incarnation,
        parameters: Parameters,
        rng: random.Random,
        catalogue: CatalogueCopy,
        listener: Listener | None,
        packer: RecordPacker,
    ) -> None:
        self.header = header
        self.node = header.node
        self.incarnation = incarnation
        self.parameters = parameters
        self.rng = rng
        self.listener = listener
        self.packer = packer
        self.counts: collections.Counter[Drop] = collections.Counter()
        self.view = View(parameters.orphan_time)
        self.own = OwnRecord(
            header,
            incarnation,
            parameters.announcement_timeout,
            parameters.ramp_memory,
        )
        self.contacts = Contacts(header.node, header.region, rng)
        self.outbox = Outbox(parameters.bytes_per_second)
        self.catalogue = CatalogueSpread(catalogue, self.count)
        self.record_rumors: Rumors[NodeId, tuple[Incarnation, Version]] = (
            Rumors(512)
        )
        self.doubt_rumors: Rumors[NodeId, Suspicion] = Rumors(256)
        self.started: Seconds | None = None
        self.fleet = 0
        self._generation = -1
        self._contacts_at = float("-inf")
        self.view.store(self.own.record, Seconds(0.0))

    def count(self, reason: Drop) -> None:
        """Count a dropped message or part."""
        self.counts[reason] += 1

    def notify(
        self,
        kind: ChangeKind,
        node: NodeId,
        now: Seconds,
        servers: Iterable[ServerId] = (),
    ) -> None:
        """Tell the listener of a change."""
        if self.listener is not None:
            change = Change(kind, node, tuple(servers))
            self.listener.observe(change, now)

    def message(self, **fields: Unpack[MessageFields]) -> Message:
        """Make a message of this node."""
        return Message(self.node, self.incarnation, **fields)

    def send(
        self, node: NodeId, priority: Priority, **fields: Unpack[MessageFields]
    ) -> None:
        """Queue a message to a known node."""
        record = self.view.records.get(node)
        if record is None:
            return
        far = record.header.region != self.header.region
        message = self.message(**fields)
        self.outbox.add(record.header.gossip, message, priority, far)

    def send_address(
        self,
        address: Address,
        priority: Priority,
        **fields: Unpack[MessageFields],
    ) -> None:
        """Queue a message to an address whose node may be unknown."""
        message = self.message(**fields)
        region = self.view.regions.get(address, self.header.region)
        far = region != self.header.region
        self.outbox.add(address, message, priority, far)

    def delta_after(
        self,
        node: NodeId,
        incarnation: Incarnation,
        base: Version,
        now: Seconds,
        room: int = DELTA_ROOM,
    ) -> RecordDelta | None:
        """Make the delta for a holder of a version, None when up to date."""
        record = self.view.records.get(node)
        if record is None or (incarnation, base) >= record.stamp:
            return None
        if incarnation < record.incarnation:
            base = Version(0)
        delta = make_delta(record, base, room)
        if all(entry.uptime is None for entry in delta.entries):
            return delta
        entries = tuple(
            dataclasses.replace(entry, uptime=self._uptime(entry, now))
            if entry.uptime is not None
            else entry
            for entry in delta.entries
        )
        return dataclasses.replace(delta, entries=entries)

    def _uptime(self, entry: ServerEntry, now: Seconds) -> float | None:
        start = self.view.started.get(entry.id)
        return None if start is None else max(0.0, now - start[1])

    def own_delta(self, now: Seconds, room: int) -> RecordDelta:
        """Make the first delta of this node's record, at least one entry."""
        delta = self.delta_after(
            self.node, Incarnation(0), Version(0), now, room
        )
        assert delta is not None
        return delta

    def introduction(self, now: Seconds) -> tuple[RecordDelta, ...]:
        """Return the own record's start while peers may not know it."""
        if self.started is None:
            self.started = now
        if now - self.started > INTRODUCTION_TIME:
            return ()
        return (self.own_delta(now, GREETING_BYTES),)

    def spread_record(
        self,
        node: NodeId,
        base: Version,
        urgent: bool,
        now: Seconds,
        sender: NodeId | None = None,
        relays: int | None = None,
    ) -> None:
        """Make a record's change a rumor; forward it at once when urgent."""
        incarnation = self.view.records[node].incarnation
        held = self.record_rumors.get(node)
        if held is not None and held[0] == incarnation:
            base = min(base, held[1])
        ride_urgent = urgent or self.record_rumors.is_urgent(node)
        lifetime = URGENT_TIME if ride_urgent else ORDINARY_TIME
        if relays is None:
            relays = URGENT_RELAYS if ride_urgent else ORDINARY_RELAYS
        self.record_rumors.add(
            node,
            (incarnation, base),
            ride_urgent,
            relays,
            Seconds(now + lifetime),
        )
        if urgent:
            delta = self.delta_after(node, incarnation, base, now)
            if delta is not None:
                self.broadcast(sender, deltas=(delta,))

    def broadcast(
        self, sender: NodeId | None, **fields: Unpack[MessageFields]
    ) -> None:
        """Forward an urgent message to random peers and over the link."""
        exclude = () if sender is None else (sender,)
        targets = self.contacts.pick_local(FANOUT, exclude)
        if self.contacts.is_bridge or sender is None:
            targets += self.contacts.pick_remote_bridges()
        message = self.message(**fields)
        for node in targets:
            record = self.view.records.get(node)
            if record is not None:
                far = record.header.region != self.header.region
                self.outbox.add(
                    record.header.gossip, message, Priority.URGENT, far
                )

    def ride_along(self, now: Seconds, room: int = RIDE_ROOM) -> MessageFields:
        """Return rumors, the catalogue head and population for a message."""
        head = self.catalogue.copy.head()
        fields: MessageFields = {
            "population": len(self.view.records),
            "head": CatalogueHead(head.version, type(head.digest)("")),
        }
        doubts = self.doubt_rumors.choose(room // 2, _measure_doubt, now)
        if doubts:
            fields["suspicions"] = tuple(doubt for _, doubt in doubts)
            room -= sum(_measure_doubt(*doubt) for doubt in doubts)
        if len(self.record_rumors):
            deltas, versions = self._choose_records(now, room)
            fields["deltas"] = deltas
            if versions:
                fields["versions"] = versions
        return fields

    def _choose_records(
        self, now: Seconds, room: int
    ) -> tuple[tuple[RecordDelta, ...], tuple[RecordVersion, ...]]:
        made: dict[NodeId, RecordDelta] = {}

        def measure(node: NodeId, item: tuple[Incarnation, Version]) -> int:
            record = self.view.records.get(node)
            if record is None or item >= record.stamp:
                return 1 << 30
            if not item[1]:
                return measure_version(self.view.version_of(node))
            delta = self.delta_after(node, item[0], item[1], now)
            assert delta is not None
            if delta.size > LARGE_DELTA:
                return measure_version(self.view.version_of(node))
            made[node] = delta
            return delta.size + 4

        if not self.outbox.has_room(now):
            # Without any, new records stay unknown while views are served.
            room = min(room, BUSY_RIDE_ROOM)
        chosen = self.record_rumors.choose(room, measure, now)
        deltas = tuple(made[node] for node, _ in chosen if node in made)
        # New records are large: the receiver pulls those that it misses.
        versions = tuple(
            self.view.version_of(node) for node, _ in chosen if node not in made
        )
        return deltas, versions

    def refresh_contacts(self, now: Seconds, force: bool = False) -> None:
        """Take changed liveness into the contacts, at most twice a second."""
        if self._generation == self.view.generation:
            return
        due = now - self._contacts_at >= CONTACTS_INTERVAL
        if not due and not force and len(self.contacts.local) >= FANOUT:
            return
        self._contacts_at = now
        self._generation = self.view.generation
        live = list(self.view.live())
        self.contacts.update(live)
        # A node that knows few others would take itself for a bridge.
        self.contacts.settled = len(live) >= SETTLED_SHARE * self.fleet
        share = self.parameters.link_bytes_per_second / 2
        share /= (
            REPRESENTATIVES
            if self.contacts.is_bridge
            else max(1 + len(self.contacts.local), self.fleet)
        )
        self.outbox.limit_link(share)

    def is_short(self) -> bool:
        """Return whether peers hold many more records than this node."""
        return self.fleet - len(self.view.records) > max(
            SHORT_RECORDS, SHORT_SHARE * self.fleet
        )

    def is_live(self, node: NodeId) -> bool:
        """Return whether a node is known and not dead or left."""
        return node in self.view.records and self.view.state(node) in (
            NodeState.ALIVE,
            NodeState.SUSPECT,
        )


def _measure_doubt(node: NodeId, doubt: Suspicion) -> int:
    return 32 + len(node) + MESSAGE_FRAME_BYTES // 64
