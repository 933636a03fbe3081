"""Records and the Protocol of routing."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Protocol

from egretlever.core import (
    Attempt,
    FailureDomain,
    NodeId,
    RegionName,
    Seconds,
    Server,
    ServerId,
    ServiceName,
)


class PlacementReason(enum.Enum):
    """Why a server was chosen."""

    LESS_LOADED = "less-loaded"
    SAMPLED = "sampled"
    ONLY_FREE = "only-free"
    ROTATION = "rotation"
    CROSS_REGION = "cross-region"


class NoPlacementReason(enum.Enum):
    """Why no server was chosen."""

    UNKNOWN_SERVICE = "unknown-service"
    NO_ELIGIBLE_SERVER = "no-eligible-server"
    SATURATED = "saturated"
    RANK_STAYS_LOCAL = "rank-stays-local"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    LINK_BUDGET_SPENT = "link-budget-spent"


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Where a node is.

    Parameters
    ----------
    node : NodeId
        The node.
    failure_domain : FailureDomain
        Failure domain of its host.
    region : RegionName
        Region of its host.
    """

    node: NodeId
    failure_domain: FailureDomain
    region: RegionName


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a server is needed for.

    Parameters
    ----------
    service : ServiceName
        Service to be reached.
    deadline : Seconds
        Reading of the local clock after which the answer has no use.
    priority : int
        Priority of the rank, 0 is the most urgent.
    cross_region : bool
        Whether the rank may cross the link between regions.
    size_bytes : int
        Expected bytes of request and response.
    expected_wait : Seconds
        Expected wait for a slot of the own region.
    exclude : frozenset of ServerId
        Servers already tried for the request.
    weights : mapping of ServerId to float, optional
        Weights in [0, 1] from the detector. A server that is not in the
        mapping is ejected; without a mapping every server has weight 1.
    """

    service: ServiceName
    deadline: Seconds
    priority: int = 0
    cross_region: bool = True
    size_bytes: int = 2048
    expected_wait: Seconds = Seconds(0.0)
    exclude: frozenset[ServerId] = frozenset()
    weights: Mapping[ServerId, float] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A slot of a server, held until ``release``.

    Parameters
    ----------
    server : Server
        Where to send the attempt.
    reason : PlacementReason
        Why this server.
    """

    server: Server
    reason: PlacementReason


@dataclasses.dataclass(frozen=True, slots=True)
class NoPlacement:
    """No server can take the attempt now.

    Parameters
    ----------
    reason : NoPlacementReason
        Why.
    retry_after : Seconds
        Wait after which another try makes sense.
    """

    reason: NoPlacementReason
    retry_after: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class LoadHint:
    """Load that a server reported with a response.

    Parameters
    ----------
    server : ServerId
        The server.
    busy, slots : int
        Slots in use, that of the answered request included, and in total.
    """

    server: ServerId
    busy: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class LiveNodes:
    """Number of live nodes, which share the region link and the servers.

    Parameters
    ----------
    region : int
        Live nodes of the own region.
    """

    region: int


Event = Attempt | LoadHint | LiveNodes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """State of one server of a subset for operators.

    Parameters
    ----------
    server : ServerId
        The server.
    outstanding, limit : int
        Attempts of this node in flight and their limit.
    latency_s : float
        Smoothed latency in seconds, 0 without a sample.
    """

    server: ServerId
    outstanding: int
    limit: int
    latency_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """State of the routing of one service for operators.

    Parameters
    ----------
    service : ServiceName
        Service.
    servers : int
        Known servers.
    subset : tuple of ServerSnapshot
        Servers of the node's subset.
    """

    service: ServiceName
    servers: int
    subset: tuple[ServerSnapshot, ...]


class Router(Protocol):
    """Chooses servers for attempts."""

    def update(self, servers: Iterable[Server], now: Seconds) -> None:
        """Take in new or changed servers; a stopped one is forgotten."""

    def forget(self, servers: Iterable[ServerId], now: Seconds) -> None:
        """Remove servers whose records were removed."""

    def decide(
        self, request: PlacementRequest, now: Seconds
    ) -> Placement | NoPlacement:
        """Choose a server and hold a slot of it until ``release``."""

    def release(self, placement: Placement, now: Seconds) -> None:
        """Give back the slot of an attempt that ended."""

    def observe(self, event: Event, now: Seconds) -> None:
        """Take in the result of an attempt or a hint."""

    def advance(self, now: Seconds) -> None:
        """Move time forward: grown subsets shrink when load is gone."""

    def count_slots(
        self,
        service: ServiceName,
        weights: Mapping[ServerId, float] | None,
        now: Seconds,
    ) -> int:
        """Return the slots that admission may fill."""

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the state of each service in use."""
