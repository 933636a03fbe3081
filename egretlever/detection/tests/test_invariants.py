"""Stateful property tests of the ejection invariants of a detector."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from egretlever.core import (
    AttemptResult,
    Health,
    Incarnation,
    NodeId,
    Seconds,
    ServerState,
)
from egretlever.detection import (
    ProbeServer,
    Sender,
    choose_evidence_nodes,
    make_detector,
)
from egretlever.testing.builders import (
    build_attempt,
    build_member,
    build_pooled_evidence,
    build_server,
)

COUNT = 6
NUMBERS = st.integers(0, COUNT - 1)
MEMBERS = [build_member(number) for number in range(5)]
EVIDENCE_NODE = choose_evidence_nodes("ordering", MEMBERS)[0]
SENDER = Sender(EVIDENCE_NODE, Incarnation(1))
STATES = [ServerState.SERVING, ServerState.DRAINING, ServerState.COLD]


class DetectorMachine(RuleBasedStateMachine):
    """One detector, six servers and random events in random order."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.floor = 14
        self.servers = [
            build_server(n, region="punjab", slots=1 + n % 4)
            for n in range(COUNT)
        ]
        self.detector = make_detector(NodeId("node-0"), "punjab")
        self.detector.update_members(MEMBERS, Seconds(self.now))
        self.detector.update_servers(self.servers, Seconds(self.now))

    def advance(self, duration, probes_pass):
        self.now += duration
        for action in self.detector.advance(Seconds(self.now)):
            if isinstance(action, ProbeServer):
                self.detector.observe_probe(
                    action.server, probes_pass, Seconds(self.now)
                )

    @rule(
        number=NUMBERS,
        result=st.sampled_from(AttemptResult),
        latency=st.sampled_from([0.001, 0.02, 0.2, 2.0]),
        fresh=st.booleans(),
        count=st.integers(1, 8),
    )
    def attempt(self, number, result, latency, fresh, count):
        attempt = build_attempt(
            self.servers[number], result, latency, fresh_connection=fresh
        )
        for _ in range(count):
            self.detector.observe(attempt, Seconds(self.now))
            self.advance(0.03, False)

    @rule(number=NUMBERS, badness=st.floats(1, 100), age=st.floats(-1, 20))
    def pooled(self, number, badness, age):
        pooled = build_pooled_evidence(
            self.servers[number], badness=badness, age=age
        )
        self.detector.receive(pooled, SENDER, Seconds(self.now))

    @rule(number=NUMBERS, age=st.floats(10.0, 1000.0))
    def stale_pooled(self, number, age):
        before = self.select()
        pooled = build_pooled_evidence(self.servers[number], age=age)
        self.detector.receive(pooled, SENDER, Seconds(self.now))
        assert self.select() == before

    @rule(duration=st.floats(0.01, 30), passed=st.booleans())
    def wait(self, duration, passed):
        self.advance(duration, passed)

    @rule(number=NUMBERS)
    def suspicion(self, number):
        server = self.servers[number]
        self.detector.observe_suspicion(server.id, Seconds(self.now))

    @rule(duration=st.floats(0, 5))
    def pause(self, duration):
        self.now += duration
        self.detector.observe_pause(Seconds(duration), Seconds(self.now))

    @rule(number=NUMBERS, state=st.sampled_from(STATES), restart=st.booleans())
    def change_server(self, number, state, restart):
        old = self.servers[number]
        new = build_server(
            number,
            region="punjab",
            slots=old.slots,
            state=state,
            incarnation=Incarnation(old.incarnation + restart),
        )
        self.servers[number] = new
        self.detector.update_servers([new], Seconds(self.now))

    @rule(floor=st.integers(0, 20))
    def change_floor(self, floor):
        self.floor = floor

    @precondition(lambda self: self.now < 1e6)
    @rule()
    def heal(self):
        # Guards against a server that stays ejected after the faults end.
        for _ in range(1500):
            self.advance(0.1, True)
            self.select()
        for server in self.servers:
            assert self.detector.health(server.id) is Health.HEALTHY
        assert set(self.select().eligible.values()) <= {1.0}

    def select(self):
        return self.detector.select(self.servers, self.floor, Seconds(self.now))

    @invariant()
    def floor_and_weights_hold(self):
        selection = self.select()
        slots = {
            server.id: server.slots
            for server in self.servers
            if server.state is ServerState.SERVING
        }
        out = sum(slots.get(server, 0) for server in selection.ejected)
        assert out == 0 or sum(slots.values()) - out >= self.floor
        assert all(0 < w <= 1 for w in selection.eligible.values())
        assert set(selection.held_by_floor) <= set(selection.eligible)
        assert not set(selection.ejected) & set(selection.eligible)
        routable = {
            server.id
            for server in self.servers
            if server.state in (ServerState.SERVING, ServerState.COLD)
        }
        assert set(selection.eligible) | set(selection.ejected) == routable


TestDetector = DetectorMachine.TestCase
TestDetector.settings = settings(max_examples=40, stateful_step_count=60)
