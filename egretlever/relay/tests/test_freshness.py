"""Tests the age of what a node knows of a table."""

from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import Seconds
from egretlever.relay._changes import Position
from egretlever.relay._freshness import Freshness, ReadTimes

BOUND = Seconds(2.0)
E = 1e-6  # rounding error, in seconds


def test_answer_that_a_paused_reader_finds_late_is_not_taken_for_new():
    freshness = Freshness(BOUND)
    times = ReadTimes(Seconds(10.0), Seconds(15.0), wait=Seconds(0.7))
    position = freshness.find_read_position(times)
    assert position.as_of <= 11.0


def test_late_position_is_reported_with_the_age_that_was_reached():
    freshness = Freshness(BOUND)
    assert freshness.advance(Position(Seconds(10.0), 1), Seconds(10.1)) is None
    assert freshness.advance(Position(Seconds(10.7), 1), Seconds(10.8)) is None
    late = freshness.advance(Position(Seconds(12.5), 2), Seconds(12.7))
    assert late == 2.0


def test_earlier_position_of_another_source_does_not_count():
    freshness = Freshness(BOUND)
    freshness.advance(Position(Seconds(10.0), 1), Seconds(10.1))
    freshness.advance(Position(Seconds(9.0), 3), Seconds(10.2))
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
