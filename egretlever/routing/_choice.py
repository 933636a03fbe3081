"""Choice among the servers of a subset."""

import random
from collections.abc import Sequence

from egretlever.core import FailureDomain, Seconds
from egretlever.routing._interface import PlacementReason, PlacementRequest
from egretlever.routing._pools import ServicePool
from egretlever.routing._servers import ServerLoad

# Two free servers are found within six draws unless most are saturated.
_DRAWS = 6

Choice = tuple[ServerLoad, int, PlacementReason]


class ServerChooser:
    """Power of two choices over free, weighted servers.

    Two servers are drawn at random with their weight and ramp, and the one
    with the lower expected time is taken. Random draws keep nodes from
    meeting on the server that all of them last saw free.

    Parameters
    ----------
    failure_domain : FailureDomain
        Failure domain of the node.
    domain_cost : float
        Extra seconds of a server in another failure domain.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = ("_domain", "_domain_cost", "_rng")

    def __init__(
        self,
        failure_domain: FailureDomain,
        domain_cost: float,
        rng: random.Random,
    ) -> None:
        self._domain = failure_domain
        self._domain_cost = domain_cost
        self._rng = rng

    def choose(
        self,
        pool: ServicePool,
        loads: Sequence[ServerLoad],
        request: PlacementRequest,
        now: Seconds,
    ) -> Choice | None:
        """Return a server with a free slot, its slots and the reason."""
        if not loads:
            return None
        first: tuple[float, ServerLoad, int] | None = None
        for _ in range(_DRAWS):
            load = loads[int(self._rng.random() * len(loads))]
            if first is not None and load is first[1]:
                continue
            share, slots = self._rate(pool, load, request, now)
            if slots == 0 or (share < 1.0 and self._rng.random() >= share):
                continue
            drawn = (self._expect(pool, load, share, slots, now), load, slots)
            if first is None:
                first = drawn
                continue
            _, load, slots = min(first, drawn, key=lambda item: item[0])
            return load, slots, PlacementReason.LESS_LOADED
        if first is not None:
            return first[1], first[2], PlacementReason.SAMPLED
        return self._scan(pool, loads, request, now)

    def _scan(
        self,
        pool: ServicePool,
        loads: Sequence[ServerLoad],
        request: PlacementRequest,
        now: Seconds,
    ) -> Choice | None:
        """Choose among all free servers by weight.

        A bad server often is the only free one, since it fails fast. It is
        taken only as often as its weight against the best of the subset says.
        """
        rated = [
            (load, *self._rate(pool, load, request, now)) for load in loads
        ]
        best = max(share for _, share, _ in rated)
        free = [item for item in rated if item[2] > 0]
        if not free:
            return None
        shares = [share for _, share, _ in free]
        if self._rng.random() * best >= max(shares):
            return None
        load, _, slots = self._rng.choices(free, shares)[0]
        return load, slots, PlacementReason.ONLY_FREE

    def _rate(
        self,
        pool: ServicePool,
        load: ServerLoad,
        request: PlacementRequest,
        now: Seconds,
    ) -> tuple[float, int]:
        """Return the share of a server and its slots, 0 without a free one."""
        server = load.server.id
        if not load.routable or server in request.exclude:
            return 0.0, 0
        ramp = load.ramp(pool.warmup, now)
        share = ramp
        if request.weights is not None:
            share *= request.weights.get(server, 0.0)
        slots = load.count_slots(ramp)
        if share <= 0.0 or load.outstanding >= slots:
            return share, 0
        return share, slots

    def _expect(
        self,
        pool: ServicePool,
        load: ServerLoad,
        share: float,
        slots: int,
        now: Seconds,
    ) -> float:
        """Return the expected time on a server, raised by a low share."""
        time = load.latency(pool.latency_, now)
        if load.server.failure_domain != self._domain:
            time += self._domain_cost
        busy = load.estimate_load(pool.latency_, now)
        return time * (busy + 1.0) / (slots * share)
