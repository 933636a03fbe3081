"""Guards against requests that wait too long, or run for no one.

Covers queues, deadlines, silent connections, hedges and disconnected callers.
"""

import curio
import pytest

from egretlever.core import AttemptResult, Seconds
from egretlever.testing import answer, run_with_proxy, stay_silent
from egretlever.transport import read_clock

GET = b"GET /fabrics HTTP/1.1\r\nhost: x\r\n\r\n"
LONG_GET = GET[:-2] + b"egretlever-deadline-ms: 60000\r\n\r\n"
RETRIES = {"retry_budget": 1.0}


def record_attempts(fixture):
    """Return a list that collects the attempts reported to the detector."""
    observed, original = [], fixture.parts.detector.observe

    def observe(attempt, now):
        observed.append(attempt)
        original(attempt, now)

    fixture.parts.detector.observe = observe
    return observed


HEDGE_SAMPLES = 48  # responses that the retry policy needs before it hedges


async def record_latencies(fixture):
    for _ in range(HEDGE_SAMPLES):
        await fixture.call("GET", "/fabrics")


def test_a_disconnect_cancels_the_running_attempt():
    async def scenario(fixture):
        server = await fixture.add_server(answer(after=60.0))
        caller = await fixture.connect()
        await caller.sock.sendall(LONG_GET)
        await curio.sleep(0.3)
        await caller.sock.close()
        await curio.sleep(1.0)
        return (
            server.cancelled_count,
            fixture.proxy.in_flight,
            fixture.parts.admission_waiter.dispatched_count,
        )

    assert run_with_proxy(scenario) == (1, 0, 0)


def test_a_queued_request_of_a_disconnected_caller_is_not_run():
    async def scenario(fixture):
        server = await fixture.add_server(answer(after=3.0), slots=1)
        first = await fixture.connect()
        await first.sock.sendall(GET)
        await curio.sleep(0.1)
        second = await fixture.connect()
        await second.sock.sendall(LONG_GET)
        await curio.sleep(0.1)
        waiting = fixture.parts.admission_waiter.waiting_count
        await second.sock.close()
        await curio.sleep(4.0)
        return (
            waiting,
            fixture.parts.admission_waiter.waiting_count,
            len(server.heads),
        )

    assert run_with_proxy(scenario) == (1, 0, 1)


def test_a_request_that_expires_in_the_queue_is_not_run():
    async def scenario(fixture):
        server = await fixture.add_server(answer(after=3.0), slots=1)
        first = await fixture.connect()
        await first.sock.sendall(GET)
        await curio.sleep(0.1)
        begun = read_clock()
        reply = await fixture.call(
            "GET", "/fabrics", **{"egretlever-deadline-ms": 500}
        )
        waited = read_clock() - begun
        return reply.status, reply.outcome, waited < 0.6, len(server.heads)

    assert run_with_proxy(scenario) == (504, "not-run", True, 1)


def test_the_remaining_time_is_forwarded():
    async def scenario(fixture):
        server = await fixture.add_server()
        await fixture.call("GET", "/fabrics", **{"egretlever-deadline-ms": 700})
        return int(server.heads[0].find(b"egretlever-deadline-ms"))

    assert 600 <= run_with_proxy(scenario) <= 700


def test_a_silent_pooled_connection_is_raced_with_a_new_one():
    async def scenario(fixture):
        observed = record_attempts(fixture)
        server = await fixture.add_server(answer(), stay_silent, answer(b"b"))
        await fixture.call("GET", "/fabrics")
        reply = await fixture.call("GET", "/fabrics")
        await curio.sleep(0.1)
        return (
            reply.body,
            server.cancelled_count,
            [item.result for item in observed],
        )

    assert run_with_proxy(scenario, **RETRIES) == (
        b"b",
        1,
        [
            AttemptResult.OK,
            AttemptResult.OVERDUE,
            AttemptResult.OK,
            AttemptResult.STALE_CONNECTION,
        ],
    )


