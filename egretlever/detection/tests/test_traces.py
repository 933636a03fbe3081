"""Replays of recorded traces against their stated outcomes."""

import pathlib

import pytest

from egretlever.detection import read_trace, replay_trace

TRACES = sorted((pathlib.Path(__file__).parent / "traces").glob("*.jsonl"))


def test_traces_exist():
    # Guards against a moved directory, which would leave no traces to replay.
    assert len(TRACES) >= 12


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_has_its_stated_outcome(path):
    # Guards against a change that misses a recorded fault, or that ejects
    # servers in a recorded flood, pause or loss of a link.
    replay = replay_trace(read_trace(path))
    assert replay.selection.ejected == tuple(replay.stated.ejected)
    held = tuple(replay.stated.held_by_floor)
    assert replay.selection.held_by_floor == held
