"""Guards the checks of the relay soak, and runs short ones with processes."""

import pytest

from benchmarks._relay_soak import run_seed
from benchmarks._relay_soak_plan import make_schedule
from benchmarks._relay_soak_records import AppliedEvent, Records, ServerRun
from benchmarks.tests.builders import build_sent

# Seeds that have failed, each with its cause, to guard against regressions.
REGRESSION_SEEDS = {
    201: "a planned stop under load ended with a traceback",
}


def find_violations(*sent, runs=(), **fields):
    started = {one.request for one in sent}
    return Records(
        started=started, runs=list(runs), sent=list(sent), **fields
    ).find_violations()


def test_order_that_ran_twice_is_reported():
    order = build_sent(body=b"r-1 i-1")
    runs = [ServerRun("r-1", "i-1", 1.0), ServerRun("r-1", "i-2", 1.5)]
    assert find_violations(order, runs=runs[:1]) == []
    assert find_violations(order, runs=runs) == ["r-1 ran 2 times"]


def test_refusal_of_order_that_ran_is_reported():
    order = build_sent(status=503)
    assert find_violations(order) == []
    assert find_violations(order, runs=[ServerRun("r-1", "i-1", 1.0)]) == [
        "r-1 ran and got 503"
    ]


def test_answer_to_another_request_is_reported():
    run = ServerRun("r-1", "i-1", 1.0)
    assert find_violations(build_sent(body=b"r-2 i-1"), runs=[run])
    assert find_violations(
        build_sent(body=b"r-1 i-1", signed=False), runs=[run]
    )


def test_run_on_server_that_has_left_is_reported():
    order = build_sent(body=b"r-1 i-1")
    for at, expected in ((2.5, 0), (3.5, 1)):
        runs = [ServerRun("r-1", "i-1", at)]
        found = find_violations(order, runs=runs, departures={"i-1": 1.0})
        assert len(found) == expected


def test_request_lost_in_planned_stop_is_reported():
    lost = build_sent(status=0, reused=True, ended=2.0)
    stop = AppliedEvent("stop", "host-1", 0.5, 4.0)
    kill = AppliedEvent("kill", "host-2", 0.5, 4.0)
    assert find_violations(lost, applied_events=[stop])
    assert find_violations(lost, applied_events=[stop, kill]) == []


def test_schedule_is_reproducible_from_its_seed():
    assert make_schedule(3, 60.0, 8) == make_schedule(3, 60.0, 8)
    assert make_schedule(3, 60.0, 8) != make_schedule(4, 60.0, 8)


@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
def test_processes_keep_their_promises(seed):
    assert run_seed(seed, seconds=8.0, hosts=3).violations == []
