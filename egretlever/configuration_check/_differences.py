"""Differences between a configuration and the one in force."""

import dataclasses
from collections.abc import Iterator

from egretlever.configuration_check._reports import Code, ReportLine, Severity
from egretlever.configuration_check._sources import CheckedFile
from egretlever.placement import Configuration, Customer, Route
from egretlever.platform import EntryKind

_Change = tuple[Code, str]
_ROUTE_FIELDS = (
    "idempotent",
    "timeout",
    "objective",
    "rank",
    "max_attempts",
    "public",
)


def list_differences(
    new_file: CheckedFile,
    new: Configuration,
    old_file: CheckedFile,
    old: Configuration,
) -> Iterator[ReportLine]:
    """Return a line for each difference from the version in force.

    Parameters
    ----------
    new_file, old_file : CheckedFile
        The checked file, and that of the version in force.
    new, old : Configuration
        Their decoded contents.
    """
    if new.version <= old.version:
        yield ReportLine(
            Severity.WARNING,
            Code.VERSION_NOT_NEWER,
            new_file.name,
            1,
            "",
            f"nodes ignore version {new.version:08x}, since {old.version:08x}"
            " is in force",
        )
    for code, message in _compare_limits(new, old):
        yield new_file.make_line(
            Severity.DIFFERENCE, code, EntryKind.LIMITS, "", message
        )
    routes = {route.id: route for route in new.routes}
    old_routes = {route.id: route for route in old.routes}
    customers = {one.id: one for one in new.customers}
    old_customers = {one.id: one for one in old.customers}
    changes = [
        (EntryKind.ROUTE, name, _compare_routes(one, routes.get(name)))
        for name, one in old_routes.items()
    ] + [
        (EntryKind.CUSTOMER, name, _compare_customers(one, customers.get(name)))
        for name, one in old_customers.items()
    ]
    for kind, name, found in changes:
        for code, message in found:
            gone = code in (Code.ROUTE_DROPPED, Code.CUSTOMER_REMOVED)
            file = old_file if gone else new_file
            yield file.make_line(Severity.DIFFERENCE, code, kind, name, message)
    for route in routes.values():
        if route.id not in old_routes:
            yield new_file.make_line(
                Severity.DIFFERENCE,
                Code.ROUTE_ADDED,
                EntryKind.ROUTE,
                route.id,
                f"{route.host}{route.prefix}",
            )
    for customer in customers.values():
        if customer.id not in old_customers:
            yield new_file.make_line(
                Severity.DIFFERENCE,
                Code.CUSTOMER_ADDED,
                EntryKind.CUSTOMER,
                customer.id,
                f"with {len(set(customer.keys))} keys",
            )


def _compare_limits(
    new: Configuration, old: Configuration
) -> Iterator[_Change]:
    for field in dataclasses.fields(new.limits):
        yield from _compare_limit(
            field.name,
            getattr(new.limits, field.name),
            getattr(old.limits, field.name),
        )


def _compare_limit(name: str, new: float, old: float) -> Iterator[_Change]:
    if new != old:
        code = Code.LIMIT_LOWERED if new < old else Code.LIMIT_RAISED
        yield code, f"{name} {old:g} -> {new:g}"


def _compare_routes(old: Route, new: Route | None) -> Iterator[_Change]:
    if new is None:
        yield Code.ROUTE_DROPPED, f"{old.host}{old.prefix} gets 404"
        return
    if (new.host, new.prefix) != (old.host, old.prefix):
        yield (
            Code.ROUTE_MOVED,
            f"{old.host}{old.prefix} -> {new.host}{new.prefix}",
        )
    if new.backends != old.backends:
        yield (
            Code.WEIGHTS_CHANGED,
            f"{_describe_weights(old)} -> {_describe_weights(new)}",
        )
    for name in _ROUTE_FIELDS:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            lowered = name == "timeout" and after < before
            code = Code.LIMIT_LOWERED if lowered else Code.ROUTE_CHANGED
            yield code, f"{name} {before} -> {after}"


def _describe_weights(route: Route) -> str:
    return ", ".join(f"{one.service} {one.weight:g}" for one in route.backends)


def _compare_customers(
    old: Customer, new: Customer | None
) -> Iterator[_Change]:
    """Compare a customer; of keys only the numbers are told."""
    if new is None:
        yield Code.CUSTOMER_REMOVED, "its requests get 401"
        return
    if new.rank != old.rank:
        yield Code.CUSTOMER_CHANGED, f"rank {old.rank} -> {new.rank}"
    # No rate means no limit, which is the highest one.
    yield from _compare_limit(
        "rate", new.rate or float("inf"), old.rate or float("inf")
    )
    yield from _compare_limit("burst", new.burst, old.burst)
    before, after = set(old.keys), set(new.keys)
    if after - before:
        yield Code.KEYS_ADDED, f"{len(after - before)} added"
    if before - after:
        yield Code.KEYS_REMOVED, f"{len(before - after)} removed"
