"""Guards the retry budget of a service against calls of retried requests."""

import functools

import curio

from egretlever.core import RequestId, Seconds, ServiceName
from egretlever.relay._retried_runs import RetriedRuns
from egretlever.testing._relay_fixture import RelayFixture, run_script, serve
from egretlever.testing.relay_builders import build_offer
from egretlever.transport import read_clock

RETRY = build_offer("r-1", repeated=True)
NOW = Seconds(100.0)


def build_runs():
    runs = RetriedRuns()
    runs.begin(RETRY, NOW, Seconds(NOW + 2.0))
    return runs


def test_a_call_within_the_time_of_a_retried_request_may_be_of_it():
    runs = build_runs()
    assert runs.may_have_made(Seconds(NOW + 0.8))
    assert not runs.may_have_made(Seconds(NOW + 3.0))
    runs.end(RequestId("r-1"))
    assert not runs.may_have_made(Seconds(NOW + 0.8))


def test_a_call_of_a_retry_without_an_answer_is_still_recognised():
    # The server works on until the time that it was given, after its home node
    # has given the request up.
    fixture = RelayFixture(serve(after=3.0))

    async def script():
        retry = functools.partial(
            fixture.offer,
            repeated=True,
            idempotent=True,
            time_left=Seconds(2.0),
        )
        task = await curio.spawn(retry, daemon=True)
        await curio.sleep(0.2)
        await task.cancel()
        await curio.sleep(0.2)
        expires_at = Seconds(read_clock() + 0.8)
        return fixture.home.may_be_derived(ServiceName("hub"), expires_at)

    assert run_script(fixture, script)


def test_retries_whose_calls_find_no_budget_are_refused_for_a_while():
    # They ran, failed with their calls and used up the budget of both services.
    runs = build_runs()
    runs.pause(Seconds(NOW + 0.8), NOW)
    assert runs.is_paused(RETRY, Seconds(NOW + 0.9))
    assert not runs.is_paused(build_offer("r-2"), Seconds(NOW + 0.9))
    assert not runs.is_paused(RETRY, Seconds(NOW + 1.1))
