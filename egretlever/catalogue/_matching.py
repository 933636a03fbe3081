"""Search for the route of a request."""

from collections.abc import Iterable

from egretlever.catalogue._entries import Route

ANY_HOST = "*"
_ANY_METHOD = ""
_Bucket = dict[str, Route]


def normalise_path(path: str) -> str:
    """Return a path prefix without slashes at its end.

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

    __slots__ = ("buckets", "depth")

    def __init__(self) -> None:
        self.buckets: dict[str, _Bucket] = {}
        self.depth = 0

    def add(self, route: Route) -> None:
        path = normalise_path(route.path)
        bucket = self.buckets.setdefault(path, {})
        for method in route.methods or (_ANY_METHOD,):
            bucket.setdefault(method, route)
        self.depth = max(self.depth, path.count("/"))

    def remove(self, route: Route) -> None:
        path = normalise_path(route.path)
        bucket = self.buckets.get(path, {})
        for method in route.methods or (_ANY_METHOD,):
            held = bucket.get(method)
            if held is not None and held.id == route.id:
                del bucket[method]
        if not bucket:
            self.buckets.pop(path, None)

    def find(self, method: str, path: str) -> Route | None:
        # Prefixes deeper than any route are never looked up, so the cost does
        # not grow with the number of slashes in a hostile path.
        ends: list[int] = []
        end = path.find("/", 1)
        while end != -1 and len(ends) < self.depth:
            ends.append(end)
            end = path.find("/", end + 1)
        if end == -1 and len(ends) < self.depth:
            ends.append(len(path))
        for end in reversed(ends):
            bucket = self.buckets.get(path[:end])
            if bucket is not None:
                route = bucket.get(method) or bucket.get(_ANY_METHOD)
                if route is not None:
                    return route
        root = self.buckets.get("/")
        if root is None:
            return None
        return root.get(method) or root.get(_ANY_METHOD)


class RouteIndex:
    """Finds the route of a request.

    Routes of the exact host come before routes of any host. Among them the
    longest path prefix that ends at a segment boundary wins, and at the same
    path a route that names the method wins over one for all methods. A route
    that does not accept the method is passed over.

    Parameters
    ----------
    routes : iterable of Route
        Routes of one catalogue.
    """

    __slots__ = ("_tables",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self._tables: dict[str, _PathTable] = {}
        self.replace((), routes)

    def replace(self, gone: Iterable[Route], added: Iterable[Route]) -> None:
        """Replace routes; all old ones go before a new one is added.

        Parameters
        ----------
        gone : iterable of Route
            Routes as they were, whether changed or removed.
        added : iterable of Route
            Routes as they are, whether changed or new.
        """
        for route in gone:
            table = self._tables.get(route.host)
            if table is None:
                # Another route of the same requests held its place, which the
                # check refuses but a peer may send.
                continue
            table.remove(route)
            if not table.buckets:
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
