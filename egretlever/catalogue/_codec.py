"""Conversion of snapshots and deltas to and from messages and bytes."""

from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.catalogue._canonical import (
    encode_canonical,
    encode_length_delimited,
)
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

_CATALOGUE_FIELDS = catalogue_pb2.Catalogue.DESCRIPTOR.fields_by_name
_ORDER_MODES = {
    catalogue_pb2.STRICT: OrderMode.STRICT,
    catalogue_pb2.FIRST_ATTEMPT: OrderMode.FIRST_ATTEMPT,
}
_Message = TypeVar("_Message", bound=message.Message)


def normalise_catalogue(
    catalogue: catalogue_pb2.Catalogue,
) -> catalogue_pb2.Catalogue:
    """Return a copy with entries sorted by name, and methods sorted."""
    normalised = catalogue_pb2.Catalogue(
        version=catalogue.version, edit_id=catalogue.edit_id
    )
    normalised.ranks.extend(sorted(catalogue.ranks, key=lambda rank: rank.name))
    normalised.services.extend(
        sorted(catalogue.services, key=lambda service: service.name)
    )
    normalised.routes.extend(
        sorted(catalogue.routes, key=lambda route: route.id)
    )
    for route in normalised.routes:
        route.methods[:] = sorted(route.methods)
    return normalised


def make_snapshot(catalogue: catalogue_pb2.Catalogue) -> Snapshot:
    """Make the snapshot of a catalogue message.

    Parameters
    ----------
    catalogue : Catalogue
        Checked catalogue with its version and edit id; entries in any order.

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
    normalised = normalise_catalogue(catalogue)
    prefix = _encode_prefix(normalised.version, normalised.edit_id)
    ranks = _index_ranks(normalised.ranks)
    services = _index_services(normalised.services)
    routes = _index_routes(normalised.routes)
    digest = compute_digest(join_parts(prefix, ranks, services, routes))
    head = Head(Version(normalised.version), EditId(normalised.edit_id), digest)
    return Snapshot(head, prefix, ranks, services, routes)


def decode_snapshot(body: bytes, digest: Digest) -> Result[Snapshot, str]:
    """Decode a snapshot and check its digest.

    Parameters
    ----------
    body : bytes
        Content of the object.
    digest : Digest
        Digest named by the head.

    Returns
    -------
    Result of Snapshot or str
        The snapshot, or why the content was rejected.
    """
    if compute_digest(body) != digest:
        return Failure(f"snapshot does not match its digest {digest[:12]}")
    parsed = _parse(catalogue_pb2.Catalogue, body)
    if parsed is None:
        return Failure(f"snapshot {digest[:12]} can't be decoded")
    snapshot = make_snapshot(parsed)
    if snapshot.head.digest != digest:
        # The content has fields of a newer schema, which are dropped here. The
        # head keeps the given digest; the next delta gives another digest, is
        # rejected, and a snapshot is fetched instead.
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
    """Return the message of a snapshot, normalised."""
    return catalogue_pb2.Catalogue.FromString(snapshot.to_bytes())


def encode_head(head: Head) -> bytes:
    """Encode a head as the value of its row in the table service."""
    return encode_canonical(_make_head_message(head))


def decode_head(body: bytes) -> Result[Head, str]:
    """Decode a head from the value of its row in the table service."""
    parsed = _parse(catalogue_pb2.CatalogueHead, body)
    if parsed is None or not parsed.version or not parsed.digest:
        return Failure("row of the head can't be decoded")
    return Success(_convert_head(parsed))


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta to send to peers."""
    target = catalogue_pb2.CatalogueDelta(
        base=_make_head_message(delta.base),
        head=_make_head_message(delta.head),
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
    """Decode a delta received from a peer."""
    parsed = _parse(catalogue_pb2.CatalogueDelta, body)
    if parsed is None or not parsed.head.digest or not parsed.base.digest:
        return Failure("delta can't be decoded")
    return Success(
        Delta(
            _convert_head(parsed.base),
            _convert_head(parsed.head),
            _encode_prefix(parsed.head.version, parsed.head.edit_id),
            _index_ranks(parsed.ranks),
            _index_services(parsed.services),
            _index_routes(parsed.routes),
            tuple(parsed.removed_ranks),
            tuple(parsed.removed_services),
            tuple(parsed.removed_routes),
        )
    )


def _parse(message_type: type[_Message], body: bytes) -> _Message | None:
    try:
        return message_type.FromString(body)
    except message.DecodeError:
        return None


def _convert_head(source: catalogue_pb2.CatalogueHead) -> Head:
    return Head(
        Version(source.version), EditId(source.edit_id), Digest(source.digest)
    )


def _make_head_message(head: Head) -> catalogue_pb2.CatalogueHead:
    return catalogue_pb2.CatalogueHead(
        version=head.version, edit_id=head.edit_id, digest=head.digest
    )


def _encode_prefix(version: int, edit_id: str) -> bytes:
    return encode_canonical(
        catalogue_pb2.Catalogue(version=version, edit_id=edit_id)
    )


def _make_entry(value: Any, source: message.Message, field: str) -> Entry[Any]:
    encoded = encode_length_delimited(
        _CATALOGUE_FIELDS[field].number, encode_canonical(source)
    )
    return Entry(value, encoded)


def _index_ranks(
    sources: Iterable[catalogue_pb2.Rank],
) -> Mapping[str, Entry[Rank]]:
    return {
        source.name: _make_entry(_convert_rank(source), source, "ranks")
        for source in sources
    }


def _index_services(
    sources: Iterable[catalogue_pb2.Service],
) -> Mapping[str, Entry[Service]]:
    return {
        source.name: _make_entry(_convert_service(source), source, "services")
        for source in sources
    }


def _index_routes(
    sources: Iterable[catalogue_pb2.Route],
) -> Mapping[str, Entry[Route]]:
    return {
        source.id: _make_entry(_convert_route(source), source, "routes")
        for source in sources
    }


def _convert_rank(source: catalogue_pb2.Rank) -> Rank:
    return Rank(
        name=RankName(source.name),
        priority=source.priority,
        worth=source.worth,
        minimum_share=source.minimum_share,
        target=Seconds(source.target_s),
        cross_region=source.cross_region,
    )


def _convert_service(source: catalogue_pb2.Service) -> Service:
    return Service(
        name=ServiceName(source.name),
        owner=source.owner,
        rank=RankName(source.rank),
        floor_share=source.floor_share,
        queue_limit=source.queue_limit,
        timeout=Seconds(source.timeout_s),
        max_attempts=source.max_attempts,
        retry_budget=source.retry_budget,
        # Unknown modes of a newer schema fall back to the safe one.
        order_mode=_ORDER_MODES.get(source.order_mode, OrderMode.STRICT),
        warmup=Seconds(source.warmup_s),
        concurrency_limit=source.concurrency_limit,
        hedge=source.hedge,
    )


def _convert_route(source: catalogue_pb2.Route) -> Route:
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
