"""Snapshots and deltas as messages and bytes."""

from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.catalogue._canonical import encode_canonical, frame
from egretlever.catalogue._entries import Rank, Route, Service
from egretlever.catalogue._snapshot import (
    Delta,
    Entry,
    Head,
    Snapshot,
    compute_digest,
    join_parts,
)
from egretlever.core import (
    Digest,
    EditId,
    OrderMode,
    RankName,
    RouteId,
    Seconds,
    ServiceName,
    Version,
)
from egretlever.schema import catalogue_pb2

_FIELDS = catalogue_pb2.Catalogue.DESCRIPTOR.fields_by_name
_ORDER_MODES = {
    catalogue_pb2.STRICT: OrderMode.STRICT,
    catalogue_pb2.FIRST_ATTEMPT: OrderMode.FIRST_ATTEMPT,
}
_Message = TypeVar("_Message", bound=message.Message)


def normalise_catalogue(
    catalogue: catalogue_pb2.Catalogue,
) -> catalogue_pb2.Catalogue:
    """Return a copy with entries in the order of names and methods sorted."""
    normal = catalogue_pb2.Catalogue(
        version=catalogue.version, edit_id=catalogue.edit_id
    )
    normal.ranks.extend(sorted(catalogue.ranks, key=lambda rank: rank.name))
    normal.services.extend(
        sorted(catalogue.services, key=lambda service: service.name)
    )
    normal.routes.extend(sorted(catalogue.routes, key=lambda route: route.id))
    for route in normal.routes:
        route.methods[:] = sorted(route.methods)
    return normal


def make_snapshot(catalogue: catalogue_pb2.Catalogue) -> Snapshot:
    """Make the snapshot of a catalogue message.

    Parameters
    ----------
    catalogue : Catalogue
        Checked catalogue with its version and edit id, in any order.

    Returns
    -------
    Snapshot
        Typed entries and the digest of the canonical bytes.

    Examples
    --------
    >>> catalogue = catalogue_pb2.Catalogue(version=3, edit_id="a")
    >>> make_snapshot(catalogue).head.version
    3
    """
    normal = normalise_catalogue(catalogue)
    prefix = _encode_prefix(normal.version, normal.edit_id)
    ranks = _index_ranks(normal.ranks)
    services = _index_services(normal.services)
    routes = _index_routes(normal.routes)
    digest = compute_digest(join_parts(prefix, ranks, services, routes))
    head = Head(Version(normal.version), EditId(normal.edit_id), digest)
    return Snapshot(head, prefix, ranks, services, routes)


def decode_snapshot(body: bytes, digest: Digest) -> Result[Snapshot, str]:
    """Decode a snapshot that was read under its digest.

    Parameters
    ----------
    body : bytes
        Content of the object.
    digest : Digest
        Digest that the head announces.

    Returns
    -------
    Result of Snapshot or str
        The snapshot, or why it is not the announced one.
    """
    if compute_digest(body) != digest:
        return Failure(f"snapshot does not match its digest {digest[:12]}")
    parsed = _parse(catalogue_pb2.Catalogue, body)
    if parsed is None:
        return Failure(f"snapshot {digest[:12]} can't be decoded")
    snapshot = make_snapshot(parsed)
    if snapshot.head.digest != digest:
        # A newer schema wrote fields unknown here. The announced name stays,
        # and the next delta is refused and replaced by a snapshot.
        head = Head(snapshot.head.version, snapshot.head.edit_id, digest)
        snapshot = Snapshot(
            head,
            snapshot.prefix,
            snapshot.ranks,
            snapshot.services,
            snapshot.routes,
        )
    return Success(snapshot)


def decode_catalogue(snapshot: Snapshot) -> catalogue_pb2.Catalogue:
    """Return the message of a snapshot, in normal order."""
    return catalogue_pb2.Catalogue.FromString(snapshot.join())


def encode_head(head: Head) -> bytes:
    """Encode a head as a row of the table service."""
    return encode_canonical(_write_head(head))


