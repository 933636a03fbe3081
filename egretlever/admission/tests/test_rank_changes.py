"""Guards tickets against loss and reordering when ranks change."""

import random

import pytest

from egretlever.admission import (
    Admitted,
    Capacity,
    Queued,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    make_admission,
)
from egretlever.core import AttemptResult, FindingsError, Seconds
from egretlever.testing.builders import build_ranks, build_ticket

NOW = 1000.0
SERVICES = [ServicePolicy("ordering", 100)]
RANKS = build_ranks()
URGENT, MIDDLE, LOWEST = RANKS


@pytest.fixture
def admission():
    admission = make_admission(SERVICES, RANKS, random.Random(1), 1)
    admission.observe(Capacity("ordering", 1), NOW)
    return admission


def queue_ticket(admission, number, rank):
    ticket = build_ticket(number, rank=rank.name, deadline=9000.0)
    assert isinstance(admission.offer(ticket, NOW), Queued)
    return ticket


def run_one(admission, rank=URGENT):
    ticket = build_ticket(0, rank=rank.name, deadline=9000.0)
    assert admission.offer(ticket, NOW) == Admitted()
    return ticket


def drain(admission, running, now=NOW + 1):
    """Finish one ticket at a time; return the tickets in order of dispatch."""
    order = []
    while running is not None:
        admission.finish(running, AttemptResult.OK, Seconds(0.01), now)
        dispatched = admission.advance(now).dispatched
        running = dispatched[0] if dispatched else None
        order += dispatched
    return order


def test_waiting_tickets_keep_their_order_within_a_rank(admission):
    running = run_one(admission)
    tickets = [
        queue_ticket(admission, number, MIDDLE) for number in range(1, 9)
    ]
    changed = [
        RankPolicy("first", 0, 0.0),
        RankPolicy(URGENT.name, 3, 0.0),
        RankPolicy(MIDDLE.name, 2, 0.0),
    ]
    admission.configure(SERVICES, NOW, changed)
    assert drain(admission, running) == tickets


def test_a_changed_priority_decides_the_order_between_ranks(admission):
    running = run_one(admission)
    urgent = [queue_ticket(admission, number, URGENT) for number in range(1, 4)]
    lowest = [queue_ticket(admission, number, LOWEST) for number in range(4, 7)]
    swapped = [RankPolicy(LOWEST.name, 0, 0.0), RankPolicy(URGENT.name, 1, 0.0)]
    admission.configure(SERVICES, NOW, swapped)
    assert drain(admission, running) == lowest + urgent


def test_waiting_tickets_of_a_removed_rank_are_refused_once(admission):
    running = run_one(admission)
    removed = [
        queue_ticket(admission, number, LOWEST) for number in range(1, 4)
    ]
    kept = queue_ticket(admission, 4, MIDDLE)
    admission.configure(SERVICES, NOW, [URGENT, MIDDLE])
    departures = admission.advance(NOW)
    assert [ticket for ticket, _ in departures.refused] == removed
    reasons = {refused.reason for _, refused in departures.refused}
    assert reasons == {RefusalReason.RANK_REMOVED}
    late = build_ticket(5, rank=LOWEST.name, deadline=9000.0)
    answer = admission.offer(late, NOW)
    assert answer == Refused(RefusalReason.UNKNOWN_RANK)
    assert drain(admission, running) == [kept]


def test_a_running_ticket_of_a_removed_rank_ends_as_usual(admission):
    running = run_one(admission, LOWEST)
    waiting = queue_ticket(admission, 1, MIDDLE)
    admission.configure(SERVICES, NOW, [URGENT, MIDDLE])
    admission.finish(running, AttemptResult.SHED, Seconds(0.01), NOW + 1)
    assert admission.advance(NOW + 1).dispatched == [waiting]
    (snapshot,) = admission.describe()
    assert snapshot.in_flight == 1


def test_a_rank_keeps_its_credit_when_ranks_change(admission):
    running = run_one(admission)
    for number in range(1, 40):
        queue_ticket(admission, number, URGENT)
    lowest = queue_ticket(admission, 40, LOWEST)
    order = []
    for number in range(40):
        ranks = [URGENT, MIDDLE, LOWEST][: 3 if number % 2 else None]
        changed = [*ranks, RankPolicy(f"new-{number}", 9, 0.0)]
        admission.configure(SERVICES, NOW, changed)
        admission.finish(running, AttemptResult.OK, Seconds(0.01), NOW + 1)
        (running,) = admission.advance(NOW + 1).dispatched
        order.append(running)
    # The minimum share of the lowest rank is one of 1 / share dispatches.
    assert order.index(lowest) <= 1 / LOWEST.minimum_share


def test_invalid_ranks_change_nothing(admission):
    running = run_one(admission)
    ticket = queue_ticket(admission, 1, LOWEST)
    with pytest.raises(FindingsError):
        admission.configure([], NOW, [RankPolicy("a", 0, 2.0)])
    assert drain(admission, running) == [ticket]
