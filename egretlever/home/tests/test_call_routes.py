"""Guards requests of clients against the limit on nested calls."""

from egretlever.core import RouteId
from egretlever.home import CallRoutes

ROUTE = RouteId("lookup")


def build_call_routes(arrivals):
    routes = CallRoutes()
    for from_client in arrivals:
        routes.observe(ROUTE, from_client)
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
