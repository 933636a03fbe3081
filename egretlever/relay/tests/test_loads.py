"""Replays worst-case load patterns on production entry and home nodes.

The asserted bounds are guarantees of the product or stated targets.
"""

import pytest

from egretlever.testing._relay_fleet import replay_load
from egretlever.testing._relay_patterns import Outage
from egretlever.testing.relay_loads import (
    build_flood,
    build_overload,
    build_pattern,
)

HALF_GRAY = (Outage(0.0, 60.0, 0.5),)
PATTERNS = {
    "ordinary": build_pattern(length=12.0),
    "flood of long lists": build_flood("list", 2.5, length=16.0),
    "flood of urgent views": build_flood("view", 1.7, length=16.0),
    "overload": build_overload(),
    "half gray": build_pattern(1.4, length=12.0, outages=HALF_GRAY),
}


@pytest.mark.parametrize("name", PATTERNS)
def test_guarantees_hold_under_every_load_pattern(name):
    pattern = PATTERNS[name]
    report = replay_load(pattern)
    assert max(report.runs.values()) == 1
    assert report.rejected_after_run == 0
    assert report.find_retry_excess(pattern) <= 0


def test_calls_of_retried_requests_keep_the_retry_budget():
    # They were counted but not limited: retried requests of one service made
    # more calls of another one than its retry budget allows.
    outages = (Outage(5.0, 60.0, 0.6, 4.0),)
    pattern = build_pattern(size=2, length=16.0, outages=outages)
    assert replay_load(pattern).find_retry_excess(pattern) <= 0


def test_few_requests_are_rejected_while_a_server_nearby_is_free():
    # In a large fleet an entry node gets a report of a home node only every few
    # seconds, and spent its offers on busy or gray ones. The target is that at
    # most one request in 200 is rejected because of outdated reports.
    pattern = build_pattern(1.4, size=4, length=6.0, outages=HALF_GRAY)
    report = replay_load(pattern)
    sent = sum(counts.sent for counts in report.outcomes.values())
    assert report.avoidable_rejections <= sent / 200
