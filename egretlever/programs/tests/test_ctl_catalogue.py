"""Exit codes and output of the catalogue commands of ctl."""

import pathlib

import pytest
from typer.testing import CliRunner

from egretlever.programs import _ctl_common, ctl
from egretlever.testing import FakeObjectStore, FaultyTableStore

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "kapra.ini"
SETTINGS = """
[platform]
table = 127.0.0.1:1
objects = 127.0.0.1:2
[ctl]
operator = amina
"""


class Ctl:
    """Runs ctl with fake stores in a temporary directory."""

    def __init__(self, path):
        self.path = path
        self.stores = _ctl_common.Stores(FaultyTableStore(), FakeObjectStore())
        self.settings = path / "ctl.ini"
        self.settings.write_text(SETTINGS, encoding="utf-8")

    def run(self, *arguments):
        options = ["--settings", str(self.settings)]
        words = [*options, *map(str, arguments)]
        return CliRunner().invoke(ctl.app, words)

    def catalogue(self, code, *arguments):
        result = self.run("catalogue", *arguments)
        assert result.exit_code == code, result.output
        return result.output

    def write(self, old="", new=""):
        file = self.path / "catalogue.ini"
        text = EXAMPLE.read_text(encoding="utf-8")
        assert old in text
        file.write_text(text.replace(old, new), encoding="utf-8")
        return file


@pytest.fixture
def program(tmp_path, monkeypatch):
    program = Ctl(tmp_path)
    monkeypatch.setattr(_ctl_common, "make_stores", lambda _: program.stores)
    program.catalogue(0, "apply", EXAMPLE, "--base", 0, "--summary", "first")
    return program


def test_applied_catalogue_is_shown_and_reapplied_without_change(program):
    text = program.catalogue(0, "show")
    assert text.startswith("# version 1, edit ")
    file = program.path / "shown.ini"
    file.write_text(text, encoding="utf-8")
    assert "nothing differs" in program.catalogue(0, "diff", file)
    output = program.catalogue(0, "apply", file, "--base", 1)
    assert "nothing differs from version 1" in output


def test_findings_are_all_printed_with_exit_code_2(program):
    file = program.write("floor_share = 0.7", "floor_share = 1\nx = 1")
    for arguments in (["check", file], ["apply", file, "--base", 1]):
        output = program.catalogue(2, *arguments)
        assert "[service ordering] floor_share: leaves no margin" in output
        assert "[service ordering] x: is unknown" in output
    assert "can't be read" in program.catalogue(2, "check", "absent.ini")


def test_diff_history_and_rollback(program):
    file = program.write("floor_share = 0.7", "floor_share = 0.8")
    output = program.catalogue(0, "diff", file)
    assert "floor_share: 0.7 -> 0.8" in output
    program.catalogue(0, "apply", file, "--base", 1, "--summary", "floor")
    program.catalogue(0, "rollback", 1)
    lines = program.catalogue(0, "history").splitlines()
    assert [line.split()[0] for line in lines] == ["version", "3", "2", "1"]
    assert "rollback to version 1" in lines[1]
    assert "amina" in lines[2]
    assert "floor_share = 0.7" in program.catalogue(0, "show")
    assert "floor_share = 0.8" in program.catalogue(0, "show", 2)
    assert "not in the history" in program.catalogue(1, "show", 9)


def test_conflict_exits_with_1_and_is_rebased_only_with_option(program):
    program.catalogue(
        0, "apply", program.write("worth = 20", "worth = 21"), "--base", 1
    )
    file = program.write("floor_share = 0.7", "floor_share = 0.8")
    output = program.catalogue(1, "apply", file, "--base", 1)
    assert "made version 2" in output
    assert "--rebase carries this edit over to version 2" in output
    assert "floor_share = 0.7" in program.catalogue(0, "show")
    output = program.catalogue(0, "apply", file, "--base", 1, "--rebase")
    assert "version 3 is in the store" in output
    shown = program.catalogue(0, "show")
    assert "floor_share = 0.8" in shown
    assert "worth = 21" in shown


def test_overlapping_edits_are_reported_by_entry(program):
    for worth, code in (("21", 0), ("22", 1)):
        file = program.write("worth = 20", f"worth = {worth}")
        output = program.catalogue(code, "apply", file, "--base", 1, "--rebase")
    assert "both edits change: rank order" in output


def test_unavailable_store_exits_with_3(program):
    program.stores.tables.unavailable = True
    file = program.write("worth = 20", "worth = 21")
    program.catalogue(3, "apply", file, "--base", 1)
    for command in ("show", "history"):
        assert "store is unavailable" in program.catalogue(3, command)
    program.catalogue(3, "rollback", 1)


def test_unknown_effect_exits_with_4_and_is_resolved_by_edit_id(program):
    program.stores.tables.delayed_writes_left = 3
    file = program.write("worth = 20", "worth = 21")
    output = program.catalogue(4, "apply", file, "--base", 1)
    edit_id = output.split("--edit-id ")[1].split()[0]
    again = ("apply", file, "--base", 1, "--edit-id", edit_id)
    assert "version 2 is in the store" in program.catalogue(0, *again)
    assert "version 2 is in the store" in program.catalogue(0, *again)


def test_invalid_settings_exit_with_2(program):
    assert program.run("check").exit_code == 0
    program.settings.write_text(SETTINGS + "colour = red", encoding="utf-8")
    for arguments in (["check"], ["catalogue", "show"]):
        result = program.run(*arguments)
        assert result.exit_code == 2
        assert "[ctl] colour: is unknown" in result.output


def test_version_is_printed_without_settings():
    result = CliRunner().invoke(ctl.app, ["--version"])
    assert result.exit_code == 0
    assert result.output.startswith("egretlever-ctl ")
