"""Guards proofs of "not run", retries, hedges and budgets.

The outcomes are derived in section 5.4 of docs/design.md.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import AttemptResult, FindingsError, Outcome, Seconds
from egretlever.retry import (
    FirstAttempt,
    Hedge,
    RequestHistory,
    Retry,
    RetryLimits,
    RunningAttempt,
    Stop,
    StopReason,
    make_retry_policy,
)
from egretlever.testing.builders import build_attempt, build_server

SERVICE = build_server().service
R = AttemptResult
NOW = Seconds(100.0)


def make_policy(**limits):
    policy = make_retry_policy(random.Random(1))
    policy.update(SERVICE, RetryLimits(**limits))
    return policy


def build_history(*attempts, idempotent=True, left=5.0, running=()):
    return RequestHistory(
        SERVICE, idempotent, Seconds(NOW + left), attempts, running
    )


@pytest.mark.parametrize(
    ("result", "sent", "status", "outcome"),
    [
        (R.OK, True, 200, Outcome.COMPLETED),
        (R.ERROR, True, 500, Outcome.COMPLETED),
        (R.ERROR, True, 0, Outcome.UNKNOWN),
        (R.SHED, True, 503, Outcome.NOT_RUN),
        (R.REFUSED, False, 0, Outcome.NOT_RUN),
        (R.REFUSED, True, 0, Outcome.UNKNOWN),
        (R.CONNECT_TIMEOUT, False, 0, Outcome.NOT_RUN),
        (R.TIMEOUT, True, 0, Outcome.UNKNOWN),
        (R.TIMEOUT, False, 0, Outcome.NOT_RUN),
        (R.CUT, True, 0, Outcome.UNKNOWN),
        (R.CUT, False, 0, Outcome.NOT_RUN),
        (R.CANCELLED, True, 0, Outcome.UNKNOWN),
        (R.STALE_CONNECTION, True, 0, Outcome.UNKNOWN),
        (R.STALE_CONNECTION, False, 0, Outcome.NOT_RUN),
        (R.OVERDUE, True, 0, Outcome.UNKNOWN),
        (R.OVERDUE, False, 0, Outcome.UNKNOWN),
    ],
)
def test_not_run_needs_a_proof(result, sent, status, outcome):
    attempt = build_attempt(result=result, sent=sent, status=status)
    for idempotent in (True, False):
        assert make_policy().classify(attempt, idempotent) is outcome


ATTEMPTS = st.builds(
    build_attempt,
    result=st.sampled_from(list(R)),
    sent=st.booleans(),
    status=st.sampled_from([0, 404, 503]),
    retry_after=st.one_of(st.none(), st.floats(0, 10)),
)


@given(st.lists(ATTEMPTS, min_size=1, max_size=5), st.booleans(), st.booleans())
def test_an_order_is_retried_only_if_proved_not_run(
    attempts, is_running, idempotent
):
    running = (RunningAttempt(build_server(2).id, NOW),) if is_running else ()
    policy = make_policy(max_attempts=4, hedge=True)
    decision = policy.decide(
        build_history(*attempts, idempotent=idempotent, running=running), NOW
    )
    outcomes = {policy.classify(attempt, False) for attempt in attempts}
    if isinstance(decision, Stop):
        if decision.outcome is Outcome.NOT_RUN:
            assert outcomes == {Outcome.NOT_RUN}
            assert not is_running
        return
    assert len(attempts) + len(running) < 4
    assert decision.after < 5
    if not idempotent:
        assert outcomes == {Outcome.NOT_RUN}
        assert not is_running
    last = attempts[-1]
    if isinstance(decision, Retry) and last.result is not R.STALE_CONNECTION:
        assert decision.after >= (last.retry_after or 0)


@given(st.lists(st.booleans(), max_size=400), st.floats(0, 1))
def test_retries_stay_within_the_budget(first_attempts, share):
    policy = make_policy(budget=share)
    retries = 0
    for is_first in first_attempts:
        if is_first:
            policy.observe(FirstAttempt(SERVICE), NOW)
            continue
        shed = build_attempt(result=R.SHED)
        decision = policy.decide(build_history(shed), NOW)
        retries += isinstance(decision, Retry)
    assert retries <= 3 + share * sum(first_attempts) + 1e-6
    if share == 0:
        assert retries == 0


@pytest.mark.parametrize("result", [R.REFUSED, R.CONNECT_TIMEOUT])
def test_a_retry_after_an_unsent_attempt_needs_no_token(result):
    # Otherwise a dead server uses up the budget, and requests that other
    # servers could have run are answered with "not run".
    policy = make_policy(budget=0.1)
    unsent = build_attempt(result=result, sent=False)
    for _ in range(20):
        assert isinstance(policy.decide(build_history(unsent), NOW), Retry)


def test_a_retry_after_beyond_the_deadline_ends_the_request():
    shed = build_attempt(result=R.SHED, retry_after=Seconds(6.0))
    decision = make_policy().decide(build_history(shed), NOW)
    assert decision == Stop(Outcome.NOT_RUN, StopReason.DEADLINE)


def test_a_failed_server_is_excluded_and_a_stale_connection_is_not():
    policy = make_policy()
    failed = build_attempt(result=R.TIMEOUT)
    decision = policy.decide(build_history(failed), NOW)
    assert decision.exclude == {failed.server}
    stale = build_attempt(result=R.STALE_CONNECTION, sent=False)
    decision = policy.decide(build_history(stale, idempotent=False), NOW)
    assert decision == Retry(Seconds(0.0))


def test_jitter_covers_the_whole_backoff_interval():
    policy = make_policy(budget=1)
    waits = []
    for _ in range(400):
        policy.observe(FirstAttempt(SERVICE), NOW)
        failed = build_attempt(result=R.TIMEOUT)
        waits.append(policy.decide(build_history(failed), NOW).after)
    assert 0 <= min(waits) < 0.0025
    assert 0.0225 < max(waits) <= 0.025


def add_latencies(policy):
    for number in range(64):
        policy.observe(build_attempt(latency=0.01 + number * 0.001), NOW)


def test_a_slow_idempotent_request_is_hedged_once_within_the_budget():
    policy = make_policy(hedge=True)
    add_latencies(policy)
    first = RunningAttempt(build_server(1).id, Seconds(NOW - 0.05))
    early = policy.decide(build_history(running=(first,)), NOW)
    assert isinstance(early, Hedge)
    assert 0 < early.after < 0.1
    later = Seconds(NOW + early.after)
    for _ in range(3):
        hedge = policy.decide(build_history(running=(first,)), later)
        assert hedge == Hedge(Seconds(0.0), frozenset({first.server}))
    stop = policy.decide(build_history(running=(first,)), later)
    assert stop == Stop(Outcome.UNKNOWN, StopReason.BUDGET_EMPTY)
    second = RunningAttempt(build_server(2).id, NOW)
    stop = policy.decide(build_history(running=(first, second)), later)
    assert stop.reason is StopReason.WAITING


def test_orders_and_services_without_the_option_are_not_hedged():
    running = (RunningAttempt(build_server(1).id, Seconds(NOW - 1)),)
    for policy, idempotent in (
        (make_policy(hedge=True), False),
        (make_policy(hedge=False), True),
    ):
        add_latencies(policy)
        history = build_history(running=running, idempotent=idempotent)
        assert isinstance(policy.decide(history, NOW), Stop)


def test_a_lower_budget_takes_effect_without_new_tokens():
    policy = make_policy()
    failed = build_history(build_attempt(result=R.TIMEOUT))
    for _ in range(3):
        policy.decide(failed, NOW)
    policy.update(SERVICE, RetryLimits(budget=0.05))
    assert policy.decide(failed, NOW).reason is StopReason.BUDGET_EMPTY
    assert policy.describe()[0].tokens == 0


def test_limits_out_of_their_interval_are_refused():
    with pytest.raises(FindingsError):
        RetryLimits(max_attempts=0, budget=2)
