"""Servers of one service, and the subset that the node uses."""

from collections.abc import Mapping, Sequence

from egretlever.admission import DecayingRate
from egretlever.core import Seconds, Server, ServerId, ServiceName
from egretlever.routing._interface import (
    Location,
    ServerSnapshot,
    ServiceSnapshot,
)
from egretlever.routing._servers import ServerLoad
from egretlever.routing._subsets import choose_subset_size, order_servers

_RATE_TIME_CONSTANT_S = 5.0

# A subset only shrinks when the needed size is below this share of it, and its
# growth under load is kept for this time, to avoid reconnecting.
_MAX_SHRINK_SHARE = 0.7
_GROWTH_RETENTION_S = 10.0
_BUSY_SHARE = 0.8

_SERVICE_LATENCY_SMOOTHING = 0.05
_INITIAL_LATENCY_S = 0.01


class ServicePool:
    """Servers of one service, split by region.

    Parameters
    ----------
    location : Location
        Location of the node.
    warmup : float
        Duration of the ramp of a cold server, in seconds.
    region_round_trip : float
        Extra latency of other regions until it is measured, in seconds.
    """

    __slots__ = (
        "_growth",
        "_grown_at",
        "_location",
        "_ordered_loads",
        "_rate",
        "_remote_loads",
        "_size",
        "_subset",
        "latency_",
        "loads",
        "nodes",
        "outstanding",
        "remote_extra_latency_",
        "subset_slots",
        "subset_weights",
        "warmup",
    )

    def __init__(
        self, location: Location, warmup: float, region_round_trip: float
    ) -> None:
        self._location = location
        self.warmup = warmup
        self.nodes = 1
        self.loads: dict[ServerId, ServerLoad] = {}
        self.outstanding = 0
        self.subset_slots = 0
        self.latency_ = _INITIAL_LATENCY_S
        self.remote_extra_latency_ = region_round_trip
        self._rate = DecayingRate(_RATE_TIME_CONSTANT_S)
        self._growth = 0
        self._grown_at = 0.0
        self._size = 0
        self._ordered_loads: list[ServerLoad] | None = None
        self._remote_loads: list[ServerLoad] | None = None
        self._subset: list[ServerLoad] | None = None
        self.subset_weights: Mapping[ServerId, float] | None = None

    def update(self, server: Server, known: ServerLoad | None) -> ServerLoad:
        """Add or update a server.

        Parameters
        ----------
        server : Server
            Server as announced.
        known : ServerLoad or None
            State of the server, also of a removed one that still has
            outstanding attempts.

        Returns
        -------
        ServerLoad
            State of the server, the known one if there is one.
        """
        load = self.loads.get(server.id)
        if load is None:
            load = known or ServerLoad(server)
            load.replace(server)
            self.loads[server.id] = load
            self._invalidate_order()
            return load
        old = load.server
        if (server.failure_domain, server.region) != (
            old.failure_domain,
            old.region,
        ):
            self._invalidate_order()
        load.replace(server)
        self._subset = None
        return load

    def remove(self, server: ServerId) -> None:
        """Remove a server; outstanding attempts are still released."""
        load = self.loads.pop(server, None)
        if load is not None:
            load.known = False
            self._invalidate_order()

    def invalidate_subset(self) -> None:
        """Recompute the subset at the next decision."""
        self._subset = None

    def is_local(self, load: ServerLoad) -> bool:
        """Return whether a server is in the node's region."""
        return load.server.region == self._location.region

    def count_arrival(self, now: Seconds) -> None:
        """Count an arrival for the node's request rate."""
        self._rate.add(now)

    def observe_latency(self, latency: float, local: bool) -> None:
        """Update the service's latency, or the extra one of other regions."""
        if local:
            self.latency_ += _SERVICE_LATENCY_SMOOTHING * (
                latency - self.latency_
            )
            return
        extra = max(0.0, latency - self.latency_)
        self.remote_extra_latency_ += _SERVICE_LATENCY_SMOOTHING * (
            extra - self.remote_extra_latency_
        )

    def list_subset(
        self, weights: Mapping[ServerId, float] | None, now: Seconds
    ) -> Sequence[ServerLoad]:
        """Return the routable servers of the subset.

        Ejected and draining servers are replaced by the next ones in the
        node's order of preference.
        """
        if self._subset is None or weights is not self.subset_weights:
            if self._subset is None:
                self._resize(now)
            ordered = self._list_ordered()
            wanted = self._size + self._growth
            self._subset = _select_usable(ordered, weights, wanted)
            self.subset_slots = sum(load.server.slots for load in self._subset)
            self.subset_weights = weights
        return self._subset

    def list_remote(
        self, weights: Mapping[ServerId, float] | None
    ) -> Sequence[ServerLoad]:
        """Return the routable subset of the servers in other regions."""
        if self._remote_loads is None:
            self._remote_loads = self._order_loads(local=False)
        wanted = self._choose_subset_size(self._remote_loads, 0.0)
        return _select_usable(self._remote_loads, weights, wanted)

    def count_slots(
        self, weights: Mapping[ServerId, float] | None, now: Seconds
    ) -> int:
        """Return the subset's slots, scaled by weight and ramp, at least 1."""
        total = 0.0
        for load in self.list_subset(weights, now):
            weight = 1.0
            if weights is not None:
                weight = weights.get(load.server.id, 0.0)
            total += weight * load.count_slots(load.ramp(self.warmup, now))
        return max(1, int(total))

    def find_fair_share(self, load: ServerLoad) -> int:
        """Return a server's share of the attempts, including the next one.

        Parameters
        ----------
        load : ServerLoad
            Server of the subset.

        Returns
        -------
        int
            Attempts in proportion to its slots, rounded up.
        """
        attempts = (self.outstanding + 1) * load.server.slots
        return -(-attempts // max(self.subset_slots, 1))

    def grow(self, now: Seconds) -> bool:
        """Grow the subset by half; return false when it has all servers."""
        self._grown_at = now
        wanted = self._size + self._growth
        if wanted >= len(self._list_ordered()):
            return False
        self._growth += max(1, wanted // 2)
        self._subset = None
        return True

    def advance(self, now: Seconds) -> None:
        """Adapt the size to the request rate, and undo growth after a time."""
        if self._growth and now - self._grown_at > _GROWTH_RETENTION_S:
            self._growth //= 2
            self._grown_at = now
        self._subset = None

    def describe(self, name: ServiceName, now: Seconds) -> ServiceSnapshot:
        """Return the state of the service for operators."""
        subset = tuple(
            ServerSnapshot(
                load.server.id,
                load.outstanding,
                load.limit.allowed,
                load.latency(0.0, now),
            )
            for load in self.list_subset(self.subset_weights, now)
        )
        return ServiceSnapshot(name, len(self.loads), subset)

    def _invalidate_order(self) -> None:
        self._ordered_loads = None
        self._remote_loads = None
        self._subset = None

    def _list_ordered(self) -> list[ServerLoad]:
        if self._ordered_loads is None:
            self._ordered_loads = self._order_loads(local=True)
        return self._ordered_loads

    def _order_loads(self, local: bool) -> list[ServerLoad]:
        servers = [
            load.server
            for load in self.loads.values()
            if self.is_local(load) is local
        ]
        ordered = order_servers(self._location.node, servers)
        return [self.loads[server.id] for server in ordered]

    def _choose_subset_size(
        self, ordered: Sequence[ServerLoad], concurrency: float
    ) -> int:
        if not ordered:
            return 0
        typical = ordered[0].server
        return choose_subset_size(
            len(ordered),
            concurrency,
            max(typical.slots, 1),
            typical.connections,
            self.nodes,
        )

    def _resize(self, now: Seconds) -> None:
        concurrency = self._rate.read(now) * self.latency_
        wanted = self._choose_subset_size(self._list_ordered(), concurrency)
        shrinks_slightly = _MAX_SHRINK_SHARE * self._size <= wanted < self._size
        if not shrinks_slightly or self._size > len(self._list_ordered()):
            self._size = wanted


def _select_usable(
    ordered: Sequence[ServerLoad],
    weights: Mapping[ServerId, float] | None,
    wanted: int,
) -> list[ServerLoad]:
    usable: list[ServerLoad] = []
    for load in ordered:
        if len(usable) >= wanted:
            break
        if load.routable and (
            weights is None or weights.get(load.server.id, 0.0) > 0.0
        ):
            usable.append(load)
    return usable
