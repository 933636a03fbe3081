"""Entries of a configuration that can never match."""

import collections
from collections.abc import Iterator

from egretlever.configuration_check._reports import Code, ReportLine, Severity
from egretlever.configuration_check._sources import CheckedFile
from egretlever.placement import Configuration, Route
from egretlever.platform import EntryKind

_NAMED_KINDS = (EntryKind.ROUTE, EntryKind.CUSTOMER, EntryKind.SERVICE)


def list_unmatched(
    file: CheckedFile, configuration: Configuration
) -> Iterator[ReportLine]:
    """Return a warning for each entry that can never match.

    Parameters
    ----------
    file : CheckedFile
        File of the configuration.
    configuration : Configuration
        Its decoded content.
    """
    yield from _list_repeated(file)
    yield from _list_hidden(file, configuration)
    yield from _list_unused_weights(file)
    yield from _list_services(file, configuration)
    yield from _list_customers(file, configuration)


def _list_repeated(file: CheckedFile) -> Iterator[ReportLine]:
    for kind in _NAMED_KINDS:
        first: dict[str, int] = {}
        for entry in file.list_entries(kind):
            if entry.name in first:
                yield ReportLine(
                    Severity.WARNING,
                    Code.NAME_REPEATED,
                    file.name,
                    entry.line,
                    entry.name,
                    f"has the name of the entry on line {first[entry.name]}",
                )
            elif entry.name:
                first[entry.name] = entry.line


def _list_hidden(
    file: CheckedFile, configuration: Configuration
) -> Iterator[ReportLine]:
    """Report routes whose host and prefix a later route has too."""
    served: dict[tuple[str, str], Route] = {
        (route.host, route.prefix): route for route in configuration.routes
    }
    entries = file.list_entries(EntryKind.ROUTE)
    for entry, route in zip(entries, configuration.routes, strict=False):
        other = served[route.host, route.prefix]
        if other is not route:
            yield ReportLine(
                Severity.WARNING,
                Code.ROUTE_HIDDEN,
                file.name,
                entry.line,
                route.id,
                f"is hidden by {other.id}, which has the same host and prefix",
            )


def _list_unused_weights(file: CheckedFile) -> Iterator[ReportLine]:
    for entry in file.list_entries(EntryKind.ROUTE):
        for service in entry.unused_services:
            yield ReportLine(
                Severity.WARNING,
                Code.WEIGHT_ZERO,
                file.name,
                entry.line,
                entry.name,
                f"service {service} has a weight of 0 and gets no requests",
            )


def _list_services(
    file: CheckedFile, configuration: Configuration
) -> Iterator[ReportLine]:
    """Compare the services of routes with those that are declared, if any."""
    declared = {entry.name for entry in file.list_entries(EntryKind.SERVICE)}
    if not declared:
        return
    routed = set()
    for route in configuration.routes:
        for backend in route.backends:
            routed.add(str(backend.service))
            if backend.service not in declared:
                yield file.make_line(
                    Severity.WARNING,
                    Code.SERVICE_UNKNOWN,
                    EntryKind.ROUTE,
                    route.id,
                    f"service {backend.service} is not declared and has no"
                    " servers",
                )
    for name in sorted(declared - routed):
        yield file.make_line(
            Severity.WARNING,
            Code.SERVICE_UNUSED,
            EntryKind.SERVICE,
            name,
            "no route leads to it",
        )


def _list_customers(
    file: CheckedFile, configuration: Configuration
) -> Iterator[ReportLine]:
    holders = collections.defaultdict(list)
    for customer in configuration.customers:
        if not customer.keys:
            yield file.make_line(
                Severity.WARNING,
                Code.CUSTOMER_WITHOUT_KEY,
                EntryKind.CUSTOMER,
                customer.id,
                "has no key, so that no request is its own",
            )
        for key in set(customer.keys):
            holders[key].append(customer.id)
    for names in holders.values():
        if len(names) > 1:
            yield file.make_line(
                Severity.WARNING,
                Code.KEY_SHARED,
                EntryKind.CUSTOMER,
                names[-1],
                f"has a key of {names[0]} too",
            )
