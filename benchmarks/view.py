"""Processor time to update a node's view after a change of a server or node.

One member knows 1,000 nodes and 14,000 servers. For comparison, the benchmark
measures a full refresh, which visits all of them.
"""

import dataclasses
import random
import time

from benchmarks._report import Measure, run_benchmark
from egretlever.catalogue import make_catalogue_state
from egretlever.core import Incarnation, NodeId, RegionName, Seconds
from egretlever.detection import make_detector
from egretlever.membership import (
    Change,
    ChangeKind,
    GossipMembership,
    make_membership,
)
from egretlever.node import FleetView, SelectionCache
from egretlever.routing import make_router
from egretlever.testing.builders import (
    build_announcement,
    build_location,
    build_node_header,
)

NODES = 1000
SERVERS = 14  # per node
CHANGES = 200
FULL_REFRESHES = 10
_NOW = Seconds(0.0)


def make_member(seed: int) -> GossipMembership:
    """Create a member that knows the records of all nodes."""
    member = make_membership(
        build_node_header(0), Incarnation(1), rng=random.Random(seed)
    )
    for number in range(1, NODES):
        other = make_membership(build_node_header(number), Incarnation(1))
        for server in range(SERVERS):
            other.announce(build_announcement(server, number), _NOW)
        member.restore([other.own_delta(_NOW)], _NOW)
    for server in range(SERVERS):
        member.announce(build_announcement(server, 0), _NOW)
    return member


def make_view(seed: int) -> FleetView:
    """Create the view of the member's node."""
    region = RegionName("punjab")
    detector = make_detector(NodeId("node-0"), region)
    selection_cache = SelectionCache(make_catalogue_state(), detector)
    router = make_router(build_location(0), random.Random(seed))
    return FleetView(region, selection_cache, router, detector)


def change_server(member: GossipMembership, number: int) -> Change:
    """Announce a changed server of the member's node."""
    announcement = build_announcement(number % SERVERS, 0)
    announcement = dataclasses.replace(
        announcement, slots=4 + number // SERVERS % 2
    )
    member.announce(announcement, _NOW)
    return Change(
        ChangeKind.SERVERS_CHANGED, NodeId("node-0"), (announcement.id,)
    )


def measure_refresh(
    view: FleetView, member: GossipMembership, changes: list[Change]
) -> float:
    """Return the processor time in ms of one refresh after changes."""
    for change in changes:
        view.observe(change, _NOW)
    began = time.process_time()
    view.refresh(member, _NOW)
    return (time.process_time() - began) * 1000


def run(seed: int) -> list[Measure]:
    """Measure refreshes after single changes and full refreshes."""
    member, view = make_member(seed), make_view(seed)
    first = measure_refresh(view, member, [])
    complete = 0.0
    for number in range(FULL_REFRESHES):
        view.invalidate()
        change = change_server(member, number)
        complete += measure_refresh(view, member, [change]) / FULL_REFRESHES
    servers = nodes = idle = 0.0
    for number in range(CHANGES):
        change = change_server(member, number)
        servers += measure_refresh(view, member, [change]) / CHANGES
        name = NodeId(f"node-{number}")
        change = Change(ChangeKind.NODE_SUSPECTED, name)
        nodes += measure_refresh(view, member, [change]) / CHANGES
        idle += measure_refresh(view, member, []) / CHANGES
    return [
        Measure("servers known", len(view.servers), ""),
        Measure("first look at everything", first, "ms"),
        Measure("complete look with one change", complete, "ms"),
        Measure("change of one server", servers, "ms"),
        Measure("change of one node with 14 servers", nodes, "ms"),
        Measure("refresh without a change", idle, "ms"),
    ]


if __name__ == "__main__":
    run_benchmark("view", run)
