"""Meaning of a claim row, apart from store calls and encoding."""

import dataclasses
import enum
from collections.abc import Collection

from egretlever.core import (
    Digest,
    NodeId,
    OrderKey,
    OrderMode,
    Outcome,
    Seconds,
    ServiceName,
    Version,
)

MAX_KEY_LENGTH = 200


class ClaimState(enum.Enum):
    """What a claim row records."""

    PENDING = "pending"
    COMPLETED = "completed"
    RELEASED = "released"
    UNRESOLVED = "unresolved"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Answer of a completed order.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        Complete body, empty when omitted.
    omitted : bool
        True when the body exceeded the bound and is not kept.
    """

    status: int
    content_type: str = ""
    body: bytes = b""
    omitted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """Content of a claim row.

    Parameters
    ----------
    key : OrderKey
        Key of the order.
    claim_id : str
        Names the one claim that may dispatch the order.
    node : NodeId
        Node that holds the claim.
    service : ServiceName
        Service of the order.
    digest : Digest
        Digest of the request that the key stands for.
    state : ClaimState
        What is recorded.
    at : float
        Unix time of the claim, in seconds.
    answer : RecordedAnswer or None
        Answer of a completed order.
    """

    key: OrderKey
    claim_id: str
    node: NodeId
    service: ServiceName
    digest: Digest
    state: ClaimState
    at: float
    answer: RecordedAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRequest:
    """A request to run an order.

    Parameters
    ----------
    key : OrderKey
        Key of the order, the same in each attempt of the caller.
    service : ServiceName
        Service that runs it.
    digest : Digest
        Digest of the request, from ``digest_request``.
    attempt : int, default=1
        Attempt of the caller. Attempts that were answered "not run" don't
        count, so the first one that may have run has number 1.
    """

    key: OrderKey
    service: ServiceName
    digest: Digest
    attempt: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Right to dispatch an order once.

    Parameters
    ----------
    row : ClaimRow
        Claim as written, or as it will be written.
    version : Version
        Version of the row, 0 while it is not written.
    dispatch_before : Seconds
        Clock reading after which the order must not be dispatched.
    """

    row: ClaimRow
    version: Version
    dispatch_before: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The order may be dispatched under the claim."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """The order is completed; its recorded answer is replayed."""

    answer: RecordedAnswer
    outcome: Outcome = Outcome.COMPLETED


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The order may have run or may still run; the outcome is unknown."""

    reason: str
    outcome: Outcome = Outcome.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No claim could be made, and this request was not dispatched.

    Parameters
    ----------
    reason : str
        Why no claim was made.
    outcome : Outcome
        NOT_RUN for a first attempt. UNKNOWN for a later one, because an
        earlier attempt may have run and can't be looked up.
    retry_after : Seconds
        Wait after which a further attempt makes sense.
    """

    reason: str
    outcome: Outcome
    retry_after: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is invalid and was not dispatched."""

    reason: str
    outcome: Outcome = Outcome.NOT_RUN


ClaimResult = Claimed | Known | Held | Unavailable | Refused


class Step(enum.Enum):
    """What follows from a row for a request."""

    INSERT = "insert"
    TAKE_OVER = "take-over"
    OWN = "own"
    HOLD = "hold"
    REPLAY = "replay"
    REFUSE = "refuse"


def check_request(request: OrderRequest) -> str | None:
    """Return what is wrong with a request, None for a valid one.

    Examples
    --------
    >>> check_request(
    ...     OrderRequest(OrderKey(""), ServiceName("s"), Digest("d"))
    ... )
    'the order key is empty'
    """
    if not request.key:
        return "the order key is empty"
    if len(request.key) > MAX_KEY_LENGTH:
        return f"the order key is longer than {MAX_KEY_LENGTH} characters"
    if not request.key.isascii() or not request.key.isprintable():
        return "the order key has characters that are not printable ASCII"
    if request.attempt < 1:
        return "the attempt number is below 1"
    return None


def choose_step(
    row: ClaimRow | None,
    request: OrderRequest,
    mode: OrderMode,
    claim_id: str,
    undispatched: Collection[str],
) -> Step:
    """Decide what a row means for a request.

    Parameters
    ----------
    row : ClaimRow or None
        Current row, None without one.
    request : OrderRequest
        The request.
    mode : OrderMode
        Mode of its service.
    claim_id : str
        Claim id that the request tries to write.
    undispatched : collection of str
        Claim ids of this node that were given up before dispatch.

    Returns
    -------
    Step
        The next step. A released claim is taken over, and so is one that
        this node gave up undispatched. In first-attempt mode a later attempt
        never claims: an earlier one may have been dispatched without a claim
        by a node that has not written it yet.
    """
    may_claim = mode is OrderMode.STRICT or request.attempt == 1
    if row is None:
        return Step.INSERT if may_claim else Step.HOLD
    if row.digest != request.digest:
        return Step.REFUSE
    if row.state is ClaimState.COMPLETED:
        return Step.REPLAY
    if row.state is ClaimState.PENDING and row.claim_id == claim_id:
        return Step.OWN
    free = row.state is ClaimState.RELEASED or row.claim_id in undispatched
    return Step.TAKE_OVER if free and may_claim else Step.HOLD


def choose_write(
    row: ClaimRow | None,
    wanted: ClaimRow,
    claim_ids: Collection[str],
) -> bool | None:
    """Decide whether a deferred write is still to be done.

    Parameters
    ----------
    row : ClaimRow or None
        Current row, None without one.
    wanted : ClaimRow
        Row to be written.
    claim_ids : collection of str
        Claim ids of this node that the write stands for.

    Returns
    -------
    bool or None
        True to write over the row, False when it is done already, None when
        the key belongs to another claim.
    """
    if row is None:
        return True
    if row.claim_id == wanted.claim_id and row.state is wanted.state:
        return False
    if row.claim_id in claim_ids and row.state is not ClaimState.COMPLETED:
        return True
    # A released claim is free. Only an order that was dispatched without a
    # claim still has to mark it; a release has nothing to add.
    if row.state is ClaimState.RELEASED:
        return wanted.state is not ClaimState.RELEASED
    return None
