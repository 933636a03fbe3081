"""Guards the common behaviour of programs: help, findings, clean exit."""

import signal
import socket
import subprocess
import sys

import pytest
from typer.testing import CliRunner

from egretlever.programs import (
    _relay_commands,
    backend,
    ctl,
    load,
    node,
    platform,
)
from egretlever.schema import standins_pb2
from egretlever.standins import make_mix, write_mix
from egretlever.testing import SmallFleet, wait_until

# Seconds to wait for a process; sufficient on a loaded host.
TIMEOUT = 60
PROGRAMS = {
    "node": node,
    "backend": backend,
    "load": load,
    "platform": platform,
    "ctl": ctl,
    "relay": _relay_commands,
}
INVALID_SETTINGS = {
    "node": "[listen]\ntraffic = here\n[members]\ngossip_interval_s = 0\n",
    "backend": "[backend]\nserver = a\nlisten = here\nslots = 0\n",
    "load": "[load]\nnodes = here\nmax_in_flight = 0\n",
    "platform": "[platform]\nlisten = here\nlatency_s = -1\n",
    "ctl": "[platform]\ntable = here\n[ctl]\nnodes = there\n",
    "relay": "[store]\naddress = here\n[bounds]\nheartbeat = soon\n",
}
COMMANDS = {
    "node": "run",
    "backend": "run",
    "load": "play",
    "platform": "run",
    "relay": "run",
}
every_program = pytest.mark.parametrize("name", PROGRAMS)


def invoke(name, *words):
    return CliRunner().invoke(PROGRAMS[name].app, [*map(str, words)])


def check(name, path):
    if name == "ctl":
        return invoke(name, "--settings", path, "check")
    return invoke(name, "check", path)


@every_program
def test_help_and_version_need_no_settings(name):
    shown = invoke(name, "--help")
    assert shown.exit_code == 0
    assert "check" in shown.output
    assert "--version" in shown.output
    shown = invoke(name, "--version")
    assert shown.exit_code == 0
    assert shown.output.startswith(f"egretlever-{name} ")


@every_program
def test_all_findings_are_printed_with_exit_code_2(name, tmp_path):
    path = tmp_path / "settings.ini"
    path.write_text(INVALID_SETTINGS[name] + "colour = red\n", encoding="utf-8")
    shown = check(name, path)
    assert shown.exit_code == 2
    assert "colour: is unknown" in shown.output
    assert len(shown.output.splitlines()) >= 3
    if name in COMMANDS:
        words = [path, path] if name == "load" else [path]
        again = invoke(name, COMMANDS[name], *words)
        assert again.exit_code == 2
        assert again.output == shown.output


@every_program
def test_missing_file_is_a_finding(name, tmp_path):
    shown = check(name, tmp_path / "absent.ini")
    assert shown.exit_code == 2
    assert "absent.ini" in shown.output


def test_unreadable_mix_is_a_finding(tmp_path):
    settings = tmp_path / "load.ini"
    settings.write_text("[load]\nnodes = 127.0.0.1:1\n", encoding="utf-8")
    shown = invoke("load", "play", settings, tmp_path / "absent.jsonl")
    assert shown.exit_code == 2
    assert "absent.jsonl" in shown.output


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_node_and_backend_stop_cleanly_on_a_signal(number):
    with SmallFleet() as fleet:
        fleet.start_platform()
        fleet.start_nodes(2)
        fleet.start_server("a-0", "a", "node-0", drain_linger_s=0)
        assert wait_until(lambda: knows_server(fleet), TIMEOUT)
        for name in ("a-0", "node-0"):
            running = fleet.programs[name]
            running.signal(number)
            assert running.process.wait(TIMEOUT) == 0
            assert "Traceback" not in running.log.read_text()


def test_address_in_use_exits_with_a_message():
    # Guards against a traceback when an operator starts a node twice.
    with SmallFleet() as fleet:
        fleet.start_nodes(1)
        address = fleet.nodes["node-0"].traffic
        assert wait_until(lambda: fleet.read_status("node-0"), TIMEOUT)
        path = fleet.path / "node-0.ini"
        second = fleet.start("second", "node", "run", path)
        assert second.process.wait(TIMEOUT) == 1
        shown = second.log.read_text()
        assert "the program ended" in shown, address
        assert "Traceback" not in shown


def knows_server(fleet):
    status = fleet.read_status("node-0")
    return status is not None and len(status.servers) == 1


def test_stopped_load_generator_writes_its_results(tmp_path):
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(TIMEOUT)
    settings = tmp_path / "load.ini"
    port = listener.getsockname()[1]
    settings.write_text(f"[load]\nnodes = 127.0.0.1:{port}\n", "utf-8")
    mix, results = tmp_path / "mix.jsonl", tmp_path / "results.jsonl"
    request = standins_pb2.LoadRequest(method="GET", path="/", rank="browse")
    write_mix(mix, make_mix([(request, 20.0)], 600.0, 1))
    command = [sys.executable, "-m", "egretlever.programs.load", "play"]
    command += [str(settings), str(mix), "--results", str(results)]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    try:
        with listener:
            listener.accept()[0].close()
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=TIMEOUT)
        assert process.returncode == 0, output
        assert "Traceback" not in output
        assert results.read_text(encoding="utf-8").strip()
    finally:
        process.kill()
        process.wait()
