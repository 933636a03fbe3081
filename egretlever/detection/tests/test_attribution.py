"""Attribution of bad outcomes to the causes of section 5.3 of the design."""

import pytest

from egretlever.core import (
    AttemptResult,
    Incarnation,
    NodeId,
    RegionName,
    Seconds,
)
from egretlever.detection import (
    EjectionChange,
    LogChange,
    ProbeServer,
    SendReport,
    make_detector,
)
from egretlever.testing.builders import (
    build_attempt,
    build_member,
    build_server,
    build_servers,
)

OWN = RegionName("punjab")
OTHER = RegionName("sindh")
FLOOR = 8


class Node:
    """A detector, its servers, and the actions that it returned."""

    def __init__(self, servers):
        self.servers = servers
        self.now = 1000.0
        self.actions = []
        self.detector = make_detector(NodeId("node-99"), OWN)
        members = [build_member(number) for number in range(4)]
        self.detector.update_members(members, Seconds(self.now))
        self.detector.update_servers(servers, Seconds(self.now))
        for _ in range(20):
            self.attempt_all(servers)

    def wait(self, duration):
        self.now += duration
        self.actions += self.detector.advance(Seconds(self.now))

    def attempt(self, server, result=AttemptResult.OK, **changes):
        attempt = build_attempt(server, result, **changes)
        self.detector.observe(attempt, Seconds(self.now))
        self.wait(0.02)

    def attempt_all(self, servers, result=AttemptResult.OK, **changes):
        for server in servers:
            self.attempt(server, result, **changes)

    def ejected(self):
        selection = self.detector.select(self.servers, FLOOR, Seconds(self.now))
        return selection.ejected

    def changes(self):
        self.wait(0.0)
        return [a.change for a in self.actions if isinstance(a, LogChange)]


def build_node():
    return Node(build_servers(6, region=OWN))


@pytest.mark.parametrize(
    ("result", "latency"),
    [
        (AttemptResult.OVERDUE, 0.2),
        (AttemptResult.REFUSED, 0.001),
        (AttemptResult.CONNECT_TIMEOUT, 0.25),
        (AttemptResult.ERROR, 0.01),
        (AttemptResult.OK, 0.2),
    ],
)
def test_bad_server_is_ejected_on_own_evidence(result, latency):
    # Guards against a kind of bad outcome that does not lead to ejection
    # within 3 s, the target for partial faults: 25 rounds of 0.12 s.
    node = build_node()
    bad, *rest = node.servers
    for _ in range(25):
        node.attempt(bad, result, latency=latency, fresh_connection=True)
        node.attempt_all(rest)
    assert node.ejected() == (bad.id,)
    assert EjectionChange.EJECTED in node.changes()


def test_evidence_of_own_pause_is_discarded():
    # Guards against counting responses that waited in this node during a
    # pause as evidence against servers.
    node = build_node()
    node.detector.observe_pause(Seconds(1.0), Seconds(node.now))
    for _ in range(5):
        node.attempt(
            node.servers[0],
            AttemptResult.OVERDUE,
            latency=1.0,
            fresh_connection=True,
        )
    node.wait(0.2)
    assert node.ejected() == ()


def test_unanswered_reused_connection_requests_a_probe():
    # Guards against ejecting a server because reused connections got no
    # response.
    node = build_node()
    server, *rest = node.servers
    for _ in range(6):
        node.attempt(server, AttemptResult.OVERDUE, latency=0.2)
        node.attempt(server, AttemptResult.STALE_CONNECTION)
        node.detector.observe_probe(server.id, True, Seconds(node.now))
        node.attempt_all(rest)
    assert any(isinstance(a, ProbeServer) for a in node.actions)
    assert node.ejected() == ()


def test_passing_probe_does_not_outweigh_outcomes():
    # Guards against keeping a faulty server in service because its health
    # endpoint reports it as healthy.
    node = build_node()
    server, *rest = node.servers
    for _ in range(5):
        node.attempt(
            server, AttemptResult.OVERDUE, latency=0.2, fresh_connection=True
        )
        node.detector.observe_probe(server.id, True, Seconds(node.now))
        node.attempt_all(rest)
    assert node.ejected() == (server.id,)


def test_lost_region_link_is_blamed_instead_of_servers():
    # Guards against ejecting all servers of a region when its link is lost.
    own = build_servers(4, region=OWN)
    remote = [build_server(n, region=OTHER) for n in range(5, 9)]
    node = Node([*own, *remote])
    for _ in range(5):
        node.attempt_all(
            remote, AttemptResult.OVERDUE, latency=0.3, fresh_connection=True
        )
        node.attempt_all(own)
    assert node.ejected() == ()
    assert EjectionChange.LINK_BLAMED in node.changes()
    assert node.detector.describe().blamed_regions == (OTHER,)


@pytest.mark.parametrize("result", [AttemptResult.OVERDUE, AttemptResult.ERROR])
def test_flood_that_hits_all_servers_ejects_none(result):
    # Guards against evaluating a server without comparing it with its peers.
    node = build_node()
    for _ in range(20):
        node.attempt_all(
            node.servers, result, latency=0.3, fresh_connection=True
        )
    node.wait(1.0)
    assert node.ejected() == ()


def test_shed_and_cancelled_attempts_are_no_evidence():
    # Guards against ejecting a server because it sheds load.
    node = build_node()
    server, *rest = node.servers
    for _ in range(20):
        node.attempt(server, AttemptResult.SHED)
        node.attempt(server, AttemptResult.CANCELLED, latency=3.0)
        node.attempt_all(rest)
    assert node.ejected() == ()
    reports = [a for a in node.actions if isinstance(a, SendReport)]
    assert not any(action.report.servers for action in reports)


def test_attempt_on_earlier_incarnation_is_dropped():
    # Guards against ejecting a restarted server for outcomes before the
    # restart.
    node = build_node()
    old, *rest = node.servers
    new = build_server(1, region=OWN, incarnation=Incarnation(2))
    node.detector.update_servers([new], Seconds(node.now))
    for _ in range(10):
        node.attempt(old, AttemptResult.REFUSED, fresh_connection=True)
        node.attempt_all(rest)
    assert node.ejected() == ()


def test_reports_are_rate_limited_and_sent_for_bad_outcomes_only():
    # Guards against evidence traffic that grows with the request rate.
    node = build_node()
    node.actions.clear()
    server, *rest = node.servers
    for _ in range(50):
        node.attempt(server, AttemptResult.ERROR)
        node.attempt_all(rest)
    reports = [a for a in node.actions if isinstance(a, SendReport)]
    duration = 50 * 6 * 0.02
    assert 1 <= len(reports) <= duration / 0.2 + 1
    named = {item.server for a in reports for item in a.report.servers}
    assert named == {server.id}
