"""Guards the cost of a choice against the size of a service."""

import random

import pytest

from egretlever.core import Address, FailureDomain, RegionName, Seconds, Version
from egretlever.placement import (
    Directory,
    Distance,
    DistanceGroups,
    HomeSelector,
    Refusal,
    RefusalReason,
)
from egretlever.testing.relay_builders import build_home_server, build_search

NOW = Seconds(0.0)
REGIONS = {
    FailureDomain(f"domain-{number}"): RegionName(f"region-{number % 2}")
    for number in range(4)
}


class CountingDirectory(Directory):
    """Directory that counts how often a service is listed."""

    listings = 0

    def list_servers(self, service):
        self.listings += 1
        return super().list_servers(service)


def build_fleet(size):
    """Build a directory of one service and the groups of an entry node."""
    directory = CountingDirectory()
    for number in range(size):
        directory.update(build_home_server(number), Version(number + 1))
    rng = random.Random(1)
    selector = HomeSelector(
        FailureDomain("domain-1"), REGIONS, Address("127.0.0.1", 1), rng
    )
    groups = DistanceGroups(directory, selector.measure_distance, rng)
    return directory, selector, groups


def list_sample(selector, groups):
    sampled = selector.sample(groups.find("ordering"), NOW)
    return [server.id for group in sampled.values() for server in group]


@pytest.mark.parametrize("size", [135, 500, 14_000])
def test_a_request_considers_a_bounded_part_of_a_large_service(size):
    # A choice took 0.6 ms at 135 servers and 2.3 ms at 500.
    _, selector, groups = build_fleet(size)
    assert len(list_sample(selector, groups)) <= 64


def test_small_services_are_considered_as_a_whole():
    _, selector, groups = build_fleet(28)
    assert len(set(list_sample(selector, groups))) == 28


def test_every_server_is_considered_by_some_request():
    _, selector, groups = build_fleet(500)
    seen = set()
    for _ in range(500):
        seen.update(list_sample(selector, groups))
    assert len(seen) == 500


def test_servers_are_grouped_anew_only_after_a_change():
    directory, selector, groups = build_fleet(100)
    for _ in range(20):
        list_sample(selector, groups)
    assert directory.listings == 1
    directory.update(build_home_server(100), Version(101))
    directory.remove("i-0", Version(102))
    found = groups.find("ordering")
    ids = {server.id for group in found.values() for server in group}
    assert directory.listings == 2
    assert "i-100" in ids
    assert "i-0" not in ids
    assert groups.count("ordering") == 100


def test_hosts_that_were_lost_together_do_not_fill_the_sample():
    _, selector, groups = build_fleet(400)
    near = groups.find("ordering")[Distance.OTHER_REGION]
    for server in near[:180]:
        selector.start_offer(server)
        lost = Refusal(RefusalReason.HOME_UNREACHABLE)
        selector.finish_offer(server, lost, NOW)
    alive = {server.id for server in near[180:]}
    counts = [
        sum(
            server.id in alive
            for server in selector.sample({Distance.OTHER_REGION: near}, NOW)[
                Distance.OTHER_REGION
            ]
        )
        for _ in range(50)
    ]
    assert sum(counts) / len(counts) >= 4


def test_a_choice_among_many_servers_is_the_nearest_one():
    _, selector, groups = build_fleet(500)
    sampled = selector.sample(groups.find("ordering"), NOW)
    choice = selector.decide(build_search(), sampled, NOW)
    assert choice.server.failure_domain == "domain-1"
