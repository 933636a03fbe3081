"""Guards the ctl commands for nodes and servers, on a small fleet."""

import json
import pathlib
import signal

import pytest

from egretlever.testing import SmallFleet, wait_until

CATALOGUE = pathlib.Path(__file__).parents[3] / "examples" / "demo.ini"
# Seconds to wait for processes; sufficient on a loaded host.
TIMEOUT = 60


@pytest.fixture(scope="module")
def fleet():
    with SmallFleet() as fleet:
        fleet.start_platform()
        fleet.start_nodes(2)
        fleet.start_server("ordering-0", "ordering", "node-0")
        fleet.start_server("ordering-1", "ordering", "node-1")
        fleet.start_server("fabrics-0", "fabrics", "node-0")
        fleet.apply_catalogue(CATALOGUE)
        assert fleet.wait_ready(3, TIMEOUT)
        yield fleet


def run(fleet, code, *arguments):
    done = fleet.run_ctl(*arguments)
    assert done.returncode == code, done.stdout + done.stderr
    return done


def wait_for_state(fleet, server, state):
    def has_state():
        shown = json.loads(run(fleet, 0, "servers", "--json").stdout)
        states = {
            status["server"]: status["state"] for status in shown["servers"]
        }
        return states.get(server) == state

    assert wait_until(has_state, TIMEOUT)


def test_nodes_and_servers_are_shown_with_the_responding_node(fleet):
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
    assert [status["held_by_floor"] for status in shown["servers"]] == [
        False
    ] * 3


def test_stop_works_without_the_server_and_start_reverts_it(fleet):
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


def test_invalid_commands_exit_with_1(fleet):
    error = run(fleet, 1, "server", "start", "fabrics-0").stderr
    assert "refused: fabrics-0 is not stopped" in error
    error = run(fleet, 1, "server", "stop", "absent").stderr
    assert "knows no server absent" in error


def test_next_node_is_queried_and_no_response_exits_with_5(fleet):
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


def test_paused_home_node_exits_with_4_and_dead_one_with_5(fleet):
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
