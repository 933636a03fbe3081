"""Tests that a home node heeds what its server says in its answers."""

import curio
import pytest

from egretlever.core import Incarnation, Seconds
from egretlever.placement import Answer, RefusalReason
from egretlever.testing._relay_fixture import (
    RelayFixture,
    run_script,
    serve,
)


def limit_to(rate, after=0.0, status=200):
    line = f"server-limit: {rate:g}".encode()
    return serve(b"ok", status, after, line)


def list_signals(caplog):
    return [
        record.msg["outcome"]
        for record in caplog.records
        if isinstance(record.msg, dict)
        and record.msg["event"] == "server-signals"
    ]


def test_log_names_the_limit_of_a_server_once(caplog):
    # The rate of requests could not be compared with the limit.
    fixture = RelayFixture(limit_to(2.5), limit_to(2.5), serve())

    async def script():
        for number in range(3):
            await fixture.offer(f"r-{number}")

    with caplog.at_level("INFO"):
        run_script(fixture, script)
    assert list_signals(caplog) == ["limit 2.5/s", "limit none"]


CONTACT = 3.0  # seconds after the first limit
WINDOW = 4.0  # seconds


def find_busiest_window(times):
    """Return the largest number of requests in a window."""
    return max(
        sum(begin <= time < begin + WINDOW for time in times) for begin in times
    )


async def offer_at_rate(fixture, rate, duration, **changes):
    """Offer requests at a rate, and return the times of those that arrive."""
    times = []
    begun = await curio.clock()
    async with curio.TaskGroup() as group:
        for number in range(int(rate * duration)):
            await curio.sleep(1 / rate)
            await group.spawn(
                lambda name=f"r-{number}": fixture.offer(name, **changes)
            )
            arrived = len(fixture.server.heads) - len(times)
            times += [await curio.clock() - begun] * arrived
    return times


@pytest.mark.parametrize("rate", [0.5, 1.0, 4.8, 12.0])
@pytest.mark.parametrize("max_wait", [0.0, 3.0])
def test_server_gets_no_more_requests_than_its_limit_allows(rate, max_wait):
    # A server with a limit of 1 a second got 13 requests in 4 s.
    fixture = RelayFixture(limit_to(rate, after=0.1), slots=4)

    async def script():
        return await offer_at_rate(
            fixture, 30.0, 20.0, max_wait=Seconds(max_wait)
        )

    times = run_script(fixture, script)
    later = [time for time in times if time >= CONTACT]
    assert find_busiest_window(later) <= 1.5 * WINDOW * rate + 5
    # What the limit allows is used.
    assert len(later) >= 0.75 * rate * (20.0 - CONTACT)


LEAVING = serve(b"ok", 200, 0.0, b"server-leaving: 1")


@pytest.mark.parametrize("status", [200, 500])
def test_server_that_leaves_by_its_answers_gets_no_further_request(status):
    # Only heartbeats were heeded, and they may be lost or come late.
    fixture = RelayFixture(serve(b"ok", status, 0.0, b"server-leaving: 1"))

    async def script():
        await fixture.offer("r-1")
        return [await fixture.offer(f"r-{number}") for number in range(2, 5)]

    replies = run_script(fixture, script)
    assert [reply.reason for reply in replies] == [RefusalReason.LEAVING] * 3
    assert len(fixture.server.heads) == 1


def test_refusal_of_a_leaving_server_says_so_too():
    shed = (b"x-not-executed: 1", b"server-leaving: 1")
    fixture = RelayFixture(serve(b"", 503, 0.0, *shed))

    async def script():
        return [await fixture.offer(f"r-{number}") for number in range(2)]

    reasons = [reply.reason for reply in run_script(fixture, script)]
    assert reasons == [RefusalReason.SHED, RefusalReason.LEAVING]


def test_later_heartbeat_does_not_bring_a_leaving_server_back():
    fixture = RelayFixture(LEAVING)

    async def script():
        await fixture.offer("r-1")
        fixture.announce(sequence=9)
        return await fixture.offer("r-2")

    assert run_script(fixture, script).reason is RefusalReason.LEAVING


def test_next_incarnation_of_a_server_has_neither_limit_nor_leaves():
    both = (b"server-leaving: 1", b"server-limit: 0.5")
    fixture = RelayFixture(serve(b"ok", 200, 0.0, *both), serve())

    async def script():
        await fixture.offer("r-1")
        fixture.announce(incarnation=Incarnation(1_800_000_000_000))
        return [await fixture.offer(f"r-{number}") for number in range(2, 8)]

    replies = run_script(fixture, script)
    assert all(isinstance(reply, Answer) for reply in replies)


def test_entry_nodes_are_told_when_a_server_says_that_it_leaves():
    reported = []

    async def report():
        reported.append(True)

    fixture = RelayFixture(LEAVING, report_leaving=report)

    async def script():
        for number in range(3):
            await fixture.offer(f"r-{number}")

    run_script(fixture, script)
    assert reported == [True]
