"""Guards estimates of service times against attempts that never end."""

from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import RouteId, Seconds
from egretlever.placement import RouteTimes, ServiceTime

ROUTE = RouteId("list")
LIMIT = Seconds(6.0)
NOW = Seconds(0.0)


@given(
    usual=st.floats(0.001, 6.0),
    ran=st.floats(0.001, 6.0),
)
def test_estimate_grows_beyond_times_without_an_answer(usual, ran):
    # Only answers changed the estimate, so that it stood still while all
    # attempts were ended before their answers.
    time = ServiceTime()
    time.observe(Seconds(usual), Seconds(usual), 0.1)
    for _ in range(4):
        time.observe_longer(Seconds(ran))
    assert time.mean >= ran


def test_answers_as_fast_as_usual_end_the_effect_of_a_hanging_server():
    time = ServiceTime()
    time.observe(Seconds(0.1), Seconds(0.1), 0.1)
    time.observe_longer(Seconds(6.0))
    time.observe(Seconds(0.1), Seconds(0.1), 0.1)
    assert time.mean == 0.1


def test_unanswered_requests_raise_the_usual_time_to_the_timeout_at_most():
    # Beyond the timeout no request had enough time left for its route.
    times = RouteTimes()
    for _ in range(20):
        times.observe_longer(ROUTE, Seconds(5.9), LIMIT, NOW)
    assert times.find(ROUTE) == LIMIT
