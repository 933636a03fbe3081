"""Builders of valid test data for relay nodes; keywords override fields."""

import dataclasses
from typing import Any

from egretlever.core import (
    Address,
    CustomerId,
    FailureDomain,
    Incarnation,
    RequestId,
    RouteId,
    Seconds,
    ServerId,
    ServiceName,
    Version,
)
from egretlever.home import Heartbeat, SlotTicket
from egretlever.placement import (
    Answer,
    Backend,
    ClientLimits,
    Configuration,
    Customer,
    HomeCondition,
    HomeServer,
    Offer,
    Route,
    Search,
    hash_key,
)


def build_route(**changes: Any) -> Route:
    """Build a route for orders: not idempotent, at most two attempts."""
    route = Route(
        id=RouteId("orders"),
        host="shop.example",
        prefix="/orders/",
        idempotent=False,
        timeout=Seconds(4.0),
        objective=Seconds(1.2),
        rank=1,
        max_attempts=2,
        backends=(Backend(ServiceName("ordering"), 1.0),),
    )
    return dataclasses.replace(route, **changes)


def build_configuration(*routes: Route, **changes: Any) -> Configuration:
    """Build a configuration of the given routes, or of one for orders."""
    configuration = Configuration(
        Version(7),
        routes or (build_route(),),
        ClientLimits(),
        keys_required=bool(changes.get("customers")),
    )
    return dataclasses.replace(configuration, **changes)


def build_customer(key: str = "secret", **changes: Any) -> Customer:
    """Build a customer that holds one key and has no limit."""
    customer = Customer(CustomerId("mill"), (hash_key(key.encode()),))
    return dataclasses.replace(customer, **changes)


def build_home_server(number: int = 1, **changes: Any) -> HomeServer:
    """Build a server in the failure domain of its number modulo 4."""
    server = HomeServer(
        id=ServerId(f"i-{number}"),
        service=ServiceName("ordering"),
        failure_domain=FailureDomain(f"domain-{number % 4}"),
        relay=Address("127.0.0.1", 20000 + number),
        slots=4,
        incarnation=Incarnation(1_700_000_000_000 + number),
    )
    return dataclasses.replace(server, **changes)


def build_heartbeat(**changes: Any) -> Heartbeat:
    """Build the first heartbeat of a ready server."""
    heartbeat = Heartbeat(
        id=ServerId("i-1"),
        address=Address("127.0.0.1", 8080),
        service=ServiceName("ordering"),
        failure_domain=FailureDomain("domain-1"),
        slots=2,
        draining=False,
        sequence=1,
        incarnation=Incarnation(1_700_000_000_000),
        cold_for=Seconds(0.0),
    )
    return dataclasses.replace(heartbeat, **changes)


def build_slot_ticket(request: str = "r-1", **changes: Any) -> SlotTicket:
    """Build a ticket of rank 1 that may wait for 10 s."""
    ticket = SlotTicket(
        RequestId(request), RouteId("orders"), 1, Seconds(100.0), Seconds(10.0)
    )
    return dataclasses.replace(ticket, **changes)


def build_offer(request: str = "r-1", **changes: Any) -> Offer:
    """Build an offer of a request to create an order."""
    offer = Offer(
        request_id=RequestId(request),
        service=ServiceName("ordering"),
        route=RouteId("orders"),
        method="POST",
        target=b"/orders/1",
        headers=(
            (b"host", b"shop.example"),
            (b"x-request-id", request.encode()),
        ),
        body=b"silk",
        rank=1,
        idempotent=False,
        time_left=Seconds(4.0),
        max_wait=Seconds(1.0),
        caller_service=ServiceName("catalogue"),
    )
    return dataclasses.replace(offer, **changes)


def build_answer(status: int = 200, **condition: Any) -> Answer:
    """Build the answer of a server; keywords set its home node's condition."""
    return Answer(
        status,
        ((b"x-request-id", b"r-1"),),
        b"ok",
        build_condition(**condition),
    )


def build_condition(**changes: Any) -> HomeCondition:
    """Build the condition of a home node with free slots.

    The keyword ``wait`` sets the same wait for all ranks.
    """
    condition = HomeCondition(free_slots=4, service_time=Seconds(0.2))
    if "wait" in changes:
        changes["waits"] = (changes.pop("wait"),)
    return dataclasses.replace(condition, **changes)


def build_search(**changes: Any) -> Search:
    """Build the search for an order that arrives at time 0."""
    search = Search(
        rank=1,
        may_be_trial=False,
        on_time_at=Seconds(1.2),
        deadline=Seconds(4.0),
        service_time=Seconds(0.2),
    )
    return dataclasses.replace(search, **changes)
