"""Load-balanced choice among the servers of a subset."""

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from egretlever.core import FailureDomain, Seconds
from egretlever.routing._interface import PlacementReason, PlacementRequest
from egretlever.routing._pools import ServicePool
from egretlever.routing._servers import ServerLoad

# Random draws per choice. Six find two free servers unless most are saturated.
_MAX_DRAWS = 6

# Free slots from which on a drawn server counts as free, after the node's own
# attempts and the reported load of other nodes. 0.5 and 1.2 caused more shed
# replies in the flood benchmark.
_MIN_FREE_SLOTS = 0.9

# Expected times within this factor count as equal. Otherwise the residue of an
# old load report or latency would starve a server of an idle service. One
# attempt more still makes a difference up to five outstanding attempts.
_TIE_FACTOR = 1.2

# Weight of a server that is reported full, relative to one with a free slot.
_MIN_FREE_WEIGHT = 0.02

Choice = tuple[ServerLoad, int, PlacementReason]


class _Rated(NamedTuple):
    """A candidate server with its rating.

    ``share`` is the product of its weight and its ramp. ``slots`` is its limit
    of outstanding attempts, 0 when it is reached. ``free`` estimates the slots
    that no node uses. ``expected`` is the expected time, divided by ``share``.
    """

    load: ServerLoad
    share: float
    slots: int
    free: float
    expected: float


class ServerChooser:
    """Power of two choices over free, weighted servers.

    Two servers are drawn at random by their weight and ramp, and the one with
    the lower expected time is chosen. The random draws prevent herding, in
    which all nodes choose the server that was last reported as free.

    Parameters
    ----------
    failure_domain : FailureDomain
        Failure domain of the node.
    domain_cost : float
        Extra latency of a server in another failure domain, in seconds.
    rng : random.Random
        Random generator.
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
        """Choose a server with a free slot.

        Returns
        -------
        Choice or None
            The server, its limit of outstanding attempts and the reason.
        """
        if not loads:
            return None
        first: _Rated | None = None
        for _ in range(_MAX_DRAWS):
            load = loads[int(self._rng.random() * len(loads))]
            if first is not None and load is first.load:
                continue
            drawn = self._rate(pool, load, request, now)
            if drawn.slots == 0 or drawn.free < _MIN_FREE_SLOTS:
                continue
            if load.outstanding >= pool.find_fair_share(load):
                continue
            if drawn.share < 1.0 and self._rng.random() >= drawn.share:
                continue
            if first is None:
                first = drawn
                continue
            better = self._compare(first, drawn)
            return better.load, better.slots, PlacementReason.LESS_LOADED
        if first is not None:
            return first.load, first.slots, PlacementReason.SAMPLED
        return self._scan(pool, loads, request, now)

    def _compare(self, first: _Rated, second: _Rated) -> _Rated:
        """Return the better of two servers.

        Between servers that are nearly equal, one in the own failure domain
        is preferred, otherwise the one that was drawn first.
        """
        if first.expected > _TIE_FACTOR * second.expected:
            return second
        if second.expected > _TIE_FACTOR * first.expected:
            return first
        if first.load.server.failure_domain == self._domain:
            return first
        if second.load.server.failure_domain == self._domain:
            return second
        return first

    def _scan(
        self,
        pool: ServicePool,
        loads: Sequence[ServerLoad],
        request: PlacementRequest,
        now: Seconds,
    ) -> Choice | None:
        """Choose among all servers by weight and estimated free slots.

        A failing server is often the only free one, since it fails fast. It is
        therefore chosen with a probability of at most its share, relative to
        the highest share in the subset.
        """
        rated = [self._rate(pool, load, request, now) for load in loads]
        best = max(candidate.share for candidate in rated)
        free = [candidate for candidate in rated if candidate.slots > 0]
        if not free:
            return None
        if self._rng.random() * best >= max(
            candidate.share for candidate in free
        ):
            return None
        shares = [
            candidate.share * max(candidate.free, _MIN_FREE_WEIGHT)
            for candidate in free
        ]
        candidate = self._rng.choices(free, shares)[0]
        return candidate.load, candidate.slots, PlacementReason.ONLY_FREE

    def _rate(
        self,
        pool: ServicePool,
        load: ServerLoad,
        request: PlacementRequest,
        now: Seconds,
    ) -> "_Rated":
        server = load.server
        if not load.routable or server.id in request.exclude:
            return _Rated(load, 0.0, 0, 0.0, math.inf)
        ramp = load.ramp(pool.warmup, now)
        share = ramp
        if request.weights is not None:
            share *= request.weights.get(server.id, 0.0)
        slots = load.count_slots(ramp)
        if share <= 0.0 or load.outstanding >= slots:
            return _Rated(load, share, 0, 0.0, math.inf)
        time = load.latency(pool.latency_, now)
        if server.failure_domain != self._domain:
            time += self._domain_cost
        busy = load.estimate_load(pool.latency_, now)
        expected = time * (busy + 1.0) / (server.slots * share)
        return _Rated(load, share, slots, server.slots - busy, expected)
