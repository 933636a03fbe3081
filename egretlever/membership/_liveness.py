"""Suspicion, refutation and death of nodes."""

from egretlever.core import Address, NodeId, NodeState, Seconds
from egretlever.membership._interfaces import ChangeKind, OrphanPolicy
from egretlever.membership._messages import (
    Drop,
    Message,
    Priority,
    Probe,
    Suspicion,
)
from egretlever.membership._probes import INDIRECT_PROBE_PEERS, Probes
from egretlever.membership._state import State

SUSPICION_RELAYS = 8
# Lower than the relays of a departure, which has to be sent first when the
# byte budget is short.
REFUTATION_RELAYS = 6
# A starting node accepts a death of at least this age as it stands: it could
# have been refuted for long, and restarting the suspicion would keep the dead
# node's record for another full retention time.
SETTLED_DEATH_AGE_S = 30.0
STARTUP_TIME_S = 60.0
DUPLICATE_MESSAGES = 3
DUPLICATE_PERIOD_S = 2.0


class Liveness:
    """Decides which nodes are suspected or dead and finds duplicate node ids.

    Parameters
    ----------
    state : State
        Shared state of the member.
    orphan_policy : OrphanPolicy or None
        Decides whether the servers of dead nodes may still be used.
    """

    def __init__(
        self, state: State, orphan_policy: OrphanPolicy | None
    ) -> None:
        self._state = state
        self._orphan_policy = orphan_policy
        self.probes = Probes(state.rng)
        self.duplicates: set[NodeId] = set()
        self._address_conflicts: dict[NodeId, tuple[Seconds, int]] = {}

    def probe(self, node: NodeId, now: Seconds) -> Probe:
        """Start a probe of a node."""
        return Probe(self.probes.start(node, now))

    def start_join_probe(self, now: Seconds) -> Probe:
        """Start a probe of an address whose node may be unknown."""
        return Probe(self.probes.start(self._state.node, now))

    def answer_probe(self, probe: Probe, sender: Address, now: Seconds) -> int:
        """Return the sequence to acknowledge, 0 when the probe is relayed."""
        if probe.target is None or probe.target == self._state.node:
            return probe.sequence
        sequence = self.probes.relay(sender, probe.sequence, now)
        self._state.send(probe.target, Priority.PROBE, probe=Probe(sequence))
        return 0

    def acknowledge(self, sequence: int, now: Seconds) -> None:
        """Handle an acknowledgement of an own or a relayed probe."""
        found = self.probes.acknowledge(sequence)
        if found is None:
            self._state.count(Drop.STALE_ACKNOWLEDGEMENT)
        elif isinstance(found, tuple):
            address, original = found
            self._state.send_address(
                address, Priority.PROBE, acknowledged=original
            )
        elif self._state.view.clear_suspicion(found):
            self._state.suspicion_rumors.discard(found)
            self._state.notify(ChangeKind.NODE_CLEARED, found, now)

    def advance(self, now: Seconds) -> None:
        """Retry probes, suspect nodes, and declare unrefuted suspects dead."""
        indirect, failed = self.probes.expire(now)
        for sequence, node in indirect:
            if node == self._state.node:
                continue
            again = Probe(sequence)
            self._state.send(node, Priority.PROBE, probe=again)
            for peer in self._state.contacts.pick_local(
                INDIRECT_PROBE_PEERS, (node,)
            ):
                self._state.send(
                    peer, Priority.PROBE, probe=Probe(sequence, node)
                )
        for node in failed:
            if node != self._state.node and self._state.is_live(node):
                stamp = self._state.view.records[node].stamp
                self._add_suspicion(node, stamp, NodeState.SUSPECT, now, now)
        limit = now - self._state.parameters.suspicion_time
        for node, suspicion in list(self._state.view.suspicions.items()):
            if (
                suspicion.state is NodeState.SUSPECT
                and suspicion.since <= limit
            ):
                self._add_suspicion(
                    node, suspicion.stamp, NodeState.DEAD, now, now
                )

    def drop_expired(self, now: Seconds) -> None:
        """Drop records of dead nodes that expired or list no useful server."""
        view = self._state.view
        due = set(view.expired(now))
        for node, suspicion in view.suspicions.items():
            if (
                suspicion.state is NodeState.DEAD
                and not self._has_useful_servers(node, now)
            ):
                due.add(node)
        for node in due:
            view.drop(node)
            self._state.notify(ChangeKind.NODE_DROPPED, node, now)
        view.prune(now, self._state.parameters.max_gossiped_uptime)

    def _has_useful_servers(self, node: NodeId, now: Seconds) -> bool:
        if self._orphan_policy is None:
            return True
        entries = self._state.view.records[node].entries.values()
        return any(
            self._orphan_policy.is_useful(entry.id, now)
            for entry in entries
            if not entry.departing
        )

    def receive_suspicion(self, suspicion: Suspicion, now: Seconds) -> None:
        """Handle a suspicion; refute it when it is about this node."""
        node = suspicion.node
        stamp = (suspicion.incarnation, suspicion.version)
        if node == self._state.node:
            self._refute(suspicion, now)
            return
        if node not in self._state.view.records:
            return
        started = self._state.started
        settled_death = (
            suspicion.age >= SETTLED_DEATH_AGE_S
            and started is not None
            and now - started < STARTUP_TIME_S
        )
        if suspicion.state is NodeState.DEAD and settled_death:
            since = Seconds(now - suspicion.age)
            self._add_suspicion(node, stamp, NodeState.DEAD, since, now)
        else:
            # A recent death reported by another node starts as a suspicion
            # here, which leaves time for a refutation.
            self._add_suspicion(node, stamp, NodeState.SUSPECT, now, now)

    def _refute(self, suspicion: Suspicion, now: Seconds) -> None:
        own = self._state.own
        if suspicion.incarnation > self._state.incarnation:
            self.report_duplicate(self._state.node, now)
            return
        if (suspicion.incarnation, suspicion.version) < own.record.stamp:
            return
        base = own.record.version
        own.raise_version(suspicion.version)
        self._state.view.store(own.record, now)
        self._state.disseminate_record(
            self._state.node, base, True, now, relays=REFUTATION_RELAYS
        )

    def _add_suspicion(
        self,
        node: NodeId,
        stamp: tuple[int, int],
        state: NodeState,
        since: Seconds,
        now: Seconds,
    ) -> None:
        view = self._state.view
        if not view.add_suspicion(node, stamp, state, since):  # type: ignore[arg-type]
            return
        kind = ChangeKind.NODE_SUSPECTED
        if state is NodeState.DEAD:
            kind = ChangeKind.NODE_DEAD
        self._state.suspicion_rumors.add(
            node,
            self.suspicion_of(node, now),
            False,
            SUSPICION_RELAYS,
            Seconds(now + self._state.parameters.suspicion_time),
        )
        self._state.notify(kind, node, now)

    def suspicion_of(self, node: NodeId, now: Seconds) -> Suspicion:
        """Return the suspicion of a suspected or dead node, for sending."""
        suspicion = self._state.view.suspicions[node]
        age = max(0.0, now - suspicion.since)
        return Suspicion(node, *suspicion.stamp, suspicion.state, age)

    def check_address_conflict(
        self, message: Message, sender: Address, now: Seconds
    ) -> None:
        """Report a node id that two live processes use.

        One message from an old incarnation may be late or replayed. Several
        from another address over some seconds show a second live process.
        """
        record = self._state.view.records[message.sender]
        if sender == record.header.gossip:
            return
        first, count = self._address_conflicts.get(message.sender, (now, 0))
        self._address_conflicts[message.sender] = (first, count + 1)
        if len(self._address_conflicts) > 256:
            del self._address_conflicts[next(iter(self._address_conflicts))]
        if (
            count + 1 >= DUPLICATE_MESSAGES
            and now - first >= DUPLICATE_PERIOD_S
        ):
            self.report_duplicate(message.sender, now)

    def report_duplicate(self, node: NodeId, now: Seconds) -> None:
        """Report a duplicate node id once."""
        if node not in self.duplicates and len(self.duplicates) < 256:
            self.duplicates.add(node)
            self._state.notify(ChangeKind.NODE_DUPLICATE, node, now)
