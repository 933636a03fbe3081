"""Route, caller, rank and deadline of one request."""

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
    """Matched route of a request with the settings of its service and rank.

    Parameters
    ----------
    route : RouteId
        Route that matched.
    service : ServiceName
        Service that handles the request.
    rank : RankName
        Rank of the route.
    order : bool
        Whether the request is an order, which must run at most once.
    timeout : Seconds
        Time limit of a request that carries no deadline.
    worth : float
        Relative value of a response in time.
    """

    route: RouteId
    service: ServiceName
    rank: RankName
    order: bool
    timeout: Seconds
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """Properties of one request that its route and headers determine.

    Parameters
    ----------
    id : RequestId
        Id assigned by this node.
    choice : RouteChoice
        Matched route.
    caller : CallerId
        Caller, named by its header or else by its IP address.
    rank : RankName
        Priority class, from the header or else from the route.
    received_at, deadline : Seconds
        Times on the local clock.
    idempotent : bool
        Whether the request may run more than once.
    order_key : OrderKey or None
        Idempotency key of an order.
    attempt : int
        Number of the caller's own attempt, 1 for the first.
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
    """Derive the context of a request from its route and headers.

    Parameters
    ----------
    head : RequestHead
        Head of the request.
    choice : RouteChoice
        Route that matched.
    request_id : RequestId
        Id assigned to the request.
    peer : str
        IP address of the caller, used as its name when it sends none.
    now : Seconds
        Time on the local clock.

    Returns
    -------
    RequestContext
        Context of the request.

    Raises
    ------
    RequestError
        With status 400 for malformed headers and for an order without a key.
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
