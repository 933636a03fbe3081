"""Matching of requests to routes, and weighted choice of services."""

import random

from egretlever.core import RouteId, ServiceName
from egretlever.placement._records import Configuration, Route


class RouteTable:
    """Routes of one configuration, matched by host and longest prefix.

    The services of a route are chosen in a weighted round, which keeps the
    requests of each service close to their exact share. The round begins at a
    random point, so that each request, even the first one of a new version,
    goes to a service with the probability of its share.

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
    version : Version
        Its version.
    """

    def __init__(
        self, configuration: Configuration, rng: random.Random
    ) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self._hosts: dict[str, dict[str, Route]] = {}
        # For each service of a split route but the last one, the part of a
        # request that it has been due since its latest one.
        self._due: dict[RouteId, list[float]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
            self._due[route.id] = [rng.random() for _ in route.backends[1:]]

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
        due = self._due[route.id]
        rest = sum(backend.weight for backend in route.backends)
        for index, backend in enumerate(route.backends[:-1]):
            # The share of the requests that no service before this one took.
            due[index] += backend.weight / rest
            if due[index] >= 1.0:
                due[index] -= 1.0
                return backend.service
            rest -= backend.weight
        return route.backends[-1].service
