"""Stateful test of several members on a simulated faulty network."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from egretlever.core import Digest, Incarnation, NodeState, ServerState, Version
from egretlever.membership import (
    CatalogueHead,
    CatalogueUpdate,
    Collaborators,
    make_membership,
)
from egretlever.testing import FakeCatalogueCopy, GossipNetwork, builders

NODES = 6
numbers = st.integers(0, NODES - 1)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Checks the invariants of membership after each step."""

    def __init__(self):
        super().__init__()
        self.network = GossipNetwork(1, loss=0.1, duplication=0.1, jitter=0.05)
        self.headers = [
            builders.build_node_header(n, region="punjab") for n in range(NODES)
        ]
        self.addresses = [header.gossip for header in self.headers]
        self.incarnations = [0] * NODES
        self.server_states = {}
        self.stamps = {}
        self.departed = {}
        self.versions = {}
        self.copies = {}
        for number in range(NODES):
            self.start(number)
        self.network.run(5)

    def start(self, number):
        self.incarnations[number] += 1
        header = self.headers[number]
        copy = FakeCatalogueCopy(CatalogueHead(Version(1), Digest("1")), b"x")
        self.copies[number] = copy
        self.network.add(
            header,
            make_membership(
                header,
                Incarnation(self.incarnations[number]),
                self.addresses,
                collaborators=Collaborators(catalogue=copy),
                rng=random.Random(number),
            ),
        )
        for table in (self.stamps, self.departed, self.versions):
            table.pop(number, None)

    def member(self, number):
        return self.network.members[self.addresses[number]]

    @stateful.rule(number=numbers, draining=st.booleans())
    def announce(self, number, draining):
        state = ServerState.DRAINING if draining else ServerState.SERVING
        self.member(number).announce(
            builders.build_announcement(1, number, state=state),
            self.network.now,
        )
        self.network.reschedule(self.addresses[number])

    @stateful.rule(sender=numbers, receiver=numbers)
    def block_path(self, sender, receiver):
        self.network.blocked_paths.add(
            (self.addresses[sender], self.addresses[receiver])
        )

    @stateful.rule()
    def clear_blocked_paths(self):
        self.network.blocked_paths.clear()

    @stateful.rule(number=numbers)
    def pause(self, number):
        self.network.pause(self.addresses[number])

    @stateful.rule(number=numbers)
    def resume(self, number):
        self.network.resume(self.addresses[number])

    @stateful.rule(number=numbers)
    def restart(self, number):
        self.start(number)

    @stateful.rule(number=numbers)
    def update_catalogue(self, number):
        copy = self.copies[number]
        newest = max(c.head().version for c in self.copies.values())
        if copy.head().version != newest:
            return
        content = copy.content() + b"y" * 50
        head = CatalogueHead(Version(newest + 1), Digest(str(len(content))))
        update = CatalogueUpdate(head, newest, b"y" * 50)
        copy.apply_update(update, self.network.now)
        sends = self.member(number).publish_catalogue(update, self.network.now)
        self.network.send(self.addresses[number], sends)

    @stateful.rule(duration=st.sampled_from([0.3, 2.0, 9.0]))
    def run(self, duration):
        self.network.sent.clear()
        self.network.run(duration)
        # The burst counts towards the budget of the first second.
        limit = 15000 * max(1.0, duration)
        assert all(sent <= limit for sent in self.network.sent.values())

    @stateful.invariant()
    def versions_never_decrease(self):
        for number in range(NODES):
            held = self.stamps.setdefault(number, {})
            for node in self.member(number).nodes():
                stamp = (node.incarnation, node.version)
                assert stamp >= held.get(node.id, stamp)
                held[node.id] = stamp

    @stateful.invariant()
    def draining_is_never_undone(self):
        for number in range(NODES):
            seen = self.departed.setdefault(number, set())
            for server in self.member(number).servers():
                draining = server.state is ServerState.DRAINING
                key = (server.id, server.incarnation)
                assert draining or key not in seen
                if draining:
                    seen.add(key)

    @stateful.invariant()
    def catalogue_version_never_decreases(self):
        for copy in self.copies.values():
            assert copy.history == sorted(copy.history)

    @stateful.rule()
    def end_faults(self):
        # Repair has to work from any state, not only at the end of a run.
        self.converge()
        self.network.loss = 0.1

    def teardown(self):
        self.converge()

    def converge(self):
        """Check that all members hold the newest records after faults end."""
        self.network.blocked_paths.clear()
        self.network.loss = 0.0
        for address in self.addresses:
            self.network.resume(address)
        self.network.run(60)
        newest = max(copy.head().version for copy in self.copies.values())
        for number in range(NODES):
            assert self.copies[number].head().version == newest
            for node in self.member(number).nodes():
                owner = int(node.id.split("-")[1])
                own = self.member(owner).describe()
                assert node.state is NodeState.ALIVE
                assert node.incarnation == own.incarnation
                assert node.version == own.version
            assert len(self.member(number).nodes()) == NODES


MembershipMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=20, deadline=None
)
TestMembership = MembershipMachine.TestCase
