"""Guards requests that may not be repeated against gray servers."""

from egretlever.core import Seconds
from egretlever.home import ServerTrust
from egretlever.placement import Trust


def observe(trust, outcomes, start=0.0):
    for place, good in enumerate(outcomes):
        trust.observe(good, Seconds(start + place * 0.01))


def test_one_failure_keeps_orders_away_and_one_success_brings_them_back():
    trust = ServerTrust()
    observe(trust, [True, True, False])
    assert trust.describe() is Trust.DOUBTED
    assert not trust.decide(False, Seconds(0.1))
    assert trust.decide(True, Seconds(0.1))
    observe(trust, [True], 0.2)
    assert trust.decide(False, Seconds(0.3))


def test_a_broken_server_gets_single_trials_at_growing_intervals():
    trust = ServerTrust()
    observe(trust, [False, False])
    assert trust.describe() is Trust.BROKEN
    given = [
        number / 100
        for number in range(10, 210)
        if trust.decide(True, Seconds(number / 100))
    ]
    assert 3 <= len(given) <= 6
    gaps = [
        later - earlier
        for earlier, later in zip(given, given[1:], strict=False)
    ]
    assert gaps == sorted(gaps)


def test_a_broken_server_gets_no_order_even_if_forced():
    trust = ServerTrust()
    observe(trust, [False] * 5)
    assert not trust.decide(False, Seconds(0.1), forced=True)


def test_a_service_that_fails_half_of_its_requests_everywhere_still_serves():
    # All servers of a service failed a part of their requests for seconds. All
    # were called broken, and nearly every request was rejected.
    trust = ServerTrust()
    given = served = 0
    for number in range(200):
        now = Seconds(number * 0.02)
        if trust.decide(True, now, forced=True):
            given += 1
            good = number % 2 == 0
            served += good
            trust.observe(good, now)
    assert given > 150
    assert served > 70


def test_a_server_that_fails_nearly_all_is_not_forced():
    trust = ServerTrust()
    observe(trust, [False] * 4)
    assert trust.decide(True, Seconds(0.05), forced=True)  # the trial
    assert not trust.decide(True, Seconds(0.06), forced=True)


def test_doubt_yields_when_no_other_server_takes_an_order():
    trust = ServerTrust()
    observe(trust, [False])
    assert trust.decide(False, Seconds(0.1), forced=True)


def test_a_service_without_idempotent_requests_recovers_by_a_lone_trial():
    trust = ServerTrust()
    observe(trust, [False] * 3)
    assert not trust.decide(False, Seconds(2.0))
    assert trust.decide(False, Seconds(4.0))
    assert not trust.decide(False, Seconds(4.01))


def test_a_request_that_hangs_keeps_orders_away_before_it_ends():
    trust = ServerTrust()
    trust.observe_overdue(1)
    assert not trust.decide(False, Seconds(0.1))
    trust.observe_overdue(-1)
    assert trust.decide(False, Seconds(0.2))


def test_a_failure_after_the_usual_work_alone_keeps_no_orders_away():
    # One request in a hundred fails by itself, and more by calls that fail.
    # Each kept orders away from a healthy server for about a second.
    trust = ServerTrust()
    observe(trust, [True, True])
    trust.observe(False, Seconds(0.1), worked=True)
    assert trust.describe() is Trust.TRUSTED
    trust.observe(False, Seconds(0.2), worked=True)
    assert trust.describe() is Trust.DOUBTED


def test_a_server_that_fails_after_its_work_is_broken_in_the_end():
    trust = ServerTrust()
    for number in range(5):
        trust.observe(False, Seconds(number / 10), worked=True)
    assert trust.describe() is Trust.BROKEN


def test_few_trials_are_made_while_few_repeats_are_left_but_some():
    # Without any, servers that had recovered stayed out in an overload.
    trust = ServerTrust()
    observe(trust, [False] * 4)
    given = [
        number / 10
        for number in range(1, 101)
        if trust.decide(True, Seconds(number / 10), scarce=True)
    ]
    assert 4 <= len(given) <= 6
