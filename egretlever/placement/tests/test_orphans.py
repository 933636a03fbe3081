"""Tests which rows are taken for those of hosts that are gone."""

from egretlever.core import Address, Seconds
from egretlever.placement import OrphanTracker

RELAYS = [Address("10.0.0.1", port) for port in range(1, 9)]
LOST, LIVING = RELAYS[:2], RELAYS[2:]


def list_at(tracker, now, live=LIVING, relays=RELAYS):
    return tracker.list_orphans(relays, live, Seconds(now))


def test_host_without_a_sign_of_life_for_ten_minutes_is_gone():
    tracker = OrphanTracker()
    assert list_at(tracker, 0.0) == []
    assert list_at(tracker, 590.0) == []
    assert list_at(tracker, 600.0) == LOST


def test_sign_of_life_starts_the_time_again():
    tracker = OrphanTracker()
    list_at(tracker, 0.0)
    list_at(tracker, 300.0, live=RELAYS)
    list_at(tracker, 330.0)
    assert list_at(tracker, 900.0) == []
    tracker.observe_reached(LOST[0], Seconds(910.0))
    assert list_at(tracker, 930.0) == [LOST[1]]


def test_node_that_is_cut_off_from_most_others_takes_none_for_gone():
    tracker = OrphanTracker()
    alone = RELAYS[-1:]
    list_at(tracker, 0.0, live=alone)
    assert list_at(tracker, 3600.0, live=alone) == []


def test_new_observer_waits_for_the_whole_time():
    tracker = OrphanTracker()
    list_at(tracker, 0.0)
    tracker.reset()
    list_at(tracker, 590.0)
    assert list_at(tracker, 1000.0) == []


def test_hosts_whose_rows_were_removed_are_forgotten():
    tracker = OrphanTracker()
    list_at(tracker, 0.0)
    list_at(tracker, 100.0, relays=LIVING)
    list_at(tracker, 200.0)
    assert list_at(tracker, 700.0) == []
