"""Pooled evidence: reporters, peers, expiry, incarnations and messages."""

import pytest

from egretlever.core import FindingsError, Incarnation, NodeId, Seconds
from egretlever.detection import (
    EvidencePool,
    KnownServers,
    Sender,
    Verdict,
    choose_evidence_nodes,
    decode_pooled,
    decode_report,
    encode_pooled,
    encode_report,
    make_detector,
)
from egretlever.testing.builders import (
    build_evidence_report,
    build_member,
    build_pooled_evidence,
    build_server,
    build_servers,
)

SERVERS = build_servers(8, region="punjab")
MEMBERS = [build_member(number) for number in range(10)]
FIRST = Incarnation(1)


def build_pool():
    known_servers = KnownServers("punjab")
    for server in SERVERS:
        known_servers.update_server(server)
    known_servers.update_members(MEMBERS)
    return EvidencePool(known_servers)


def pool_reports(pool, reports, start=100.0, step=0.1):
    """Pool (server, reporter) pairs; return the servers with a verdict."""
    now = start
    judged_bad = set()
    for server, reporter in [*reports, (None, 0), (None, 0), (None, 0)]:
        now += step
        if server is not None:
            report = build_evidence_report(server)
            pool.receive(report, NodeId(f"node-{reporter}"), Seconds(now))
        for action in pool.advance(Seconds(now)):
            judged_bad |= {item.server for item in action.pooled.servers}
    return judged_bad


def test_distinct_reporters_lead_to_a_verdict():
    # Guards against missing a server without responses when each node sends it
    # few requests and sees one bad outcome.
    reports = [(SERVERS[0], node) for node in range(4)]
    assert pool_reports(build_pool(), reports) == {SERVERS[0].id}


def test_one_reporter_leads_to_no_verdict():
    # Guards against a node with a broken path that gets a server ejected on
    # all nodes.
    reports = [(SERVERS[0], 1)] * 50
    assert pool_reports(build_pool(), reports) == set()


def test_equal_evidence_on_all_servers_leads_to_no_verdict():
    # Guards against ejections in a flood, which affects all servers.
    reports = [(server, node) for node in range(8) for server in SERVERS]
    assert pool_reports(build_pool(), reports, step=0.01) == set()


def test_evidence_expires():
    # Guards against accumulating rare bad outcomes over a long time.
    reports = [(SERVERS[0], node) for node in range(10)]
    assert pool_reports(build_pool(), reports, step=11.0) == set()


def test_reports_on_other_incarnations_have_no_effect():
    # Guards against a verdict on a restarted server for outcomes before the
    # restart.
    old = build_server(1, region="punjab", incarnation=Incarnation(7))
    reports = [(old, node) for node in range(9)]
    assert pool_reports(build_pool(), reports) == set()


def test_parameters_are_checked():
    # Guards against a threshold that any evidence exceeds.
    with pytest.raises(FindingsError):
        EvidencePool(KnownServers("punjab"), threshold=0)


def test_evidence_nodes_change_little_when_a_node_dies():
    # Guards against reassigning all evidence nodes when one node leaves.
    chosen = choose_evidence_nodes("ordering", MEMBERS)
    assert len(chosen) == 2
    left = [member for member in MEMBERS if member.id != chosen[0]]
    assert chosen[1] in choose_evidence_nodes("ordering", left)


def receive(pooled, sender):
    detector = make_detector(NodeId("node-1"), "punjab")
    detector.update_members(MEMBERS, Seconds(0.0))
    detector.update_servers(SERVERS, Seconds(0.0))
    detector.receive(pooled, sender, Seconds(1.0))
    return detector.select(SERVERS, 16, Seconds(1.0)).ejected


def test_pooled_evidence_ejects_only_when_valid():
    # Guards against ejection on evidence that is expired, of another
    # incarnation, of too few reporters, or of an invalid sender.
    node = choose_evidence_nodes("ordering", MEMBERS)[0]
    good = Sender(node, FIRST)
    server = SERVERS[0]
    assert receive(build_pooled_evidence(server), good) == (server.id,)
    assert receive(build_pooled_evidence(server, age=11.0), good) == ()
    assert receive(build_pooled_evidence(server, incarnation=0), good) == ()
    assert receive(build_pooled_evidence(server, reporters=1), good) == ()
    assert (
        receive(build_pooled_evidence(server), Sender(node, Incarnation(2)))
        == ()
    )
    assert (
        receive(build_pooled_evidence(server), Sender("stranger", FIRST)) == ()
    )


def test_messages_keep_their_content():
    # Guards against a field that is lost in encoding or decoding.
    sender = Sender(NodeId("node-3"), Incarnation(9))
    report = build_evidence_report(failed=2, slow=3, good=5)
    assert decode_report(encode_report(report, sender)) == (report, sender)
    pooled = build_pooled_evidence(verdict=Verdict.RECOVERED, age=1.5)
    assert decode_pooled(encode_pooled(pooled, sender)) == (pooled, sender)
