"""Guards admission against floods, unfair shares and lost tickets."""

import collections
import random

import pytest

from egretlever.admission import (
    Admitted,
    Capacity,
    ConcurrencyLimit,
    LoopPause,
    Queued,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    make_admission,
    make_fifo_admission,
)
from egretlever.core import AttemptResult, FindingsError, InvariantError
from egretlever.testing.builders import build_ranks, build_ticket

NOW = 1000.0
OK = AttemptResult.OK


def make(queue_limit=100, slots=2, ranks=None, flows=64):
    admission = make_admission(
        [ServicePolicy("ordering", queue_limit)],
        ranks or build_ranks(),
        random.Random(1),
        flows,
    )
    admission.observe(Capacity("ordering", slots), NOW)
    return admission


def fill(admission, slots=2):
    running = [build_ticket(-n, deadline=9000.0) for n in range(1, slots + 1)]
    for ticket in running:
        assert admission.offer(ticket, NOW) == Admitted()
    return running


def serve(admission, running, count, now=NOW, step=0.01):
    """Finish and dispatch one ticket at a time; return the dispatched ones."""
    dispatched = []
    for _ in range(count):
        now += step
        admission.finish(running.pop(0), OK, step, now)
        departed = admission.advance(now).dispatched
        running += departed
        dispatched += departed
    return dispatched


def test_urgent_work_overtakes_waiting_work():
    admission = make()
    running = fill(admission)
    for number, rank in enumerate(["background", "normal", "urgent"]):
        admission.offer(build_ticket(number, rank=rank), NOW)
    ranks = [ticket.rank for ticket in serve(admission, running, 3)]
    assert ranks == ["urgent", "normal", "background"]


def test_flood_of_highest_rank_leaves_minimum_shares():
    admission = make(queue_limit=300)
    running = fill(admission)
    counts = collections.Counter()
    number = 0
    for turn in range(1000):
        for rank in ("urgent", "urgent", "normal", "background"):
            number += 1
            admission.offer(
                build_ticket(number, rank=rank, deadline=9000.0), NOW
            )
        for ticket in serve(admission, running, 1, NOW + turn * 0.01):
            counts[ticket.rank] += 1
    assert counts["normal"] >= 0.1 * 1000 - 3
    assert counts["background"] >= 0.05 * 1000 - 3
    assert counts["urgent"] >= 0.8 * 1000


def test_flood_of_lowest_rank_is_displaced_from_a_full_queue():
    admission = make(queue_limit=10)
    running = fill(admission)
    flood = [build_ticket(n, rank="background") for n in range(10)]
    for ticket in flood:
        assert isinstance(admission.offer(ticket, NOW), Queued)
    urgent = build_ticket(99, rank="urgent")
    assert isinstance(admission.offer(urgent, NOW), Queued)
    departed = admission.advance(NOW)
    assert len(departed.refused) == 1
    ticket, refused = departed.refused[0]
    assert ticket in flood
    assert refused.reason is RefusalReason.DISPLACED
    assert refused.retry_after > 0
    assert serve(admission, running, 1) == [urgent]


def test_flood_of_highest_rank_leaves_reserved_places():
    admission = make(queue_limit=100)
    fill(admission)
    for number in range(150):
        admission.offer(
            build_ticket(number, rank="urgent", deadline=9000.0), NOW
        )
    normal = build_ticket(200, deadline=9000.0)
    assert isinstance(admission.offer(normal, NOW), Queued)
    assert normal not in [t for t, _ in admission.advance(NOW).refused]


def test_flood_of_one_caller_does_not_starve_other_callers():
    admission = make()
    running = fill(admission)
    for number in range(50):
        admission.offer(
            build_ticket(number, caller="flooder", deadline=5000.0), NOW
        )
    others = [build_ticket(n, deadline=9000.0) for n in range(100, 104)]
    for ticket in others:
        admission.offer(ticket, NOW)
    dispatched = serve(admission, running, 10)
    assert set(others) <= set(dispatched)


