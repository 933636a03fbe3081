"""Entries of the catalogue as typed records with units."""

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
    """Class of work.

    Parameters
    ----------
    name : RankName
        Unique name.
    priority : int
        0 is the most urgent; no two ranks share one.
    worth : float
        Worth of one request that is answered on time.
    minimum_share : float
        Share of dispatches, 0 to 1, kept while the rank has waiting work.
    target : Seconds
        Time in which an answer counts as on time.
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
        Rank of requests whose route names none.
    floor_share : float
        Share of the slots, 0 to 1, that ejection must leave.
    queue_limit : int
        Requests waiting in one node.
    timeout : Seconds
        Time limit of a request without a deadline.
    max_attempts : int
        Attempts for one request.
    retry_budget : float
        Retries and hedges per first attempt.
    order_mode : OrderMode
        Handling of orders while the store is away.
    warmup : Seconds
        Ramp of a cold server.
    concurrency_limit : int
        Requests that one node has in flight for the service.
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
    """Requests that go to one service.

    Parameters
    ----------
    id : RouteId
        Unique name.
    host : str
        Host in lower case without a port, or ``*`` for any.
    path : str
        Path prefix that ends at a segment boundary.
    methods : tuple of str
        Methods in upper case; empty for all.
    service : ServiceName
        Service that gets the requests.
    rank : RankName or None
        Rank instead of the service's.
    order : bool
        Whether requests are orders: not idempotent, with an order key.
    timeout : Seconds or None
        Time limit instead of the service's.
    worth : float or None
        Worth instead of the rank's.
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
class Terms:
    """What applies to the requests of a route, with defaults resolved.

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
