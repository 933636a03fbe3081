"""Detection model that uses the real router in each node."""

import collections
import random
from collections.abc import Callable

from benchmarks._detection_cases import Fault, Size
from benchmarks._detection_model import OWN_REGION, FakeNode, Model
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

_WARM_UP_S = 40.0
_OBSERVATION_TIME_S = 30.0
# Window in which the faulty server's requests are counted: long enough for
# several requests at the rate before the fault, and no longer than a flapping
# server is down.
_COUNT_WINDOW_S = 2.0
_REMAINING_SHARE = 0.05


class RoutedModel(Model):
    """Model whose nodes choose servers by load and latency, as proxies do.

    A router avoids a slow server long before it is ejected, so detectors see
    few of its outcomes. The parameters are those of `Model`.
    """

    def __init__(
        self,
        size: Size,
        seed: int,
        detector_factory: Callable[
            [NodeId, RegionName], Detector
        ] = make_detector,
    ) -> None:
        super().__init__(size, seed, detector_factory)
        self._open_placements: dict[
            tuple[NodeId, ServerId], list[Placement]
        ] = collections.defaultdict(list)
        self._routers = {
            node.id: self._make_router(node, seed) for node in self.nodes
        }

    def _make_router(self, node: FakeNode, seed: int) -> Router:
        domain = self.servers[node.number % 2].failure_domain
        rng = random.Random(seed * 10_000 + node.number)
        router = make_router(Location(node.id, domain, OWN_REGION), rng)
        router.update(self.servers, Seconds(0.0))
        router.observe(LiveNodes(self.size.nodes), Seconds(0.0))
        return router

    def choose(self, node: FakeNode, remote: bool) -> ServerId | None:
        """Choose a server with the node's router."""
        now = Seconds(self.now)
        weights = None
        if not node.uniform_weights:
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
        self._open_placements[node.id, server].append(placement)
        return server

    def finish(self, node: FakeNode, attempt: Attempt) -> None:
        """Report the result to the router and release the slot."""
        now = Seconds(self.now)
        router = self._routers[node.id]
        router.observe(attempt, now)
        placements = self._open_placements[node.id, attempt.server]
        # The retry after an overdue attempt uses the slot of that attempt.
        if attempt.result is not AttemptResult.OVERDUE and placements:
            router.release(placements.pop(), now)


def find_traffic_drop(times: list[float], start: float, limit: float) -> float:
    """Return the time from the start until requests fall below 5%.

    Parameters
    ----------
    times : list of float
        Times of the requests to one server, in order.
    start : float
        Time of the fault; the rate is compared with that before the fault.
    limit : float
        Result in seconds when the requests stay above 5%.

    Examples
    --------
    >>> times = [n / 10 for n in range(200)]
    >>> find_traffic_drop(times, 15.0, 30.0)
    4.9
    """
    rate = sum(1 for at in times if at < start and at >= start - 10.0) / 10.0
    allowed = _REMAINING_SHARE * rate * _COUNT_WINDOW_S
    for begin in [start, *(at for at in times if at >= start)]:
        inside = sum(1 for at in times if begin < at <= begin + _COUNT_WINDOW_S)
        if inside < allowed:
            return round(min(begin - start, limit), 4)
    return limit


def measure_routed(size: Size, fault: Fault, seed: int) -> tuple[float, float]:
    """Return the times until the traffic and the weights have dropped.

    Returns
    -------
    tuple of float
        Seconds until the faulty server gets under 5% of its requests, and
        until its mean weight on the nodes is under 5% of an equal share. 30 s
        stands for never.
    """
    model = RoutedModel(size, seed)
    model.run_until(_WARM_UP_S + model.random.random())
    model.fault = fault
    start = model.fault_at = model.now
    ejected = _OBSERVATION_TIME_S
    while model.now - start < _OBSERVATION_TIME_S:
        model.run_until(model.now + 0.05)
        if (
            ejected == _OBSERVATION_TIME_S
            and model.measure_relative_weight() < _REMAINING_SHARE
        ):
            ejected = model.now - start
        traffic_drop = find_traffic_drop(
            model.faulty_server_requests, start, _OBSERVATION_TIME_S
        )
        if (
            ejected < _OBSERVATION_TIME_S
            and traffic_drop + _COUNT_WINDOW_S < model.now - start
        ):
            break
    return find_traffic_drop(
        model.faulty_server_requests, start, _OBSERVATION_TIME_S
    ), ejected
