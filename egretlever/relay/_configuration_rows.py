"""Conversion of a configuration to rows that nodes pass on, and back."""

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.core import RouteId, Seconds, ServiceName
from egretlever.placement import Backend, ClientLimits, Configuration, Route
from egretlever.schema import relay_pb2

# Names of routes are not empty.
LIMITS_KEY = ""


def encode_routes(configuration: Configuration) -> dict[str, bytes]:
    """Encode the limits and the routes of a configuration as rows by key."""
    rows = {LIMITS_KEY: _encode_limits(configuration.limits)}
    rows.update(
        (route.id, _encode_route(route)) for route in configuration.routes
    )
    return rows


def _encode_limits(limits: ClientLimits) -> bytes:
    return relay_pb2.ClientLimitsRow(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.head_timeout,
        idle_timeout_s=limits.idle_timeout,
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
    ).SerializeToString()


def decode_limits(value: bytes) -> Result[ClientLimits, str]:
    """Decode the row of the limits; a failure holds the reason."""
    try:
        row = relay_pb2.ClientLimitsRow.FromString(value)
    except message.DecodeError as error:
        return Failure(str(error))
    return Success(
        ClientLimits(
            max_head_bytes=row.max_head_bytes,
            max_body_bytes=row.max_body_bytes,
            head_timeout=Seconds(row.head_timeout_s),
            idle_timeout=Seconds(row.idle_timeout_s),
        )
    )


def decode_route(key: str, value: bytes) -> Result[Route, str]:
    """Decode the row of a route; a failure holds the reason."""
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
        )
    )