def decode_head(body: bytes) -> Result[Head, str]:
    """Decode a head from a row of the table service."""
    parsed = _parse(catalogue_pb2.CatalogueHead, body)
    if parsed is None or not parsed.version or not parsed.digest:
        return Failure("row of the head can't be decoded")
    return Success(_read_head(parsed))


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta for peers."""
    target = catalogue_pb2.CatalogueDelta(
        base=_write_head(delta.base),
        head=_write_head(delta.head),
        removed_ranks=delta.removed_ranks,
        removed_services=delta.removed_services,
        removed_routes=delta.removed_routes,
    )
    changed = catalogue_pb2.Catalogue.FromString(
        join_parts(b"", delta.ranks, delta.services, delta.routes)
    )
    target.ranks.extend(changed.ranks)
    target.services.extend(changed.services)
    target.routes.extend(changed.routes)
    return target.SerializeToString()


def decode_delta(body: bytes) -> Result[Delta, str]:
    """Decode a delta that a peer sent."""
    parsed = _parse(catalogue_pb2.CatalogueDelta, body)
    if parsed is None or not parsed.head.digest or not parsed.base.digest:
        return Failure("delta can't be decoded")
    return Success(
        Delta(
            _read_head(parsed.base),
            _read_head(parsed.head),
            _encode_prefix(parsed.head.version, parsed.head.edit_id),
            _index_ranks(parsed.ranks),
            _index_services(parsed.services),
            _index_routes(parsed.routes),
            tuple(parsed.removed_ranks),
            tuple(parsed.removed_services),
            tuple(parsed.removed_routes),
        )
    )


def _parse(kind: type[_Message], body: bytes) -> _Message | None:
    try:
        return kind.FromString(body)
    except message.DecodeError:
        return None


def _read_head(source: catalogue_pb2.CatalogueHead) -> Head:
    return Head(
        Version(source.version), EditId(source.edit_id), Digest(source.digest)
    )


def _write_head(head: Head) -> catalogue_pb2.CatalogueHead:
    return catalogue_pb2.CatalogueHead(
        version=head.version, edit_id=head.edit_id, digest=head.digest
    )


def _encode_prefix(version: int, edit_id: str) -> bytes:
    return encode_canonical(
        catalogue_pb2.Catalogue(version=version, edit_id=edit_id)
    )


def _make_entry(value: Any, source: message.Message, field: str) -> Entry[Any]:
    encoded = frame(_FIELDS[field].number, encode_canonical(source))
    return Entry(value, encoded)


def _index_ranks(
    sources: Iterable[catalogue_pb2.Rank],
) -> Mapping[str, Entry[Rank]]:
    return {
        source.name: _make_entry(_read_rank(source), source, "ranks")
        for source in sources
    }


def _index_services(
    sources: Iterable[catalogue_pb2.Service],
) -> Mapping[str, Entry[Service]]:
    return {
        source.name: _make_entry(_read_service(source), source, "services")
        for source in sources
    }


def _index_routes(
    sources: Iterable[catalogue_pb2.Route],
) -> Mapping[str, Entry[Route]]:
    return {
        source.id: _make_entry(_read_route(source), source, "routes")
        for source in sources
    }


def _read_rank(source: catalogue_pb2.Rank) -> Rank:
    return Rank(
        name=RankName(source.name),
        priority=source.priority,
        worth=source.worth,
        minimum_share=source.minimum_share,
        target=Seconds(source.target_s),
        cross_region=source.cross_region,
    )


def _read_service(source: catalogue_pb2.Service) -> Service:
    return Service(
        name=ServiceName(source.name),
        owner=source.owner,
        rank=RankName(source.rank),
        floor_share=source.floor_share,
        queue_limit=source.queue_limit,
        timeout=Seconds(source.timeout_s),
        max_attempts=source.max_attempts,
        retry_budget=source.retry_budget,
        # A mode of a newer schema is handled as the safe one.
        order_mode=_ORDER_MODES.get(source.order_mode, OrderMode.STRICT),
        warmup=Seconds(source.warmup_s),
        concurrency_limit=source.concurrency_limit,
        hedge=source.hedge,
    )


def _read_route(source: catalogue_pb2.Route) -> Route:
    return Route(
        id=RouteId(source.id),
        host=source.host,
        path=source.path,
        methods=tuple(source.methods),
        service=ServiceName(source.service),
        rank=RankName(source.rank) if source.rank else None,
        order=source.order,
        timeout=Seconds(source.timeout_s) if source.timeout_s else None,
        worth=source.worth if source.worth >= 0 else None,
    )
