"""Guards requests of clients against the limit on nested calls."""

from egretlever.core import RouteId
from egretlever.home import CallRoutes

ROUTE = RouteId("lookup")


def build_call_routes(arrivals, marked=False):
    routes = CallRoutes()
    for from_client in arrivals:
        routes.observe(ROUTE, from_client, marked and not from_client)
    return routes


def test_a_route_that_clients_use_is_not_limited_as_a_route_of_calls():
    routes = build_call_routes([False] * 500 + [True] + [False] * 500)
    assert not routes.decide(ROUTE, host_share=0.4)


def test_a_route_is_not_taken_for_one_of_calls_by_few_requests():
    assert not build_call_routes([False] * 9).decide(ROUTE, host_share=0.38)
    assert build_call_routes([False] * 10).decide(ROUTE, host_share=0.38)


def test_no_route_is_one_of_calls_when_the_hosts_tell_nothing():
    routes = build_call_routes([False] * 500)
    assert not routes.decide(ROUTE, host_share=0.0)
    assert not routes.decide(ROUTE, host_share=1.0)


def test_requests_of_clients_do_not_use_the_budget_of_calls():
    # A third of the budget went to requests of clients that came while a
    # retried request ran on their host.
    routes = build_call_routes([True, True, False, False, False] * 40, True)
    assert routes.estimate_call_share(ROUTE, host_share=0.4) == 0.0


def test_calls_on_a_route_that_clients_use_too_are_counted():
    routes = build_call_routes([True, False, False, False, False] * 40, True)
    # Of four requests from other hosts, clients sent one and a half.
    share = routes.estimate_call_share(ROUTE, host_share=0.4)
    assert 0.6 < share < 0.65


def test_marked_requests_of_an_unknown_route_are_counted_as_calls():
    assert CallRoutes().estimate_call_share(ROUTE, host_share=0.4) == 1.0
