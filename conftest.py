"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

import pathlib
import re

import pytest

_KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_ENTRY = re.compile(r"^  test: (\S+::\S+)$", re.MULTILINE)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; the others must pass."""
    known = set(_ENTRY.findall(_KNOWN_RED.read_text()))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests that ran."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"known red: {report.nodeid} {outcome}")
