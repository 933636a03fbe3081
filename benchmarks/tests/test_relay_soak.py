"""Guards the checks of the soak, and plays a short run of real processes."""

import pytest

from benchmarks._relay_soak import play
from benchmarks._relay_soak_plan import make_schedule
from benchmarks._relay_soak_records import Disturbance, Records, Run
from benchmarks.tests.builders import build_sent

# Seeds that have failed, each with its cause. They are played like new ones.
REGRESSION_SEEDS = {
    201: "a planned stop under load ended with a traceback",
}


def find(*sent, runs=(), **fields):
    started = {one.request for one in sent}
    return Records(
        started=started, runs=list(runs), sent=list(sent), **fields
    ).find_violations()


def test_an_order_that_ran_twice_is_found():
    order = build_sent(body=b"r-1 i-1")
    runs = [Run("r-1", "i-1", 1.0), Run("r-1", "i-2", 1.5)]
    assert find(order, runs=runs[:1]) == []
    assert find(order, runs=runs) == ["r-1 ran 2 times"]


def test_a_refusal_of_an_order_that_ran_is_found():
    order = build_sent(status=503)
    assert find(order) == []
    assert find(order, runs=[Run("r-1", "i-1", 1.0)]) == ["r-1 ran and got 503"]


def test_an_answer_of_another_request_is_found():
    run = Run("r-1", "i-1", 1.0)
    assert find(build_sent(body=b"r-2 i-1"), runs=[run])
    assert find(build_sent(body=b"r-1 i-1", signed=False), runs=[run])


def test_work_for_a_server_that_has_left_is_found():
    order = build_sent(body=b"r-1 i-1")
    for at, expected in ((2.5, 0), (3.5, 1)):
        runs = [Run("r-1", "i-1", at)]
        found = find(order, runs=runs, departures={"i-1": 1.0})
        assert len(found) == expected


def test_a_request_lost_in_a_planned_stop_is_found():
    lost = build_sent(status=0, kept=True, ended=2.0)
    stop = Disturbance("stop", "host-1", 0.5, 4.0)
    kill = Disturbance("kill", "host-2", 0.5, 4.0)
    assert find(lost, disturbances=[stop])
    assert find(lost, disturbances=[stop, kill]) == []


def test_a_seed_gives_one_schedule():
    assert make_schedule(3, 60.0, 8) == make_schedule(3, 60.0, 8)
    assert make_schedule(3, 60.0, 8) != make_schedule(4, 60.0, 8)


@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
def test_real_processes_keep_their_promises(seed):
    assert play(seed, seconds=8.0, hosts=3).violations == []
