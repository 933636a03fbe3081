"""Guards against lost, duplicated and wrong answers during two faults.

Runs a small fleet of processes. The result does not depend on the speed of the
machine: all requests are played, and the outcomes reported to callers are
compared with what the servers ran.
"""

import pathlib
import signal

from egretlever.schema import standins_pb2
from egretlever.standins import make_mix, write_mix
from egretlever.testing import SmallFleet, check_load_run, wait_until
from examples import demo

CATALOGUE = pathlib.Path(demo.__file__).parent / "demo.ini"
ORDER = standins_pb2.LoadRequest(
    method="POST", path="/swatches", rank="order", order=True, deadline_s=5
)
LESSON = standins_pb2.LoadRequest(
    method="GET", path="/lessons/1", rank="lesson", answer_bytes=500
)
SERVERS = {
    "ordering-0": "ordering",
    "ordering-1": "ordering",
    "ordering-2": "ordering",
    "classroom-0": "classroom",
}


def start(fleet):
    fleet.start_platform()
    fleet.start_nodes(2)
    for number, (name, service) in enumerate(SERVERS.items()):
        fleet.start_server(
            name, service, f"node-{number % 2}", drain_linger_s=0.5
        )
    fleet.apply_catalogue(CATALOGUE)
    assert fleet.wait_ready(len(SERVERS))


def play(fleet):
    mix = make_mix([(ORDER, 30.0), (LESSON, 30.0)], 4.0, seed=1)
    path = fleet.path / "mix.jsonl"
    write_mix(path, mix)
    nodes = ", ".join(str(node.traffic) for node in fleet.nodes.values())
    settings = fleet.write_settings("load", {"load": {"nodes": nodes}})
    results = fleet.path / "results.jsonl"
    return fleet.start(
        "load", "load", "play", settings, path, "--results", results
    )


def has_run(fleet, server):
    return bool(fleet.read_records()[server])


def test_promises_hold_during_kill_and_drain():
    with SmallFleet() as fleet:
        start(fleet)
        load = play(fleet)
        assert wait_until(lambda: has_run(fleet, "ordering-0"))
        fleet.programs["ordering-0"].signal(signal.SIGKILL)
        assert wait_until(lambda: has_run(fleet, "ordering-1"))
        fleet.drain("ordering-1")
        assert load.process.wait(30) == 0
        results = demo.read_results(fleet.path / "results.jsonl")
        check = check_load_run(results, fleet.read_records())
        assert check.is_clean, check
        assert any(result.whole for result in results)
        assert fleet.programs["ordering-1"].process.wait(10) == 0
        assert fleet.programs["ordering-0"].process.poll() == -signal.SIGKILL
        for node in fleet.nodes:
            assert fleet.programs[node].process.poll() is None
            log = fleet.programs[node].log.read_text(encoding="utf-8")
            assert "InvariantError" not in log
