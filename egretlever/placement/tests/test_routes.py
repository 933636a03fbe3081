"""Guards routing by host and prefix, and the parts of a split."""

import collections
import random

import pytest

from egretlever.placement import Backend, RouteTable
from egretlever.testing.relay_builders import (
    build_configuration,
    build_route,
)


def make_table(*routes):
    return RouteTable(build_configuration(*routes), random.Random(3))


def test_the_longest_prefix_that_begins_the_path_wins():
    table = make_table(
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
    assert make_table().match(host, "/orders/1") is not None


def test_unknown_hosts_and_paths_have_no_route():
    table = make_table()
    assert table.match("other.example", "/orders/1") is None
    assert table.match("shop.example", "/kits/1") is None
    assert table.match("", "") is None


def test_parts_of_a_split_stay_within_one_request_of_their_weights():
    backends = (Backend("old", 90.0), Backend("new", 10.0))
    route = build_route(backends=backends)
    table = make_table(route)
    found = collections.Counter(table.choose_service(route) for _ in range(300))
    assert abs(found["new"] - 30) <= 1
