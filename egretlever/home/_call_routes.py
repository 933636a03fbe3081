"""Use of routes by servers, told by the hosts from which requests come."""

import dataclasses
import math

from egretlever.core import RouteId

# A route is taken for one that only servers use when clients would have left no
# trace on it with this probability.
_MAX_ERROR_PROBABILITY = 0.01
# Requests of a route after which earlier ones count half.
_MAX_COUNTED = 400


@dataclasses.dataclass(slots=True)
class _RouteCounts:
    """Requests of one route by where they came from."""

    from_clients: float = 0.0
    from_others: float = 0.0
    marked: float = 0.0

    def observe(self, from_client: bool, marked: bool) -> None:
        """Count a request, and give less weight to old ones."""
        self.from_clients += from_client
        self.from_others += not from_client
        self.marked += marked
        if self.from_clients + self.from_others > _MAX_COUNTED:
            self.from_clients /= 2
            self.from_others /= 2
            self.marked /= 2


class CallRoutes:
    """Learns how far the servers of other services use a service's routes.

    Servers call other services only, while clients send from all hosts alike. A
    route that gets requests, but none from the hosts of its own service, is
    therefore used by servers only.

    Examples
    --------
    >>> routes = CallRoutes()
    >>> for _ in range(10):
    ...     routes.observe(RouteId("lookup"), from_client=False, marked=True)
    >>> routes.decide(RouteId("lookup"), host_share=0.5)
    True
    """

    def __init__(self) -> None:
        self._counts: dict[RouteId, _RouteCounts] = {}

    def observe(self, route: RouteId, from_client: bool, marked: bool) -> None:
        """Record a request.

        Parameters
        ----------
        route : RouteId
            Its route.
        from_client : bool
            Whether it began on a host of the route's own service.
        marked : bool
            Whether it may be a nested call of a retried request.
        """
        counts = self._counts.setdefault(route, _RouteCounts())
        counts.observe(from_client, marked)

    def decide(self, route: RouteId, host_share: float) -> bool:
        """Tell whether only servers use a route; false while unknown.

        Parameters
        ----------
        route : RouteId
            The route.
        host_share : float
            Share of the fleet's hosts that have a server of the route's
            service.
        """
        counts = self._counts.get(route)
        if counts is None or counts.from_clients or not 0 < host_share < 1:
            return False
        needed = math.log(_MAX_ERROR_PROBABILITY) / math.log(1 - host_share)
        return counts.from_others >= needed

    def estimate_call_share(self, route: RouteId, host_share: float) -> float:
        """Return the share of the marked requests that are calls, at most.

        Clients are expected to send as many requests from other hosts, in
        proportion, as from the hosts of the service. What is beyond that comes
        from servers.

        Parameters
        ----------
        route : RouteId
            The route.
        host_share : float
            Share of the fleet's hosts that have a server of the route's
            service.
        """
        counts = self._counts.get(route)
        if counts is None or not counts.marked or not 0 < host_share < 1:
            return 1.0
        expected = counts.from_clients * (1 - host_share) / host_share
        calls = max(0.0, counts.from_others - expected)
        return min(1.0, calls / counts.marked)
