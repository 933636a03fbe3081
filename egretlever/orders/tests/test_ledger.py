"""Guards claims, answers and outages (docs/design.md, section 5.4)."""

import random

import pytest

from egretlever.core import (
    Digest,
    FindingsError,
    NodeId,
    OrderKey,
    OrderMode,
    Outcome,
    Seconds,
)
from egretlever.orders import (
    AlreadyCompleted,
    Claimed,
    OutcomeUnknown,
    RecordedAnswer,
    Refused,
    Unavailable,
    choose_sweeper,
    digest_request,
    make_claim_sweep,
    make_order_ledger,
)
from egretlever.testing import (
    FakeTableStore,
    FlakyTableStore,
    run_steps,
)
from egretlever.testing.builders import build_order_request

NOW = Seconds(1000.0)
ANSWER = RecordedAnswer(201, "text/plain", b"swatch is cut")
DAY = 86400.0


class Nodes:
    """Two ledgers over one store."""

    def __init__(self, mode=OrderMode.STRICT, **capacities):
        self.mode = mode
        self.table = FakeTableStore()
        self.unix_time = 0.0
        self.first, self.second = (
            make_order_ledger(
                self.table,
                NodeId(f"node-{number}"),
                lambda service: self.mode,
                random.Random(number),
                lambda: self.unix_time,
                **capacities,
            )
            for number in (1, 2)
        )

    def claim(self, ledger, request=None):
        return run_steps(ledger.claim(request or build_order_request(), NOW))

    def claimed(self, ledger, request=None):
        result = self.claim(ledger, request)
        assert isinstance(result, Claimed)
        return result.claim

    def complete(self, ledger, claim, answer=ANSWER):
        run_steps(ledger.record(claim, Outcome.COMPLETED, answer))

    def row(self, key="key-1"):
        return run_steps(self.table.read(f"order/{key}")).unwrap()


def test_a_new_order_takes_one_write_and_its_outcome_another():
    nodes = Nodes()
    claim = nodes.claimed(nodes.first)
    assert (nodes.table.writes, nodes.table.reads) == (1, 0)
    nodes.complete(nodes.first, claim)
    run_steps(nodes.first.flush())
    assert (nodes.table.writes, nodes.table.reads) == (2, 0)


def test_outcomes_are_written_in_one_transaction():
    nodes = Nodes()
    for number in range(10):
        request = build_order_request(f"key-{number}")
        nodes.complete(nodes.first, nodes.claimed(nodes.first, request))
    assert run_steps(nodes.first.flush()) == 10
    assert nodes.table.writes == 11


def test_the_answer_is_replayed_by_both_nodes():
    nodes = Nodes()
    nodes.complete(nodes.first, nodes.claimed(nodes.first))
    assert nodes.claim(nodes.first) == AlreadyCompleted(ANSWER)
    assert isinstance(nodes.claim(nodes.second), OutcomeUnknown)
    run_steps(nodes.first.flush())
    assert nodes.claim(nodes.second) == AlreadyCompleted(ANSWER)


def test_an_answer_above_the_size_limit_is_recorded_without_its_body():
    nodes = Nodes()
    large = RecordedAnswer(201, "text/plain", bytes(4097))
    nodes.complete(nodes.first, nodes.claimed(nodes.first), large)
    run_steps(nodes.first.flush())
    expected = RecordedAnswer(201, "text/plain", b"", omitted=True)
    assert nodes.claim(nodes.first) == AlreadyCompleted(expected)
    assert nodes.claim(nodes.second) == AlreadyCompleted(expected)


def test_an_order_in_progress_has_an_unknown_outcome_on_each_node():
    nodes = Nodes()
    claim = nodes.claimed(nodes.first)
    assert isinstance(nodes.claim(nodes.first), OutcomeUnknown)
    assert isinstance(nodes.claim(nodes.second), OutcomeUnknown)
    # An unknown outcome must not invalidate the claim of the first one.
    assert nodes.first.may_dispatch(claim, NOW)


@pytest.mark.parametrize("same_node", [True, False])
def test_of_two_concurrent_claims_one_succeeds(same_node):
    nodes = Nodes()
    store = FlakyTableStore(nodes.table, random.Random(1))
    ledgers = [
        make_order_ledger(
            store,
            NodeId(f"n{number}"),
            lambda service: OrderMode.STRICT,
            random.Random(number),
            lambda: 0.0,
        )
        for number in (1, 2)
    ]
    second = ledgers[0] if same_node else ledgers[1]
    one = ledgers[0].claim(build_order_request(), NOW)
    one.send(None)
    other = run_steps(second.claim(build_order_request(), NOW))
    results = {type(run_steps(one)), type(other)}
    assert results == {Claimed, OutcomeUnknown}


def test_a_key_of_another_request_is_refused():
    nodes = Nodes()
    claim = nodes.claimed(nodes.first)
    other = build_order_request(digest=Digest("digest-2"))
    assert isinstance(nodes.claim(nodes.second, other), Refused)
    nodes.complete(nodes.first, claim)
    assert isinstance(nodes.claim(nodes.first, other), Refused)


