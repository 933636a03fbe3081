"""Checks of a catalogue that go beyond the bounds of single values."""

import collections
import math
import re
from collections.abc import Iterable, Iterator

from google.protobuf import message

from egretlever.catalogue._matching import (
    ANY_HOST,
    normalise_host,
    normalise_path,
)
from egretlever.core import Finding
from egretlever.schema import catalogue_pb2

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_HOST = re.compile(r"[a-z0-9._-]+|\[[0-9a-f:.]+\]")
_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*")
_METHOD = re.compile(r"[A-Z][A-Z-]*")
# HTTP defines these methods as safe: they change nothing, so they can't be
# orders.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
# Sums of shares written in decimal may exceed 1 by rounding errors.
_SHARE_TOLERANCE = 1e-9


def check_entries(
    catalogue: catalogue_pb2.Catalogue,
    place: str,
    reported_places: frozenset[str] = frozenset(),
) -> list[Finding]:
    """Check names, references and rules between entries.

    Parameters
    ----------
    catalogue : Catalogue
        Catalogue whose single values are within their bounds.
    place : str
        Name of the source, used in findings.
    reported_places : frozenset of str, optional
        Places with a finding already, because their value is missing or could
        not be parsed; no more findings are reported for them.

    Returns
    -------
    list of Finding
        Every finding.
    """
    findings = [
        *_check_presence(catalogue, place),
        *_check_names("rank", [rank.name for rank in catalogue.ranks], place),
        *_check_names(
            "service", [service.name for service in catalogue.services], place
        ),
        *_check_names("route", [route.id for route in catalogue.routes], place),
        *_check_ranks(catalogue, place, reported_places),
        *_check_services(catalogue, place),
        *_check_routes(catalogue, place),
        *_check_overlaps(catalogue.routes, place),
    ]
    return [
        finding for finding in findings if finding.place not in reported_places
    ]


def _check_presence(
    catalogue: catalogue_pb2.Catalogue, place: str
) -> Iterator[Finding]:
    for kind in ("rank", "service", "route"):
        if not getattr(catalogue, f"{kind}s"):
            yield Finding(place, f"has no section [{kind} NAME]")


def _check_names(kind: str, names: list[str], place: str) -> Iterator[Finding]:
    for name, count in collections.Counter(names).items():
        where = f"{place} [{kind} {name}]"
        if not _NAME.fullmatch(name):
            yield Finding(
                where, "needs a name of letters, digits, '.', '_' and '-'"
            )
        if count > 1:
            yield Finding(where, f"is given {count} times")


def _check_finite(source: message.Message, where: str) -> Iterator[Finding]:
    for field in source.DESCRIPTOR.fields:
        if field.type != field.TYPE_DOUBLE:
            continue
        if not math.isfinite(getattr(source, field.name)):
            yield Finding(f"{where} {field.name}", "is not a finite number")


def _check_ranks(
    catalogue: catalogue_pb2.Catalogue,
    place: str,
    reported_places: frozenset[str],
) -> Iterator[Finding]:
    first_names: dict[int, str] = {}
    for rank in catalogue.ranks:
        where = f"{place} [rank {rank.name}]"
        yield from _check_finite(rank, where)
        if f"{where} priority" in reported_places:
            continue
        first_name = first_names.setdefault(rank.priority, rank.name)
        if first_name != rank.name:
            yield Finding(
                f"{where} priority",
                f"{rank.priority} is the priority of rank {first_name} too",
            )
    total = sum(rank.minimum_share for rank in catalogue.ranks)
    if total > 1 + _SHARE_TOLERANCE:
        yield Finding(
            f"{place} [rank *] minimum_share",
            f"minimum shares of all ranks add up to {total:g}, above 1",
        )


def _check_services(
    catalogue: catalogue_pb2.Catalogue, place: str
) -> Iterator[Finding]:
    ranks = {rank.name for rank in catalogue.ranks}
    for service in catalogue.services:
        where = f"{place} [service {service.name}]"
        yield from _check_finite(service, where)
        if service.rank not in ranks:
            yield Finding(
                f"{where} rank", f"rank {service.rank!r} does not exist"
            )
        if service.floor_share >= 1:
            yield Finding(
                f"{where} floor_share",
                "leaves no margin: no server could ever be ejected",
            )


def _check_routes(
    catalogue: catalogue_pb2.Catalogue, place: str
) -> Iterator[Finding]:
    ranks = {rank.name for rank in catalogue.ranks}
    services = {service.name for service in catalogue.services}
    for route in catalogue.routes:
        where = f"{place} [route {route.id}]"
        yield from _check_finite(route, where)
        if route.service not in services:
            yield Finding(
                f"{where} service", f"service {route.service!r} does not exist"
            )
        if route.rank and route.rank not in ranks:
            yield Finding(
                f"{where} rank", f"rank {route.rank!r} does not exist"
            )
        if -1 < route.worth < 0:
            yield Finding(
                f"{where} worth", "is negative; -1 stands for the rank's worth"
            )
        yield from _check_target(route, where)
        yield from _check_methods(route, where)


def _check_target(route: catalogue_pb2.Route, where: str) -> Iterator[Finding]:
    host = route.host
    if host != ANY_HOST and (
        not _HOST.fullmatch(host) or normalise_host(host) != host
    ):
        yield Finding(
            f"{where} host",
            f"{host!r} is neither * nor a host in lower case without a port",
        )
    if not _PATH.fullmatch(route.path) or "//" in route.path:
        yield Finding(
            f"{where} path",
            f"{route.path!r} is not a path of characters that a URL allows,"
            " without a query and without empty segments",
        )


def _check_methods(route: catalogue_pb2.Route, where: str) -> Iterator[Finding]:
    for method, count in collections.Counter(route.methods).items():
        if not _METHOD.fullmatch(method):
            yield Finding(
                f"{where} methods", f"{method!r} is not a method in upper case"
            )
        if count > 1:
            yield Finding(f"{where} methods", f"{method} is given twice")
    if not route.order:
        return
    if not route.methods:
        yield Finding(
            f"{where} methods",
            "is missing: an order route names methods such as POST, because"
            " requests of all methods would need an order key",
        )
    safe = sorted(_SAFE_METHODS.intersection(route.methods))
    if safe:
        yield Finding(
            f"{where} methods",
            f"{', '.join(safe)} can't be an order",
        )


def _check_overlaps(
    routes: Iterable[catalogue_pb2.Route], place: str
) -> Iterator[Finding]:
    first_names: dict[tuple[str, str, str], str] = {}
    for route in routes:
        if not route.path:
            continue
        path = normalise_path(route.path)
        # A route that names the method takes precedence over one for all
        # methods, so the two may share a path.
        for method in dict.fromkeys(route.methods or [""]):
            key = (route.host, path, method)
            first_name = first_names.setdefault(key, route.id)
            if first_name != route.id:
                yield Finding(
                    f"{place} [route {route.id}]",
                    f"matches the same requests as route {first_name}:"
                    f" {method or 'all methods'} {route.host} {path}",
                )
