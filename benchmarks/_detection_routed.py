"""The model of detection with the real router in each node."""

import collections
import random
from collections.abc import Callable

from benchmarks._detection_cases import Fault, Size
from benchmarks._detection_model import OWN, FakeNode, Model
from egretlever.core import (
    Attempt,
    AttemptResult,
    NodeId,
    RegionName,
    Seconds,
    ServerId,
)
from egretlever.detection import Detector, make_detector
from egretlever.routing import (
    LiveNodes,
    Location,
    Placement,
    PlacementRequest,
    Router,
    make_router,
)

_WARM_UP = 40.0
_WATCH = 30.0
# Time in which the victim's requests are counted: long enough for several at
# its first share, and no longer than a flapping server is down.
_WINDOW = 2.0
_LEFT = 0.05


class RoutedModel(Model):
    """Model whose nodes choose servers by load and latency, as proxies do.

    A router avoids a slow server long before it is ejected, so that detectors
    see few outcomes of it. Parameters are those of `Model`.
    """

    def __init__(
        self,
        size: Size,
        seed: int,
        make: Callable[[NodeId, RegionName], Detector] = make_detector,
    ) -> None:
        super().__init__(size, seed, make)
        self._held: dict[tuple[NodeId, ServerId], list[Placement]] = (
            collections.defaultdict(list)
        )
        self._routers = {
            node.id: self._make_router(node, seed) for node in self.nodes
        }

    def _make_router(self, node: FakeNode, seed: int) -> Router:
        domain = self.servers[node.number % 2].failure_domain
        rng = random.Random(seed * 10_000 + node.number)
        router = make_router(Location(node.id, domain, OWN), rng)
        router.update(self.servers, Seconds(0.0))
        router.observe(LiveNodes(self.size.nodes), Seconds(0.0))
        return router

    def choose(self, node: FakeNode, remote: bool) -> ServerId | None:
        """Choose a server with the node's router."""
        now = Seconds(self.now)
        weights = None
        if not node.calm:
            chosen = node.detector.select(self.servers, self.floor, now)
            weights = chosen.eligible
        request = PlacementRequest(
            self.servers[0].service,
            deadline=Seconds(now + 2.0),
            cross_region=False,
            weights=weights,
        )
        router = self._routers[node.id]
        router.advance(now)
        placement = router.decide(request, now)
        if not isinstance(placement, Placement):
            return None
        server = placement.server.id
        self._held[node.id, server].append(placement)
        return server

    def finish(self, node: FakeNode, attempt: Attempt) -> None:
        """Give the result to the router and release the slot."""
        now = Seconds(self.now)
        router = self._routers[node.id]
        router.observe(attempt, now)
        held = self._held[node.id, attempt.server]
        # The fresh attempt after an overdue one uses the slot of the first.
        if attempt.result is not AttemptResult.OVERDUE and held:
            router.release(held.pop(), now)


def find_drop(times: list[float], start: float, limit: float) -> float:
    """Return the time from the start until requests fall under 5%.

    Parameters
    ----------
    times : list of float
        Times of the requests to one server, in order.
    start : float
        Time of the fault. The rate before it is the first share.
    limit : float
        Result when the requests stay above 5%, in seconds.

    Examples
    --------
    >>> times = [n / 10 for n in range(200)]
    >>> find_drop(times, 15.0, 30.0)
    4.9
    """
    rate = sum(1 for at in times if at < start and at >= start - 10.0) / 10.0
    allowed = _LEFT * rate * _WINDOW
    for begin in [start, *(at for at in times if at >= start)]:
        inside = sum(1 for at in times if begin < at <= begin + _WINDOW)
        if inside < allowed:
            return round(min(begin - start, limit), 4)
    return limit


def measure_routed(size: Size, fault: Fault, seed: int) -> tuple[float, float]:
    """Return the times until the traffic and the weights are gone.

    Returns
    -------
    tuple of float
        Seconds until the victim gets under 5% of its requests, and until its
        weight on all nodes is under 5% of its share; 30 s for never.
    """
    model = RoutedModel(size, seed)
    model.run_until(_WARM_UP + model.random.random())
    model.fault = fault
    start = model.fault_at = model.now
    ejected = _WATCH
    while model.now - start < _WATCH:
        model.run_until(model.now + 0.05)
        if ejected == _WATCH and model.share() < _LEFT:
            ejected = model.now - start
        drop = find_drop(model.victim_requests, start, _WATCH)
        if ejected < _WATCH and drop + _WINDOW < model.now - start:
            break
    return find_drop(model.victim_requests, start, _WATCH), ejected
