"""Uses detection and routing as a library, without nodes or sockets.

A custom front end reports outcomes to a detector and asks a router for a
server. One of four servers fails; after a few outcomes the router no longer
chooses it.
"""

import random

from egretlever.core import AttemptResult, NodeId, RegionName, Seconds
from egretlever.detection import Member, make_detector
from egretlever.routing import Placement, PlacementRequest, make_router
from egretlever.testing import builders

_FLOOR_SLOTS = 8
_REQUESTS = 400
_INTERVAL_S = 0.02  # between requests


def run(seed: int = 1) -> list[int]:
    """Send requests while one server fails.

    Parameters
    ----------
    seed : int, default=1
        Seed of the router's choices.

    Returns
    -------
    list of int
        Requests sent to the failing server in each quarter of the run. The
        server fails from the second quarter on.

    Examples
    --------
    >>> first, *_, last = run()
    >>> first > 10, last
    (True, 0)
    """
    servers = [
        builders.build_server(number, region=RegionName("punjab"))
        for number in range(1, 5)
    ]
    now = Seconds(0.0)
    router = make_router(builders.build_location(), random.Random(seed))
    router.update(servers, now)
    detector = make_detector(NodeId("node-1"), RegionName("punjab"))
    detector.update_members(
        [Member(NodeId("node-1"), RegionName("punjab"))], now
    )
    detector.update_servers(servers, now)
    counts = [0, 0, 0, 0]
    for number in range(_REQUESTS):
        now = Seconds(number * _INTERVAL_S)
        detector.advance(now)
        selection = detector.select(servers, _FLOOR_SLOTS, now)
        request = PlacementRequest(
            servers[0].service,
            Seconds(now + 1.0),
            weights=selection.eligible,
        )
        placement = router.decide(request, now)
        if not isinstance(placement, Placement):
            continue
        quarter = number * 4 // _REQUESTS
        failing = placement.server is servers[0]
        counts[quarter] += failing
        result = (
            AttemptResult.REFUSED if failing and quarter else AttemptResult.OK
        )
        attempt = builders.build_attempt(
            placement.server, result, sent=result is AttemptResult.OK
        )
        detector.observe(attempt, now)
        router.observe(attempt, now)
        router.release(placement, now)
    return counts


if __name__ == "__main__":
    print("requests on the failing server in each quarter:", run())
