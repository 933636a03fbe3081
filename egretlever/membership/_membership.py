"""Facade of membership: handles messages and time, without I/O."""

import dataclasses
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from egretlever.core import (
    Address,
    Incarnation,
    Interval,
    NodeId,
    NodeState,
    RegionName,
    Seconds,
    Server,
    ServerId,
    Version,
    check_parameters,
    make_log,
)
from egretlever.membership._catalogue import NoCatalogue
from egretlever.membership._contacts import choose_representatives
from egretlever.membership._evidence import EvidenceOutbox
from egretlever.membership._gossip import Gossip
from egretlever.membership._interfaces import (
    AddressSample,
    CatalogueCopy,
    ChangeKind,
    EvidenceSink,
    Listener,
    OrphanPolicy,
    RecordPacker,
    Warmup,
)
from egretlever.membership._joining import Joining
from egretlever.membership._liveness import Liveness
from egretlever.membership._message_handler import MessageHandler
from egretlever.membership._messages import (
    CatalogueUpdate,
    Drop,
    Evidence,
    Message,
    Priority,
    Send,
)
from egretlever.membership._own_record import ServerAnnouncement
from egretlever.membership._packing import ZlibPacker
from egretlever.membership._pages import Pages
from egretlever.membership._records import NodeHeader, RecordDelta
from egretlever.membership._rounds import Rounds
from egretlever.membership._snapshots import NodeSnapshot, Snapshots
from egretlever.membership._state import Parameters, State
from egretlever.membership._transfer import ViewTransfer

_LOG = make_log("membership")


@dataclasses.dataclass(frozen=True, slots=True)
class Collaborators:
    """Optional collaborators of a member."""

    catalogue: CatalogueCopy | None = None
    evidence: EvidenceSink | None = None
    listener: Listener | None = None
    orphan_policy: OrphanPolicy | None = None
    warmup: Warmup | None = None
    sample: AddressSample | None = None
    packer: RecordPacker | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipStatus:
    """State of a member, for operators."""

    node: NodeId
    incarnation: Incarnation
    version: Version
    nodes: int
    missing: int
    bridge: bool
    catalogue: Version
    dropped: Mapping[Drop, int]
    duplicates: tuple[NodeId, ...]


class Membership(Protocol):
    """Interface of membership for other components."""

    def receive(
        self, message: Message, sender: Address, now: Seconds
    ) -> list[Send]:
        """Handle a message from an address; return the messages to send."""

    def advance(self, now: Seconds) -> list[Send]:
        """Run the tasks that are due; return the messages to send."""

    def announce(
        self, announcement: ServerAnnouncement, now: Seconds
    ) -> list[Send]:
        """Handle an announcement of a backend server on this host."""

    def leave(self, now: Seconds) -> list[Send]:
        """Announce a planned stop of this node."""

    def servers(self) -> list[Server]:
        """Return all known servers that are not stopped."""

    def nodes(self) -> list[NodeSnapshot]:
        """Return all known nodes."""


