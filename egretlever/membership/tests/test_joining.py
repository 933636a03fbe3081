"""Tests of joining: transfer of the view, and its load on peers."""

import collections
import random

from egretlever.core import Incarnation, NodeState, Seconds
from egretlever.membership import Message, Parameters, make_membership
from egretlever.membership._codec import encode_message
from egretlever.membership._messages import Drop, measure_message
from egretlever.membership._packing import MAX_UNPACKED_BYTES, ZlibPacker
from egretlever.testing import GossipNetwork, builders

NOW = Seconds(0.0)
SERVERS = 4
LINK = 0.05 * 30e6 / 8


class StartingFleet:
    """Converged fleet in two regions, to which nodes are added."""

    def __init__(self, size, region=None, **changes):
        self.network = GossipNetwork(1)
        self.parameters = Parameters(announcement_timeout=1e6, **changes)
        self.headers = []
        for _ in range(size):
            self.start(len(self.headers), region=region)
        deltas = [m.own_delta(NOW) for m in self.network.members.values()]
        for member in self.network.members.values():
            member.restore(deltas, NOW)
        self.network.run(2)

    def start(self, number, incarnation=1, region=None):
        if number == len(self.headers):
            fields = {"region": region} if region else {}
            self.headers.append(builders.build_node_header(number, **fields))
        header = self.headers[number]
        member = make_membership(
            header,
            Incarnation(incarnation),
            [other.gossip for other in self.headers[:4]],
            self.parameters,
            rng=random.Random(number),
        )
        for server in range(SERVERS):
            member.announce(
                builders.build_announcement(server, number), self.network.now
            )
        self.network.add(header, member)
        return member

    def run_until_ready(self, members, limit):
        """Return the bytes sent by node, and the link's in its worst second."""
        sent, link = collections.Counter(), 0
        for _ in range(limit):
            self.network.sent.clear()
            self.network.link.clear()
            self.network.run(1)
            sent.update(self.network.sent)
            link = max(link, *self.network.link.values())
            if all(m.is_ready(self.network.now) for m in members):
                break
        return sent, link


def test_single_node_is_ready_in_five_seconds():
    # Guards against a view that is loaded a few records at a time.
    fleet = StartingFleet(200)
    member = fleet.start(200)
    fleet.run_until_ready([member], 5)
    assert member.is_ready(fleet.network.now)


def test_node_whose_pages_were_dropped_becomes_ready():
    # Guards against a node that waits forever for lost pages.
    fleet = StartingFleet(200)
    member = fleet.start(200)
    member._transfer._last_served_at = fleet.network.now
    fleet.run_until_ready([member], 60)
    assert member.is_ready(fleet.network.now)


def test_node_without_peers_in_its_region_becomes_ready():
    # Guards against a transfer that waits for peers that don't exist.
    fleet = StartingFleet(40, region="sindh")
    member = fleet.start(40, region="punjab")
    fleet.run_until_ready([member], 60)
    assert member.is_ready(fleet.network.now)


def test_region_that_restarts_becomes_ready():
    # Guards against nodes that all decline to serve one another.
    fleet = StartingFleet(80)
    region = [n for n in range(80) if fleet.headers[n].region == "sindh"]
    for number in region:
        fleet.network.remove(fleet.headers[number].gossip)
    members = [fleet.start(number, incarnation=2) for number in region]
    fleet.run_until_ready(members, 120)
    assert all(m.is_ready(fleet.network.now) for m in members)


def test_nodes_that_start_together_stay_within_the_budgets():
    # Guards against joining nodes that no peer serves without the store, and
    # against peers or a region link that exceed their byte budgets.
    fleet = StartingFleet(60)
    members = [fleet.start(number) for number in range(60, 90)]
    started_at = fleet.network.now
    sent, link = fleet.run_until_ready(members, 60)
    assert all(m.is_ready(fleet.network.now) for m in members)
    seconds = fleet.network.now - started_at
    assert max(sent.values()) <= 15000 * seconds
    assert link <= LINK


def test_link_budget_holds_after_a_partition():
    # Guards against repair after a partition that exceeds the link budget.
    fleet = StartingFleet(60)
    fleet.network.split = lambda source, target: source != target
    fleet.network.run(60)
    fleet.network.split = None
    for _ in range(60):
        fleet.network.link.clear()
        fleet.network.run(1)
        assert max(fleet.network.link.values(), default=0) <= LINK


def test_restarted_node_keeps_the_time_of_old_deaths():
    # Guards against restarts that prolong the retention of dead nodes' records.
    fleet = StartingFleet(24, orphan_time=100)
    fleet.network.remove(fleet.headers[9].gossip)
    fleet.network.run(60)
    died = next(
        suspicion.since
        for suspicion in fleet.network.members[
            fleet.headers[5].gossip
        ]._state.view.suspicions.values()
    )
    member = fleet.start(10, incarnation=2)
    fleet.network.run(10)
    suspicion = member._state.view.suspicions["node-9"]
    assert suspicion.state is NodeState.DEAD
    assert suspicion.since - died < 10
    fleet.network.run(100 - (fleet.network.now - died) + 20)
    assert "node-9" not in [node.id for node in member.nodes()]


def test_page_has_a_size_limit_and_invalid_pages_are_rejected():
    # Guards against a datagram whose decompression exhausts the memory.
    packer = ZlibPacker()
    assert packer.unpack(b"\xff\xff\xff").failure() is Drop.MALFORMED
    fleet = StartingFleet(1)
    delta = fleet.network.members[fleet.headers[0].gossip].own_delta(NOW)
    page, count = packer.pack([delta] * 4000, 1 << 20)
    assert count * SERVERS * 20 > MAX_UNPACKED_BYTES
    assert packer.unpack(page).failure() is Drop.OVERSIZED


def test_page_counts_in_the_size_of_its_message():
    # Guards against pages that are not counted in the byte budget.
    message = Message(
        builders.build_node_header(1).node,
        Incarnation(1),
        page=bytes(1000),
        fetch=tuple(range(16)),
        served=tuple(range(16)),
        declined=tuple(range(16)),
    )
    assert len(encode_message(message)) <= measure_message(message)
