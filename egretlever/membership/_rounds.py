"""Periodic tasks of a member: gossip rounds, resends and housekeeping."""

from egretlever.core import Address, NodeId, NodeState, Seconds, Version
from egretlever.membership._evidence import EvidenceOutbox
from egretlever.membership._gossip import Gossip
from egretlever.membership._interfaces import ChangeKind
from egretlever.membership._joining import Joining
from egretlever.membership._liveness import Liveness
from egretlever.membership._messages import CatalogueUpdate, Priority
from egretlever.membership._state import (
    OWN_DELTA_BYTES,
    URGENT_RUMOR_TIME_S,
    State,
)
from egretlever.membership._transfer import ViewTransfer

BUSY_INTERVAL_S = 0.1
# Batches the departures of servers on one host, which are announced at about
# the same time, into one message.
URGENT_DELAY_S = 0.02
ORDINARY_DELAY_S = 0.2
# A longer gap between calls of `Rounds.advance` means that this process was
# paused.
PAUSE_THRESHOLD_S = 2.0
HOUSEKEEPING_INTERVAL_S = 5.0
# A node that is no bridge contacts the other regions in one round in 64. One
# round in 32 contacts a seed or a dead node, which repairs a partition of the
# fleet.
REMOTE_PROBABILITY = 1 / 64
HEALING_PROBABILITY = 1 / 32
# A node that misses more records has enough to pull, so it sends no digest and
# gets no further versions.
MAX_MISSING_FOR_DIGEST = 512


