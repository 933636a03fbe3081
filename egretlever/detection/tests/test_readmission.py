"""Ejection times, probes, ramps and the floor of ejected servers."""

from egretlever.core import Health, Incarnation, NodeId, Seconds, ServerState
from egretlever.detection import (
    EjectionChange,
    ProbeServer,
    Sender,
    choose_evidence_nodes,
    make_detector,
)
from egretlever.testing.builders import (
    build_member,
    build_pooled_evidence,
    build_server,
    build_servers,
)

MEMBERS = [build_member(number) for number in range(6)]
EVIDENCE_NODES = choose_evidence_nodes("ordering", MEMBERS)
SERVERS = build_servers(6, region="punjab")


def build_detector(node=EVIDENCE_NODES[0]):
    detector = make_detector(NodeId(node), "punjab")
    detector.update_members(MEMBERS, Seconds(0.0))
    detector.update_servers(SERVERS, Seconds(0.0))
    return detector


def mark_bad(detector, server, now, badness=20.0):
    sender = Sender(EVIDENCE_NODES[1], Incarnation(1))
    pooled = build_pooled_evidence(server, badness=badness)
    detector.receive(pooled, sender, Seconds(now))


def run(detector, start, end, probes_pass):
    """Advance in steps of 0.1 s; return the actions with their times."""
    actions = []
    now = start
    while now < end:
        now += 0.1
        detector.select(SERVERS, 12, Seconds(now))
        for action in detector.advance(Seconds(now)):
            actions.append((now, action))
            if isinstance(action, ProbeServer):
                detector.observe_probe(action.server, probes_pass, Seconds(now))
    return actions


def test_ejection_time_doubles_with_each_ejection_up_to_a_minute():
    # Guards against a flapping server that is readmitted equally soon after
    # each ejection.
    detector = build_detector()
    now = 1.0
    ejection_times = []
    for _ in range(7):
        mark_bad(detector, SERVERS[0], now)
        detector.select(SERVERS, 12, Seconds(now))
        ejection = detector.describe().ejections[0]
        ejection_times.append(ejection.ejected_until - now)
        while detector.health(SERVERS[0].id) is not Health.RAMPING:
            run(detector, now, now + 0.1, True)
            now += 0.1
        now += 1.0
    assert [round(t) for t in ejection_times] == [2, 4, 8, 16, 32, 60, 60]


def test_failing_probes_keep_a_server_ejected():
    # Guards against readmitting a dead server when its ejection time ends.
    detector = build_detector()
    mark_bad(detector, SERVERS[0], 1.0)
    actions = run(detector, 1.0, 120.0, False)
    probes = [at for at, action in actions if isinstance(action, ProbeServer)]
    assert detector.health(SERVERS[0].id) is Health.PROBING
    assert 20 <= len(probes) <= 120


def test_only_evidence_nodes_probe_after_a_server_fault():
    # Guards against probes of one server by all of 1,000 nodes.
    other = next(m.id for m in MEMBERS if m.id not in EVIDENCE_NODES)
    detector = build_detector(other)
    mark_bad(detector, SERVERS[0], 1.0)
    actions = run(detector, 1.0, 30.0, True)
    assert not any(isinstance(a, ProbeServer) for _, a in actions)
    assert detector.health(SERVERS[0].id) is Health.HEALTHY


def test_ramp_grows_from_a_small_weight():
    # Guards against full load on a server that was just readmitted.
    detector = build_detector()
    mark_bad(detector, SERVERS[0], 1.0)
    weights = []
    for step in range(120):
        run(detector, 1.0 + step * 0.1, 1.1 + step * 0.1, True)
        now = Seconds(1.1 + step * 0.1)
        chosen = detector.select(SERVERS, 12, now).eligible
        weights.append(chosen.get(SERVERS[0].id, 0.0))
    ramp = [weight for weight in weights[1:] if 0 < weight < 1]
    assert ramp[0] < 0.1
    assert ramp == sorted(ramp)
    assert weights[-1] == 1.0


def test_worst_server_is_ejected_first_and_the_rest_is_held():
    # Guards against ejecting the server with less evidence when the floor
    # allows only one ejection.
    detector = build_detector()
    mark_bad(detector, SERVERS[0], 1.0, badness=15.0)
    mark_bad(detector, SERVERS[1], 1.0, badness=50.0)
    chosen = detector.select(SERVERS, 20, Seconds(1.0))
    assert chosen.ejected == (SERVERS[1].id,)
    assert chosen.held_by_floor == (SERVERS[0].id,)
    assert chosen.eligible[SERVERS[0].id] <= 0.05
    changes = [action.change for action in detector.advance(Seconds(1.0))]
    assert changes == [EjectionChange.EJECTED, EjectionChange.HELD_BY_FLOOR]


def test_drain_of_a_peer_readmits_an_ejected_server():
    # Guards against checking the floor only at the time of ejection.
    detector = build_detector()
    mark_bad(detector, SERVERS[0], 1.0)
    assert detector.select(SERVERS, 20, Seconds(1.0)).ejected
    draining = build_server(2, region="punjab", state=ServerState.DRAINING)
    servers = [SERVERS[0], draining, *SERVERS[2:]]
    chosen = detector.select(servers, 20, Seconds(1.1))
    assert chosen.held_by_floor == (SERVERS[0].id,)
    log = [str(action) for action in detector.advance(Seconds(1.1))]
    assert any("readmitted by the floor" in line for line in log)
