"""Routes that only servers use, told by the hosts from which requests come."""

import collections
import math

from egretlever.core import RouteId

# A route is taken for one that only servers use when clients would have left no
# trace on it with this probability.
_MAX_ERROR_PROBABILITY = 0.01


class CallRoutes:
    """Learns which routes of a service only the servers of others use.

    Servers call other services only, while clients send from all hosts alike. A
    route that gets requests, but none from the hosts of its own service, is
    therefore used by servers only.

    Examples
    --------
    >>> routes = CallRoutes()
    >>> for _ in range(10):
    ...     routes.observe(RouteId("lookup"), from_client=False)
    >>> routes.decide(RouteId("lookup"), host_share=0.5)
    True
    """

    def __init__(self) -> None:
        self._client_routes: set[RouteId] = set()
        self._other_arrivals: collections.Counter[RouteId] = (
            collections.Counter()
        )

    def observe(self, route: RouteId, from_client: bool) -> None:
        """Record a request.

        Parameters
        ----------
        route : RouteId
            Its route.
        from_client : bool
            Whether it began on a host of the route's own service.
        """
        if from_client:
            self._client_routes.add(route)
        else:
            self._other_arrivals[route] += 1

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
        if route in self._client_routes or not 0 < host_share < 1:
            return False
        needed = math.log(_MAX_ERROR_PROBABILITY) / math.log(1 - host_share)
        return self._other_arrivals[route] >= needed
