"""Guards requests that can't be retried against servers with gray failures."""

from egretlever.core import Seconds
from egretlever.home import CircuitBreaker
from egretlever.placement import Trust


def observe(breaker, outcomes, start=0.0):
    for place, good in enumerate(outcomes):
        breaker.observe(good, Seconds(start + place * 0.01))


def test_one_failure_blocks_non_idempotent_requests_until_one_success():
    breaker = CircuitBreaker()
    observe(breaker, [True, True, False])
    assert breaker.describe() is Trust.DOUBTED
    assert not breaker.decide(False, Seconds(0.1))
    assert breaker.decide(True, Seconds(0.1))
    observe(breaker, [True], 0.2)
    assert breaker.decide(False, Seconds(0.3))


def test_a_broken_server_gets_single_trials_with_backoff():
    breaker = CircuitBreaker()
    observe(breaker, [False, False])
    assert breaker.describe() is Trust.BROKEN
    allowed = [
        number / 100
        for number in range(10, 210)
        if breaker.decide(True, Seconds(number / 100))
    ]
    assert 3 <= len(allowed) <= 6
    intervals = [
        later - earlier
        for earlier, later in zip(allowed, allowed[1:], strict=False)
    ]
    assert intervals == sorted(intervals)


def test_a_broken_server_gets_no_forced_non_idempotent_request():
    breaker = CircuitBreaker()
    observe(breaker, [False] * 5)
    assert not breaker.decide(False, Seconds(0.1), forced=True)


def test_forced_requests_reach_servers_that_fail_half_of_them():
    # When all servers of a service failed a part of their requests for seconds,
    # all were considered broken and nearly every request was rejected.
    breaker = CircuitBreaker()
    allowed = served = 0
    for number in range(200):
        now = Seconds(number * 0.02)
        if breaker.decide(True, now, forced=True):
            allowed += 1
            good = number % 2 == 0
            served += good
            breaker.observe(good, now)
    assert allowed > 150
    assert served > 70


def test_a_server_that_fails_nearly_all_gets_no_forced_requests():
    breaker = CircuitBreaker()
    observe(breaker, [False] * 4)
    assert breaker.decide(True, Seconds(0.05), forced=True)  # the trial
    assert not breaker.decide(True, Seconds(0.06), forced=True)


def test_a_doubted_server_gets_forced_non_idempotent_requests():
    breaker = CircuitBreaker()
    observe(breaker, [False])
    assert breaker.decide(False, Seconds(0.1), forced=True)


def test_a_non_idempotent_request_is_the_trial_after_a_long_silence():
    breaker = CircuitBreaker()
    observe(breaker, [False] * 3)
    assert not breaker.decide(False, Seconds(2.0))
    assert breaker.decide(False, Seconds(4.0))
    assert not breaker.decide(False, Seconds(4.01))


def test_a_hanging_request_blocks_non_idempotent_ones_before_it_ends():
    breaker = CircuitBreaker()
    breaker.observe_overdue(1)
    assert not breaker.decide(False, Seconds(0.1))
    breaker.observe_overdue(-1)
    assert breaker.decide(False, Seconds(0.2))


def test_a_single_failure_after_the_usual_time_blocks_nothing():
    # One request in a hundred fails through no fault of the server, and more
    # fail by a failed call. Each such failure blocked requests that are not
    # idempotent at a healthy server for about a second.
    breaker = CircuitBreaker()
    observe(breaker, [True, True])
    breaker.observe(False, Seconds(0.1), after_usual_time=True)
    assert breaker.describe() is Trust.TRUSTED
    breaker.observe(False, Seconds(0.2), after_usual_time=True)
    assert breaker.describe() is Trust.DOUBTED


def test_repeated_failures_after_the_usual_time_break_a_server():
    breaker = CircuitBreaker()
    for number in range(5):
        breaker.observe(False, Seconds(number / 10), after_usual_time=True)
    assert breaker.describe() is Trust.BROKEN


def test_trials_are_rarer_but_go_on_while_the_retry_budget_is_low():
    # Without any trials, servers that had recovered stayed out of service in an
    # overload.
    breaker = CircuitBreaker()
    observe(breaker, [False] * 4)
    allowed = [
        number / 10
        for number in range(1, 101)
        if breaker.decide(True, Seconds(number / 10), low_retry_budget=True)
    ]
    assert 4 <= len(allowed) <= 6
