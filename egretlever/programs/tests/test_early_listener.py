"""Tests the listener for clients that is open before the program is loaded."""

import socket
import subprocess
import sys

import pytest

from egretlever.programs._early_listener import open_early_listener
from egretlever.testing import reserve_addresses


def write(path, text):
    path.write_text(text, encoding="utf-8")
    return path


def test_clients_can_connect_before_the_program_is_loaded(tmp_path):
    # After a power failure of all hosts, connections were refused for 1.3 s
    # longer on hosts with half of a core, and clients gave up.
    (address,) = reserve_addresses(1)
    path = write(tmp_path / "relay.ini", f"[listen]\nclients = {address}\n")
    listener = open_early_listener(path)
    assert listener is not None
    with listener, socket.create_connection((address.ip, address.port)):
        accepted, _ = listener.accept()
        accepted.close()


@pytest.mark.parametrize(
    "text",
    ["", "[listen]\n", "[listen]\nclients = 10.0.0.1\n", "clients = 1\n"]
    + [f"[listen]\nclients = {place}\n" for place in ("x:1", "127.0.0.1:-1")],
)
def test_invalid_settings_are_left_to_the_program(tmp_path, text):
    assert open_early_listener(write(tmp_path / "relay.ini", text)) is None


def test_missing_settings_are_left_to_the_program(tmp_path):
    assert open_early_listener(tmp_path / "missing.ini") is None


def test_bound_address_is_left_to_the_program(tmp_path):
    (address,) = reserve_addresses(1)
    path = write(tmp_path / "relay.ini", f"[listen]\nclients = {address}\n")
    first = open_early_listener(path)
    assert first is not None
    with first:
        assert open_early_listener(path) is None


def test_start_does_not_load_the_command_line():
    # Each start of a node pays for its imports before it serves clients.
    code = (
        "import sys, egretlever.programs._relay_process;"
        "print(*{'typer', 'google.protobuf.json_format'} & set(sys.modules))"
    )
    run = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
    )
    assert run.stdout.strip() == ""
