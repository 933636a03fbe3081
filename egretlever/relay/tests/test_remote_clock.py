"""Tests the conversion of deadlines to the clock of another node."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import Seconds
from egretlever.relay._remote_clock import RemoteClock

OFFSET = 5000.0  # seconds by which the other clock is ahead


def observe(clock, now, delay=0.0, drift=0.0):
    """Record a reading that was on its way for a delay."""
    sent_at = now - delay
    reading = sent_at * (1.0 + drift) + OFFSET
    clock.observe(Seconds(reading), Seconds(now))


def test_clock_is_unknown_without_a_reading():
    clock = RemoteClock()
    assert not clock.known
    assert not clock.is_due(Seconds(1000.0))


def test_least_delayed_reading_counts():
    clock = RemoteClock()
    for now, delay in ((0.0, 0.3), (1.0, 0.008), (2.0, 0.2)):
        observe(clock, now, delay)
    assert clock.convert(Seconds(10.0)) == pytest.approx(10.0 + OFFSET - 0.008)


@given(
    readings=st.lists(
        st.tuples(st.floats(0.0, 40.0), st.floats(0.0, 3.0)),
        min_size=1,
        max_size=30,
    ),
    drift=st.floats(-0.0005, 0.0005),
)
def test_converted_deadline_is_hardly_later_than_the_true_one(readings, drift):
    # A request must not run after its client has given up, however late the
    # readings were and however the clocks drift.
    clock = RemoteClock()
    now = 0.0
    for pause, delay in readings:
        now += pause
        observe(clock, now, delay, drift)
    true_time = (now + 4.0) * (1.0 + drift) + OFFSET
    assert clock.convert(Seconds(now + 4.0)) <= true_time + 0.13


def test_clocks_that_drift_for_a_day_do_not_make_requests_expire():
    clock = RemoteClock()
    drift = 0.0005
    for now in range(0, 86_400, 45):
        observe(clock, float(now), 0.008, drift)
    true_time = (now + 4.0) * (1.0 + drift) + OFFSET
    assert clock.convert(Seconds(now + 4.0)) == pytest.approx(
        true_time, abs=0.05
    )


def test_new_readings_are_due_soon_at_first_and_then_every_minute():
    clock = RemoteClock()
    now, due_times = 100.0, []
    observe(clock, now)
    while now < 500.0:
        now += 0.5
        if clock.is_due(Seconds(now)):
            due_times.append(now - 100.0)
            observe(clock, now)
    assert due_times[:6] == [1.0, 3.0, 7.0, 15.0, 31.0, 63.0]
    assert due_times[6:8] == [123.0, 183.0]


def test_old_readings_do_not_count():
    clock = RemoteClock()
    observe(clock, 0.0)
    clock.observe(Seconds(1000.0 + OFFSET - 9.0), Seconds(1000.0))
    assert clock.convert(Seconds(1000.0)) == 1000.0 + OFFSET - 9.0
