"""Guards the checks of the randomised run: one that sees nothing is none."""

import random

from benchmarks import _soak_checks as checks
from benchmarks._soak_plan import Kind, make_schedule
from benchmarks.tests.builders import (
    make_edit,
    make_history,
    make_result,
    make_run,
    make_sample,
    make_span,
)

NODES = {"node-0": "127.0.0.1:1"}


def find_promises(history):
    return [violation.promise for violation in history.violations]


def check_departure(run_at, *spans, **result):
    history = make_history([make_span(), *spans])
    results = [make_result(run_at, **result)] if result else []
    runs = {"server-0": [make_run(run_at)]}
    homes = {"server-0": "node-0"}
    checks.check_departures(results, runs, history, homes)
    return find_promises(history)


def test_a_late_request_to_a_leaving_server_is_seen():
    assert check_departure(102.9) == []
    assert check_departure(103.1) == [
        "a leaving server gets no request after 3 s"
    ]


def test_a_departure_counts_from_the_end_of_its_nodes_pause():
    # Seed 22: the node beside the server was paused when it was told.
    late = ["a leaving server gets no request after 3 s"]
    pause = make_span(Kind.NODE_PAUSE, "node-0", 99.0, ended=102.0)
    other = make_span(Kind.NODE_PAUSE, "node-1", 99.0, ended=102.0)
    assert check_departure(104.9, pause) == []
    assert check_departure(105.1, pause) == late
    assert check_departure(104.9, other) == late
    later = make_span(Kind.NODE_PAUSE, "node-0", 101.0, ended=102.0)
    assert check_departure(104.9, later) == late


def test_a_request_cut_by_a_leaving_server_is_seen():
    assert check_departure(101.0, outcome="completed") == []
    assert check_departure(101.0, outcome="unknown") == [
        "planned stops of servers cut nothing"
    ]


def check_leave(began, failure, *spans):
    span = make_span(Kind.NODE_LEAVE, "node-0", 100.0)
    history = make_history([span, *spans])
    result = make_result(began, failure=failure)
    checks.check_node_leaves([result], NODES, history)
    return find_promises(history)


def test_a_request_broken_by_a_leaving_node_is_seen():
    broken = ["planned stops of nodes cut nothing"]
    assert check_leave(101.0, "closed") == broken
    assert check_leave(99.8, "cut") == broken
    assert check_leave(99.0, "closed") == []  # broke before the node left
    assert check_leave(101.0, "refused") == []
    kill = make_span(Kind.SERVER_KILL, "server-0", 101.0)
    assert check_leave(101.0, "cut", kill) == []
    assert check_leave(101.0, "closed", kill) == broken


def check_samples(*samples, edits=(), spans=()):
    history = make_history(spans, samples, edits)
    checks.check_catalogue(history)
    return find_promises(history)


def test_a_version_that_goes_back_is_seen_over_restarts():
    back = ["the catalogue never goes back"]
    restart = make_sample(2.0, 0, ready=False)
    assert check_samples(make_sample(1.0, 5), make_sample(3.0, 4)) == back
    assert (
        check_samples(make_sample(1.0, 5), restart, make_sample(3.0, 4)) == back
    )
    assert check_samples(make_sample(1.0, 5), restart) == []


def test_an_edit_that_is_late_at_a_reachable_node_is_seen():
    edits = [make_edit(6, 10.0)]
    late = [make_sample(9.0, 5), make_sample(14.1, 5)]
    assert check_samples(*late, edits=edits) == [
        "edits are in force within 4 s"
    ]
    in_time = [make_sample(9.0, 5), make_sample(13.9, 5), make_sample(14.1, 6)]
    assert check_samples(*in_time, edits=edits) == []
    pause = make_span(Kind.NODE_PAUSE, "node-0", 10.0)
    assert check_samples(*late, edits=edits, spans=[pause]) == []


def test_two_edits_that_made_one_version_are_seen():
    edits = [make_edit(6, 10.0), make_edit(6, 11.0)]
    assert check_samples(edits=edits) == ["one edit makes a version"]


def test_doubled_and_untrue_outcomes_are_seen():
    history = make_history()
    results = [
        make_result(1.0, outcome="not-run", request_id="a"),
        make_result(1.0, outcome="completed", whole=True, order_key="gone"),
    ]
    runs = {
        "server-0": [make_run(1.0, "a", "twice")],
        "server-1": [make_run(2.0, "b", "twice")],
    }
    checks.check_outcomes(results, runs, history)
    assert find_promises(history) == [
        "no order ran twice",
        "no completed order is lost",
        "nothing told not run has run",
    ]


def test_logs_with_broken_invariants_and_crashes_are_seen():
    history = make_history()
    log = "Traceback (most recent call last):\n  x\nInvariantError: y\n"
    checks.check_logs({"node-0": log, "node-1": "fine\n"}, history)
    assert find_promises(history) == ["no task crashes", "no invariant breaks"]


def test_a_seed_gives_one_schedule():
    def make():
        return make_schedule(random.Random(3), 60.0, ["s-0"], ["n-0", "n-1"])

    assert make() == make()
    assert len(make()) > 10
