"""Guards the home nodes' parts of the retry budget against what they miss."""

import random

from egretlever.core import Address, FailureDomain, Version
from egretlever.placement import HomeSelector
from egretlever.platform import Bounds
from egretlever.relay._fleet import FleetView
from egretlever.relay._retries import RetryCounter
from egretlever.testing.relay_builders import build_home_server, build_offer

BOUNDS = Bounds(retry_ratio=0.2, retry_slack=60.0)
RETRY = build_offer(repeated=True)


def build_fleet_view():
    selector = HomeSelector(
        FailureDomain("domain-1"),
        {},
        Address("127.0.0.1", 1),
        random.Random(1),
    )
    return FleetView(selector, lambda: None, random.Random(1))


def exhaust(counter):
    count = 0
    while counter.count_arrival(RETRY):
        count += 1
    return count


def test_a_process_without_a_directory_does_not_take_the_whole_slack():
    fleet = build_fleet_view()
    counter = RetryCounter(BOUNDS, fleet, first_start=True)
    assert exhaust(counter) == 0
    rows = [(build_home_server(n), Version(1)) for n in range(1, 7)]
    fleet.directory.replace(rows, Version(1))
    assert 0 < exhaust(counter) <= 10
