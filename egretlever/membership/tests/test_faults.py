"""Tests of the faults that membership tolerates, one per fault."""

import random

from egretlever.core import (
    Address,
    Digest,
    Incarnation,
    NodeState,
    Seconds,
    ServerState,
    Version,
)
from egretlever.membership import (
    CatalogueHead,
    CatalogueUpdate,
    ChangeKind,
    Collaborators,
    Drop,
    Message,
    Parameters,
    choose_representatives,
    make_membership,
)
from egretlever.membership._messages import ContentChunk, Evidence
from egretlever.testing import FakeCatalogueCopy, GossipNetwork, builders


class Recorder:
    """Listener, evidence sink and address sample that record their calls."""

    def __init__(self):
        self.changes, self.evidence, self.requests = [], [], []

    def observe(self, change, now):
        self.changes.append(change.kind)

    def receive(self, sender, payload, now):
        self.evidence.append((sender, payload))

    def request(self, now):
        self.requests.append(now)


class Cluster:
    """Members of one region, which join through the first one."""

    def __init__(self, size, region="punjab", seeds=None, **changes):
        self.network = GossipNetwork(1)
        self.headers = [
            builders.build_node_header(n, region=region) for n in range(size)
        ]
        self.seeds = [self.headers[0].gossip] if seeds is None else seeds
        self.changes = {"parameters": Parameters(**changes)}
        self.recorders = {}
        for number in range(size):
            self.start(number)
        self.network.run(15)

    def start(self, number, incarnation=1, header=None, **parts):
        header = header or self.headers[number]
        recorder = self.recorders[number] = Recorder()
        parts = {"listener": recorder, "evidence": recorder, **parts}
        member = make_membership(
            header,
            Incarnation(incarnation),
            self.seeds,
            collaborators=Collaborators(**parts),
            rng=random.Random(number),
            **self.changes,
        )
        self.network.add(header, member)
        return member

    def member(self, number):
        return self.network.members[self.headers[number].gossip]

    def announce(self, number, **changes):
        announcement = builders.build_announcement(1, number, **changes)
        self.member(number).announce(announcement, self.network.now)
        self.network.reschedule(self.headers[number].gossip)

    def states(self, number):
        return {node.id: node.state for node in self.member(number).nodes()}

    def servers(self, number):
        return {server.id: server for server in self.member(number).servers()}


def test_path_blocked_one_way_does_not_declare_a_node_dead():
    # Guards against suspicion that ignores indirect probes.
    cluster = Cluster(6)
    first, second = cluster.headers[1].gossip, cluster.headers[2].gossip
    cluster.network.blocked_paths.add((first, second))
    cluster.network.run(60)
    assert set(cluster.states(1).values()) == {NodeState.ALIVE}
    assert set(cluster.states(2).values()) == {NodeState.ALIVE}


def test_listener_is_notified_of_an_announcement_at_its_own_node():
    # Guards against a node without peers that never routes to the servers on
    # its own host.
    cluster = Cluster(1)
    cluster.announce(0)
    assert ChangeKind.SERVERS_CHANGED in cluster.recorders[0].changes


def test_servers_of_a_dead_node_are_orphans_until_they_expire():
    # Guards against a suspicion that removes servers, and against orphans that
    # are never dropped.
    cluster = Cluster(4, orphan_time=30, announcement_timeout=1000)
    cluster.announce(3)
    cluster.network.run(3)
    cluster.network.remove(cluster.headers[3].gossip)
    cluster.network.run(25)
    assert cluster.states(1)["node-3"] is NodeState.DEAD
    assert cluster.servers(1)["server-3-1"].orphaned
    cluster.network.run(60)
    assert "node-3" not in cluster.states(1)
    assert not cluster.servers(1)


