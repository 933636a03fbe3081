"""What a member does on its own as time passes."""

from egretlever.core import Address, NodeId, NodeState, Seconds, Version
from egretlever.membership._evidence import EvidenceOutbox
from egretlever.membership._gossip import Gossip
from egretlever.membership._interfaces import ChangeKind
from egretlever.membership._joining import Joining
from egretlever.membership._liveness import Liveness
from egretlever.membership._messages import CatalogueUpdate, Priority
from egretlever.membership._state import GREETING_BYTES, URGENT_TIME, State
from egretlever.membership._transfer import Transfer

TICK = 0.1
# Departures of one host arrive together; one message carries them all.
URGENT_DELAY = 0.02
ORDINARY_DELAY = 0.2
# A longer gap between calls means that this process was paused.
PAUSE = 2.0
HOUSEKEEPING_INTERVAL = 5.0
# One round in 64 crosses the region link without a bridge, and one in 32
# tries a seed or a dead node, which heals a split of the fleet.
REMOTE_CHANCE = 1 / 64
HEALING_CHANCE = 1 / 32
# Beyond it the node has enough to pull and asks for no further versions.
MAX_MISSING_FOR_DIGEST = 512


class Rounds:
    """Gossip rounds, timeouts and housekeeping."""

    def __init__(
        self,
        state: State,
        liveness: Liveness,
        gossip: Gossip,
        transfer: Transfer,
        joining: Joining,
        post: EvidenceOutbox,
    ) -> None:
        self._state = state
        self._liveness = liveness
        self._gossip = gossip
        self._transfer = transfer
        self._joining = joining
        self._post = post
        self._last: Seconds | None = None
        self._round_at = Seconds(0.0)
        self._housekeeping_at = Seconds(0.0)
        self._change: tuple[Version, bool, Seconds] | None = None
        self._update: tuple[CatalogueUpdate, Seconds] | None = None

    def note_change(self, base: Version, urgent: bool, now: Seconds) -> None:
        """Plan to spread this node's own record from a version on."""
        due = Seconds(now + (URGENT_DELAY if urgent else ORDINARY_DELAY))
        if self._change is not None:
            held_base, held_urgent, held_due = self._change
            base = min(base, held_base)
            urgent = urgent or held_urgent
            due = min(due, held_due)
        self._change = (base, urgent, due)

    def note_update(self, update: CatalogueUpdate, now: Seconds) -> None:
        """Repeat a published catalogue update for a few rounds."""
        self._update = (update, Seconds(now + URGENT_TIME))

    def wake_at(self, now: Seconds) -> Seconds:
        """Return when something is due next."""
        due = self._round_at
        if self._change is not None:
            due = min(due, self._change[2])
        busy = (
            len(self._liveness.probes)
            or len(self._state.outbox)
            or len(self._post)
            or self._state.catalogue.fetching
            or self._transfer.serving
        )
        return min(due, Seconds(now + TICK)) if busy else due

    def advance(self, now: Seconds) -> None:
        """Do everything that is due."""
        if self._last is None:
            self._start(now)
        elif now - self._last > PAUSE:
            self._resume(now)
        self._last = now
        self._spread_own(now)
        self._liveness.advance(now)
        self._repeat_evidence(now)
        self._fetch_catalogue(now)
        self._transfer.serve(now)
        if now >= self._round_at:
            self._round(now)
        if now >= self._housekeeping_at:
            self._housekeep(now)

    def _start(self, now: Seconds) -> None:
        interval = self._state.parameters.gossip_interval
        # Members that start together spread over the first round.
        self._round_at = Seconds(now + self._state.rng.uniform(0, interval))
        self._housekeeping_at = Seconds(now + HOUSEKEEPING_INTERVAL)

    def _resume(self, now: Seconds) -> None:
        assert self._last is not None
        self._liveness.probes.clear()
        self._state.own.excuse_pause(now)
        for doubt in self._state.view.doubts.values():
            if doubt.state is NodeState.SUSPECT:
                doubt.since = now

    def _spread_own(self, now: Seconds) -> None:
        if self._change is None or now < self._change[2]:
            return
        base, urgent, _ = self._change
        self._change = None
        self._state.spread_record(self._state.node, base, urgent, now)

    def _repeat_evidence(self, now: Seconds) -> None:
        for evidence in self._post.due(now):
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
        self._round_at = Seconds(now + interval * rng.uniform(0.9, 1.1))
        self._state.refresh_contacts(now)
        self._transfer.request(now)
        self._gossip.pull(now)
        for address in self._joining.contacts(now):
            self._greet(address, now)
        for node in self._choose_peers():
            self._contact(node, now)
        if rng.random() < HEALING_CHANCE:
            self._heal(now)

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
        elif self._state.rng.random() < REMOTE_CHANCE or not chosen:
            chosen += contacts.pick_remote()
        return chosen

    def _contact(self, node: NodeId, now: Seconds) -> None:
        state = self._state
        fields = state.ride_along(now)
        if self._update is not None:
            update, until = self._update
            if now > until:
                self._update = None
            else:
                fields["update"] = update
                fields.pop("deltas", None)
        doubt = state.view.doubts.get(node)
        if doubt is not None:
            # The suspected node has to hear of it to refute it.
            fields["suspicions"] = (self._liveness.suspicion_of(node, now),)
        # Peers would list what the pages under way bring.
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

    def _greet(self, address: Address, now: Seconds) -> None:
        state = self._state
        state.send_address(
            address,
            Priority.PROBE,
            deltas=(state.own_delta(now, GREETING_BYTES),),
            probe=self._liveness.greeting(now),
        )

    def _heal(self, now: Seconds) -> None:
        state = self._state
        dead = [
            node
            for node, doubt in state.view.doubts.items()
            if doubt.state is NodeState.DEAD
        ]
        if dead and state.rng.random() < 0.5:
            node = state.rng.choice(dead)
            state.send(
                node,
                Priority.PROBE,
                deltas=(state.own_delta(now, GREETING_BYTES),),
                suspicions=(self._liveness.suspicion_of(node, now),),
            )
            return
        # Greetings of all nodes to live seeds would add up at the seeds.
        live = {record.header.gossip for record in state.view.live()}
        absent = [seed for seed in self._joining.seeds if seed not in live]
        if absent:
            self._greet(state.rng.choice(absent), now)

    def _housekeep(self, now: Seconds) -> None:
        state = self._state
        self._housekeeping_at = Seconds(now + HOUSEKEEPING_INTERVAL)
        base = state.own.record.version
        changed = state.own.find_silent(now)
        if changed:
            state.view.store(state.own.record, now)
            for entry in changed:
                state.view.note_entry(entry, now)
            self.note_change(base, any(e.departing for e in changed), now)
            servers = [entry.id for entry in changed]
            state.notify(ChangeKind.SERVERS_CHANGED, state.node, now, servers)
        self._liveness.drop_expired(now)
        self._gossip.forget_settled()
