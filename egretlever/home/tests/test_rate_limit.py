"""Tests that a server gets no more requests per second than it takes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import FindingsError, Seconds
from egretlever.home import RateLimit

WINDOW = 4.0  # seconds
NOW = Seconds(100.0)


@given(
    rate=st.floats(0.0, 50.0),
    pauses=st.lists(st.floats(0.0, 3.0), max_size=200),
)
def test_no_window_has_more_requests_than_the_limit_allows(rate, pauses):
    # Requests that wait start in bursts, which add up within a window.
    limit = RateLimit(rate, NOW)
    now, starts = NOW, []
    for pause in pauses:
        now = Seconds(now + pause)
        if limit.count_allowed(now):
            limit.take(now)
            starts.append(now)
    for begin in starts:
        count = sum(begin <= start < begin + WINDOW for start in starts)
        assert count <= 1.5 * WINDOW * rate + 5


@given(rate=st.floats(0.5, 50.0))
def test_what_the_limit_allows_can_be_used(rate):
    limit = RateLimit(rate, NOW)
    now = NOW
    for _ in range(100):
        now = Seconds(now + limit.measure_wait(now))
        assert limit.count_allowed(now)
        limit.take(now)
    assert now - NOW <= 100 / rate


def test_server_that_takes_nothing_gets_a_request_now_and_then():
    # Without any it could not say that it takes requests again.
    limit = RateLimit(0.0, NOW)
    limit.take(NOW)
    assert limit.measure_wait(NOW) == 4.0


def test_lower_limit_holds_for_what_was_saved_before():
    limit = RateLimit(20.0, NOW)
    limit.change(20.0, Seconds(NOW + 10.0))
    assert limit.count_allowed(Seconds(NOW + 10.0)) == 10
    limit.change(1.0, Seconds(NOW + 10.0))
    assert limit.count_allowed(Seconds(NOW + 10.0)) == 1


def test_negative_limit_is_refused():
    with pytest.raises(FindingsError):
        RateLimit(-1.0, NOW)
