"""Servers of one service and the node's subset of them."""

from collections.abc import Mapping, Sequence

from egretlever.admission import DecayingRate
from egretlever.core import Seconds, Server, ServerId, ServiceName
from egretlever.routing._interface import (
    Location,
    ServerSnapshot,
    ServiceSnapshot,
)
from egretlever.routing._servers import ServerLoad
from egretlever.routing._subsets import choose_size, order_servers

_RATE_MEMORY_S = 5.0

# A subset shrinks when it is this much larger than needed, and growth under
# load is taken back after this time, so that connections are kept.
_SHRINK_SHARE = 0.7
_GROWTH_KEPT_S = 10.0
_BUSY_SHARE = 0.8

_MEAN_SMOOTHING = 0.05
_FIRST_LATENCY_S = 0.01


class ServicePool:
    """Servers of one service, split by region.

    Parameters
    ----------
    location : Location
        Where the node is.
    warmup : float
        Seconds of the ramp of a cold server.
    region_round_trip : float
        Extra time of another region until it is measured.
    """

    __slots__ = (
        "_growth",
        "_grown_at",
        "_location",
        "_ordered",
        "_rate",
        "_remote",
        "_size",
        "_subset",
        "latency_",
        "loads",
        "nodes",
        "outstanding",
        "remote_extra_",
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
        self.latency_ = _FIRST_LATENCY_S
        self.remote_extra_ = region_round_trip
        self._rate = DecayingRate(_RATE_MEMORY_S)
        self._growth = 0
        self._grown_at = 0.0
        self._size = 0
        self._ordered: list[ServerLoad] | None = None
        self._remote: list[ServerLoad] | None = None
        self._subset: list[ServerLoad] | None = None
        self.subset_weights: Mapping[ServerId, float] | None = None

    def put(self, server: Server, known: ServerLoad | None) -> ServerLoad:
        """Add or replace a server.

        Parameters
        ----------
        server : Server
            The server as announced.
        known : ServerLoad or None
            What is kept of it, also after a removal with attempts running.

        Returns
        -------
        ServerLoad
            The server's load, the known one if there is one.
        """
        load = self.loads.get(server.id)
        if load is None:
            load = known or ServerLoad(server)
            load.replace(server)
            self.loads[server.id] = load
            self._forget_order()
            return load
        old = load.server
        if (server.failure_domain, server.region) != (
            old.failure_domain,
            old.region,
        ):
            self._forget_order()
        load.replace(server)
        self._subset = None
        return load

    def remove(self, server: ServerId) -> None:
        """Remove a server; running attempts are still released."""
        load = self.loads.pop(server, None)
        if load is not None:
            load.known = False
            self._forget_order()

    def forget_subset(self) -> None:
        """Choose the subset anew at the next decision."""
        self._subset = None

    def is_local(self, load: ServerLoad) -> bool:
        """Whether a server is in the node's region."""
        return load.server.region == self._location.region

    def count_arrival(self, now: Seconds) -> None:
        """Count a decision for the node's rate."""
        self._rate.add(now)

    def observe_latency(self, latency: float, local: bool) -> None:
        """Smooth the service's latency and the extra time of the link."""
        if local:
            self.latency_ += _MEAN_SMOOTHING * (latency - self.latency_)
            return
        extra = max(0.0, latency - self.latency_)
        self.remote_extra_ += _MEAN_SMOOTHING * (extra - self.remote_extra_)

    def list_subset(
        self, weights: Mapping[ServerId, float] | None, now: Seconds
    ) -> Sequence[ServerLoad]:
        """Return the servers of the subset that are routable.

        Ejected and draining servers are replaced by the next ones in the
        node's order.
        """
        if self._subset is None or weights is not self.subset_weights:
            if self._subset is None:
                self._resize(now)
            ordered = self._order()
            wanted = self._size + self._growth
            self._subset = _take_usable(ordered, weights, wanted)
            self.subset_slots = sum(load.server.slots for load in self._subset)
            self.subset_weights = weights
        return self._subset

    def list_remote(
        self, weights: Mapping[ServerId, float] | None
    ) -> Sequence[ServerLoad]:
        """Return the servers of other regions that the node may use."""
        if self._remote is None:
            self._remote = self._order_loads(local=False)
        wanted = self._choose_size(self._remote, 0.0)
        return _take_usable(self._remote, weights, wanted)

    def count_slots(
        self, weights: Mapping[ServerId, float] | None, now: Seconds
    ) -> int:
        """Return the slots of the subset by weight and ramp, at least 1."""
        total = 0.0
        for load in self.list_subset(weights, now):
            weight = 1.0
            if weights is not None:
                weight = weights.get(load.server.id, 0.0)
            total += weight * load.count_slots(load.ramp(self.warmup, now))
        return max(1, int(total))

    def find_even_load(self, load: ServerLoad) -> int:
        """Return a server's even part of the attempts, the next one included.

        Parameters
        ----------
        load : ServerLoad
            A server of the subset.

        Returns
        -------
        int
            Attempts, rounded up.
        """
        attempts = (self.outstanding + 1) * load.server.slots
        return -(-attempts // max(self.subset_slots, 1))

    def grow(self, now: Seconds) -> bool:
        """Grow the subset by half; False when all servers are in use."""
        self._grown_at = now
        wanted = self._size + self._growth
        if wanted >= len(self._order()):
            return False
        self._growth += max(1, wanted // 2)
        self._subset = None
        return True

    def advance(self, now: Seconds) -> None:
        """Adapt the size to the rate and take back growth that is unused."""
        if self._growth and now - self._grown_at > _GROWTH_KEPT_S:
            self._growth //= 2
            self._grown_at = now
        self._subset = None

    def describe(self, name: ServiceName, now: Seconds) -> ServiceSnapshot:
        """Return the state for operators."""
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

    def _forget_order(self) -> None:
        self._ordered = None
        self._remote = None
        self._subset = None

    def _order(self) -> list[ServerLoad]:
        if self._ordered is None:
            self._ordered = self._order_loads(local=True)
        return self._ordered

    def _order_loads(self, local: bool) -> list[ServerLoad]:
        servers = [
            load.server
            for load in self.loads.values()
            if self.is_local(load) is local
        ]
        ordered = order_servers(self._location.node, servers)
        return [self.loads[server.id] for server in ordered]

    def _choose_size(
        self, ordered: Sequence[ServerLoad], concurrency: float
    ) -> int:
        if not ordered:
            return 0
        typical = ordered[0].server
        return choose_size(
            len(ordered),
            concurrency,
            max(typical.slots, 1),
            typical.connections,
            self.nodes,
        )

    def _resize(self, now: Seconds) -> None:
        concurrency = self._rate.read(now) * self.latency_
        wanted = self._choose_size(self._order(), concurrency)
        shrinks = _SHRINK_SHARE * self._size <= wanted < self._size
        if not shrinks or self._size > len(self._order()):
            self._size = wanted


def _take_usable(
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