def test_paused_node_is_alive_again_with_its_incarnation():
    # Guards against nodes that stay dead after a pause.
    cluster = Cluster(5)
    address = cluster.headers[2].gossip
    cluster.network.pause(address)
    cluster.network.run(30)
    assert cluster.states(1)["node-2"] is NodeState.DEAD
    cluster.network.resume(address)
    cluster.network.run(30)
    for number in range(5):
        assert set(cluster.states(number).values()) == {NodeState.ALIVE}


def test_restart_keeps_servers_and_their_departure():
    # Guards against a node restart that loses servers or undoes a departure.
    cluster = Cluster(4, announcement_timeout=1000)
    cluster.announce(3, state=ServerState.DRAINING)
    cluster.announce(2)
    cluster.network.run(3)
    cluster.start(2, incarnation=2)
    cluster.start(3, incarnation=2)
    cluster.announce(3)
    cluster.network.run(10)
    servers = cluster.servers(1)
    assert servers["server-2-1"].orphaned
    assert servers["server-3-1"].state is ServerState.DRAINING


def test_silent_server_is_orphaned_and_not_removed():
    # Guards against lost announcements that remove a working server.
    cluster = Cluster(3)
    cluster.announce(2)
    cluster.network.run(20)
    assert cluster.servers(1)["server-2-1"].orphaned


def test_warm_up_of_a_cold_server_follows_the_local_clock():
    # Guards against relayed records that restart the warm-up ramp.
    cluster = Cluster(3, announcement_timeout=1000)
    at = cluster.network.now
    cluster.announce(2, state=ServerState.COLD, uptime=1.0)
    cluster.network.run(5)
    assert abs(cluster.servers(0)["server-2-1"].warm_at - (at + 4.0)) < 1.0


def test_node_id_of_two_processes_is_reported():
    # Guards against two nodes that silently overwrite one another's record.
    cluster = Cluster(4)
    rival = builders.build_node_header(
        2, region="punjab", gossip=Address("10.8.8.8", 7946)
    )
    older = cluster.recorders[2]
    cluster.start(2, incarnation=2, header=rival)
    cluster.network.run(20)
    assert ChangeKind.NODE_DUPLICATE in older.changes
    assert ChangeKind.NODE_DUPLICATE in cluster.recorders[2].changes


def test_leaving_node_is_known_at_once():
    # Guards against planned stops that are noticed only by failure detection.
    cluster = Cluster(5, announcement_timeout=1000)
    cluster.announce(2)
    cluster.network.run(2)
    address = cluster.headers[2].gossip
    sends = cluster.member(2).leave(cluster.network.now)
    cluster.network.send(address, sends)
    cluster.network.run(1)
    assert cluster.states(4)["node-2"] is NodeState.LEFT
    assert cluster.servers(4)["server-2-1"].state is ServerState.DRAINING


def test_partition_heals_after_the_records_were_dropped():
    # Guards against regions that never find one another again once they have
    # dropped one another's records.
    cluster = Cluster(8, region="punjab", orphan_time=20)
    for number in range(4, 8):
        cluster.network.remove(cluster.headers[number].gossip)
        cluster.headers[number] = builders.build_node_header(
            number, region="sindh"
        )
        cluster.start(number, incarnation=2)
    cluster.network.run(20)
    cluster.network.split = lambda source, target: source != target
    cluster.network.run(90)
    assert len(cluster.states(1)) == 4
    cluster.network.split = None
    cluster.network.run(120)
    assert set(cluster.states(1).values()) == {NodeState.ALIVE}
    assert len(cluster.states(1)) == len(cluster.states(6)) == 8


def test_sample_is_requested_only_when_no_seed_answers():
    # Guards against starts that put needless load on the store.
    cluster = Cluster(3)
    asked, idle = Recorder(), Recorder()
    cluster.start(1, incarnation=2, sample=idle)
    cluster.seeds = [Address("10.7.7.7", 1)]
    # The others know node-2 by its address and would contact it first.
    stranger = builders.build_node_header(9, region="punjab")
    member = cluster.start(2, header=stranger, sample=asked)
    cluster.network.run(6)
    assert asked.requests and not idle.requests
    assert not member.is_ready(cluster.network.now)
    member.receive_address_sample([cluster.headers[0].gossip])
    cluster.network.run(10)
    assert member.is_ready(cluster.network.now)


