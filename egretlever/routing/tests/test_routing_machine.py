"""Guards the invariants of routing over long random runs."""

import collections
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from egretlever.core import AttemptResult, ServerState
from egretlever.routing import LiveNodes, LoadReport, Placement, make_router
from egretlever.testing.builders import (
    build_attempt,
    build_location,
    build_placement_request,
    build_server,
)

NUMBERS = st.integers(1, 10)
RESULTS = (
    AttemptResult.OK,
    AttemptResult.SHED,
    AttemptResult.TIMEOUT,
    AttemptResult.OVERDUE,
    AttemptResult.REFUSED,
)
ROUTABLE = (ServerState.COLD, ServerState.SERVING)


class RoutingMachine(RuleBasedStateMachine):
    """Changes servers, weights and load at random and checks placements."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.router = make_router(build_location(), random.Random(1))
        self.servers = {}
        self.draining = set()
        self.weights = {}
        self.held = []
        self.incarnations = collections.Counter()

    @rule(
        number=NUMBERS,
        state=st.sampled_from(list(ServerState)),
        restart=st.booleans(),
        slots=st.integers(1, 6),
        warm=st.floats(0.0, 5.0),
    )
    def announce(self, number, state, restart, slots, warm):
        self.incarnations[number] += restart
        server = build_server(
            number,
            state=state,
            slots=slots,
            incarnation=self.incarnations[number],
            warm_at=self.now + warm,
        )
        self.router.update([server], self.now)
        if restart:
            self.draining.discard(server.id)
        if state is ServerState.DRAINING:
            self.draining.add(server.id)
        if state is ServerState.STOPPED:
            self.servers.pop(server.id, None)
            if not any(p.server.id == server.id for p in self.held):
                self.draining.discard(server.id)
        else:
            self.servers[server.id] = server

    @rule(number=NUMBERS, weight=st.sampled_from([0.0, 0.1, 1.0, None]))
    def set_weight(self, number, weight):
        weights = dict(self.weights)
        weights[f"ordering-{number}"] = weight
        if weight is None:
            del weights[f"ordering-{number}"]
        self.weights = weights

    @rule(
        count=st.integers(1, 20),
        use_weights=st.booleans(),
        excluded=st.sets(NUMBERS, max_size=2),
        cross=st.booleans(),
    )
    def decide(self, count, use_weights, excluded, cross):
        exclude = frozenset(f"ordering-{number}" for number in excluded)
        request = build_placement_request(
            deadline=self.now + 1.0,
            exclude=exclude,
            weights=self.weights if use_weights else None,
            cross_region=cross,
        )
        for _ in range(count):
            answer = self.router.decide(request, self.now)
            if not isinstance(answer, Placement):
                assert answer.retry_after > 0.0
                continue
            self.check_placement(answer.server, exclude, use_weights, cross)
            self.held.append(answer)

    def check_placement(self, server, exclude, use_weights, cross):
        assert server == self.servers[server.id]
        assert server.state in ROUTABLE
        assert server.id not in self.draining
        assert server.id not in exclude
        if use_weights:
            assert self.weights.get(server.id, 0.0) > 0.0
        if not cross:
            assert server.region == "punjab"

    @precondition(lambda self: self.held)
    @rule(
        data=st.data(),
        result=st.sampled_from(RESULTS),
        latency=st.floats(0.001, 2.0),
        draining=st.booleans(),
        busy=st.integers(0, 6),
    )
    def finish(self, data, result, latency, draining, busy):
        at = data.draw(st.integers(0, len(self.held) - 1))
        placement = self.held.pop(at)
        server = placement.server
        draining = draining and busy == 0
        self.router.observe(LoadReport(server.id, busy, 4), self.now)
        attempt = build_attempt(server, result, latency, draining=draining)
        self.router.observe(attempt, self.now)
        self.router.release(placement, self.now)
        known = self.servers.get(server.id)
        if draining and known and known.incarnation == server.incarnation:
            self.draining.add(server.id)

    @rule(duration=st.sampled_from([0.001, 0.1, 3.0, 3600.0, -5.0]))
    def wait(self, duration):
        self.now = max(1000.0, self.now + duration)
        self.router.advance(self.now)

    @rule(nodes=st.integers(0, 1000))
    def count_nodes(self, nodes):
        self.router.observe(LiveNodes(nodes), self.now)

    @invariant()
    def limits_are_kept(self):
        held = collections.Counter(p.server.id for p in self.held)
        for snapshot in self.router.describe():
            assert snapshot.servers == len(self.servers)
            for server in snapshot.subset:
                assert server.outstanding == held[server.server]
                slots = self.servers[server.server].slots
                assert 1 <= server.limit <= slots

    def teardown(self):
        for placement in self.held:
            self.router.release(placement, self.now)


TestRoutingMachine = RoutingMachine.TestCase
TestRoutingMachine.settings = settings(max_examples=60, stateful_step_count=60)