def test_flood_of_one_caller_is_dropped_first_from_a_full_queue():
    admission = make(queue_limit=20)
    fill(admission)
    for number in range(20):
        admission.offer(build_ticket(number, caller="flooder"), NOW)
    assert isinstance(admission.offer(build_ticket(100), NOW), Queued)
    (victim, _), *rest = admission.advance(NOW).refused
    assert victim.caller == "flooder"
    assert not rest


def test_deadline_then_worth_decide_within_a_flow():
    admission = make(flows=1)
    running = fill(admission)
    late = build_ticket(1, deadline=NOW + 0.9)
    cheap = build_ticket(2, deadline=NOW + 0.5, worth=1.0)
    valuable = build_ticket(3, deadline=NOW + 0.5, worth=2.0)
    for ticket in (late, cheap, valuable):
        admission.offer(ticket, NOW)
    assert serve(admission, running, 3) == [valuable, cheap, late]


def test_expired_work_is_never_dispatched():
    admission = make()
    running = fill(admission)
    ticket = build_ticket(1, deadline=NOW + 0.5)
    admission.offer(ticket, NOW)
    admission.finish(running[0], OK, 0.1, NOW + 1.0)
    departed = admission.advance(NOW + 1.0)
    assert departed.expired == [ticket]
    assert departed.dispatched == []


def test_infeasible_work_is_refused_in_favour_of_feasible_work():
    admission = make()
    running = fill(admission)
    infeasible = build_ticket(1, deadline=NOW + 0.45)
    feasible = build_ticket(2, deadline=NOW + 5.0)
    admission.offer(infeasible, NOW)
    admission.offer(feasible, NOW)
    admission.finish(running[0], OK, 0.4, NOW + 0.4)
    departed = admission.advance(NOW + 0.4)
    assert departed.dispatched == [feasible]
    assert departed.refused[0][1].reason is RefusalReason.INFEASIBLE


def test_wait_beyond_the_deadline_is_refused_at_once():
    admission = make()
    running = fill(admission)
    admission.finish(running.pop(), OK, 0.5, NOW)
    fill(admission, 1)
    for number in range(20):
        admission.offer(build_ticket(number, deadline=NOW + 100), NOW)
    answer = admission.offer(build_ticket(99, deadline=NOW + 1), NOW)
    assert answer.reason is RefusalReason.WAIT_EXCEEDS_DEADLINE
    assert answer.retry_after > 0.5


def test_a_high_latency_estimate_does_not_refuse_forever():
    admission = make(slots=1)
    (first,) = fill(admission, 1)
    admission.finish(first, OK, 100.0, NOW)
    assert admission.offer(build_ticket(1), NOW) == Admitted()
    late = build_ticket(2, deadline=NOW + 61)
    assert isinstance(admission.offer(late, NOW + 60), Queued)


def test_a_pause_expires_work_and_invalidates_latencies():
    admission = make()
    running = fill(admission)
    admission.offer(build_ticket(1), NOW)
    admission.observe(LoopPause(60.0), NOW + 60)
    assert len(admission.advance(NOW + 60).expired) == 1
    before = admission.describe()[0]
    admission.finish(running[0], AttemptResult.TIMEOUT, 60.0, NOW + 60.01)
    after = admission.describe()[0]
    assert after.limit == before.limit
    assert after.latency_s == before.latency_s


def test_a_clock_that_jumps_back_is_ignored():
    admission = make()
    running = fill(admission)
    admission.advance(NOW + 10)
    ticket = build_ticket(1, deadline=NOW + 5)
    answer = admission.offer(ticket, NOW)
    assert answer.reason is RefusalReason.DEADLINE_PASSED
    admission.finish(running[0], OK, 0.1, NOW)


def test_finishing_a_ticket_twice_breaks_an_invariant():
    admission = make()
    running = fill(admission)
    admission.finish(running[0], OK, 0.1, NOW)
    with pytest.raises(InvariantError):
        admission.finish(running[0], OK, 0.1, NOW)


