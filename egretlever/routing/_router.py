"""Router by subsets, measured load and the budget of the region link."""

import random
from collections.abc import Iterable, Mapping

from egretlever.core import (
    Attempt,
    AttemptResult,
    Interval,
    Seconds,
    Server,
    ServerId,
    ServerState,
    ServiceName,
    check_parameters,
    make_log,
    require,
)
from egretlever.routing._choice import Choice, ServerChooser
from egretlever.routing._crossing import check_crossing
from egretlever.routing._interface import (
    Event,
    LiveNodes,
    LoadReport,
    Location,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementReason,
    PlacementRequest,
    Router,
    ServiceSnapshot,
)
from egretlever.routing._link import LinkBudget
from egretlever.routing._pools import ServicePool
from egretlever.routing._servers import ServerLoad

_log = make_log("routing")

_DEFAULT_WARMUP_S = 5.0
_UNKNOWN_RETRY_AFTER_S = 1.0


class SubsetRouter:
    """Routes within the node's subsets, and to other regions if it is faster.

    Parameters
    ----------
    location : Location
        Location of the node.
    link : LinkBudget
        Budget of bytes that the node may send over the link between regions.
    rng : random.Random
        Random generator.
    warmups : mapping of ServiceName to Seconds
        Duration of the ramp of cold servers by service; 5 s where absent.
    domain_cost : float
        Extra latency of a server in another failure domain, in seconds.
    region_round_trip : float
        Extra latency of other regions until it is measured, in seconds.
    """

    def __init__(
        self,
        location: Location,
        link: LinkBudget,
        rng: random.Random,
        warmups: Mapping[ServiceName, Seconds],
        domain_cost: float,
        region_round_trip: float,
    ) -> None:
        check_parameters(
            "Router",
            {
                "domain_cost": domain_cost,
                "region_round_trip": region_round_trip,
            },
            {
                "domain_cost": Interval(0),
                "region_round_trip": Interval(0),
            },
        )
        self._location = location
        self._link = link
        self._warmups = dict(warmups)
        self._region_round_trip = region_round_trip
        self._chooser = ServerChooser(location.failure_domain, domain_cost, rng)
        self._pools: dict[ServiceName, ServicePool] = {}
        self._loads: dict[ServerId, ServerLoad] = {}
        self._used_services: set[ServiceName] = set()
        self._nodes = 1
        self._now = Seconds(float("-inf"))

    def update(self, servers: Iterable[Server], now: Seconds) -> None:
        """Add or update servers; stopped ones are removed.

        Parameters
        ----------
        servers : iterable of Server
            Servers with new announcements; other servers are unchanged.
        now : Seconds
            Current local time.
        """
        self._advance_clock(now)
        for server in servers:
            known = self._loads.get(server.id)
            if known and server.incarnation < known.server.incarnation:
                continue
            if server.state is ServerState.STOPPED:
                self._remove(server.id)
                continue
            if known and server.service != known.server.service:
                self._remove(server.id)
            pool = self._pools.get(server.service)
            if pool is None:
                pool = self._add_pool(server.service)
            load = self._loads.get(server.id)
            self._loads[server.id] = pool.update(server, load)

    def forget(self, servers: Iterable[ServerId], now: Seconds) -> None:
        """Remove servers whose records were removed."""
        self._advance_clock(now)
        for server in servers:
            self._remove(server)

    def decide(
        self, request: PlacementRequest, now: Seconds
    ) -> Placement | NoPlacement:
        """Choose a server and occupy one of its slots until ``release``.

        Parameters
        ----------
        request : PlacementRequest
            Attempt that needs a server.
        now : Seconds
            Current local time.

        Returns
        -------
        Placement or NoPlacement
            The server, or the reason why there is none.
        """
        now = self._advance_clock(now)
        pool = self._pools.get(request.service)
        if pool is None:
            reason = NoPlacementReason.UNKNOWN_SERVICE
            return self._decline(request, reason, _UNKNOWN_RETRY_AFTER_S)
        pool.count_arrival(now)
        self._used_services.add(request.service)
        choice = self._choose_local(pool, request, now)
        if choice is not None:
            return self._place(request, choice)
        return self._choose_remote(pool, request, now)

    def release(self, placement: Placement, now: Seconds) -> None:
        """Free the slot of an attempt that has ended.

        Parameters
        ----------
        placement : Placement
            Result of ``decide``; it must be released exactly once.
        now : Seconds
            Current local time.
        """
        self._advance_clock(now)
        server = placement.server.id
        load = self._loads.get(server)
        require("release-of-known-server", load is not None, server)
        if load is not None:
            load.release()
            if not load.known and not load.outstanding:
                del self._loads[server]
        service = placement.server.service
        self._pools[service].outstanding -= 1
        self._remove_unused_pool(service)

    def observe(self, event: Event, now: Seconds) -> None:
        """Record the result of an attempt, a load report or a node count.

        Parameters
        ----------
        event : Attempt, LoadReport or LiveNodes
            Results must be observed before the attempt is released.
        now : Seconds
            Current local time.
        """
        now = self._advance_clock(now)
        if isinstance(event, Attempt):
            self._observe_attempt(event, now)
        elif isinstance(event, LoadReport):
            load = self._loads.get(event.server)
            if load is not None:
                load.observe_load(event.busy, now)
        elif isinstance(event, LiveNodes):
            self._nodes = max(1, event.region)
            self._link.set_nodes(self._nodes, now)
            for pool in self._pools.values():
                pool.nodes = self._nodes
                pool.invalidate_subset()

    def advance(self, now: Seconds) -> None:
        """Adapt the sizes of subsets; to be called about once per second."""
        now = self._advance_clock(now)
        for name in self._used_services:
            if name in self._pools:
                self._pools[name].advance(now)

    def count_slots(
        self,
        service: ServiceName,
        weights: Mapping[ServerId, float] | None,
        now: Seconds,
    ) -> int:
        """Return the number of slots that admission may fill.

        Parameters
        ----------
        service : ServiceName
            Name of the service.
        weights : mapping of ServerId to float, optional
            Weights from the detector.
        now : Seconds
            Current local time.

        Returns
        -------
        int
            Sum of the limits of the subset's servers, at least 1.
        """
        now = self._advance_clock(now)
        pool = self._pools.get(service)
        return 1 if pool is None else pool.count_slots(weights, now)

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the routing state of each service in use."""
        return tuple(
            self._pools[name].describe(name, self._now)
            for name in sorted(self._used_services)
            if name in self._pools
        )

    def _advance_clock(self, now: Seconds) -> Seconds:
        self._now = max(self._now, now)
        return self._now

    def _add_pool(self, service: ServiceName) -> ServicePool:
        pool = ServicePool(
            self._location,
            self._warmups.get(service, _DEFAULT_WARMUP_S),
            self._region_round_trip,
        )
        pool.nodes = self._nodes
        self._pools[service] = pool
        return pool

    def _remove(self, server: ServerId) -> None:
        load = self._loads.get(server)
        if load is None or not load.known:
            return
        service = load.server.service
        pool = self._pools[service]
        pool.remove(server)
        if not load.outstanding:
            del self._loads[server]
        self._remove_unused_pool(service)

    def _remove_unused_pool(self, service: ServiceName) -> None:
        pool = self._pools[service]
        if not pool.loads and not pool.outstanding:
            del self._pools[service]
            self._used_services.discard(service)

    def _choose_local(
        self, pool: ServicePool, request: PlacementRequest, now: Seconds
    ) -> Choice | None:
        while True:
            loads = pool.list_subset(request.weights, now)
            choice = self._chooser.choose(pool, loads, request, now)
            if choice is not None or not pool.grow(now):
                return choice

    def _choose_remote(
        self, pool: ServicePool, request: PlacementRequest, now: Seconds
    ) -> Placement | NoPlacement:
        """Choose a server of another region if all conditions for it hold."""
        local = any(
            load.server.id not in request.exclude
            for load in pool.list_subset(request.weights, now)
        )
        wait = pool.latency_ / pool.count_slots(request.weights, now)
        wait = max(wait, request.expected_wait)
        if local and wait <= pool.remote_extra_latency_:
            return self._decline(request, NoPlacementReason.SATURATED, wait)
        remote = pool.list_remote(request.weights)
        refusal = check_crossing(pool, request, local, bool(remote), now)
        if refusal is not None:
            wait = wait if local else _UNKNOWN_RETRY_AFTER_S
            return self._decline(request, refusal, wait)
        choice = self._chooser.choose(pool, remote, request, now)
        if choice is None:
            return self._decline(request, NoPlacementReason.SATURATED, wait)
        size, priority = request.size_bytes, request.priority
        if not self._link.take(size, priority, now):
            refill = self._link.predict_wait(size, priority, now)
            return self._decline(
                request, NoPlacementReason.LINK_BUDGET_SPENT, refill
            )
        load, slots, _ = choice
        return self._place(request, (load, slots, PlacementReason.CROSS_REGION))

    def _place(self, request: PlacementRequest, choice: Choice) -> Placement:
        load, slots, reason = choice
        load.acquire(slots)
        self._pools[request.service].outstanding += 1
        require("placement-on-routable-server", load.routable, load.server.id)
        server = load.server.id
        _log.info("%s placed on %s: %s", request.service, server, reason.value)
        return Placement(load.server, reason)

    def _decline(
        self,
        request: PlacementRequest,
        reason: NoPlacementReason,
        retry_after: float,
    ) -> NoPlacement:
        _log.info(
            "%s not placed: %s, retry after %.3f s",
            request.service,
            reason.value,
            retry_after,
        )
        return NoPlacement(reason, Seconds(retry_after))

    def _observe_attempt(self, attempt: Attempt, now: Seconds) -> None:
        load = self._loads.get(attempt.server)
        pool = self._pools.get(attempt.service)
        if load is None or pool is None:
            return
        if load.observe(attempt, now):
            _log.info(
                "%s is draining according to its response", attempt.server
            )
            pool.invalidate_subset()
        if attempt.result is AttemptResult.OK:
            pool.observe_latency(attempt.latency, pool.is_local(load))


def make_router(
    location: Location,
    rng: random.Random,
    warmups: Mapping[ServiceName, Seconds] | None = None,
    region_link_bits_per_s: float = 15_000_000.0,
    domain_cost: float = 0.001,
    region_round_trip: float = 0.016,
) -> Router:
    """Make the router of a node.

    Parameters
    ----------
    location : Location
        Location of the node.
    rng : random.Random
        Random generator.
    warmups : mapping of ServiceName to Seconds, optional
        Duration of the ramp of cold servers by service; 5 s where absent.
    region_link_bits_per_s : float, default=15e6
        Bandwidth that all nodes of the region may use for requests.
    domain_cost : float, default=0.001
        Extra latency of a server in another failure domain, in seconds.
    region_round_trip : float, default=0.016
        Extra latency of other regions until it is measured, in seconds.

    Returns
    -------
    Router
        Router by subsets and measured load.

    Raises
    ------
    FindingsError
        If a parameter is out of bounds.

    Examples
    --------
    >>> router = make_router(
    ...     Location("node-1", "domain-1", "punjab"), random.Random(1)
    ... )
    >>> router.decide(
    ...     PlacementRequest("ordering", deadline=Seconds(2.0)), Seconds(1.0)
    ... )
    NoPlacement(reason=<NoPlacementReason.UNKNOWN_SERVICE: 'unknown-service'>, \
retry_after=1.0)
    """
    link = LinkBudget(region_link_bits_per_s / 8.0)
    return SubsetRouter(
        location, link, rng, warmups or {}, domain_cost, region_round_trip
    )
