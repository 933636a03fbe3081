"""Catalogue held by a node."""

import dataclasses
import enum

from egretlever.catalogue._entries import Rank, ResolvedRoute, Route, Service
from egretlever.catalogue._matching import RouteIndex
from egretlever.catalogue._snapshot import (
    Delta,
    Head,
    Snapshot,
    apply_delta,
)
from egretlever.core import (
    InvariantError,
    RankName,
    Seconds,
    ServiceName,
    Version,
    make_log,
    require,
)

_LOG = make_log("catalogue")


class RejectionReason(enum.Enum):
    """Why a received version of the catalogue was rejected."""

    LOWER_VERSION = "lower-version"
    ALREADY_HELD = "already-held"
    CONFLICTING_DIGEST = "conflicting-digest"
    OTHER_BASE = "other-base"
    DIGEST_MISMATCH = "digest-mismatch"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A received version was put in force.

    Parameters
    ----------
    head : Head
        Version now in force.
    """

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A received version was rejected.

    Parameters
    ----------
    reason : RejectionReason
        Why it was rejected.
    head : Head
        The rejected version.
    """

    reason: RejectionReason
    head: Head


class CatalogueState:
    """Holds the highest version of the catalogue received so far.

    Attributes
    ----------
    snapshot_ : Snapshot or None
        Version in force, None before the first one.
    accepted_at_ : Seconds
        Time at which the version in force was accepted.

    Examples
    --------
    >>> from egretlever.catalogue import make_snapshot
    >>> from egretlever.testing.builders import build_catalogue
    >>> state = make_catalogue_state()
    >>> type(
    ...     state.apply_update(make_snapshot(build_catalogue(7)), 0.0)
    ... ).__name__
    'Accepted'
    >>> state.match("GET", "shop.example", "/fabrics/silk").id
    'browse'
    """

    def __init__(self) -> None:
        self.snapshot_: Snapshot | None = None
        self.accepted_at_ = Seconds(0.0)
        self._index = RouteIndex(())

    @property
    def head(self) -> Head | None:
        """Head of the version in force, None before the first one."""
        return self.snapshot_.head if self.snapshot_ else None

    @property
    def version(self) -> Version:
        """Version in force, 0 before the first one."""
        return self.snapshot_.head.version if self.snapshot_ else Version(0)

    def apply_update(
        self, update: Snapshot | Delta, now: Seconds
    ) -> Accepted | Rejected:
        """Put a version in force if it is higher than the current one.

        Parameters
        ----------
        update : Snapshot or Delta
            Complete version, or a change of the version in force.
        now : Seconds
            Current time.

        Returns
        -------
        Accepted or Rejected
            The new head, or the reason of the rejection.
        """
        reason = self.check_head(update.head)
        if reason is not None:
            return Rejected(reason, update.head)
        if isinstance(update, Snapshot):
            self._install(update, now)
            self._index = RouteIndex(
                entry.value for entry in update.routes.values()
            )
            return Accepted(update.head)
        if self.head is None or update.base != self.head:
            return Rejected(RejectionReason.OTHER_BASE, update.head)
        assert self.snapshot_ is not None
        routes = self.snapshot_.routes
        result = apply_delta(self.snapshot_, update)
        if result.head != update.head:
            _LOG.warning(
                "delta to version %d does not give its announced digest",
                update.head.version,
            )
            return Rejected(RejectionReason.DIGEST_MISMATCH, update.head)
        self._install(result, now)
        # Only the changed routes are indexed again: an index of 5,100 routes
        # takes longer to build than the rest of a small delta takes to apply.
        changed_names = (*update.routes, *update.removed_routes)
        self._index.replace(
            [routes[name].value for name in changed_names if name in routes],
            [entry.value for entry in update.routes.values()],
        )
        return Accepted(result.head)

    def check_head(self, head: Head) -> RejectionReason | None:
        """Return why a head would be rejected, None for a higher one."""
        held = self.head
        if held is None or head.version > held.version:
            return None
        if head.version < held.version:
            return RejectionReason.LOWER_VERSION
        if head.digest == held.digest:
            return RejectionReason.ALREADY_HELD
        self._report_conflict(held, head)
        return RejectionReason.CONFLICTING_DIGEST

    def match(self, method: str, host: str, path: str) -> Route | None:
        """Find the route of a request, None when no route matches."""
        return self._index.find(method, host, path)

    def service(self, name: ServiceName) -> Service | None:
        """Return a service, None when the catalogue does not have it."""
        entry = self.snapshot_.services.get(name) if self.snapshot_ else None
        return entry.value if entry else None

    def rank(self, name: RankName) -> Rank | None:
        """Return a rank, None when the catalogue does not have it."""
        entry = self.snapshot_.ranks.get(name) if self.snapshot_ else None
        return entry.value if entry else None

    def resolve_route(self, route: Route) -> ResolvedRoute | None:
        """Resolve the defaults of a route from its service and rank.

        Returns
        -------
        ResolvedRoute or None
            None when the service or the rank does not exist.
        """
        service = self.service(route.service)
        if service is None:
            return None
        rank = self.rank(route.rank or service.rank)
        if rank is None:
            return None
        return ResolvedRoute(
            rank,
            service.timeout if route.timeout is None else route.timeout,
            rank.worth if route.worth is None else route.worth,
        )

    def describe(self) -> Head | None:
        """Return the head of the version in force, for operators."""
        return self.head

    def _install(self, snapshot: Snapshot, now: Seconds) -> None:
        require(
            "catalogue-version-grows",
            snapshot.head.version > self.version,
            f"{snapshot.head.version} after {self.version}",
        )
        self.snapshot_ = snapshot
        self.accepted_at_ = now
        _LOG.info(
            "version %d of edit %s is in force",
            snapshot.head.version,
            snapshot.head.edit_id,
        )

    def _report_conflict(self, held: Head, received: Head) -> None:
        # The node keeps serving its own version. If the error propagated, a
        # fault of the store would stop all nodes at once.
        try:
            require(
                "catalogue-version-has-one-digest",
                False,
                f"version {held.version} is {held.digest[:12]} of edit"
                f" {held.edit_id} and {received.digest[:12]} of edit"
                f" {received.edit_id}",
            )
        except InvariantError as error:
            _LOG.error("%s", error)


def make_catalogue_state() -> CatalogueState:
    """Make the state of a node without a catalogue."""
    return CatalogueState()