@pytest.mark.parametrize(
    "admission",
    [make(), make_fifo_admission([ServicePolicy("ordering", 9, 2)])],
)
def test_cancelled_ticket_leaves_once(admission):
    fill(admission)
    ticket = build_ticket(1)
    admission.offer(ticket, NOW)
    assert admission.cancel(ticket, NOW)
    assert not admission.cancel(ticket, NOW)
    departed = admission.advance(NOW)
    assert [t for t, _ in departed.refused] == [ticket]


def test_removed_service_refuses_its_waiting_work():
    admission = make()
    running = fill(admission)
    ticket = build_ticket(1)
    admission.offer(ticket, NOW)
    admission.configure([], NOW)
    refused = admission.advance(NOW).refused
    assert refused[0][1].reason is RefusalReason.SERVICE_REMOVED
    for running_ticket in running:
        admission.finish(running_ticket, OK, 0.1, NOW)
    assert admission.describe() == ()
    assert isinstance(admission.offer(build_ticket(2), NOW), Refused)


def test_contradicting_ranks_are_reported_together():
    ranks = [RankPolicy("a", 0, 0.7), RankPolicy("b", 0, 0.7)]
    with pytest.raises(FindingsError) as caught:
        make(ranks=ranks)
    assert len(caught.value.findings) == 3


def test_a_fast_first_sample_does_not_lower_the_limit():
    # With the first sample as the baseline, one fast response would keep the
    # limit low for a minute.
    limit = ConcurrencyLimit(ceiling=20, initial=10)
    limit.observe(OK, 0.0001, 1, NOW)
    for step in range(200):
        limit.observe(OK, 0.05, limit.allowed, NOW + step * 0.01)
    assert limit.allowed == 20


def test_limit_finds_the_capacity_of_a_server_that_queues():
    # A server with ten slots and a queue: latency grows with the attempts
    # beyond ten. The run takes 200 s, which shows that the latency under
    # congestion doesn't become the baseline.
    limit = ConcurrencyLimit(ceiling=1000, initial=4)
    now = NOW
    for _ in range(40000):
        running = limit.allowed
        now += 0.05 / min(running, 10)
        limit.observe(OK, 0.05 * max(1.0, running / 10), running, now)
    assert 10 <= limit.allowed <= 40


def test_nodes_with_shared_servers_converge_to_similar_limits():
    limits = [ConcurrencyLimit(40, 20), ConcurrencyLimit(40, 1)]
    rng = random.Random(3)
    for step in range(40000):
        now = NOW + step * 0.002
        total = sum(limit.allowed for limit in limits)
        limit = rng.choices(limits, [x.allowed for x in limits])[0]
        shed = rng.random() < max(0.0, 1 - 20 / total)
        result = AttemptResult.SHED if shed else OK
        limit.observe(result, 0.05, limit.allowed, now)
    low, high = sorted(limit.allowed for limit in limits)
    assert high <= 2 * low
    assert 16 <= low + high <= 30


def test_advance_looks_only_at_changed_services():
    # Looking at all backlogged services takes 330 us at 380 services.
    names = [f"service-{number}" for number in range(380)]
    admission = make_admission(
        [ServicePolicy(name, 10, 1) for name in names],
        build_ranks(),
        random.Random(1),
    )
    first = [build_ticket(n, service=name) for n, name in enumerate(names)]
    second = [build_ticket(n, service=name) for n, name in enumerate(names)]
    for ticket in first + second:
        admission.offer(ticket, NOW)
    assert admission.advance(NOW).dispatched == []
    calls = collections.Counter()
    for queue in admission._services.values():
        queue.pop = lambda *_, name=queue.policy.name: calls.update([name])
    admission.finish(first[7], OK, 0.1, NOW)
    admission.advance(NOW)
    assert calls == {names[7]: 1}
