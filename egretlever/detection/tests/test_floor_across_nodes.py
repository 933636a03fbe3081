"""Floor of a service when many nodes eject servers independently."""

import dataclasses
import random

import pytest

from egretlever.core import (
    AttemptResult,
    Incarnation,
    NodeId,
    RegionName,
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
    build_servers,
)

OWN = RegionName("punjab")
NODES = 12
SERVERS = 10
MEMBERS = [build_member(number, region=OWN) for number in range(NODES)]
EVIDENCE_NODE = choose_evidence_nodes("ordering", MEMBERS)[0]
SENDER = Sender(EVIDENCE_NODE, Incarnation(1))
RESULTS = [
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REFUSED,
    AttemptResult.OVERDUE,
]
# A drain, a cold start, and a return to service. None is a crash, after which
# the server restarts with a new incarnation.
STATES = [
    ServerState.DRAINING,
    ServerState.COLD,
    ServerState.SERVING,
    ServerState.SERVING,
    None,
]


def count_serving(servers, excluded=()):
    return sum(
        server.slots
        for server in servers
        if server.state is ServerState.SERVING and server.id not in excluded
    )


class Node:
    """A detector with its own view of the servers."""

    def __init__(self, number, servers):
        self.detector = make_detector(NodeId(f"node-{number}"), OWN)
        self.view = {server.id: server for server in servers}
        self.detector.update_members(MEMBERS, Seconds(0.0))
        self.detector.update_servers(servers, Seconds(0.0))
        self.ejections = 0

    def apply_record(self, server, now):
        self.view[server.id] = server
        if server.state is ServerState.STOPPED:
            del self.view[server.id]
        self.detector.update_servers([server], now)

    def observe_random(self, rng, now):
        """Observe random evidence that no other node has."""
        server = rng.choice(list(self.view.values()))
        if rng.random() < 0.5:
            badness = rng.uniform(12.0, 60.0)
            pooled = build_pooled_evidence(server, badness=badness, reporters=3)
            self.detector.receive(pooled, SENDER, now)
            return
        result = rng.choice(RESULTS)
        for _ in range(6):
            attempt = build_attempt(server, result, fresh_connection=True)
            self.detector.observe(attempt, now)

    def check_selection(self, floor, rng, now):
        """Check the selection of this node, and return its remaining slots."""
        for action in self.detector.advance(now):
            if isinstance(action, ProbeServer):
                passed = rng.random() < 0.5
                self.detector.observe_probe(action.server, passed, now)
        servers = list(self.view.values())
        selection = self.detector.select(servers, floor, now)
        left = count_serving(servers, selection.ejected)
        assert left >= min(floor, count_serving(servers))
        routable = [s for s in servers if s.id in selection.eligible]
        assert count_serving(routable) == left
        self.ejections += len(selection.ejected)
        return left


def change_server(server, rng):
    """Return the records that announce a random change of a server."""
    state = rng.choice(STATES)
    if state is not None:
        return [dataclasses.replace(server, state=state)]
    stopped = dataclasses.replace(server, state=ServerState.STOPPED)
    later = Incarnation(server.incarnation + 1)
    back = dataclasses.replace(
        server, state=ServerState.COLD, incarnation=later
    )
    return [stopped, back]


@pytest.mark.parametrize("seed", range(8))
def test_selections_of_all_nodes_leave_the_floor_at_any_time(seed):
    # Guards against ejections of several nodes that together violate the
    # floor. Each node uses its own evidence and view, while servers drain,
    # start cold and crash, and records reach the nodes at different times.
    rng = random.Random(seed)
    servers = build_servers(SERVERS, region=OWN)
    servers = [
        dataclasses.replace(server, slots=1 + number % 4)
        for number, server in enumerate(servers)
    ]
    floor = int(0.6 * sum(server.slots for server in servers))
    nodes = [Node(number, servers) for number in range(NODES)]
    pending_records = []
    now = 0.0
    for _ in range(150):
        now += rng.choice([0.0, 0.05, 0.2, 1.0])
        if rng.random() < 0.15:
            index = rng.randrange(SERVERS)
            records = change_server(servers[index], rng)
            servers[index] = records[-1]
            pending_records += [
                (node, record) for node in nodes for record in records
            ]
        arriving_count = rng.randint(0, len(pending_records))
        for node, record in pending_records[:arriving_count]:
            node.apply_record(record, Seconds(now))
        del pending_records[:arriving_count]
        for node in nodes:
            node.observe_random(rng, Seconds(now))
        total = sum(n.check_selection(floor, rng, Seconds(now)) for n in nodes)
        capacities = [count_serving(n.view.values()) for n in nodes]
        assert total >= sum(min(floor, one) for one in capacities)
    # Without ejections the run would not test the floor.
    assert sum(node.ejections for node in nodes) > 100
