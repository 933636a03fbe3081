"""Guards the operator's commands for nodes and servers in a small fleet."""

import json
import pathlib
import signal

import pytest

from egretlever.testing import SmallFleet, wait_until

CATALOGUE = pathlib.Path(__file__).parents[3] / "examples" / "demo.ini"
# Bounds a wait for processes; far above what a loaded machine needs.
LIMIT = 60


@pytest.fixture(scope="module")
def fleet():
    with SmallFleet() as fleet:
        fleet.start_platform()
        fleet.start_nodes(2)
        fleet.start_server("ordering-0", "ordering", "node-0")
        fleet.start_server("ordering-1", "ordering", "node-1")
        fleet.start_server("fabrics-0", "fabrics", "node-0")
        fleet.apply_catalogue(CATALOGUE)
        assert fleet.wait_ready(3, LIMIT)
        yield fleet


def run(fleet, code, *arguments):
    done = fleet.run_ctl(*arguments)
    assert done.returncode == code, done.stdout + done.stderr
    return done


def wait_for_state(fleet, server, state):
    def has_state():
        shown = json.loads(run(fleet, 0, "servers", "--json").stdout)
        states = {one["server"]: one["state"] for one in shown["servers"]}
        return states.get(server) == state

    assert wait_until(has_state, LIMIT)


def test_nodes_and_servers_are_shown_with_who_answered(fleet):
    lines = run(fleet, 0, "nodes").stdout.splitlines()
    assert lines[0].startswith("answered by node-0 at ")
    assert ", ready, catalogue version 1" in lines[0]
    assert [line.split()[:2] for line in lines[2:]] == [
        ["node-0", "alive"],
        ["node-1", "alive"],
    ]
    lines = run(fleet, 0, "servers", "--service", "ordering").stdout
    rows = [line.split() for line in lines.splitlines()[2:]]
    assert [row[:4] for row in rows] == [
        ["ordering-0", "ordering", "serving", "healthy"],
        ["ordering-1", "ordering", "serving", "healthy"],
    ]
    shown = json.loads(run(fleet, 0, "servers", "--json").stdout)
    assert shown["ready"] is True
    assert [one["held_by_floor"] for one in shown["servers"]] == [False] * 3


def test_a_stop_spreads_without_the_server_and_a_start_undoes_it(fleet):
    process = fleet.programs["ordering-1"]
    process.signal(signal.SIGSTOP)
    output = run(fleet, 0, "server", "stop", "ordering-1").stdout
    assert "ordering-1 gets no new work" in output
    # node-0 answers, and node-1 is the home node.
    wait_for_state(fleet, "ordering-1", "DRAINING")
    process.signal(signal.SIGCONT)
    output = run(fleet, 0, "server", "stop", "ordering-1").stdout
    assert "was leaving already" in output
    run(fleet, 0, "server", "start", "ordering-1")
    wait_for_state(fleet, "ordering-1", "SERVING")


def test_orders_that_make_no_sense_are_refused_with_1(fleet):
    error = run(fleet, 1, "server", "start", "fabrics-0").stderr
    assert "refused: fabrics-0 is not stopped" in error
    error = run(fleet, 1, "server", "stop", "absent").stderr
    assert "knows no server absent" in error


def test_the_next_node_answers_and_none_at_all_ends_with_5(fleet):
    nodes = [fleet.programs[name] for name in ("node-0", "node-1")]
    try:
        nodes[0].signal(signal.SIGSTOP)
        done = run(fleet, 0, "nodes")
        assert done.stdout.startswith("answered by node-1 at ")
        assert "no answer from " in done.stderr
        nodes[1].signal(signal.SIGSTOP)
        for words in (["nodes"], ["servers"], ["server", "stop", "x"]):
            assert "no node to ask" in run(fleet, 5, *words).stderr
    finally:
        for node in nodes:
            node.signal(signal.SIGCONT)


def test_a_home_node_that_does_not_answer_is_told_apart_from_a_dead_one(fleet):
    home = fleet.programs["node-1"]
    home.signal(signal.SIGSTOP)
    error = run(fleet, 4, "server", "stop", "ordering-1").stderr
    assert "home node node-1" in error
    assert "repeat the command" in error
    home.signal(signal.SIGKILL)
    home.process.wait()
    error = run(fleet, 5, "server", "stop", "ordering-1").stderr
    assert "home node node-1" in error
    assert "nothing was changed" in error
