"""Matching of requests to routes, and weighted choice of services."""

import random

from egretlever.core import RouteId, ServiceName
from egretlever.placement._records import Configuration, Route


class RouteTable:
    """Routes of one configuration, matched by host and longest prefix.

    The services of a route are chosen by smooth weighted round robin, which
    keeps the requests of each service within one of their exact share. Each
    node begins at a random point of the round, so that nodes with little
    traffic do not all send their first requests to the same service.

    Parameters
    ----------
    configuration : Configuration
        Configuration to serve.
    rng : random.Random
        Random generator for the points at which rounds begin.

    Attributes
    ----------
    configuration : Configuration
        Configuration that is served.
    """

    def __init__(
        self, configuration: Configuration, rng: random.Random
    ) -> None:
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        self._credits: dict[RouteId, list[float]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
            if len(route.backends) > 1:
                total = sum(backend.weight for backend in route.backends)
                self._credits[route.id] = [
                    rng.random() * total for _ in route.backends
                ]

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest that matches the path.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without a port.
        path : str
            Path of the request, with or without a query string.

        Returns
        -------
        Route or None
            None when no route matches.
        """
        routes = self._hosts.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def choose_service(self, route: Route) -> ServiceName:
        """Choose the service of a request by the weights of its route."""
        credits = self._credits.get(route.id)
        if credits is None:
            return route.backends[0].service
        total = 0.0
        for index, backend in enumerate(route.backends):
            credits[index] += backend.weight
            total += backend.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.backends[best].service
