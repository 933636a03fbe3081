"""In-memory versions of the catalogue and the changes between them."""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping
from typing import Generic, TypeVar

from egretlever.catalogue._entries import Rank, Route, Service
from egretlever.core import Digest, EditId, Version

_Value = TypeVar("_Value", Rank, Service, Route)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Identifier of one version of the catalogue.

    Parameters
    ----------
    version : Version
        Increases by one with each accepted edit.
    edit_id : EditId
        Edit that made the version.
    digest : Digest
        SHA-256 of the snapshot's canonical bytes, in hexadecimal.
    """

    version: Version
    edit_id: EditId
    digest: Digest


@dataclasses.dataclass(frozen=True, slots=True)
class Entry(Generic[_Value]):
    """An entry together with its canonical bytes.

    Parameters
    ----------
    value : Rank or Service or Route
        Content of the entry.
    encoded : bytes
        Canonical bytes, encoded as a field of the catalogue message.
    """

    value: _Value
    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One complete version of the catalogue.

    Parameters
    ----------
    head : Head
        Version, edit and digest.
    prefix : bytes
        Canonical bytes of version and edit id.
    ranks, services, routes : mapping of str to Entry
        Entries by name, sorted by name.
    """

    head: Head
    prefix: bytes
    ranks: Mapping[str, Entry[Rank]]
    services: Mapping[str, Entry[Service]]
    routes: Mapping[str, Entry[Route]]

    def to_bytes(self) -> bytes:
        """Return the canonical bytes of the whole snapshot."""
        return join_parts(self.prefix, self.ranks, self.services, self.routes)


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Change from one version of the catalogue to another.

    Parameters
    ----------
    base : Head
        Version to which the change applies.
    head : Head
        Resulting version.
    prefix : bytes
        Canonical bytes of the resulting version and edit id.
    ranks, services, routes : mapping of str to Entry
        New or changed entries.
    removed_ranks, removed_services, removed_routes : tuple of str
        Names of removed entries.
    """

    base: Head
    head: Head
    prefix: bytes
    ranks: Mapping[str, Entry[Rank]]
    services: Mapping[str, Entry[Service]]
    routes: Mapping[str, Entry[Route]]
    removed_ranks: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()


def join_parts(
    prefix: bytes,
    ranks: Mapping[str, Entry[Rank]],
    services: Mapping[str, Entry[Service]],
    routes: Mapping[str, Entry[Route]],
) -> bytes:
    """Join the canonical bytes of a snapshot's parts."""
    parts = [prefix]
    parts.extend(entry.encoded for entry in ranks.values())
    parts.extend(entry.encoded for entry in services.values())
    parts.extend(entry.encoded for entry in routes.values())
    return b"".join(parts)


def compute_digest(body: bytes) -> Digest:
    """Compute the digest of a snapshot's canonical bytes.

    Examples
    --------
    >>> compute_digest(b"")[:8]
    'e3b0c442'
    """
    return Digest(hashlib.sha256(body).hexdigest())


def compute_delta(base: Snapshot, target: Snapshot) -> Delta:
    """Compute the change from one snapshot to another.

    Parameters
    ----------
    base, target : Snapshot
        Any two versions.

    Returns
    -------
    Delta
        The new, changed and removed entries.
    """
    ranks, removed_ranks = _compute_changes(base.ranks, target.ranks)
    services, removed_services = _compute_changes(
        base.services, target.services
    )
    routes, removed_routes = _compute_changes(base.routes, target.routes)
    return Delta(
        base.head,
        target.head,
        target.prefix,
        ranks,
        services,
        routes,
        removed_ranks,
        removed_services,
        removed_routes,
    )


def apply_delta(base: Snapshot, delta: Delta) -> Snapshot:
    """Apply a delta to its base version.

    Parameters
    ----------
    base : Snapshot
        Version named by ``delta.base``.
    delta : Delta
        Delta to apply.

    Returns
    -------
    Snapshot
        The result with its computed digest, which the caller must compare with
        ``delta.head.digest``.
    """
    ranks = _merge(base.ranks, delta.ranks, delta.removed_ranks)
    services = _merge(base.services, delta.services, delta.removed_services)
    routes = _merge(base.routes, delta.routes, delta.removed_routes)
    digest = compute_digest(join_parts(delta.prefix, ranks, services, routes))
    head = dataclasses.replace(delta.head, digest=digest)
    return Snapshot(head, delta.prefix, ranks, services, routes)


def _compute_changes(
    base: Mapping[str, Entry[_Value]], target: Mapping[str, Entry[_Value]]
) -> tuple[dict[str, Entry[_Value]], tuple[str, ...]]:
    changed = {
        name: entry
        for name, entry in target.items()
        if name not in base or base[name].encoded != entry.encoded
    }
    return changed, tuple(name for name in base if name not in target)


def _merge(
    base: Mapping[str, Entry[_Value]],
    changed: Mapping[str, Entry[_Value]],
    removed: Iterable[str],
) -> Mapping[str, Entry[_Value]]:
    removed_names = [name for name in removed if name in base]
    if not changed and not removed_names:
        return base
    merged = dict(base)
    for name in removed_names:
        del merged[name]
    has_new_names = any(name not in merged for name in changed)
    merged.update(changed)
    return dict(sorted(merged.items())) if has_new_names else merged