def test_a_late_response_on_a_pooled_connection_is_measured():
    # The new connection is not faster, so the server is slow rather than the
    # pooled connection dead.
    async def scenario(fixture):
        observed = record_attempts(fixture)
        slow = answer(b"slow", after=4.3)
        await fixture.add_server(answer(), slow, answer(after=4.9))
        await fixture.call("GET", "/fabrics")
        reply = await fixture.call("GET", "/fabrics")
        return reply.body, [(item.result, item.latency) for item in observed]

    body, observed = run_with_proxy(scenario, **RETRIES)
    assert body == b"slow"
    ended = dict(observed)
    assert ended[AttemptResult.OK] == pytest.approx(4.3, abs=0.1)
    assert AttemptResult.OVERDUE in ended


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_slow_requests_are_hedged_only_when_idempotent(method):
    async def scenario(fixture):
        quick = [answer(after=0.01)] * HEDGE_SAMPLES
        first = await fixture.add_server(*quick, answer(b"a", after=2.0))
        await record_latencies(fixture)
        await fixture.add_server(answer(b"b", after=0.01))
        observed = record_attempts(fixture)
        for _ in range(20):
            begun = read_clock()
            reply = await fixture.call(method, "/fabrics")
            if len(first.heads) > HEDGE_SAMPLES:
                break
        taken = read_clock() - begun
        # The slower attempt goes on for up to four times its overdue time.
        await curio.sleep(1.0)
        results = [item.result for item in observed]
        dispatched_count = fixture.parts.admission_waiter.dispatched_count
        return (
            reply.body,
            taken,
            results,
            first.cancelled_count,
            dispatched_count,
        )

    reply, taken, results, cancelled_count, dispatched_count = run_with_proxy(
        scenario, hedge=True, **RETRIES
    )
    assert dispatched_count == 0
    if method == "GET":
        assert reply == b"b" and taken < Seconds(0.5) and cancelled_count == 1
        assert results[-1] is AttemptResult.CANCELLED
    else:
        assert reply == b"a" and AttemptResult.CANCELLED not in results


@pytest.mark.parametrize("duration", [0.02, 5.0])
def test_a_hedge_does_not_hide_a_slow_server_from_the_detector(duration):
    async def scenario(fixture):
        quick = [answer(after=0.01)] * HEDGE_SAMPLES
        slow = await fixture.add_server(*quick, answer(b"a", after=duration))
        await record_latencies(fixture)
        await fixture.add_server(answer(b"b", after=0.0001))
        observed = record_attempts(fixture)
        while len(slow.heads) <= HEDGE_SAMPLES:
            await fixture.call("GET", "/fabrics")
        await curio.sleep(1.0)
        found = [item for item in observed if item.server == "server-1"]
        return [
            (item.result, item.latency) for item in found
        ], slow.cancelled_count

    found, cancelled_count = run_with_proxy(scenario, hedge=True, **RETRIES)
    results = [result for result, _ in found]
    if duration < 1.0:
        assert results == [AttemptResult.OK] and cancelled_count == 0
        assert found[0][1] == pytest.approx(duration, abs=0.011)
    else:
        assert results == [AttemptResult.OVERDUE, AttemptResult.CANCELLED]
        assert cancelled_count == 1


def test_a_failed_hedge_leaves_the_first_attempt_running():
    async def scenario(fixture):
        steps = [answer(after=0.01)] * HEDGE_SAMPLES
        await fixture.add_server(*steps, answer(b"a", after=1.0))
        await record_latencies(fixture)
        observed = record_attempts(fixture)
        reply = await fixture.call("GET", "/fabrics")
        return reply.body, [item.result for item in observed]

    body, results = run_with_proxy(scenario, hedge=True, **RETRIES)
    assert body == b"a"
    assert results == [AttemptResult.OVERDUE, AttemptResult.OK]
