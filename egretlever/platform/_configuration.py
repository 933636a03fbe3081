"""Decoding of the operator's configuration, ``op/config`` in the store."""

import math
import re
from typing import Any

from returns.result import Failure, Result, Success

from egretlever.core import (
    CustomerId,
    Finding,
    RouteId,
    ServiceName,
    Version,
)
from egretlever.placement import (
    Backend,
    ClientLimits,
    Configuration,
    Customer,
    KeyDigest,
    Route,
    hash_key,
)
from egretlever.platform._decoding import FieldReader, parse_json
from egretlever.settings import Findings

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"

_VERSION = re.compile("[0-9A-Fa-f]{1,8}")
_MAX_BYTES = 1 << 30  # largest accepted value of a size limit
_MAX_RANK = 1000
_MAX_ATTEMPTS = 100
_MAX_WEIGHT = 1e9
_MAX_RATE = 1e9  # requests per second, and requests of a burst
# Only requests of routes of this kind may run more than once.
_IDEMPOTENT_KIND = "safe"


def decode_configuration(body: bytes) -> Result[Configuration, Findings]:
    """Decode a version of the configuration.

    Parameters
    ----------
    body : bytes
        Value of the configuration row.

    Returns
    -------
    Result of Configuration or tuple of Finding
        The configuration, or all findings. A version with any finding is
        rejected as a whole, because requests to an omitted route would get
        404. Fields of customers that can't be decoded are left out alone, and
        are named by the configuration's `omissions`.
    """
    parsed = parse_json(body, "configuration")
    if isinstance(parsed, Failure):
        return parsed
    findings: list[Finding] = []
    reader = FieldReader(parsed.unwrap(), "configuration", findings)
    version = _decode_version(reader)
    limits = ClientLimits()
    routes: list[Route] = []
    customers: list[Customer] = []
    omissions: list[Finding] = []
    keys_required = False
    resources = reader.fields.get("resources")
    if not isinstance(resources, list):
        reader.report("resources", "is not a list")
        resources = []
    for place, resource in enumerate(resources):
        entry = FieldReader(resource, f"resource {place}", findings)
        kind = entry.fields.get("type")
        if kind == "routes":
            routes.append(_decode_route(entry))
        elif kind == "limits":
            limits = _decode_limits(entry.open("spec"))
        elif kind == "tenants":
            keys_required = True
            place_name = f"resource {place}"
            customer = _decode_customer(
                FieldReader(resource, place_name, omissions)
            )
            if customer is not None:
                customers.append(customer)
    if findings:
        return Failure(tuple(findings))
    return Success(
        Configuration(
            version,
            tuple(routes),
            limits,
            tuple(customers),
            keys_required,
            tuple(omissions),
        )
    )


def _decode_version(reader: FieldReader) -> Version:
    text = reader.read_text("version")
    if not _VERSION.fullmatch(text):
        reader.report("version", f"{text!r} is not hexadecimal")
        return Version(0)
    return Version(int(text, 16))


def _decode_route(entry: FieldReader) -> Route:
    spec = entry.open("spec")
    prefix = spec.read_text("prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        spec.report("prefix", f"{prefix!r} does not start and end with a slash")
    return Route(
        id=RouteId(entry.open("metadata").read_text("name")),
        host=spec.read_text("host").lower(),
        prefix=prefix,
        idempotent=spec.read_text("kind") == _IDEMPOTENT_KIND,
        timeout=spec.read_duration("timeout"),
        objective=spec.read_duration("targetLatency"),
        rank=spec.read_integer("priority", 0, _MAX_RANK),
        max_attempts=spec.read_integer("maxAttempts", 1, _MAX_ATTEMPTS),
        backends=_decode_backends(spec),
        public=spec.read_flag("public"),
    )


def _decode_customer(entry: FieldReader) -> Customer | None:
    """Decode a customer; None when it has no name."""
    name = entry.open("metadata").read_text("name")
    if not name:
        return None
    spec = entry.open("spec")
    rank = None
    if "priority" in spec.fields:
        rank = spec.read_integer("priority", -1, _MAX_RANK)
    return Customer(
        id=CustomerId(name),
        keys=_decode_keys(spec),
        rank=None if rank is None or rank < 0 else rank,
        rate=_decode_rate(spec, "ratePerS"),
        burst=_decode_rate(spec, "burst"),
    )


def _decode_keys(spec: FieldReader) -> tuple[KeyDigest, ...]:
    keys: Any = spec.fields.get("apiKeys")
    if not isinstance(keys, list):
        spec.report("apiKeys", "is not a list")
        return ()
    digests = []
    for place, key in enumerate(keys):
        if isinstance(key, str) and key and key.isascii():
            digests.append(hash_key(key.encode()))
        else:
            # Findings are logged, so they don't show the value.
            spec.report(f"apiKeys {place}", "is not a key")
    return tuple(digests)


def _decode_rate(spec: FieldReader, name: str) -> float:
    """Decode a part of an allotment, 0 for no limit."""
    value = spec.fields.get(name)
    if value is None:
        return 0.0
    rate = spec.read_number(name, 0, _MAX_RATE)
    return 0.0 if math.isnan(rate) else float(rate)


def _decode_backends(spec: FieldReader) -> tuple[Backend, ...]:
    splits: Any = spec.fields.get("trafficSplit")
    if splits is None:
        return (Backend(ServiceName(spec.read_text("service")), 1.0),)
    if not isinstance(splits, list):
        spec.report("trafficSplit", "is not a list")
        return ()
    backends = []
    for place, split in enumerate(splits):
        fields = FieldReader(split, f"trafficSplit {place}", spec.findings)
        weight = fields.read_number("weight", 0, _MAX_WEIGHT)
        if weight > 0:
            service = ServiceName(fields.read_text("service"))
            backends.append(Backend(service, weight))
    if not backends:
        spec.report("trafficSplit", "has no service with a weight above 0")
    return tuple(backends)


def _decode_limits(spec: FieldReader) -> ClientLimits:
    return ClientLimits(
        max_head_bytes=spec.read_integer("maxHeaderBytes", 1, _MAX_BYTES),
        max_body_bytes=spec.read_integer("maxBodyBytes", 0, _MAX_BYTES),
        head_timeout=spec.read_duration("headerTimeout"),
        idle_timeout=spec.read_duration("idleTimeout"),
    )
