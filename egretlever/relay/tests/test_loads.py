"""Replays loads at their worst on real entry and home nodes.

Bounds are promises of the product or stated targets; each test names the load
pattern and what it guards.
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
def test_no_load_breaks_a_promise(name):
    pattern = PATTERNS[name]
    report = replay_load(pattern)
    assert max(report.runs.values()) == 1
    assert report.rejected_after_run == 0
    assert report.find_retry_excess(pattern) <= 0


def test_few_requests_are_rejected_beside_a_free_server():
    # In a large fleet an entry node hears of a home node every few seconds, and
    # used up its offers at those that were busy or gray. The target is that one
    # request in 200 at most is not served for want of knowledge.
    pattern = build_pattern(1.4, size=4, length=6.0, outages=HALF_GRAY)
    report = replay_load(pattern)
    sent = sum(counts.sent for counts in report.outcomes.values())
    assert report.avoidable_rejections <= sent / 200
