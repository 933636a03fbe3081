"""Typed entries of the catalogue."""

import dataclasses

from egretlever.core import (
    OrderMode,
    RankName,
    RouteId,
    Seconds,
    ServiceName,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """Priority class of requests.

    Parameters
    ----------
    name : RankName
        Unique name.
    priority : int
        0 is the most urgent; priorities are unique.
    worth : float
        Value of one request that is answered on time.
    minimum_share : float
        Share of dispatches, 0 to 1, reserved for the rank while it has waiting
        requests.
    target : Seconds
        Time within which a response counts as on time.
    cross_region : bool
        Whether requests may cross the link between regions.
    """

    name: RankName
    priority: int
    worth: float
    minimum_share: float
    target: Seconds
    cross_region: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the limits of its requests.

    Parameters
    ----------
    name : ServiceName
        Unique name.
    owner : str
        Team that owns the service.
    rank : RankName
        Default rank of the service's requests.
    floor_share : float
        Share of the service's slots, 0 to 1, that ejections must leave in
        service.
    queue_limit : int
        Maximum number of requests that wait in one node.
    timeout : Seconds
        Time limit of a request without a deadline.
    max_attempts : int
        Maximum number of attempts per request.
    retry_budget : float
        Retries and hedges allowed per first attempt.
    order_mode : OrderMode
        Handling of orders while the store is unavailable.
    warmup : Seconds
        Time over which a cold server ramps up to its full share of requests.
    concurrency_limit : int
        Maximum number of requests that one node has in flight for the service.
    hedge : bool
        Whether slow idempotent requests are hedged.
    """

    name: ServiceName
    owner: str
    rank: RankName
    floor_share: float
    queue_limit: int
    timeout: Seconds
    max_attempts: int
    retry_budget: float
    order_mode: OrderMode
    warmup: Seconds
    concurrency_limit: int
    hedge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rule that maps requests to a service.

    Parameters
    ----------
    id : RouteId
        Unique name.
    host : str
        Host in lower case without a port, or ``*`` for any.
    path : str
        Path prefix, matched up to a segment boundary.
    methods : tuple of str
        Methods in upper case; empty for all.
    service : ServiceName
        Service that gets the requests.
    rank : RankName or None
        Overrides the rank of the service.
    order : bool
        Whether requests are orders: not idempotent, with an order key.
    timeout : Seconds or None
        Overrides the time limit of the service.
    worth : float or None
        Overrides the worth of the rank.
    """

    id: RouteId
    host: str
    path: str
    methods: tuple[str, ...]
    service: ServiceName
    rank: RankName | None
    order: bool
    timeout: Seconds | None
    worth: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class ResolvedRoute:
    """Rank, timeout and worth of a route, with defaults resolved.

    Parameters
    ----------
    rank : Rank
        Rank of the route, or else of its service.
    timeout : Seconds
        Time limit of the route, or else of its service.
    worth : float
        Worth of the route, or else of its rank.
    """

    rank: Rank
    timeout: Seconds
    worth: float
