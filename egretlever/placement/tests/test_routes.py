"""Guards route matching by host and prefix, and weighted traffic splits."""

import collections
import random

import pytest

from egretlever.placement import Backend, RouteTable
from egretlever.testing.relay_builders import (
    build_configuration,
    build_route,
)


def build_table(*routes):
    return RouteTable(build_configuration(*routes), random.Random(3))


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
    table = build_table(route)
    found = collections.Counter(table.choose_service(route) for _ in range(300))
    assert abs(found["new"] - 30) <= 1
