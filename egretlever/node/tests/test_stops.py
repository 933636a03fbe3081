"""Guards planned stops at the node against being undone by announcements."""

import pytest

from egretlever.core import Incarnation, ServerState
from egretlever.node._stops import PlannedStops, StopVerdict
from egretlever.testing.builders import build_announcement

SAID = build_announcement()


@pytest.fixture
def stops():
    stops = PlannedStops()
    stops.adapt(SAID)
    return stops


def test_a_stopped_server_stays_stopped_whatever_it_announces(stops):
    verdict, announced = stops.stop(SAID.id)
    assert verdict is StopVerdict.STOPPED_NOW
    assert announced.state is ServerState.DRAINING
    for said in (
        SAID,
        build_announcement(state=ServerState.COLD),
        build_announcement(incarnation=Incarnation(2)),
    ):
        assert stops.adapt(said).state is ServerState.DRAINING
    gone = build_announcement(state=ServerState.STOPPED)
    assert stops.adapt(gone).state is ServerState.STOPPED


def test_a_repeated_stop_changes_nothing(stops):
    stops.stop(SAID.id)
    assert stops.stop(SAID.id) == (StopVerdict.ALREADY_STOPPED, None)


def test_a_start_is_announced_above_the_departure(stops):
    _, stopped = stops.stop(SAID.id)
    verdict, started = stops.start(SAID.id, ServerState.DRAINING, 100)
    assert verdict is StopVerdict.STARTED_NOW
    assert started.state is ServerState.SERVING
    assert started.incarnation > stopped.incarnation
    assert stops.adapt(SAID).incarnation == started.incarnation
    _, again = stops.stop(SAID.id)
    assert again.incarnation == started.incarnation
    _, last = stops.start(SAID.id, ServerState.DRAINING, 100)
    assert last.incarnation > again.incarnation


def test_a_restarted_node_can_undo_a_stop_that_it_forgot():
    earlier, later = PlannedStops(), PlannedStops()
    earlier.adapt(SAID)
    for now in (100, 200):
        earlier.stop(SAID.id)
        _, before = earlier.start(SAID.id, ServerState.DRAINING, now)
    earlier.stop(SAID.id)
    later.adapt(SAID)
    verdict, started = later.start(SAID.id, ServerState.DRAINING, 300)
    assert verdict is StopVerdict.STARTED_NOW
    assert started.incarnation > before.incarnation


def test_only_a_stop_asked_for_at_the_node_is_undone(stops):
    known = ServerState.SERVING
    assert stops.start(SAID.id, known, 1)[0] is StopVerdict.NOT_STOPPED_HERE
    stops.adapt(build_announcement(state=ServerState.DRAINING))
    known = ServerState.DRAINING
    assert stops.start(SAID.id, known, 1)[0] is StopVerdict.LEAVES_ITSELF
    assert stops.start("x", None, 1)[0] is StopVerdict.UNKNOWN_SERVER
    assert stops.stop("x")[0] is StopVerdict.UNKNOWN_SERVER
