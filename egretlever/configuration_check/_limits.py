"""Limits of a configuration that contradict each other."""

from collections.abc import Iterator

from egretlever.configuration_check._reports import Code, ReportLine, Severity
from egretlever.configuration_check._sources import CheckedFile
from egretlever.placement import ClientLimits, Configuration, Customer, Route
from egretlever.platform import Bounds, EntryKind

# Bytes of the shortest request head besides its host and prefix.
_HEAD_BYTES = len(b"GET  HTTP/1.1\r\nHost: \r\n\r\n")


def list_contradictions(
    file: CheckedFile, configuration: Configuration, bounds: Bounds | None
) -> Iterator[ReportLine]:
    """Return a warning for each limit that contradicts another one.

    Parameters
    ----------
    file : CheckedFile
        File of the configuration.
    configuration : Configuration
        Its decoded content.
    bounds : Bounds or None
        Limits that the platform sets, None if they are not known.
    """
    limits = configuration.limits
    for route in configuration.routes:
        for code, message in _check_route(route, limits, bounds):
            yield file.make_line(
                Severity.WARNING, code, EntryKind.ROUTE, route.id, message
            )
    for name, timeout in (
        ("headerTimeout", limits.head_timeout),
        ("idleTimeout", limits.idle_timeout),
    ):
        if timeout <= 0:
            yield file.make_line(
                Severity.WARNING,
                Code.NO_TIME,
                EntryKind.LIMITS,
                "",
                f"{name} leaves no time for a request",
            )
    for customer in configuration.customers:
        for code, message in _check_customer(customer, bounds):
            yield file.make_line(
                Severity.WARNING, code, EntryKind.CUSTOMER, customer.id, message
            )


def _check_route(
    route: Route, limits: ClientLimits, bounds: Bounds | None
) -> Iterator[tuple[Code, str]]:
    if route.timeout <= 0:
        yield Code.NO_TIME, "its timeout leaves no time for a request"
    elif route.timeout < route.objective:
        yield (
            Code.TIMEOUT_BELOW_TARGET,
            f"its timeout of {route.timeout:g} s is below its target latency"
            f" of {route.objective:g} s",
        )
    elif (route.max_attempts - 1) * route.objective >= route.timeout:
        useful = max(1, int(route.timeout / route.objective))
        yield (
            Code.ATTEMPTS_WITHOUT_TIME,
            f"only {useful} of {route.max_attempts} attempts of its target"
            f" latency end within its timeout of {route.timeout:g} s",
        )
    if bounds is not None and route.timeout > bounds.grace:
        yield (
            Code.TIMEOUT_ABOVE_GRACE,
            f"its timeout of {route.timeout:g} s exceeds the grace period of"
            f" {bounds.grace:g} s; a planned stop may end its requests",
        )
    head = _HEAD_BYTES + len(f"{route.host}{route.prefix}".encode())
    if head > limits.max_head_bytes:
        yield (
            Code.LIMIT_BELOW_ROUTE,
            f"its shortest request head has {head} bytes, of which"
            f" {limits.max_head_bytes} are allowed",
        )


def _check_customer(
    customer: Customer, bounds: Bounds | None
) -> Iterator[tuple[Code, str]]:
    if customer.burst > 0 and not customer.rate:
        yield (
            Code.BURST_WITHOUT_RATE,
            "has a burst but no rate, so that it has no limit",
        )
    if bounds is not None and customer.rate:
        allowed = customer.rate * bounds.quota_window + customer.burst
        if allowed < 1:
            yield (
                Code.ALLOTMENT_BELOW_ONE,
                f"its allotment is {allowed:g} requests in"
                f" {bounds.quota_window:g} s",
            )
