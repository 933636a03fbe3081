"""Handling of one received message."""

from egretlever.core import Address, Incarnation, NodeId, Seconds, Version
from egretlever.membership._evidence import EvidenceOutbox
from egretlever.membership._gossip import Gossip
from egretlever.membership._interfaces import ChangeKind, EvidenceSink
from egretlever.membership._joining import Joining
from egretlever.membership._liveness import Liveness
from egretlever.membership._messages import (
    CatalogueUpdate,
    Drop,
    Evidence,
    Message,
    MessageFields,
    Priority,
)
from egretlever.membership._pages import Pages
from egretlever.membership._state import MAX_PIGGYBACK_BYTES, State
from egretlever.membership._transfer import ViewTransfer

MAX_REQUESTS = 8
MAX_WANTED = 16
INTRODUCED_PEERS = 8
INTRODUCTION_PAGE_BYTES = 500
INTRODUCED_DELTA_BYTES = 100


class MessageHandler:
    """Dispatches the parts of a message to their handlers and answers it."""

    def __init__(
        self,
        state: State,
        liveness: Liveness,
        gossip: Gossip,
        pages: Pages,
        transfer: ViewTransfer,
        joining: Joining,
        evidence_outbox: EvidenceOutbox,
        sink: EvidenceSink | None,
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._gossip = gossip
        self._pages = pages
        self._transfer = transfer
        self._joining = joining
        self._evidence_outbox = evidence_outbox
        self._sink = sink

    def receive(self, message: Message, sender: Address, now: Seconds) -> None:
        """Handle one message."""
        state = self._state
        if message.sender == state.node:
            self._handle_own_name(message, sender, now)
            return
        known = message.sender in state.view.records
        if known and not self._check_sender(message, sender, now):
            return
        self._gossip.apply_deltas(message, sender, now)
        self._gossip.apply_page(message, sender, now)
        if message.acknowledged:
            self._liveness.acknowledge(message.acknowledged, now)
        for suspicion in message.suspicions:
            # A suspicion about this node counts from unknown senders too:
            # after a long partition the sender may be unknown here.
            if suspicion.node == state.node:
                self._liveness.receive_suspicion(suspicion, now)
        if message.sender not in state.view.records:
            self._request_sender_record(message, sender, now)
            return
        state.refresh_contacts(now)
        for suspicion in message.suspicions:
            if suspicion.node != state.node:
                self._liveness.receive_suspicion(suspicion, now)
        if message.population:
            self._joining.note_answer(message.population)
            state.fleet_size = max(
                message.population, int(state.fleet_size * 0.9)
            )
        if message.versions or message.buckets:
            self._gossip.compare_versions(message, sender, now)
        if message.wanted:
            self._pages.push(message.wanted[:MAX_WANTED], sender, now)
        self._transfer.handle(message, sender, now)
        if message.probe:
            self._answer_probe(message, sender, now)
        self._handle_catalogue(message, sender, now)
        if message.evidence:
            self._handle_evidence(message.evidence, now)
        if message.evidence_received:
            self._evidence_outbox.acknowledge(message.evidence_received)

    def _handle_own_name(
        self, message: Message, sender: Address, now: Seconds
    ) -> None:
        state = self._state
        state.count(Drop.OWN_NAME)
        # A message that names this incarnation comes from another live process
        # with this node id; a replay of an older message can't name it.
        named = any(
            version.node == state.node
            and version.incarnation == state.incarnation
            for version in message.versions
        )
        if message.incarnation > state.incarnation or (
            named and sender != state.header.gossip
        ):
            self._liveness.report_duplicate(state.node, now)

    def _check_sender(
        self, message: Message, sender: Address, now: Seconds
    ) -> bool:
        record = self._state.view.records[message.sender]
        if message.incarnation >= record.incarnation:
            if message.incarnation == record.incarnation:
                self._liveness.check_address_conflict(message, sender, now)
            return True
        self._state.count(Drop.OLD_INCARNATION)
        self._liveness.check_address_conflict(message, sender, now)
        # Tells the process with the old incarnation of the newer one.
        newer = self._state.delta_after(
            message.sender,
            message.incarnation,
            Version(0),
            now,
            INTRODUCED_DELTA_BYTES,
        )
        if newer is not None and sender != record.header.gossip:
            self._state.send_address(sender, Priority.PROBE, deltas=(newer,))
        return False

    def _request_sender_record(
        self, message: Message, sender: Address, now: Seconds
    ) -> None:
        # The record of a live sender may still be on its way, so its probe is
        # acknowledged and its record requested.
        self._state.count(Drop.UNKNOWN_SENDER)
        if message.probe is None or message.probe.target is not None:
            return
        self._state.send_address(
            sender,
            Priority.PROBE,
            acknowledged=message.probe.sequence,
            wanted=(self._state.view.version_of(message.sender),),
        )

    def _answer_probe(
        self, message: Message, sender: Address, now: Seconds
    ) -> None:
        assert message.probe is not None
        state = self._state
        sequence = self._liveness.answer_probe(message.probe, sender, now)
        if not sequence:
            return
        if not message.population and not message.deltas:
            state.send_address(sender, Priority.PROBE, acknowledged=sequence)
            return
        fields: MessageFields = {"acknowledged": sequence}
        if message.population:
            listed: MessageFields = {}
            if state.outbox.has_budget(now) and not self._transfer.receiving:
                # Version lists are sent only if budget remains, so that they
                # do not displace the records themselves.
                listed = self._gossip.answer_digest(message.digest, sender)
            free_bytes = 0 if listed else MAX_PIGGYBACK_BYTES
            fields.update(state.piggyback(now, free_bytes))
            fields.update(listed)
            suspicion = state.view.suspicions.get(message.sender)
            if suspicion is not None:
                reported = self._liveness.suspicion_of(message.sender, now)
                fields["suspicions"] = (reported,)
        else:
            # A probe with deltas but no population is a join probe, and its
            # sender may know no other node.
            fields["population"] = len(state.view.records)
            fields["page"] = self._pack_introduction(message.sender, now)
        state.send_address(sender, Priority.PROBE, **fields)

    def _pack_introduction(self, unknown_node: NodeId, now: Seconds) -> bytes:
        """Pack the records of this node and of some peers."""
        state = self._state
        peers = state.contacts.pick_remote()[:1]
        peers += state.contacts.pick_local(INTRODUCED_PEERS, (unknown_node,))
        found = [
            state.delta_after(
                node, Incarnation(0), Version(0), now, INTRODUCED_DELTA_BYTES
            )
            for node in dict.fromkeys([state.node, *peers])
            if node != unknown_node
        ]
        deltas = [delta for delta in found if delta is not None]
        return state.packer.pack(deltas, INTRODUCTION_PAGE_BYTES)[0]

    def _handle_catalogue(
        self, message: Message, sender: Address, now: Seconds
    ) -> None:
        catalogue = self._state.catalogue
        if message.update:
            self._handle_update(message.update, message, sender, now)
        elif message.head and message.head.version > catalogue.version:
            catalogue.highest_version = max(
                catalogue.highest_version, message.head.version
            )
            if not catalogue.fetching:
                self._state.send_address(
                    sender,
                    Priority.URGENT,
                    requests=(catalogue.request_next(),),
                )
        for request in message.requests[:MAX_REQUESTS]:
            update, chunk = catalogue.answer(request)
            if update or chunk:
                self._state.send_address(
                    sender, Priority.PROBE, update=update, chunk=chunk
                )
        if message.chunk and catalogue.receive_chunk(message.chunk, now):
            self._state.notify(ChangeKind.CATALOGUE_HEAD, message.sender, now)

    def _handle_update(
        self,
        update: CatalogueUpdate,
        message: Message,
        sender: Address,
        now: Seconds,
    ) -> None:
        catalogue = self._state.catalogue
        before = catalogue.version
        if update.head.version <= before:
            self._state.count(Drop.STALE_CATALOGUE)
            return
        is_newer, request = catalogue.receive(update, now)
        if request is not None:
            self._state.send_address(
                sender, Priority.URGENT, requests=(request,)
            )
        if is_newer:
            self._state.broadcast(message.sender, update=update)
        if catalogue.version > before:
            self._state.notify(ChangeKind.CATALOGUE_HEAD, message.sender, now)

    def _handle_evidence(self, evidence: Evidence, now: Seconds) -> None:
        state = self._state
        if evidence.target != state.node:
            if evidence.origin != state.node and state.is_live(evidence.target):
                state.send(evidence.target, Priority.URGENT, evidence=evidence)
            else:
                state.count(Drop.UNDELIVERABLE_EVIDENCE)
            return
        state.send(
            evidence.origin,
            Priority.URGENT,
            evidence_received=evidence.sequence,
        )
        if not self._evidence_outbox.is_new(evidence):
            state.count(Drop.REPLAYED_EVIDENCE)
        elif self._sink is not None:
            self._sink.receive(evidence.origin, evidence.payload, now)
