"""Tests of the reports of benchmarks: verdicts of short runs, and plots."""

import json

import pytest

from benchmarks import _plots, false_ejections
from benchmarks._detection_cases import SIZES
from benchmarks._detection_routed import find_traffic_drop


@pytest.mark.parametrize(
    ("hours", "false", "met"), [(0.5, 0, None), (100, 0, True), (0.5, 1, False)]
)
def test_verdict_needs_the_stated_hours(monkeypatch, hours, false, met):
    # Guards against a measure reported as met after 0.2 of 100 server-hours.
    results = [
        ((size, fault, 1, 1.0), false, hours)
        for size in SIZES
        for fault in false_ejections.FAULTS_AROUND_HEALTHY_SERVERS
    ]
    monkeypatch.setattr(false_ejections, "_run_cases", lambda *_: results)
    measures = false_ejections.measure_false(1, hours, 1, 1.0)
    assert {measure.met for measure in measures} == {met}
    assert all(f"{hours:.1f} server-hours" in m.name for m in measures)


def test_runs_of_a_case_cover_its_hours():
    # Guards against rounding that leaves a case short of 100 server-hours.
    for size in SIZES:
        plan = [c for c in false_ejections._plan_runs(1, 100.0) if c[0] == size]
        covered = sum(size.servers * case[3] / 3600 for case in plan)
        assert covered >= 100.0 * len(
            false_ejections.FAULTS_AROUND_HEALTHY_SERVERS
        )
        assert len({case[1:3] for case in plan}) == len(plan)


def test_continuing_traffic_is_not_counted_as_dropped():
    # Guards against a detection time that is too short because the traffic
    # counts as dropped while it continues.
    times = [n / 10 for n in range(1000)]
    assert find_traffic_drop(times, 15.0, 30.0) == 30.0
    assert find_traffic_drop([t for t in times if t < 17.0], 15.0, 30.0) < 2.1


def test_plot_is_small_and_reproducible(tmp_path):
    # Guards against dates, random ids and embedded fonts in committed plots.
    measures = [
        {
            "name": f"case {number}{suffix}",
            "value": value,
            "unit": "s",
            "target": 3.0,
        }
        for number in range(36)
        for suffix, value in ((", median", 1.0), (", 99th percentile", 2.0))
    ]
    content = {"title": "detection", "measures": measures}
    (tmp_path / "detection.json").write_text(json.dumps(content))
    _plots.main(tmp_path, tmp_path / "a")
    _plots.main(tmp_path, tmp_path / "b")
    first = (tmp_path / "a" / "detection.svg").read_bytes()
    assert first == (tmp_path / "b" / "detection.svg").read_bytes()
    assert len(first) < 60_000
    assert b"font-face" not in first
