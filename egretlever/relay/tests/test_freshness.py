"""Tests the age of what a node knows of a table."""

from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import Address, Seconds, Version
from egretlever.relay._changes import Position, TableChange
from egretlever.relay._freshness import Freshness, ReadTimes
from egretlever.relay._source_watch import SourceWatch

BOUND = Seconds(2.0)
NONE = Version(0)
FIRST, SECOND = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
E = 1e-6  # rounding error, in seconds


def test_answer_that_a_paused_reader_finds_late_is_not_taken_for_new():
    freshness = Freshness(BOUND)
    times = ReadTimes(Seconds(10.0), Seconds(15.0), wait=Seconds(0.7))
    position = freshness.find_read_position(times)
    assert position.as_of <= 11.0


def test_answer_with_rows_that_is_read_late_is_not_taken_for_new():
    # The store answers a poll with rows at any moment of its wait.
    freshness = Freshness(BOUND)
    for asked_at, answered_at, store_clock in (
        (9.0, 9.75, 109.74),
        (10.0, 10.9, 110.05),
    ):
        position = freshness.find_read_position(
            ReadTimes(
                Seconds(asked_at),
                Seconds(answered_at),
                Seconds(0.74),
                Seconds(store_clock),
            )
        )
    assert position.as_of <= 10.1


def test_late_position_is_reported_with_the_age_that_was_reached():
    freshness = Freshness(BOUND)
    assert freshness.advance(Position(Seconds(10.0), 1), Seconds(10.1)) is None
    assert freshness.advance(Position(Seconds(10.7), 1), Seconds(10.8)) is None
    late = freshness.advance(Position(Seconds(12.5), 2), Seconds(12.7))
    assert late == 2.0


def test_earlier_position_of_another_source_does_not_count():
    freshness = Freshness(BOUND)
    freshness.advance(Position(Seconds(10.0), 1), Seconds(10.1))
    freshness.advance(Position(Seconds(9.5), 3), Seconds(10.2))
    assert freshness.position == Position(Seconds(10.0), 3)
    # A late one does not tell the hops of the way on which changes come now.
    freshness.advance(Position(Seconds(9.0), 5), Seconds(10.3))
    assert freshness.position == Position(Seconds(10.0), 3)


@given(
    delays=st.lists(st.floats(0.0, 0.4), min_size=2, max_size=20),
    batch_time=st.floats(0.0, 0.7),
)
def test_polls_of_a_slow_store_end_before_the_information_is_old(
    delays, batch_time
):
    # A batch, a whole poll and a slow answer took as long as the bound.
    freshness, now = Freshness(BOUND), Seconds(10.0)
    freshness.advance(Position(now, 0), now)
    now = Seconds(now + batch_time)
    before = 0.0
    for delay in delays:
        wait = freshness.find_poll_time(now)
        answered_at = Seconds(now + wait + delay)
        # The delay of a first slow answer is not known before.
        unknown = max(0.0, delay - before)
        assert freshness.measure_age(answered_at) <= 0.45 * BOUND + unknown + E
        times = ReadTimes(now, answered_at, wait)
        freshness.advance(freshness.find_read_position(times), answered_at)
        now, before = answered_at, delay


@given(
    hops=st.integers(1, 8),
    began=st.floats(0.0, 2.0),
    searches=st.booleans(),
    late=st.lists(st.floats(0.0, 0.05), min_size=8, max_size=8),
)
def test_lost_and_stuck_sources_leave_time_for_the_store(
    hops, began, searches, late
):
    # The times for silence, ping, two sources and the poll were bounded one by
    # one, and their sum was not.
    freshness = Freshness(BOUND)
    watch = SourceWatch(freshness)
    turns = iter(late)
    now = Seconds(10.0)
    position = Position(now, hops)
    watch.begin(FIRST, now)
    freshness.advance(position, now)
    watch.observe(TableChange(NONE, NONE, position=position, timed=True), now)
    if searches:
        watch.observe_search()
    # The source is lost at any moment, and found to be stuck at the latest.
    now = Seconds(min(now + began, watch.find_deadline()) + next(turns))
    watch.tried += 1
    watch.end()
    while watch.tried < 4 and watch.may_follow(SECOND, now):
        now = Seconds(now + watch.find_try_time(now) + next(turns))
        watch.tried += 1
    assert freshness.measure_age(now) <= 0.9 * BOUND + sum(late) + E
