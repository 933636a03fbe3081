"""Guards the retry budget of a service against calls of retried requests."""

import functools

import curio

from egretlever.core import RequestId, RouteId, Seconds, ServiceName
from egretlever.relay._server_runs import ServerRuns
from egretlever.testing._relay_fixture import RelayFixture, run_script, serve
from egretlever.testing.relay_builders import build_offer
from egretlever.transport import read_clock

RETRY = build_offer("r-1", repeated=True)
NOW = Seconds(100.0)


def build_runs():
    runs = ServerRuns()
    runs.begin(RETRY, NOW, Seconds(NOW + 2.0))
    return runs


def test_a_call_within_the_time_of_a_retried_request_may_be_of_it():
    runs = build_runs()
    assert runs.estimate_retried_share(Seconds(NOW + 0.8)) == 1
    assert runs.estimate_retried_share(Seconds(NOW + 3.0)) == 0
    runs.end(RequestId("r-1"))
    assert runs.estimate_retried_share(Seconds(NOW + 0.8)) == 0


def test_calls_of_first_runs_are_not_all_taken_for_calls_of_retries():
    # Each call from a host that ran one retried request counted as a retry at
    # the called service, which then refused most of the real ones.
    runs = build_runs()
    for number in range(3):
        runs.begin(build_offer(f"f-{number}"), NOW, Seconds(NOW + 2.0))
    other = build_offer("o-1", route=RouteId("other"))
    runs.begin(other, NOW, Seconds(NOW + 2.0))
    assert runs.estimate_retried_share(Seconds(NOW + 0.8)) == 1 / 4


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
        return fixture.home.estimate_derived_share(
            ServiceName("hub"), expires_at
        )

    assert run_script(fixture, script) == 1


def test_retries_whose_calls_find_no_budget_are_refused_for_a_while():
    # They ran, failed with their calls and used up the budget of both services.
    runs = build_runs()
    runs.pause(Seconds(NOW + 0.8), NOW)
    assert runs.is_paused(RETRY, Seconds(NOW + 0.9))
    assert not runs.is_paused(build_offer("r-2"), Seconds(NOW + 0.9))
    assert not runs.is_paused(RETRY, Seconds(NOW + 1.1))
