"""Interface of routing: its records and the Router protocol."""

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
    """Location of a node.

    Parameters
    ----------
    node : NodeId
        Id of the node.
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
    """An attempt that needs a server.

    Parameters
    ----------
    service : ServiceName
        Service that runs the request.
    deadline : Seconds
        Local time after which the answer is of no use.
    priority : int
        Priority of the rank, 0 for the most urgent.
    cross_region : bool
        Whether the rank may cross the link between regions.
    size_bytes : int
        Expected size of request and response together.
    expected_wait : Seconds
        Expected wait for a slot in the own region.
    exclude : frozenset of ServerId
        Servers that were already tried for the request.
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
    """A slot of a server, which is occupied until ``release``.

    Parameters
    ----------
    server : Server
        Server to send the attempt to.
    reason : PlacementReason
        Why the server was chosen.
    """

    server: Server
    reason: PlacementReason


@dataclasses.dataclass(frozen=True, slots=True)
class NoPlacement:
    """Result that no server can take the attempt now.

    Parameters
    ----------
    reason : NoPlacementReason
        Why there is none.
    retry_after : Seconds
        Time after which to try again.
    """

    reason: NoPlacementReason
    retry_after: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a server reports with a response.

    Parameters
    ----------
    server : ServerId
        Id of the server.
    busy, slots : int
        Slots in use, including that of the answered request, and all slots.
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
        Number of live nodes in the own region.
    """

    region: int


Event = Attempt | LoadReport | LiveNodes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """State of one server of a subset, for operators.

    Parameters
    ----------
    server : ServerId
        Id of the server.
    outstanding, limit : int
        Outstanding attempts of this node, and their limit.
    latency_s : float
        Smoothed latency in seconds, 0 without a sample.
    """

    server: ServerId
    outstanding: int
    limit: int
    latency_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """Routing state of one service, for operators.

    Parameters
    ----------
    service : ServiceName
        Name of the service.
    servers : int
        Number of known servers.
    subset : tuple of ServerSnapshot
        Servers of the node's subset.
    """

    service: ServiceName
    servers: int
    subset: tuple[ServerSnapshot, ...]


class Router(Protocol):
    """Chooses servers for attempts."""

    def update(self, servers: Iterable[Server], now: Seconds) -> None:
        """Add or update servers; stopped ones are removed."""

    def forget(self, servers: Iterable[ServerId], now: Seconds) -> None:
        """Remove servers whose records were removed."""

    def decide(
        self, request: PlacementRequest, now: Seconds
    ) -> Placement | NoPlacement:
        """Choose a server and occupy one of its slots until ``release``."""

    def release(self, placement: Placement, now: Seconds) -> None:
        """Free the slot of an attempt that has ended."""

    def observe(self, event: Event, now: Seconds) -> None:
        """Record the result of an attempt, a load report or a node count."""

    def advance(self, now: Seconds) -> None:
        """Do periodic work: subsets that grew under load shrink again."""

    def count_slots(
        self,
        service: ServiceName,
        weights: Mapping[ServerId, float] | None,
        now: Seconds,
    ) -> int:
        """Return the number of slots that admission may fill."""

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the routing state of each service in use."""
