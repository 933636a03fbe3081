"""Guards route matching, which must agree with a plain linear search."""

import hypothesis
import pytest
from hypothesis import strategies as st

from egretlever.catalogue import (
    compute_delta,
    make_catalogue_state,
    make_snapshot,
)
from egretlever.core import OrderMode, RankName, ServiceName
from egretlever.testing import builders, strategies


def make_state(routes):
    catalogue = builders.build_catalogue()
    del catalogue.routes[:]
    catalogue.routes.extend(routes)
    state = make_catalogue_state()
    state.apply_update(make_snapshot(catalogue), 0.0)
    return state


def search_linearly(routes, method, host, path):
    best, found = None, None
    for route in routes:
        prefix = route.path.rstrip("/")
        if route.host not in ("*", host.lower().removesuffix(":80")):
            continue
        if route.methods and method not in route.methods:
            continue
        if path.rstrip("/") != prefix and not path.startswith(prefix + "/"):
            continue
        key = (route.host != "*", len(prefix), bool(route.methods))
        if best is None or key > best:
            best, found = key, route.id
    return found


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.draw_routes(),
    st.lists(strategies.draw_request(), min_size=1, max_size=30),
)
def test_match_agrees_with_a_linear_search(routes, requests):
    state = make_state(routes)
    for request in requests:
        route = state.match(*request)
        expected = search_linearly(routes, *request)
        assert (route.id if route else None) == expected, request


@hypothesis.given(
    strategies.draw_routes(),
    strategies.draw_routes(),
    st.lists(strategies.draw_request(), min_size=1, max_size=30),
)
def test_match_after_a_delta_agrees_with_a_linear_search(old, new, requests):
    """A route may take over the path of one that the delta removes."""
    state = make_state(old)
    catalogue = builders.build_catalogue(2)
    del catalogue.routes[:]
    catalogue.routes.extend(new)
    target = make_snapshot(catalogue)
    state.apply_update(compute_delta(state.snapshot_, target), 1.0)
    assert state.head == target.head
    for request in requests:
        route = state.match(*request)
        expected = search_linearly(new, *request)
        assert (route.id if route else None) == expected, request


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/kits", "kits"),
        ("/kits/", "kits"),
        ("/kits?page=2", "kits"),
        ("/kitset", "root"),
        ("/kits/orders/1", "orders"),
        ("/kits//orders", "kits"),
        ("/" * 100_000, "root"),
        ("*", None),
        ("", None),
    ],
)
def test_prefixes_end_at_segments(path, expected):
    state = make_state(
        [
            builders.build_route("root", path="/"),
            builders.build_route("kits", path="/kits/"),
            builders.build_route("orders", path="/kits/orders"),
        ]
    )
    route = state.match("GET", "any.example", path)
    assert (route.id if route else None) == expected


def test_hosts_compare_without_case_port_and_final_dot():
    state = make_state([builders.build_route("a", host="a.example", path="/")])
    for host in ("A.Example", "a.example:8080", "a.example.", "a.example"):
        assert state.match("GET", host, "/").id == "a"
    assert state.match("GET", "b.example", "/") is None


def test_entries_are_typed_and_defaults_resolved():
    catalogue = builders.build_catalogue()
    catalogue.routes[1].timeout_s = 0.25
    state = make_catalogue_state()
    assert state.service(ServiceName("ordering")) is None
    assert state.match("GET", "a", "/") is None
    state.apply_update(make_snapshot(catalogue), 0.0)
    service = state.service(ServiceName("ordering"))
    assert (service.order_mode, service.timeout) == (OrderMode.STRICT, 5)
    assert state.rank(RankName("urgent")).target == 0.5
    order = state.resolve_route(state.match("POST", "a", "/swatches"))
    assert (order.rank.name, order.timeout, order.worth) == ("urgent", 5, 10)
    browse = state.resolve_route(state.match("GET", "a", "/fabrics"))
    assert (browse.rank.name, browse.timeout) == ("normal", 0.25)
    report = state.resolve_route(state.match("GET", "a", "/reports"))
    assert (report.rank.name, report.worth) == ("background", 1)
