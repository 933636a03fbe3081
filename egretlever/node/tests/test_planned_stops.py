"""Guards planned stops of servers against being undone by announcements."""

import pytest

from egretlever.core import Incarnation, ServerState
from egretlever.node._planned_stops import PlannedStops, StopVerdict
from egretlever.testing.builders import build_announcement

ANNOUNCEMENT = build_announcement()


@pytest.fixture
def stops():
    stops = PlannedStops()
    stops.adjust(ANNOUNCEMENT)
    return stops


def test_a_stopped_server_stays_stopped_despite_its_announcements(stops):
    verdict, announced = stops.stop(ANNOUNCEMENT.id)
    assert verdict is StopVerdict.STOPPED_NOW
    assert announced.state is ServerState.DRAINING
    for announcement in (
        ANNOUNCEMENT,
        build_announcement(state=ServerState.COLD),
        build_announcement(incarnation=Incarnation(2)),
    ):
        assert stops.adjust(announcement).state is ServerState.DRAINING
    gone = build_announcement(state=ServerState.STOPPED)
    assert stops.adjust(gone).state is ServerState.STOPPED


def test_a_second_stop_has_no_effect(stops):
    stops.stop(ANNOUNCEMENT.id)
    assert stops.stop(ANNOUNCEMENT.id) == (StopVerdict.ALREADY_STOPPED, None)


def test_a_start_is_announced_with_a_higher_incarnation(stops):
    _, stopped = stops.stop(ANNOUNCEMENT.id)
    verdict, started = stops.start(ANNOUNCEMENT.id, ServerState.DRAINING, 100)
    assert verdict is StopVerdict.STARTED_NOW
    assert started.state is ServerState.SERVING
    assert started.incarnation > stopped.incarnation
    assert stops.adjust(ANNOUNCEMENT).incarnation == started.incarnation
    _, again = stops.stop(ANNOUNCEMENT.id)
    assert again.incarnation == started.incarnation
    _, last = stops.start(ANNOUNCEMENT.id, ServerState.DRAINING, 100)
    assert last.incarnation > again.incarnation


def test_a_restarted_node_can_undo_an_earlier_stop():
    earlier, later = PlannedStops(), PlannedStops()
    earlier.adjust(ANNOUNCEMENT)
    for now in (100, 200):
        earlier.stop(ANNOUNCEMENT.id)
        _, before = earlier.start(ANNOUNCEMENT.id, ServerState.DRAINING, now)
    earlier.stop(ANNOUNCEMENT.id)
    later.adjust(ANNOUNCEMENT)
    verdict, started = later.start(ANNOUNCEMENT.id, ServerState.DRAINING, 300)
    assert verdict is StopVerdict.STARTED_NOW
    assert started.incarnation > before.incarnation


def test_only_an_operators_stop_can_be_undone(stops):
    known = ServerState.SERVING
    assert (
        stops.start(ANNOUNCEMENT.id, known, 1)[0]
        is StopVerdict.NOT_STOPPED_HERE
    )
    stops.adjust(build_announcement(state=ServerState.DRAINING))
    known = ServerState.DRAINING
    assert (
        stops.start(ANNOUNCEMENT.id, known, 1)[0] is StopVerdict.LEAVES_ITSELF
    )
    assert stops.start("x", None, 1)[0] is StopVerdict.UNKNOWN_SERVER
    assert stops.stop("x")[0] is StopVerdict.UNKNOWN_SERVER