class GossipMembership:
    """Member of the gossip overlay; see `make_membership`."""

    def __init__(
        self,
        header: NodeHeader,
        incarnation: Incarnation,
        seeds: Sequence[Address],
        parameters: Parameters,
        collaborators: Collaborators,
        rng: random.Random,
    ) -> None:
        check_parameters(
            "Membership",
            dataclasses.asdict(parameters),
            {
                "gossip_interval": Interval(0.05, 60),
                "bytes_per_second": Interval(1000),
                "announcement_timeout": Interval(0.5),
                "suspicion_time": Interval(0.5),
                "orphan_time": Interval(1),
                "max_gossiped_uptime": Interval(0),
                "link_bytes_per_second": Interval(0),
            },
        )
        catalogue = collaborators.catalogue or NoCatalogue()
        self._needs_catalogue = collaborators.catalogue is not None
        self._state = State(
            header,
            incarnation,
            parameters,
            rng,
            catalogue,
            collaborators.listener,
            collaborators.packer or ZlibPacker(),
        )
        self._liveness = Liveness(self._state, collaborators.orphan_policy)
        pages = Pages(self._state, self._liveness)
        self._gossip = Gossip(self._state, self._liveness, pages)
        self._transfer = ViewTransfer(self._state, pages)
        self._joining = Joining(header.gossip, seeds, collaborators.sample, rng)
        self._evidence_outbox = EvidenceOutbox(header.node, incarnation, rng)
        self._message_handler = MessageHandler(
            self._state,
            self._liveness,
            self._gossip,
            pages,
            self._transfer,
            self._joining,
            self._evidence_outbox,
            collaborators.evidence,
        )
        self._rounds = Rounds(
            self._state,
            self._liveness,
            self._gossip,
            self._transfer,
            self._joining,
            self._evidence_outbox,
        )
        self._snapshots = Snapshots(self._state, collaborators.warmup)

    def receive(
        self, message: Message, sender: Address, now: Seconds
    ) -> list[Send]:
        """Handle a message from an address; return the messages to send."""
        self._message_handler.receive(message, sender, now)
        return self._state.outbox.flush(now)

    def advance(self, now: Seconds) -> list[Send]:
        """Run the tasks that are due; call it at `wake_at` or earlier."""
        self._rounds.advance(now)
        return self._state.outbox.flush(now)

    def wake_at(self, now: Seconds) -> Seconds:
        """Return when `advance` has to be called next."""
        return self._rounds.wake_at(now)

    def announce(
        self, announcement: ServerAnnouncement, now: Seconds
    ) -> list[Send]:
        """Handle an announcement of a backend server on this host."""
        base = self._state.own.record.version
        entry = self._state.own.announce(announcement, now)
        if entry is None:
            return []
        self._state.view.store(self._state.own.record, now)
        self._state.view.note_entry(entry, now)
        self._rounds.schedule_change(base, entry.departing, now)
        self._state.notify(
            ChangeKind.SERVERS_CHANGED, self._state.node, now, [entry.id]
        )
        return []

    def leave(self, now: Seconds) -> list[Send]:
        """Announce a planned stop; the node writes no later version."""
        if self._state.own.record.state is NodeState.LEFT:
            return []
        base = self._state.own.record.version
        self._state.own.leave()
        self._state.view.store(self._state.own.record, now)
        self._state.refresh_contacts(now, force=True)
        self._state.disseminate_record(self._state.node, base, True, now)
        _LOG.info(
            "leaving the fleet with record version %d",
            self._state.own.record.version,
        )
        return self._state.outbox.flush(now)

    def publish_catalogue(
        self, update: CatalogueUpdate, now: Seconds
    ) -> list[Send]:
        """Disseminate an update that this node's copy has applied."""
        self._state.refresh_contacts(now)
        update = self._state.catalogue.publish(update)
        self._state.broadcast(None, update=update)
        self._rounds.repeat_update(update, now)
        return self._state.outbox.flush(now)

    def send_evidence(
        self, targets: Sequence[NodeId], payload: bytes, now: Seconds
    ) -> list[Send]:
        """Send evidence of at most 900 bytes to the target nodes."""
        if len(payload) > 900:
            raise ValueError(
                f"evidence payload has {len(payload)} bytes, the limit is 900"
            )
        for target in targets:
            if not self._state.is_live(target):
                self._state.count(Drop.UNDELIVERABLE_EVIDENCE)
                continue
            evidence: Evidence = self._evidence_outbox.start(
                target, payload, now
            )
            self._state.send(target, Priority.URGENT, evidence=evidence)
        return self._state.outbox.flush(now)

    def restore(self, deltas: Iterable[RecordDelta], now: Seconds) -> None:
        """Load known records without disseminating them."""
        self._state.started = Seconds(float("-inf"))
        for delta in deltas:
            if delta.node != self._state.node:
                self._state.view.apply(delta, now)

    def own_delta(self, now: Seconds) -> RecordDelta:
        """Return this node's complete record as one delta."""
        return self._state.own_delta(now, 1 << 30)

    def count_drop(self, reason: Drop) -> None:
        """Count a datagram that was dropped before or during decoding."""
        self._state.count(reason)

    def receive_address_sample(self, addresses: Sequence[Address]) -> None:
        """Store the requested sample of live addresses."""
        self._joining.receive_address_sample(addresses)

    def servers(self) -> list[Server]:
        """Return all known servers that are not stopped."""
        return self._snapshots.servers()

    def nodes(self) -> list[NodeSnapshot]:
        """Return all known nodes, this one included."""
        return self._snapshots.nodes()

    def server(self, server: ServerId) -> Server | None:
        """Return a server, or None when it is stopped or unknown."""
        return self._snapshots.server(server)

    def node(self, node: NodeId) -> NodeSnapshot | None:
        """Return a node, or None when it is unknown."""
        return self._snapshots.node(node)

    def readers(self, region: RegionName) -> tuple[NodeId, ...]:
        """Return the three catalogue reader nodes of a region."""
        live = [
            record.header.node
            for record in self._state.view.live()
            if record.header.region == region
        ]
        return choose_representatives(live, f"reader/{region}")

    def is_ready(self, now: Seconds) -> bool:
        """Return whether records and catalogue are complete enough to serve."""
        catalogue = self._state.catalogue
        if self._needs_catalogue and (
            catalogue.version == 0
            or catalogue.version < catalogue.highest_version
        ):
            return False
        return self._joining.is_joined(
            len(self._state.view.records), self._gossip.missing, now
        )

    def describe(self) -> MembershipStatus:
        """Return the state of this member, for operators."""
        state = self._state
        return MembershipStatus(
            state.node,
            state.incarnation,
            state.own.record.version,
            len(state.view.records),
            self._gossip.missing,
            state.contacts.is_bridge,
            state.catalogue.version,
            dict(state.counts),
            tuple(sorted(self._liveness.duplicates)),
        )


def make_membership(
    header: NodeHeader,
    incarnation: Incarnation,
    seeds: Sequence[Address] = (),
    parameters: Parameters | None = None,
    collaborators: Collaborators | None = None,
    rng: random.Random | None = None,
) -> GossipMembership:
    """Make the membership of one node.

    Parameters
    ----------
    header : NodeHeader
        Identity and addresses of this node.
    incarnation : Incarnation
        Must increase with each start, for example the start in Unix ms.
    seeds : sequence of Address, optional
        Gossip addresses of other nodes.
    parameters : Parameters, optional
        Settings; the defaults of the schema when absent.
    collaborators : Collaborators, optional
        Optional collaborators.
    rng : random.Random, optional
        Source of all random choices.

    Returns
    -------
    GossipMembership
        The member; a `Membership`.

    Examples
    --------
    >>> from egretlever.testing import builders
    >>> member = make_membership(builders.build_node_header(1), Incarnation(1))
    >>> [node.id for node in member.nodes()]
    ['node-1']
    """
    return GossipMembership(
        header,
        incarnation,
        seeds,
        parameters or Parameters(),
        collaborators or Collaborators(),
        rng or random.Random(),
    )
