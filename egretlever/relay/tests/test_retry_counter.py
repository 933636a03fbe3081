"""Guards the home nodes' parts of the retry budget against what they miss."""

import random

import curio
import pytest

from egretlever.core import Address, FailureDomain, Seconds, Version
from egretlever.placement import Answer, HomeSelector, RefusalReason
from egretlever.platform import Bounds
from egretlever.relay._fleet import FleetView
from egretlever.relay._retries import RetryCounter
from egretlever.testing._relay_fixture import RelayFixture, run_script, serve
from egretlever.testing.relay_builders import build_home_server, build_offer
from egretlever.transport import read_clock

BOUNDS = Bounds(retry_ratio=0.2, retry_slack=60.0)
RETRY = build_offer(repeated=True)


def build_fleet_view():
    selector = HomeSelector(
        FailureDomain("domain-1"),
        {},
        Address("127.0.0.1", 1),
        random.Random(1),
    )
    return FleetView(selector, lambda: None, random.Random(1))


def exhaust(counter):
    count = 0
    while counter.count_arrival(RETRY, read_clock()):
        count += 1
    return count


def test_a_process_without_a_directory_does_not_take_the_whole_slack():
    fleet = build_fleet_view()
    counter = RetryCounter(BOUNDS, fleet, first_start=True)
    assert exhaust(counter) == 0
    rows = [(build_home_server(n), Version(1)) for n in range(1, 7)]
    fleet.directory.replace(rows, Version(1))
    assert 0 < exhaust(counter) <= 10


def offer_to(fixture, *offers):
    async def script():
        return [
            await fixture.offer(f"r-{number}", **changes)
            for number, changes in enumerate(offers)
        ]

    return run_script(fixture, script)


FAILING = {"idempotent": True, "retriable": True}


@pytest.mark.parametrize(
    ("status", "changes", "granted"),
    [
        (500, FAILING, True),
        (200, FAILING, False),
        (500, {"idempotent": False, "retriable": True}, False),
        (500, {"idempotent": True, "retriable": False}, False),
    ],
)
def test_only_a_failed_attempt_that_may_be_retried_is_granted_one(
    status, changes, granted
):
    fixture = RelayFixture(serve(status=status))
    (reply,) = offer_to(fixture, changes)
    assert reply.retry_granted is granted


def test_granted_retries_are_counted_where_the_attempt_failed():
    # Counted nowhere, they would exceed the budget; counted at both home nodes,
    # half of it could not be used.
    fixture = RelayFixture(
        serve(status=500), retry_ratio=0.0, retry_slack=4.0, slots=9
    )
    replies = offer_to(fixture, *[FAILING] * 6)
    used = sum(reply.retry_granted for reply in replies)
    assert 3 <= used <= 4
    fixture = RelayFixture(retry_ratio=0.0, retry_slack=0.0)
    granted, other = offer_to(
        fixture, {"repeated": True, "granted": True}, {"repeated": True}
    )
    assert isinstance(granted, Answer)
    assert other.reason is RefusalReason.NO_BUDGET


def test_a_granted_retry_that_waited_long_needs_budget_of_its_own():
    # It would reach its server when it is no longer counted at the other one.
    fixture = RelayFixture(
        serve(after=1.0), slots=1, retry_ratio=0.0, retry_slack=0.0
    )

    async def script():
        first = await curio.spawn(fixture.offer, daemon=True)
        await curio.sleep(0.1)
        reply = await fixture.offer(
            "r-2", repeated=True, granted=True, max_wait=Seconds(3.0)
        )
        await first.join()
        return reply

    assert run_script(fixture, script).reason is RefusalReason.NO_BUDGET
