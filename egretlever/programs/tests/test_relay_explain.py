"""Guards ``explain``: log lines of a request found by its id."""

import json

from typer.testing import CliRunner

from egretlever.programs import _relay_commands


def write(path, *lines):
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(path)


def make_line(time, event, request="r-1", **fields):
    parts = {"time": time, "part": "entry", "event": event, "request": request}
    return json.dumps({**parts, **fields})


def invoke(*words):
    return CliRunner().invoke(_relay_commands.app, ["explain", *words])


def test_lines_of_several_nodes_are_merged_by_time(tmp_path):
    home = write(
        tmp_path / "home.log",
        make_line("10:00:01", "refused", outcome="untrusted"),
        make_line("10:00:01", "refused", request="r-12"),
    )
    entry = write(
        tmp_path / "entry.log",
        "Traceback that is no line of JSON about r-1",
        "12.5 host " + make_line("10:00:02", "ended", status=503),
    )
    shown = invoke("r-1", entry, home)
    assert shown.exit_code == 0
    assert shown.output.splitlines() == [
        "10:00:01 home.log: entry refused outcome=untrusted",
        "10:00:02 entry.log: entry ended status=503",
    ]


def test_unknown_request_exits_with_1_and_missing_file_with_2(tmp_path):
    empty = write(tmp_path / "empty.log", make_line("1", "ended", "r-2"))
    assert invoke("r-1", empty).exit_code == 1
    assert invoke("r-1", str(tmp_path / "absent.log")).exit_code == 2
