"""Choice among the servers of a subset."""

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from egretlever.core import FailureDomain, Seconds
from egretlever.routing._interface import PlacementReason, PlacementRequest
from egretlever.routing._pools import ServicePool
from egretlever.routing._servers import ServerLoad

# Two free servers are found within six draws unless most are saturated.
_DRAWS = 6

# A server counts as free in a draw with at least this part of a slot left by
# the node's attempts and the reported load of other nodes. 0.5 and 1.2 met
# more shed replies in the flood benchmark.
_LEAST_FREE = 0.9

# Expected times within this factor count as equal. Otherwise the remains of
# an old hint or latency would keep a server of an idle service without work.
# One attempt more or less on up to five still counts.
_TIE = 1.2

# Chance of a server that is reported full against one with a free slot.
_LEAST_CHANCE = 0.02

Choice = tuple[ServerLoad, int, PlacementReason]


class _Rated(NamedTuple):
    """A server as a candidate.

    ``share`` is its weight and ramp, ``slots`` is 0 without a free slot under
    its limit, ``free`` is the estimate of slots that no node uses, and
    ``expected`` is the expected time, raised by a low share.
    """

    load: ServerLoad
    share: float
    slots: int
    free: float
    expected: float


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
        first: _Rated | None = None
        for _ in range(_DRAWS):
            load = loads[int(self._rng.random() * len(loads))]
            if first is not None and load is first.load:
                continue
            drawn = self._rate(pool, load, request, now)
            if drawn.slots == 0 or drawn.free < _LEAST_FREE:
                continue
            if load.outstanding >= pool.find_even_load(load):
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

        Between servers that are nearly equal, the own failure domain wins,
        and otherwise the one that was drawn first.
        """
        if first.expected > _TIE * second.expected:
            return second
        if second.expected > _TIE * first.expected:
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

        A bad server often is the only free one, since it fails fast. It is
        taken only as often as its weight against the best of the subset says.
        """
        rated = [self._rate(pool, load, request, now) for load in loads]
        best = max(item.share for item in rated)
        free = [item for item in rated if item.slots > 0]
        if not free:
            return None
        if self._rng.random() * best >= max(item.share for item in free):
            return None
        shares = [item.share * max(item.free, _LEAST_CHANCE) for item in free]
        item = self._rng.choices(free, shares)[0]
        return item.load, item.slots, PlacementReason.ONLY_FREE

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