def test_a_released_order_is_claimed_again_by_any_node():
    nodes = Nodes()
    claim = nodes.claimed(nodes.first)
    run_steps(nodes.first.record(claim, Outcome.NOT_RUN))
    assert not nodes.first.may_dispatch(claim, NOW)
    claim = nodes.claimed(nodes.second)
    run_steps(nodes.second.record(claim, Outcome.NOT_RUN))
    nodes.claimed(nodes.first)


def test_an_order_of_unknown_outcome_is_reported_as_unknown():
    nodes = Nodes()
    claim = nodes.claimed(nodes.first)
    run_steps(nodes.first.record(claim, Outcome.UNKNOWN))
    assert isinstance(nodes.claim(nodes.first), OutcomeUnknown)
    assert isinstance(nodes.claim(nodes.second), OutcomeUnknown)
    nodes.complete(nodes.first, claim)
    assert nodes.claim(nodes.first) == AlreadyCompleted(ANSWER)


def test_a_lost_store_response_is_resolved_by_the_claim_id():
    nodes = Nodes()
    nodes.table.lost_answers_left = 1
    nodes.claimed(nodes.first)
    assert (nodes.table.writes, nodes.table.reads) == (1, 1)


def test_concurrent_flushes_write_a_row_once():
    nodes = Nodes()
    store = FlakyTableStore(nodes.table, random.Random(1))
    ledger = make_order_ledger(
        store,
        NodeId("n1"),
        lambda service: OrderMode.STRICT,
        random.Random(1),
        lambda: 0.0,
    )
    nodes.complete(ledger, nodes.claimed(ledger))
    first = ledger.flush()
    first.send(None)
    run_steps(ledger.flush())
    assert nodes.table.writes == 1
    assert run_steps(first) == 1
    assert nodes.table.writes == 2


def test_an_outcome_recorded_during_a_flush_is_not_lost():
    nodes = Nodes()
    store = FlakyTableStore(nodes.table, random.Random(1))
    ledger = make_order_ledger(
        store,
        NodeId("n1"),
        lambda service: OrderMode.FIRST_ATTEMPT,
        random.Random(1),
        lambda: 0.0,
    )
    nodes.table.unavailable = True
    claim = nodes.claimed(ledger)
    nodes.table.unavailable = False
    flush = ledger.flush()
    flush.send(None)
    nodes.complete(ledger, claim)
    run_steps(flush)
    assert ledger.describe().deferred == 1
    run_steps(ledger.flush())
    assert nodes.claim(nodes.second) == AlreadyCompleted(ANSWER)


def test_an_outcome_is_written_once_if_the_response_is_lost():
    nodes = Nodes()
    nodes.complete(nodes.first, nodes.claimed(nodes.first))
    nodes.table.lost_answers_left = 1
    run_steps(nodes.first.flush())
    run_steps(nodes.first.flush())
    assert nodes.first.describe().deferred == 0
    assert nodes.row().version == 2


class UnavailableAfterWrites(FakeTableStore):
    """Loses the response to each write and is unavailable after it."""

    async def write(self, rows, conditions):
        result = await super().write(rows, conditions)
        self.unavailable = self.unavailable or self.lost_answers_left > 0
        return result


def test_a_claim_abandoned_before_dispatch_does_not_block_its_key():
    nodes = Nodes()
    nodes.table = UnavailableAfterWrites()
    ledgers = [
        make_order_ledger(
            nodes.table,
            NodeId(f"n{number}"),
            lambda service: OrderMode.STRICT,
            random.Random(number),
            lambda: 0.0,
        )
        for number in (1, 2)
    ]
    nodes.table.lost_answers_left = 2
    result = nodes.claim(ledgers[0])
    assert isinstance(result, Unavailable)
    assert result.outcome is Outcome.NOT_RUN
    nodes.table.unavailable = False
    nodes.table.lost_answers_left = 0
    assert isinstance(nodes.claim(ledgers[1]), OutcomeUnknown)
    run_steps(ledgers[0].flush())
    nodes.claimed(ledgers[1])


def test_strict_mode_refuses_without_the_store():
    nodes = Nodes()
    nodes.table.unavailable = True
    first = nodes.claim(nodes.first)
    assert isinstance(first, Unavailable)
    assert first.outcome is Outcome.NOT_RUN
    assert first.retry_after >= 1
    # An earlier attempt may have run, but its outcome can't be looked up.
    later = nodes.claim(nodes.first, build_order_request(attempt=2))
    assert later.outcome is Outcome.UNKNOWN
    nodes.table.unavailable = False
    nodes.claimed(nodes.second, build_order_request(attempt=2))


def test_first_attempt_mode_runs_without_the_store_and_claims_later():
    nodes = Nodes(OrderMode.FIRST_ATTEMPT)
    nodes.table.unavailable = True
    claim = nodes.claimed(nodes.first)
    later = build_order_request(attempt=2)
    assert nodes.claim(nodes.second, later).outcome is Outcome.UNKNOWN
    nodes.table.unavailable = False
    # The claim is not written yet, so the other node must not run the order.
    assert isinstance(nodes.claim(nodes.second, later), OutcomeUnknown)
    run_steps(nodes.first.flush())
    nodes.complete(nodes.first, claim)
    run_steps(nodes.first.flush())
    assert nodes.claim(nodes.second, later) == AlreadyCompleted(ANSWER)