class Rounds:
    """Runs gossip rounds, timeouts and housekeeping."""

    def __init__(
        self,
        state: State,
        liveness: Liveness,
        gossip: Gossip,
        transfer: ViewTransfer,
        joining: Joining,
        evidence_outbox: EvidenceOutbox,
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._gossip = gossip
        self._transfer = transfer
        self._joining = joining
        self._evidence_outbox = evidence_outbox
        self._last_advance: Seconds | None = None
        self._next_round_at = Seconds(0.0)
        self._next_housekeeping_at = Seconds(0.0)
        self._pending_change: tuple[Version, bool, Seconds] | None = None
        self._repeated_update: tuple[CatalogueUpdate, Seconds] | None = None

    def schedule_change(
        self, base: Version, urgent: bool, now: Seconds
    ) -> None:
        """Schedule dissemination of this node's changes after a version."""
        due = Seconds(now + (URGENT_DELAY_S if urgent else ORDINARY_DELAY_S))
        if self._pending_change is not None:
            held_base, held_urgent, held_due = self._pending_change
            base = min(base, held_base)
            urgent = urgent or held_urgent
            due = min(due, held_due)
        self._pending_change = (base, urgent, due)

    def repeat_update(self, update: CatalogueUpdate, now: Seconds) -> None:
        """Include a published catalogue update in the next few rounds."""
        self._repeated_update = (update, Seconds(now + URGENT_RUMOR_TIME_S))

    def wake_at(self, now: Seconds) -> Seconds:
        """Return when the next task is due."""
        due = self._next_round_at
        if self._pending_change is not None:
            due = min(due, self._pending_change[2])
        busy = (
            len(self._liveness.probes)
            or len(self._state.outbox)
            or len(self._evidence_outbox)
            or self._state.catalogue.fetching
            or self._transfer.serving
        )
        return min(due, Seconds(now + BUSY_INTERVAL_S)) if busy else due

    def advance(self, now: Seconds) -> None:
        """Run all tasks that are due."""
        if self._last_advance is None:
            self._start(now)
        elif now - self._last_advance > PAUSE_THRESHOLD_S:
            self._resume(now)
        self._last_advance = now
        self._disseminate_own(now)
        self._liveness.advance(now)
        self._resend_evidence(now)
        self._fetch_catalogue(now)
        self._transfer.serve(now)
        if now >= self._next_round_at:
            self._round(now)
        if now >= self._next_housekeeping_at:
            self._run_housekeeping(now)

    def _start(self, now: Seconds) -> None:
        interval = self._state.parameters.gossip_interval
        # A random offset keeps members that start together out of step.
        self._next_round_at = Seconds(
            now + self._state.rng.uniform(0, interval)
        )
        self._next_housekeeping_at = Seconds(now + HOUSEKEEPING_INTERVAL_S)

    def _resume(self, now: Seconds) -> None:
        assert self._last_advance is not None
        self._liveness.probes.clear()
        self._state.own.reset_silence_timers(now)
        for suspicion in self._state.view.suspicions.values():
            if suspicion.state is NodeState.SUSPECT:
                suspicion.since = now

    def _disseminate_own(self, now: Seconds) -> None:
        if self._pending_change is None or now < self._pending_change[2]:
            return
        base, urgent, _ = self._pending_change
        self._pending_change = None
        self._state.disseminate_record(self._state.node, base, urgent, now)

    def _resend_evidence(self, now: Seconds) -> None:
        for evidence in self._evidence_outbox.due(now):
            relays = self._state.contacts.pick_local(1, (evidence.target,))
            for node in relays or [evidence.target]:
                self._state.send(node, Priority.URGENT, evidence=evidence)

    def _fetch_catalogue(self, now: Seconds) -> None:
        requests = self._state.catalogue.due_requests(now)
        if not requests:
            return
        peers = self._state.contacts.pick_local(len(requests))
        peers = peers or self._state.contacts.pick_remote()
        for index, request in enumerate(requests):
            if peers:
                self._state.send(
                    peers[index % len(peers)],
                    Priority.PROBE,
                    requests=(request,),
                )

    def _round(self, now: Seconds) -> None:
        rng = self._state.rng
        interval = self._state.parameters.gossip_interval
        self._next_round_at = Seconds(now + interval * rng.uniform(0.9, 1.1))
        self._state.refresh_contacts(now)
        self._transfer.request(now)
        self._gossip.pull(now)
        for address in self._joining.contacts(now):
            self._send_join_probe(address, now)
        for node in self._choose_peers():
            self._gossip_with(node, now)
        if rng.random() < HEALING_PROBABILITY:
            self._repair_partition(now)

    def _choose_peers(self) -> list[NodeId]:
        contacts = self._state.contacts
        chosen = []
        for _ in range(3):
            node = contacts.next_local()
            if node is None:
                break
            if self._state.is_live(node):
                chosen.append(node)
                break
        if contacts.is_bridge:
            chosen += contacts.pick_remote_bridges()
        elif self._state.rng.random() < REMOTE_PROBABILITY or not chosen:
            chosen += contacts.pick_remote()
        return chosen

    def _gossip_with(self, node: NodeId, now: Seconds) -> None:
        state = self._state
        fields = state.piggyback(now)
        if self._repeated_update is not None:
            update, until = self._repeated_update
            if now > until:
                self._repeated_update = None
            else:
                fields["update"] = update
                fields.pop("deltas", None)
        suspicion = state.view.suspicions.get(node)
        if suspicion is not None:
            # A suspected node has to learn of the suspicion to refute it.
            fields["suspicions"] = (self._liveness.suspicion_of(node, now),)
        # While pages are being received, peers would list versions of records
        # that those pages contain.
        if not self._transfer.receiving and (
            self._gossip.missing <= MAX_MISSING_FOR_DIGEST
        ):
            fields["digest"] = tuple(state.view.digest)
        fields["deltas"] = (
            *fields.get("deltas", ()),
            *state.introduction(now),
        )
        fields["probe"] = self._liveness.probe(node, now)
        state.send(node, Priority.PROBE, **fields)

    def _send_join_probe(self, address: Address, now: Seconds) -> None:
        state = self._state
        state.send_address(
            address,
            Priority.PROBE,
            deltas=(state.own_delta(now, OWN_DELTA_BYTES),),
            probe=self._liveness.start_join_probe(now),
        )

    def _repair_partition(self, now: Seconds) -> None:
        state = self._state
        dead = [
            node
            for node, suspicion in state.view.suspicions.items()
            if suspicion.state is NodeState.DEAD
        ]
        if dead and state.rng.random() < 0.5:
            node = state.rng.choice(dead)
            state.send(
                node,
                Priority.PROBE,
                deltas=(state.own_delta(now, OWN_DELTA_BYTES),),
                suspicions=(self._liveness.suspicion_of(node, now),),
            )
            return
        # Live seeds are left out: join probes of all nodes would overload them.
        live = {record.header.gossip for record in state.view.live()}
        absent = [seed for seed in self._joining.seeds if seed not in live]
        if absent:
            self._send_join_probe(state.rng.choice(absent), now)

    def _run_housekeeping(self, now: Seconds) -> None:
        state = self._state
        self._next_housekeeping_at = Seconds(now + HOUSEKEEPING_INTERVAL_S)
        base = state.own.record.version
        changed = state.own.find_silent(now)
        if changed:
            state.view.store(state.own.record, now)
            for entry in changed:
                state.view.note_entry(entry, now)
            self.schedule_change(base, any(e.departing for e in changed), now)
            servers = [entry.id for entry in changed]
            state.notify(ChangeKind.SERVERS_CHANGED, state.node, now, servers)
        self._liveness.drop_expired(now)
        self._gossip.discard_held()
