"""Shared state of a member, and sending of its messages."""

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
from egretlever.membership._catalogue import CatalogueDissemination
from egretlever.membership._contacts import REPRESENTATIVES_PER_REGION, Contacts
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
from egretlever.membership._own_record import OwnRecord
from egretlever.membership._records import (
    NodeHeader,
    RecordDelta,
    ServerEntry,
    make_delta,
)
from egretlever.membership._rumors import Rumors
from egretlever.membership._view import View

# At 10% loss and 1,000 nodes, the slowest of 8 departures reached all nodes
# after 1.65 s with 4 peers, after 0.95 s with 6.
FANOUT = 6
URGENT_RELAYS = 8
ORDINARY_RELAYS = 4
URGENT_RUMOR_TIME_S = 3.0
ORDINARY_RUMOR_TIME_S = 20.0
MAX_DELTA_BYTES = 1000
MAX_PIGGYBACK_BYTES = 500
MAX_BUSY_PIGGYBACK_BYTES = 200
# Of a larger change, only the version is piggybacked; receivers pull the change
# in a page.
LARGE_DELTA_BYTES = 160
# Fits one entry besides the header; receivers pull the rest.
OWN_DELTA_BYTES = 100
# Within this time a new node's record reaches every peer, even when many nodes
# start at once.
INTRODUCTION_PERIOD_S = 40.0
CONTACTS_INTERVAL_S = 0.5
MIN_KNOWN_FRACTION = 0.8
# Gossip rounds repair a smaller gap; see `State.misses_many_records`.
MIN_MISSING_RECORDS = 16
MIN_MISSING_FRACTION = 0.1
# 5% of a 30 Mbit/s link.
LINK_CONTROL_BYTES_PER_S = 30e6 / 8 * 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Settings of a member.

    Parameters
    ----------
    gossip_interval : float, default=0.5
        Time between gossip rounds in seconds.
    bytes_per_second : float, default=15000
        Limit of all traffic to other nodes.
    announcement_timeout : float, default=3
        Time without announcement after which a server is marked silent, in
        seconds.
    suspicion_time : float, default=6
        Time in which a suspicion can be refuted before the node is declared
        dead, in seconds.
    orphan_time : float, default=600
        Time for which records of dead nodes are kept, in seconds.
    max_gossiped_uptime : float, default=600
        Age up to which the uptime of a server is gossiped, in seconds.
    link_bytes_per_second : float
        Limit of gossip traffic that one region sends over the region link.
    """

    gossip_interval: float = 0.5
    bytes_per_second: float = 15000.0
    announcement_timeout: float = 3.0
    suspicion_time: float = 6.0
    orphan_time: float = 600.0
    max_gossiped_uptime: float = 600.0
    link_bytes_per_second: float = LINK_CONTROL_BYTES_PER_S


class State:
    """State that the components of a member share."""

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
            parameters.max_gossiped_uptime,
        )
        self.contacts = Contacts(header.node, header.region, rng)
        self.outbox = Outbox(parameters.bytes_per_second)
        self.catalogue = CatalogueDissemination(catalogue, self.count)
        self.record_rumors: Rumors[NodeId, tuple[Incarnation, Version]] = (
            Rumors(512)
        )
        self.suspicion_rumors: Rumors[NodeId, Suspicion] = Rumors(256)
        self.started: Seconds | None = None
        self.fleet_size = 0
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
        """Notify the listener of a change."""
        if self.listener is not None:
            change = Change(kind, node, tuple(servers))
            self.listener.observe(change, now)

    def message(self, **fields: Unpack[MessageFields]) -> Message:
        """Make a message from this node."""
        return Message(self.node, self.incarnation, **fields)

    def send(
        self, node: NodeId, priority: Priority, **fields: Unpack[MessageFields]
    ) -> None:
        """Queue a message to a known node."""
        record = self.view.records.get(node)
        if record is None:
            return
        crosses_link = record.header.region != self.header.region
        message = self.message(**fields)
        self.outbox.add(record.header.gossip, message, priority, crosses_link)

    def send_address(
        self,
        address: Address,
        priority: Priority,
        **fields: Unpack[MessageFields],
    ) -> None:
        """Queue a message to an address whose node may be unknown."""
        message = self.message(**fields)
        region = self.view.regions.get(address, self.header.region)
        crosses_link = region != self.header.region
        self.outbox.add(address, message, priority, crosses_link)

    def delta_after(
        self,
        node: NodeId,
        incarnation: Incarnation,
        base: Version,
        now: Seconds,
        free_bytes: int = MAX_DELTA_BYTES,
    ) -> RecordDelta | None:
        """Return the delta after a version, or None when there is no change."""
        record = self.view.records.get(node)
        if record is None or (incarnation, base) >= record.stamp:
            return None
        if incarnation < record.incarnation:
            base = Version(0)
        delta = make_delta(record, base, free_bytes)
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
        start = self.view.ramp_starts.get(entry.id)
        return None if start is None else max(0.0, now - start[1])

    def own_delta(self, now: Seconds, free_bytes: int) -> RecordDelta:
        """Return this node's first delta, with at least one entry."""
        delta = self.delta_after(
            self.node, Incarnation(0), Version(0), now, free_bytes
        )
        assert delta is not None
        return delta

    def introduction(self, now: Seconds) -> tuple[RecordDelta, ...]:
        """Return this node's first delta while peers may not know the node."""
        if self.started is None:
            self.started = now
        if now - self.started > INTRODUCTION_PERIOD_S:
            return ()
        return (self.own_delta(now, OWN_DELTA_BYTES),)

    def disseminate_record(
        self,
        node: NodeId,
        base: Version,
        urgent: bool,
        now: Seconds,
        sender: NodeId | None = None,
        relays: int | None = None,
    ) -> None:
        """Add a record's change to the rumors; send it at once when urgent."""
        incarnation = self.view.records[node].incarnation
        held = self.record_rumors.get(node)
        if held is not None and held[0] == incarnation:
            base = min(base, held[1])
        rumor_urgent = urgent or self.record_rumors.is_urgent(node)
        lifetime = (
            URGENT_RUMOR_TIME_S if rumor_urgent else ORDINARY_RUMOR_TIME_S
        )
        if relays is None:
            relays = URGENT_RELAYS if rumor_urgent else ORDINARY_RELAYS
        self.record_rumors.add(
            node,
            (incarnation, base),
            rumor_urgent,
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
        """Send an urgent message to random peers.

        Messages that originate here, and all messages of a bridge, also go
        to one bridge of each other region.
        """
        exclude = () if sender is None else (sender,)
        targets = self.contacts.pick_local(FANOUT, exclude)
        if self.contacts.is_bridge or sender is None:
            targets += self.contacts.pick_remote_bridges()
        message = self.message(**fields)
        for node in targets:
            record = self.view.records.get(node)
            if record is not None:
                crosses_link = record.header.region != self.header.region
                self.outbox.add(
                    record.header.gossip, message, Priority.URGENT, crosses_link
                )

    def piggyback(
        self, now: Seconds, free_bytes: int = MAX_PIGGYBACK_BYTES
    ) -> MessageFields:
        """Return the rumors, catalogue head and population to piggyback."""
        head = self.catalogue.copy.head()
        fields: MessageFields = {
            "population": len(self.view.records),
            "head": CatalogueHead(head.version, type(head.digest)("")),
        }
        suspicions = self.suspicion_rumors.choose(
            free_bytes // 2, _measure_suspicion, now
        )
        if suspicions:
            fields["suspicions"] = tuple(
                suspicion for _, suspicion in suspicions
            )
            free_bytes -= sum(
                _measure_suspicion(*suspicion) for suspicion in suspicions
            )
        if len(self.record_rumors):
            deltas, versions = self._choose_records(now, free_bytes)
            fields["deltas"] = deltas
            if versions:
                fields["versions"] = versions
        return fields

    def _choose_records(
        self, now: Seconds, free_bytes: int
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
            if delta.size > LARGE_DELTA_BYTES:
                return measure_version(self.view.version_of(node))
            made[node] = delta
            return delta.size + 4

        if not self.outbox.has_budget(now):
            # Some rumors are piggybacked even then: without them, new records
            # stay unknown while this node transfers its view.
            free_bytes = min(free_bytes, MAX_BUSY_PIGGYBACK_BYTES)
        chosen = self.record_rumors.choose(free_bytes, measure, now)
        deltas = tuple(made[node] for node, _ in chosen if node in made)
        # New records are large: receivers pull those that they miss.
        versions = tuple(
            self.view.version_of(node) for node, _ in chosen if node not in made
        )
        return deltas, versions

    def refresh_contacts(self, now: Seconds, force: bool = False) -> None:
        """Update the contacts after changes, at most twice a second."""
        if self._generation == self.view.generation:
            return
        due = now - self._contacts_at >= CONTACTS_INTERVAL_S
        if not due and not force and len(self.contacts.local) >= FANOUT:
            return
        self._contacts_at = now
        self._generation = self.view.generation
        live = list(self.view.live())
        self.contacts.update(live)
        # A node that knows few others might choose itself as a bridge.
        self.contacts.complete = (
            len(live) >= MIN_KNOWN_FRACTION * self.fleet_size
        )
        share = self.parameters.link_bytes_per_second / 2
        share /= (
            REPRESENTATIVES_PER_REGION
            if self.contacts.is_bridge
            else max(1 + len(self.contacts.local), self.fleet_size)
        )
        self.outbox.limit_link(share)

    def misses_many_records(self) -> bool:
        """Return whether peers hold many more records than this node."""
        return self.fleet_size - len(self.view.records) > max(
            MIN_MISSING_RECORDS, MIN_MISSING_FRACTION * self.fleet_size
        )

    def is_live(self, node: NodeId) -> bool:
        """Return whether a node is known and not dead or left."""
        return node in self.view.records and self.view.state(node) in (
            NodeState.ALIVE,
            NodeState.SUSPECT,
        )


def _measure_suspicion(node: NodeId, suspicion: Suspicion) -> int:
    return 32 + len(node) + MESSAGE_FRAME_BYTES // 64
