"""Guards the platform stand-in: settings and clean exit on signals."""

import signal
import socket
import subprocess
import sys
import time

import pytest
from typer.testing import CliRunner

from egretlever.programs.platform import app

# Seconds to wait for a process; sufficient on a loaded host.
TIMEOUT = 60


def write_settings(tmp_path, text):
    path = tmp_path / "platform.ini"
    path.write_text(text)
    return str(path)


def find_free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def test_invalid_settings_exit_with_2_and_all_findings(tmp_path):
    path = write_settings(
        tmp_path, "[platform]\nlisten = here\nlatency_s = -1\ncolour = red\n"
    )
    for command in ("check", "run"):
        result = CliRunner().invoke(app, [command, path])
        assert result.exit_code == 2
        assert len(result.output.splitlines()) == 3


def test_version_is_printed():
    result = CliRunner().invoke(app, ["--version"])
    assert result.exit_code == 0
    assert result.output.startswith("egretlever-platform ")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_stops_the_program_cleanly(tmp_path, number):
    port = find_free_port()
    path = write_settings(tmp_path, f"[platform]\nlisten = 127.0.0.1:{port}\n")
    command = [sys.executable, "-m", "egretlever.programs.platform", "run"]
    process = subprocess.Popen([*command, path], stderr=subprocess.PIPE)
    try:
        deadline = time.monotonic() + TIMEOUT
        while time.monotonic() < deadline and process.poll() is None:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    break
            time.sleep(0.02)
        process.send_signal(number)
        _, errors = process.communicate(timeout=TIMEOUT)
        assert process.returncode == 0
        assert b"Traceback" not in errors
    finally:
        process.kill()
        process.wait()
