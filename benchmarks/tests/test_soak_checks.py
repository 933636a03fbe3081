"""Guards against checks of the randomised run that miss violations."""

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


def find_broken_promises(history):
    return [violation.promise for violation in history.violations]


def check_departure(run_at, *spans, **result):
    history = make_history([make_span(), *spans])
    results = [make_result(run_at, **result)] if result else []
    runs = {"server-0": [make_run(run_at)]}
    homes = {"server-0": "node-0"}
    checks.check_departures(results, runs, history, homes)
    return find_broken_promises(history)


def test_late_request_to_draining_server_is_reported():
    assert check_departure(102.9) == []
    assert check_departure(103.1) == [
        "a leaving server gets no request after 3 s"
    ]


def test_departure_limit_starts_at_end_of_home_node_pause():
    # Guards against a false violation, seen with seed 22: the home node was
    # paused when the server asked it to announce the departure.
    late = ["a leaving server gets no request after 3 s"]
    pause = make_span(Kind.NODE_PAUSE, "node-0", 99.0, ended=102.0)
    other = make_span(Kind.NODE_PAUSE, "node-1", 99.0, ended=102.0)
    assert check_departure(104.9, pause) == []
    assert check_departure(105.1, pause) == late
    assert check_departure(104.9, other) == late
    later = make_span(Kind.NODE_PAUSE, "node-0", 101.0, ended=102.0)
    assert check_departure(104.9, later) == late


def test_request_interrupted_by_draining_server_is_reported():
    assert check_departure(101.0, outcome="completed") == []
    assert check_departure(101.0, outcome="unknown") == [
        "planned stops of servers cut nothing"
    ]


def check_leave(began, failure, *spans):
    span = make_span(Kind.NODE_LEAVE, "node-0", 100.0)
    history = make_history([span, *spans])
    result = make_result(began, failure=failure)
    checks.check_node_leaves([result], NODES, history)
    return find_broken_promises(history)


def test_request_interrupted_by_leaving_node_is_reported():
    violated = ["planned stops of nodes cut nothing"]
    assert check_leave(101.0, "closed") == violated
    assert check_leave(99.8, "cut") == violated
    # This connection closed before the node left.
    assert check_leave(99.0, "closed") == []
    assert check_leave(101.0, "refused") == []
    kill = make_span(Kind.SERVER_KILL, "server-0", 101.0)
    assert check_leave(101.0, "cut", kill) == []
    assert check_leave(101.0, "closed", kill) == violated


def check_samples(*samples, edits=(), spans=()):
    history = make_history(spans, samples, edits)
    checks.check_catalogue(history)
    return find_broken_promises(history)


def test_decreasing_version_is_reported_across_restarts():
    decreased = ["the catalogue never goes back"]
    restart = make_sample(2.0, 0, ready=False)
    assert check_samples(make_sample(1.0, 5), make_sample(3.0, 4)) == decreased
    assert (
        check_samples(make_sample(1.0, 5), restart, make_sample(3.0, 4))
        == decreased
    )
    assert check_samples(make_sample(1.0, 5), restart) == []


def test_late_edit_at_reachable_node_is_reported():
    edits = [make_edit(6, 10.0)]
    late = [make_sample(9.0, 5), make_sample(14.1, 5)]
    assert check_samples(*late, edits=edits) == [
        "edits are in force within 4 s"
    ]
    in_time = [make_sample(9.0, 5), make_sample(13.9, 5), make_sample(14.1, 6)]
    assert check_samples(*in_time, edits=edits) == []
    pause = make_span(Kind.NODE_PAUSE, "node-0", 10.0)
    assert check_samples(*late, edits=edits, spans=[pause]) == []


def test_two_edits_with_the_same_version_are_reported():
    edits = [make_edit(6, 10.0), make_edit(6, 11.0)]
    assert check_samples(edits=edits) == ["one edit makes a version"]


def test_duplicated_lost_and_false_outcomes_are_reported():
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
    assert find_broken_promises(history) == [
        "no order ran twice",
        "no completed order is lost",
        "nothing told not run has run",
    ]


def test_invariant_errors_and_crashes_in_logs_are_reported():
    history = make_history()
    log = "Traceback (most recent call last):\n  x\nInvariantError: y\n"
    checks.check_logs({"node-0": log, "node-1": "fine\n"}, history)
    assert find_broken_promises(history) == [
        "no task crashes",
        "no invariant breaks",
    ]


def test_schedule_is_reproducible_from_its_seed():
    def make():
        return make_schedule(random.Random(3), 60.0, ["s-0"], ["n-0", "n-1"])

    assert make() == make()
    assert len(make()) > 10