def test_evidence_is_relayed_and_delivered_once():
    # Guards against evidence lost on a cut path or delivered twice.
    cluster = Cluster(5)
    cluster.network.duplication = 1.0
    sender, receiver = (cluster.headers[n].gossip for n in (1, 2))
    cluster.network.blocked_paths.add((sender, receiver))
    sends = cluster.member(1).send_evidence(
        ["node-2"], b"bad", cluster.network.now
    )
    cluster.network.send(sender, sends)
    cluster.network.run(3)
    assert cluster.recorders[2].evidence == [("node-1", b"bad")]


def test_large_catalogue_is_fetched_in_chunks():
    # Guards against contents and changes that exceed the size of a datagram.
    cluster = Cluster(4)
    content = bytes(20_000)
    copies = []
    for number in range(4):
        copy = FakeCatalogueCopy(CatalogueHead(Version(1), Digest("1")), b"x")
        copies.append(copy)
        cluster.start(number, incarnation=2, catalogue=copy)
    cluster.network.run(15)
    head = CatalogueHead(Version(2), Digest(str(len(content) + 1)))
    update = CatalogueUpdate(head, Version(1), content)
    copies[1].apply_update(update, cluster.network.now)
    late = cluster.headers[3].gossip
    cluster.network.pause(late)
    cluster.network.send(
        cluster.headers[1].gossip,
        cluster.member(1).publish_catalogue(update, cluster.network.now),
    )
    cluster.network.run(15)
    cluster.network.resume(late)
    cluster.network.run(15)
    assert [copy.head().version for copy in copies] == [2] * 4


def test_invalid_messages_are_counted_and_dropped():
    # Guards against messages of unknown senders, replays and old processes
    # that are acted on.
    cluster = Cluster(3)
    member, now = cluster.member(0), cluster.network.now
    peer = cluster.headers[1].gossip
    own = Evidence("node-1", Incarnation(1), 5, "node-0", b"bad")
    for message in (
        Message("stranger", Incarnation(1), evidence=own),
        Message("node-0", Incarnation(1)),
        Message("node-1", Incarnation(0)),
        Message("node-1", Incarnation(1), acknowledged=999),
        Message("node-1", Incarnation(1), evidence=own),
        Message("node-1", Incarnation(1), evidence=own),
        Message(
            "node-1",
            Incarnation(1),
            chunk=ContentChunk("content/9", 0, 10, b""),
        ),
    ):
        member.receive(message, peer, now)
    dropped = member.describe().dropped
    for reason in (
        Drop.UNKNOWN_SENDER,
        Drop.OWN_NAME,
        Drop.OLD_INCARNATION,
        Drop.STALE_ACKNOWLEDGEMENT,
        Drop.REPLAYED_EVIDENCE,
        Drop.CHUNK,
    ):
        assert dropped[reason] >= 1
    assert cluster.recorders[0].evidence == [("node-1", b"bad")]


def test_tombstones_are_bounded():
    # Guards against memory use that grows with every node that ever existed.
    member = make_membership(builders.build_node_header(0), Incarnation(1))
    view = member._state.view
    for number in range(1, 5000):
        other = make_membership(
            builders.build_node_header(number), Incarnation(1)
        )
        member.restore([other.own_delta(Seconds(0.0))], Seconds(0.0))
        view.drop(f"node-{number}")
    assert len(view._tombstones) == 4096


def test_all_nodes_choose_the_same_representatives():
    # Guards against nodes that disagree on readers and bridges.
    cluster = Cluster(9)
    chosen = {cluster.member(n).readers("punjab") for n in range(9)}
    assert len(chosen) == 1 and len(chosen.pop()) == 3
    assert choose_representatives([], "reader/punjab") == ()
