"""Index of routes, to find the route of a request."""

from collections.abc import Iterable

from egretlever.catalogue._entries import Route

ANY_HOST = "*"
_ANY_METHOD = ""
_RoutesByMethod = dict[str, Route]


def normalise_path(path: str) -> str:
    """Return a path prefix without trailing slashes.

    Examples
    --------
    >>> normalise_path("/kits/"), normalise_path("/")
    ('/kits', '/')
    """
    return path.rstrip("/") or "/"


def normalise_host(host: str) -> str:
    """Return a host in lower case without its port.

    Examples
    --------
    >>> normalise_host("Shop.example:8080"), normalise_host("[::1]:80")
    ('shop.example', '[::1]')
    """
    host = host.lower()
    name, separator, port = host.rpartition(":")
    if separator and port.isdecimal() and (":" not in name or name[-1] == "]"):
        host = name
    return host.removesuffix(".")


class _PathTable:
    """Routes of one host by path prefix."""

    __slots__ = ("routes_by_path", "max_depth")

    def __init__(self) -> None:
        self.routes_by_path: dict[str, _RoutesByMethod] = {}
        self.max_depth = 0

    def add(self, route: Route) -> None:
        path = normalise_path(route.path)
        routes_by_method = self.routes_by_path.setdefault(path, {})
        for method in route.methods or (_ANY_METHOD,):
            routes_by_method.setdefault(method, route)
        self.max_depth = max(self.max_depth, path.count("/"))

    def remove(self, route: Route) -> None:
        path = normalise_path(route.path)
        routes_by_method = self.routes_by_path.get(path, {})
        for method in route.methods or (_ANY_METHOD,):
            indexed_route = routes_by_method.get(method)
            if indexed_route is not None and indexed_route.id == route.id:
                del routes_by_method[method]
        if not routes_by_method:
            self.routes_by_path.pop(path, None)

    def find(self, method: str, path: str) -> Route | None:
        # Prefixes deeper than any route are not looked up, so the cost does not
        # grow with the number of slashes in a hostile path.
        prefix_ends: list[int] = []
        end = path.find("/", 1)
        while end != -1 and len(prefix_ends) < self.max_depth:
            prefix_ends.append(end)
            end = path.find("/", end + 1)
        if end == -1 and len(prefix_ends) < self.max_depth:
            prefix_ends.append(len(path))
        for end in reversed(prefix_ends):
            routes_by_method = self.routes_by_path.get(path[:end])
            if routes_by_method is not None:
                route = routes_by_method.get(method) or routes_by_method.get(
                    _ANY_METHOD
                )
                if route is not None:
                    return route
        root = self.routes_by_path.get("/")
        if root is None:
            return None
        return root.get(method) or root.get(_ANY_METHOD)


class RouteIndex:
    """Finds the route of a request.

    Routes of the exact host take precedence over routes of any host. Among
    them the longest path prefix that ends at a segment boundary wins. For equal
    paths, a route that names the method takes precedence over one for all
    methods. Routes that do not accept the method are skipped.

    Parameters
    ----------
    routes : iterable of Route
        Routes of one catalogue.
    """

    __slots__ = ("_tables",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self._tables: dict[str, _PathTable] = {}
        self.replace((), routes)

    def replace(self, removed: Iterable[Route], added: Iterable[Route]) -> None:
        """Replace routes; all old ones are removed before new ones are added.

        Parameters
        ----------
        removed : iterable of Route
            Previous form of changed and removed routes.
        added : iterable of Route
            Current form of changed and new routes.
        """
        for route in removed:
            table = self._tables.get(route.host)
            if table is None:
                # Another route for the same requests was indexed instead. The
                # checks reject such a catalogue, but a faulty peer may send it.
                continue
            table.remove(route)
            if not table.routes_by_path:
                del self._tables[route.host]
        for route in added:
            self._tables.setdefault(route.host, _PathTable()).add(route)

    def find(self, method: str, host: str, path: str) -> Route | None:
        """Find the route of a request.

        Parameters
        ----------
        method : str
            Method in upper case.
        host : str
            Host header, with or without a port, in any case.
        path : str
            Target in origin form. A query is ignored.

        Returns
        -------
        Route or None
            None when no route matches.
        """
        if not path.startswith("/"):
            return None
        path = path.partition("?")[0]
        tables = self._tables
        table = tables.get(host) or tables.get(normalise_host(host))
        if table is not None:
            route = table.find(method, path)
            if route is not None:
                return route
        table = tables.get(ANY_HOST)
        return table.find(method, path) if table is not None else None
