"""Conversion of a configuration to rows that nodes pass on, and back."""

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.core import CustomerId, RouteId, Seconds, ServiceName
from egretlever.placement import (
    Backend,
    ClientLimits,
    Configuration,
    Customer,
    KeyDigest,
    Route,
)
from egretlever.schema import relay_pb2

# Names of routes are not empty.
LIMITS_KEY = ""
# Precedes the name of a customer in the key of its row. The platform's names
# have no control characters.
_CUSTOMER_PREFIX = "\x01"


def encode_configuration(configuration: Configuration) -> dict[str, bytes]:
    """Encode the limits, routes and customers as rows by key."""
    rows = {LIMITS_KEY: _encode_limits(configuration)}
    for key, entry in list_entries(configuration).items():
        rows[key] = (
            _encode_route(entry)
            if isinstance(entry, Route)
            else _encode_customer(entry)
        )
    return rows


def list_entries(configuration: Configuration) -> dict[str, Route | Customer]:
    """List the routes and customers of a configuration by row key."""
    entries: dict[str, Route | Customer] = {
        route.id: route for route in configuration.routes
    }
    for customer in configuration.customers:
        entries[_CUSTOMER_PREFIX + customer.id] = customer
    return entries


def decode_entry(key: str, value: bytes) -> Result[Route | Customer, str]:
    """Decode the row of a route or customer; a failure holds the reason."""
    if key.startswith(_CUSTOMER_PREFIX):
        return _decode_customer(key.removeprefix(_CUSTOMER_PREFIX), value)
    return _decode_route(key, value)


def _encode_customer(customer: Customer) -> bytes:
    return relay_pb2.CustomerRow(
        key_digests=customer.keys,
        rank=customer.rank,
        rate_per_s=customer.rate,
        burst=customer.burst,
    ).SerializeToString()


def _decode_customer(name: str, value: bytes) -> Result[Route | Customer, str]:
    try:
        row = relay_pb2.CustomerRow.FromString(value)
    except message.DecodeError as error:
        return Failure(str(error))
    return Success(
        Customer(
            id=CustomerId(name),
            keys=tuple(map(KeyDigest, row.key_digests)),
            rank=row.rank if row.HasField("rank") else None,
            rate=row.rate_per_s,
            burst=row.burst,
        )
    )


def _encode_limits(configuration: Configuration) -> bytes:
    limits = configuration.limits
    return relay_pb2.ClientLimitsRow(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.head_timeout,
        idle_timeout_s=limits.idle_timeout,
        keys_required=configuration.keys_required,
    ).SerializeToString()


def _encode_route(route: Route) -> bytes:
    return relay_pb2.RouteRow(
        host=route.host,
        prefix=route.prefix,
        idempotent=route.idempotent,
        timeout_s=route.timeout,
        objective_s=route.objective,
        rank=route.rank,
        max_attempts=route.max_attempts,
        backends=[
            relay_pb2.RouteBackend(
                service=backend.service, weight=backend.weight
            )
            for backend in route.backends
        ],
        public=route.public,
    ).SerializeToString()


def decode_limits(value: bytes) -> Result[tuple[ClientLimits, bool], str]:
    """Decode the row of the limits; a failure holds the reason.

    Returns
    -------
    Result of tuple of ClientLimits and bool, or str
        The limits, and whether requests need the key of a customer.
    """
    try:
        row = relay_pb2.ClientLimitsRow.FromString(value)
    except message.DecodeError as error:
        return Failure(str(error))
    limits = ClientLimits(
        max_head_bytes=row.max_head_bytes,
        max_body_bytes=row.max_body_bytes,
        head_timeout=Seconds(row.head_timeout_s),
        idle_timeout=Seconds(row.idle_timeout_s),
    )
    return Success((limits, row.keys_required))


def _decode_route(key: str, value: bytes) -> Result[Route | Customer, str]:
    try:
        row = relay_pb2.RouteRow.FromString(value)
    except message.DecodeError as error:
        return Failure(str(error))
    if not row.backends:
        return Failure("the route has no service")
    return Success(
        Route(
            id=RouteId(key),
            host=row.host,
            prefix=row.prefix,
            idempotent=row.idempotent,
            timeout=Seconds(row.timeout_s),
            objective=Seconds(row.objective_s),
            rank=row.rank,
            max_attempts=row.max_attempts,
            backends=tuple(
                Backend(ServiceName(backend.service), backend.weight)
                for backend in row.backends
            ),
            public=row.public,
        )
    )