def test_first_attempt_mode_refuses_orders_when_the_backlog_is_full():
    nodes = Nodes(OrderMode.FIRST_ATTEMPT, backlog_capacity=1)
    nodes.table.unavailable = True
    nodes.claimed(nodes.first, build_order_request("key-1"))
    result = nodes.claim(nodes.first, build_order_request("key-2"))
    assert isinstance(result, Unavailable)
    assert result.outcome is Outcome.NOT_RUN


def test_a_node_paused_for_an_hour_does_not_dispatch_its_claim():
    nodes = Nodes()
    claim = nodes.claimed(nodes.first)
    assert nodes.first.may_dispatch(claim, Seconds(NOW + 3599))
    assert not nodes.first.may_dispatch(claim, Seconds(NOW + 3600))


def test_a_cancelled_claim_is_released():
    nodes = Nodes()
    store = FlakyTableStore(nodes.table, random.Random(1))
    ledger = make_order_ledger(
        store,
        NodeId("n1"),
        lambda service: OrderMode.STRICT,
        random.Random(1),
        lambda: 0.0,
    )
    claiming = ledger.claim(build_order_request(), NOW)
    claiming.send(None)
    claiming.send(None)
    claiming.close()
    assert nodes.row().version == 1
    run_steps(ledger.flush())
    nodes.claimed(nodes.second)


def test_an_order_with_an_undecodable_row_is_reported_as_unknown():
    nodes = Nodes()
    run_steps(nodes.table.write({"order/key-1": b"\xff"}, {}))
    assert isinstance(nodes.claim(nodes.first), OutcomeUnknown)


@pytest.mark.parametrize("key", ["", "a" * 201, "caf\u00e9", "a\nb", "\ud800"])
def test_invalid_keys_are_refused_without_store_calls(key):
    nodes = Nodes()
    result = nodes.claim(nodes.first, build_order_request(key))
    assert isinstance(result, Refused)
    assert result.outcome is Outcome.NOT_RUN
    assert nodes.table.writes == 0


def test_the_cache_of_recent_keys_is_bounded():
    nodes = Nodes(recent_capacity=3)
    for number in range(10):
        request = build_order_request(f"key-{number}")
        nodes.complete(nodes.first, nodes.claimed(nodes.first, request))
        run_steps(nodes.first.flush())
    view = nodes.first.describe()
    assert (view.active, view.recent, view.deferred) == (0, 3, 0)
    assert nodes.claim(nodes.first) == AlreadyCompleted(ANSWER)


def make_sweeps(nodes):
    return [
        make_claim_sweep(
            nodes.table,
            NodeId(f"sweeper-{number}"),
            page_size=2,
            read_unix_time=lambda: nodes.unix_time,
        )
        for number in (1, 2)
    ]


def test_a_sweep_removes_only_expired_claims_page_by_page():
    nodes = Nodes()
    for number in range(5):
        nodes.unix_time = number * DAY
        nodes.claimed(nodes.first, build_order_request(f"key-{number}"))
    nodes.unix_time = 9.5 * DAY
    sweep, _ = make_sweeps(nodes)
    reports = [run_steps(sweep.expire()).unwrap() for _ in range(3)]
    assert [report.removed for report in reports] == [2, 1, 0]
    assert reports[-1].finished
    assert nodes.row("key-2").version == 0
    assert nodes.row("key-3").version == 1


def test_a_delayed_removal_does_not_remove_a_new_claim_of_the_key():
    nodes = Nodes()
    nodes.claimed(nodes.first)
    nodes.unix_time = 8 * DAY
    store = FlakyTableStore(nodes.table, random.Random(1))
    delayed = make_claim_sweep(
        store, NodeId("delayed"), read_unix_time=lambda: nodes.unix_time
    ).expire()
    for _ in range(5):
        delayed.send(None)
    sweep, _ = make_sweeps(nodes)
    assert run_steps(sweep.expire()).unwrap().removed == 1
    nodes.claimed(nodes.second)
    run_steps(delayed).failure()
    assert nodes.row().version == 1


def test_the_choice_of_the_sweeper_does_not_depend_on_the_order():
    nodes = [NodeId(f"node-{number}") for number in range(20)]
    assert choose_sweeper(nodes) == choose_sweeper(nodes[::-1])
    assert choose_sweeper([]) is None


def test_a_retention_below_the_time_that_callers_retry_is_refused():
    with pytest.raises(FindingsError):
        make_claim_sweep(
            FakeTableStore(), NodeId("n"), retention=Seconds(3600.0)
        )


def test_the_digest_depends_on_each_part_of_the_request():
    base = digest_request("POST", "/orders", "caller")
    assert base != digest_request("PUT", "/orders", "caller")
    assert base != digest_request("POST", "/orders/2", "caller")
    assert base != digest_request("POST", "/orders", "other")
    assert OrderKey(base) == base
