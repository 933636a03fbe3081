"""What a node knows of one request besides its head and body."""

import dataclasses

from egretlever.core import (
    CallerId,
    OrderKey,
    RankName,
    RequestId,
    RouteId,
    Seconds,
    ServiceName,
)
from egretlever.transport import RequestError, RequestHead, headers

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_MAX_KEY_LENGTH = 200
_MAX_DEADLINE = 3600.0  # seconds
_ANONYMOUS = CallerId("anonymous")


@dataclasses.dataclass(frozen=True, slots=True)
class RouteChoice:
    """Route of a request with the limits of its service and rank.

    Parameters
    ----------
    route : RouteId
        Route that matched.
    service : ServiceName
        Service that gets the request.
    rank : RankName
        Rank of the route.
    order : bool
        Whether the request is an order.
    timeout : Seconds
        Time limit of a request without a deadline.
    worth : float
        Worth of an answer on time.
    """

    route: RouteId
    service: ServiceName
    rank: RankName
    order: bool
    timeout: Seconds
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """One request on its way through the node.

    Parameters
    ----------
    id : RequestId
        Id given by this node.
    choice : RouteChoice
        Route with its limits.
    caller : CallerId
        Caller, from its header or its address.
    rank : RankName
        Rank, from the header or the route.
    received_at, deadline : Seconds
        Readings of the local clock.
    idempotent : bool
        Whether the request may run more than once.
    order_key : OrderKey or None
        Key of an order.
    attempt : int
        Number of the caller's attempt, 1 for the first.
    """

    id: RequestId
    choice: RouteChoice
    caller: CallerId
    rank: RankName
    received_at: Seconds
    deadline: Seconds
    idempotent: bool
    order_key: OrderKey | None
    attempt: int


def make_context(
    head: RequestHead,
    choice: RouteChoice,
    request_id: RequestId,
    peer: str,
    now: Seconds,
) -> RequestContext:
    """Read what the caller says of its request in headers.

    Parameters
    ----------
    head : RequestHead
        Head of the request.
    choice : RouteChoice
        Route that matched.
    request_id : RequestId
        New id of the request.
    peer : str
        IP number of the caller, its name when it gives none.
    now : Seconds
        Reading of the local clock.

    Returns
    -------
    RequestContext
        What the node knows of the request.

    Raises
    ------
    RequestError
        With status 400 for headers that can't be read, and for an order
        without a key.
    """
    key = _read_key(head, choice)
    return RequestContext(
        id=request_id,
        choice=choice,
        caller=CallerId(head.find(headers.CALLER) or peer or _ANONYMOUS),
        rank=RankName(head.find(headers.RANK) or choice.rank),
        received_at=now,
        deadline=Seconds(now + _read_time_left(head, choice)),
        idempotent=not choice.order and head.method in _IDEMPOTENT_METHODS,
        order_key=key,
        attempt=_read_number(head, headers.ATTEMPT, 1),
    )


def _read_key(head: RequestHead, choice: RouteChoice) -> OrderKey | None:
    if not choice.order:
        return None
    key = head.find(headers.ORDER_KEY)
    if not key:
        raise RequestError(400, "an order needs Egretlever-Order-Key")
    if len(key) > _MAX_KEY_LENGTH or not key.isprintable() or " " in key:
        raise RequestError(
            400,
            f"Egretlever-Order-Key is not 1 to {_MAX_KEY_LENGTH} printable "
            "characters without spaces",
        )
    return OrderKey(key)


def _read_time_left(head: RequestHead, choice: RouteChoice) -> float:
    default = int(choice.timeout * 1000)
    left = _read_number(head, headers.DEADLINE, default) / 1000
    return min(left, _MAX_DEADLINE)


def _read_number(head: RequestHead, name: bytes, default: int) -> int:
    text = head.find(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdecimal() or len(text) > 9:
        raise RequestError(400, f"{name.decode()} is not a whole number")
    return int(text)
