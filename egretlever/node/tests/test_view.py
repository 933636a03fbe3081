"""Guards the fleet view of a node against missed membership changes."""

import random

import pytest

from egretlever.catalogue import make_catalogue_state
from egretlever.core import Incarnation, NodeId, RegionName, ServerState
from egretlever.detection import make_detector
from egretlever.membership import (
    Change,
    ChangeKind,
    Collaborators,
    Parameters,
    make_membership,
)
from egretlever.node import _metrics as metrics
from egretlever.node._selection_cache import SelectionCache
from egretlever.node._view import FleetView
from egretlever.routing import make_router
from egretlever.testing import GossipNetwork
from egretlever.testing.builders import (
    build_announcement,
    build_location,
    build_node_header,
)

REGION = RegionName("punjab")
SIZE = 5
FAST = Parameters(suspicion_time=2.0, orphan_time=20.0)


class ViewedNetwork:
    """A gossip network whose first member updates a fleet view."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.network = GossipNetwork(seed)
        detector = make_detector(NodeId("node-0"), REGION)
        selection_cache = SelectionCache(make_catalogue_state(), detector)
        router = make_router(build_location(0), random.Random(seed))
        self.view = FleetView(REGION, selection_cache, router, detector)
        self.headers = [
            build_node_header(n, region=REGION) for n in range(SIZE)
        ]
        self.incarnations = dict.fromkeys(range(SIZE), 1)
        for number in range(SIZE):
            self.start(number)
        self.run(10)

    def start(self, number):
        header = self.headers[number]
        member = make_membership(
            header,
            Incarnation(self.incarnations[number]),
            [self.headers[0].gossip, self.headers[1].gossip],
            FAST,
            Collaborators(listener=None if number else self.view),
            random.Random(number),
        )
        self.incarnations[number] += 1
        self.network.add(header, member)

    @property
    def member(self):
        return self.network.members[self.headers[0].gossip]

    def announce(self, number, server, **changes):
        address = self.headers[number].gossip
        member = self.network.members.get(address)
        if member is None:
            return
        announcement = build_announcement(server, number, **changes)
        sends = member.announce(announcement, self.network.now)
        self.network.send(address, sends)
        self.network.reschedule(address)

    def run(self, seconds):
        for _ in range(int(seconds * 2)):
            self.network.run(0.5)
            self.view.refresh(self.member, self.network.now)

    def act(self):
        number = self.random.randrange(1, SIZE)
        action = self.random.choice(["say", "say", "drain", "kill", "start"])
        address = self.headers[number].gossip
        if action == "say":
            self.announce(number, self.random.randrange(4))
        elif action == "drain":
            self.announce(
                number, self.random.randrange(4), state=ServerState.DRAINING
            )
        elif action == "kill":
            self.network.remove(address)
        elif address not in self.network.members:
            self.start(number)


@pytest.mark.parametrize("seed", range(6))
def test_the_view_equals_the_membership_state(seed):
    viewed = ViewedNetwork(seed)
    for _ in range(40):
        viewed.act()
        viewed.run(viewed.random.choice([0.5, 3, 10]))
        # The periodic checks of refresh find silent and expired servers.
        viewed.run(5)
        known = {server.id: server for server in viewed.member.servers()}
        assert viewed.view.servers == known


def test_a_change_is_applied_without_listing_all_servers():
    viewed = ViewedNetwork(1)
    for number in range(SIZE):
        viewed.announce(number, 1)
    viewed.run(5)

    class WithoutLists:
        """Membership without the methods that list everything."""

        def server(self, server):
            return viewed.member.server(server)

        def node(self, node):
            return viewed.member.node(node)

    viewed.announce(2, 1, state=ServerState.DRAINING)
    viewed.network.run(2)
    viewed.view.refresh(WithoutLists(), viewed.network.now)
    name = build_announcement(1, 2).id
    assert viewed.view.servers[name].state is ServerState.DRAINING


def test_a_duplicate_node_id_is_counted():
    viewed = ViewedNetwork(1)
    before = metrics.DUPLICATE_NODES._value.get()
    change = Change(ChangeKind.NODE_DUPLICATE, NodeId("node-2"))
    viewed.view.observe(change, viewed.network.now)
    assert metrics.DUPLICATE_NODES._value.get() == before + 1
