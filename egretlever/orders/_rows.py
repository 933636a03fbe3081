"""Claim rows and what follows from them, without store calls or encoding."""

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
    """State of a claim row."""

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
        Whether the body exceeded the size limit and was not stored.
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
        Identifies the one claim that may dispatch the order.
    node : NodeId
        Node that holds the claim.
    service : ServiceName
        Service of the order.
    digest : Digest
        Digest of the request that the key was first used for.
    state : ClaimState
        State of the claim.
    claimed_at : float
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
    claimed_at: float
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
        Number of the caller's attempt. Attempts answered with "not run" don't
        count, so that the first one that may have run has number 1.
    """

    key: OrderKey
    service: ServiceName
    digest: Digest
    attempt: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Permission to dispatch an order once.

    Parameters
    ----------
    row : ClaimRow
        Row of the claim, possibly not written yet.
    version : Version
        Version of the row, 0 if it is not written yet.
    dispatch_deadline : Seconds
        Clock reading after which the order must not be dispatched.
    """

    row: ClaimRow
    version: Version
    dispatch_deadline: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The order may be dispatched under the claim."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyCompleted:
    """The order is completed; replay its recorded answer."""

    answer: RecordedAnswer
    outcome: Outcome = Outcome.COMPLETED


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The outcome is unknown: the order may have run or may still run."""

    reason: str
    outcome: Outcome = Outcome.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The order could not be claimed and was not dispatched.

    Parameters
    ----------
    reason : str
        Why the order could not be claimed.
    outcome : Outcome
        NOT_RUN for a first attempt. UNKNOWN for a later one, because an
        earlier attempt may have run, which can't be looked up.
    retry_after : Seconds
        Time after which a retry may succeed.
    """

    reason: str
    outcome: Outcome
    retry_after: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is invalid; it was not dispatched."""

    reason: str
    outcome: Outcome = Outcome.NOT_RUN


ClaimResult = (
    Claimed | AlreadyCompleted | OutcomeUnknown | Unavailable | Refused
)


class ClaimAction(enum.Enum):
    """Action of a request on the current row of its key."""

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


def choose_claim_action(
    row: ClaimRow | None,
    request: OrderRequest,
    mode: OrderMode,
    claim_id: str,
    undispatched: Collection[str],
) -> ClaimAction:
    """Choose the action of a request on the current row of its key.

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
        Claim ids that this node abandoned before dispatch.

    Returns
    -------
    ClaimAction
        A claim is taken over if it is released or if this node abandoned it
        before dispatch. In first-attempt mode a later attempt never claims: a
        node may have dispatched an earlier one and not have written its claim
        yet.
    """
    may_claim = mode is OrderMode.STRICT or request.attempt == 1
    if row is None:
        return ClaimAction.INSERT if may_claim else ClaimAction.HOLD
    if row.digest != request.digest:
        return ClaimAction.REFUSE
    if row.state is ClaimState.COMPLETED:
        return ClaimAction.REPLAY
    if row.state is ClaimState.PENDING and row.claim_id == claim_id:
        return ClaimAction.OWN
    is_claimable = (
        row.state is ClaimState.RELEASED or row.claim_id in undispatched
    )
    return (
        ClaimAction.TAKE_OVER
        if is_claimable and may_claim
        else ClaimAction.HOLD
    )


def check_deferred_write(
    row: ClaimRow | None,
    deferred: ClaimRow,
    claim_ids: Collection[str],
) -> bool | None:
    """Return whether a deferred write is still needed.

    Parameters
    ----------
    row : ClaimRow or None
        Current row, None without one.
    deferred : ClaimRow
        Row to write.
    claim_ids : collection of str
        Claim ids of this node whose rows the write may replace.

    Returns
    -------
    bool or None
        True to overwrite the row, False if the write is done already, None
        if the key belongs to another claim.
    """
    if row is None:
        return True
    if row.claim_id == deferred.claim_id and row.state is deferred.state:
        return False
    if row.claim_id in claim_ids and row.state is not ClaimState.COMPLETED:
        return True
    # A released row can be claimed. Only the claim or outcome of an order that
    # was dispatched without a claim replaces it; another release would add
    # nothing.
    if row.state is ClaimState.RELEASED:
        return deferred.state is not ClaimState.RELEASED
    return None
