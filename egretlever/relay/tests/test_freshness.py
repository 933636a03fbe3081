"""Tests the age of what a node knows of a table."""

from egretlever.core import Seconds
from egretlever.relay._changes import Position
from egretlever.relay._freshness import Freshness, ReadTimes

BOUND = Seconds(2.0)


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
