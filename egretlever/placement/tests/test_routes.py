"""Guards route matching by host and prefix, and weighted traffic splits."""

import collections
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import Version
from egretlever.placement import Backend, RouteTable
from egretlever.testing.relay_builders import (
    build_configuration,
    build_route,
)


def build_table(*routes, seed=3, version=7):
    configuration = build_configuration(*routes, version=Version(version))
    return RouteTable(configuration, random.Random(seed))


def count_choices(table, route, requests):
    return collections.Counter(
        table.choose_service(route) for _ in range(requests)
    )


def test_the_longest_matching_prefix_wins():
    table = build_table(
        build_route(id="all", prefix="/"),
        build_route(id="orders", prefix="/orders/"),
        build_route(id="new", prefix="/orders/new/"),
    )
    for path, expected in (
        ("/orders/new/1", "new"),
        ("/orders/new", "orders"),
        ("/orders/7?x=/orders/new/", "orders"),
        ("/orders", "all"),
        ("/", "all"),
    ):
        assert table.match("shop.example", path).id == expected


@pytest.mark.parametrize("host", ["SHOP.example", "shop.example:8080"])
def test_a_host_matches_in_any_case_and_with_a_port(host):
    assert build_table().match(host, "/orders/1") is not None


def test_unknown_hosts_and_paths_have_no_route():
    table = build_table()
    assert table.match("other.example", "/orders/1") is None
    assert table.match("shop.example", "/kits/1") is None
    assert table.match("", "") is None


def test_services_of_a_split_get_their_share_within_one_request():
    backends = (Backend("old", 90.0), Backend("new", 10.0))
    route = build_route(backends=backends)
    found = count_choices(build_table(route), route, 300)
    assert abs(found["new"] - 30) <= 1


@given(
    weights=st.lists(
        st.floats(0.1, 1000.0, allow_nan=False), min_size=2, max_size=6
    ),
    seed=st.integers(0, 100),
)
def test_each_share_of_a_thousand_requests_is_exact_to_a_few_requests(
    weights, seed
):
    backends = tuple(
        Backend(f"service-{number}", weight)
        for number, weight in enumerate(weights)
    )
    route = build_route(backends=backends)
    found = count_choices(build_table(route, seed=seed), route, 1000)
    for backend in backends:
        share = 1000 * backend.weight / sum(weights)
        assert abs(found[backend.service] - share) <= len(weights)


def test_service_that_stands_twice_in_a_split_gets_both_weights():
    backends = (Backend("old", 1.0), Backend("new", 1.0), Backend("old", 2.0))
    route = build_route(backends=backends)
    found = count_choices(build_table(route), route, 400)
    assert abs(found["old"] - 300) <= 2


def test_shares_of_many_nodes_with_little_traffic_add_up():
    # If all nodes began the round alike, the first requests of all of them
    # would go to the same service. Rounds that began with credits drawn at
    # random gave 23% of the first three requests to a service with 20%.
    backends = (Backend("old", 80.0), Backend("new", 20.0))
    route = build_route(backends=backends)
    total = collections.Counter()
    for seed in range(600):
        total += count_choices(build_table(route, seed=seed), route, 3)
    assert total["new"] / 1800 == pytest.approx(0.2, abs=0.03)


def test_shares_hold_while_configurations_come_in_quick_succession():
    backends = (Backend("old", 70.0), Backend("new", 30.0))
    route = build_route(backends=backends)
    total = collections.Counter()
    for version in range(50):
        table = build_table(route, seed=version, version=version)
        total += count_choices(table, route, 20)
    assert total["new"] / 1000 == pytest.approx(0.3, abs=0.03)


def test_new_weights_apply_from_the_first_request_of_a_version():
    old = build_route(backends=(Backend("old", 95.0), Backend("new", 5.0)))
    count_choices(build_table(old), old, 500)
    new = build_route(backends=(Backend("old", 5.0), Backend("new", 95.0)))
    found = count_choices(build_table(new, version=8), new, 40)
    assert abs(found["new"] - 38) <= 2
