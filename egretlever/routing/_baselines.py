"""Routers without subsets or limits, as baselines of benchmarks."""

import random
from collections.abc import Iterable, Mapping

from egretlever.core import (
    Seconds,
    Server,
    ServerId,
    ServerState,
    ServiceName,
)
from egretlever.routing._interface import (
    Event,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementReason,
    PlacementRequest,
    Router,
    ServiceSnapshot,
)


class _BaselineRouter:
    """Base class that tracks servers by service and outstanding attempts."""

    def __init__(self) -> None:
        self._servers: dict[ServiceName, dict[ServerId, Server]] = {}
        self._outstanding: dict[ServerId, int] = {}

    def update(self, servers: Iterable[Server], now: Seconds) -> None:
        """Add or update servers; those that are not routable are removed."""
        for server in servers:
            known = self._servers.setdefault(server.service, {})
            known.pop(server.id, None)
            if server.state in (ServerState.SERVING, ServerState.COLD):
                known[server.id] = server

    def forget(self, servers: Iterable[ServerId], now: Seconds) -> None:
        """Remove servers."""
        for server in servers:
            for known in self._servers.values():
                known.pop(server, None)

    def decide(
        self, request: PlacementRequest, now: Seconds
    ) -> Placement | NoPlacement:
        """Choose a server, whatever its load."""
        known = self._servers.get(request.service)
        if not known:
            return NoPlacement(
                NoPlacementReason.NO_ELIGIBLE_SERVER, Seconds(1.0)
            )
        placement = self._choose(request, list(known.values()))
        server = placement.server.id
        self._outstanding[server] = self._outstanding.get(server, 0) + 1
        return placement

    def _choose(
        self, request: PlacementRequest, servers: list[Server]
    ) -> Placement:
        raise NotImplementedError

    def release(self, placement: Placement, now: Seconds) -> None:
        """Record the end of an attempt."""
        self._outstanding[placement.server.id] -= 1

    def observe(self, event: Event, now: Seconds) -> None:
        """Ignore the event."""

    def advance(self, now: Seconds) -> None:
        """Do nothing."""

    def count_slots(
        self,
        service: ServiceName,
        weights: Mapping[ServerId, float] | None,
        now: Seconds,
    ) -> int:
        """Return the number of announced slots of all servers."""
        known = self._servers.get(service, {})
        return max(1, sum(server.slots for server in known.values()))

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the services without their load."""
        return tuple(
            ServiceSnapshot(name, len(known), ())
            for name, known in self._servers.items()
        )


class RoundRobinRouter(_BaselineRouter):
    """Chooses the servers of each service in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._next_indices: dict[ServiceName, int] = {}

    def _choose(
        self, request: PlacementRequest, servers: list[Server]
    ) -> Placement:
        index = self._next_indices.get(request.service, 0)
        self._next_indices[request.service] = index + 1
        return Placement(
            servers[index % len(servers)], PlacementReason.ROTATION
        )


class LeastOutstandingRouter(_BaselineRouter):
    """Chooses the one of two random servers with fewer outstanding attempts.

    Parameters
    ----------
    rng : random.Random
        Random generator.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng

    def _choose(
        self, request: PlacementRequest, servers: list[Server]
    ) -> Placement:
        candidates = self._rng.sample(servers, min(2, len(servers)))
        server = min(
            candidates, key=lambda server: self._outstanding.get(server.id, 0)
        )
        return Placement(server, PlacementReason.LESS_LOADED)


def make_round_robin_router() -> Router:
    """Make a router that chooses servers in turn."""
    return RoundRobinRouter()


def make_least_outstanding_router(rng: random.Random) -> Router:
    """Make a router by the power of two choices on outstanding attempts."""
    return LeastOutstandingRouter(rng)
