"""Store calls of one claim, until it is written, answered or given up."""

import dataclasses

from returns.result import Failure

from egretlever.core import OrderMode, Version
from egretlever.orders._encoding import decode_claim, encode_claim, make_row_key
from egretlever.orders._rows import (
    ClaimRow,
    Held,
    Known,
    OrderRequest,
    Refused,
    Step,
    choose_step,
)
from egretlever.platform import Row, StoreErrorKind, TableStore

# An undisturbed claim takes one call; a lost answer two more.
_MAX_CALLS = 6


@dataclasses.dataclass(slots=True)
class ClaimTry:
    """State of one claim while it is being written.

    Parameters
    ----------
    request : OrderRequest
        The order.
    row : ClaimRow
        Row to be written.
    mode : OrderMode
        Mode of the service.
    undispatched : frozenset of str
        Claim ids that this node gave up before dispatch.
    version : Version
        Version that the last write was conditional on.
    unsure : bool
        Whether a write of this claim may take effect unnoticed.
    """

    request: OrderRequest
    row: ClaimRow
    mode: OrderMode
    undispatched: frozenset[str]
    version: Version = Version(0)
    unsure: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTryEnd:
    """How the calls ended; all fields None without the store.

    Parameters
    ----------
    version : Version or None
        Version of the written claim.
    answer : Known, Held, Refused or None
        Answer that the current row gives.
    """

    version: Version | None = None
    answer: Known | Held | Refused | None = None


_NO_STORE = ClaimTryEnd()


async def try_claim(store: TableStore, attempt: ClaimTry) -> ClaimTryEnd:
    """Write a claim, resolving lost answers by reading the row.

    Parameters
    ----------
    store : TableStore
        Table service.
    attempt : ClaimTry
        The claim; ``version`` and ``unsure`` are kept up to date, so that a
        cancelled claim can be given up safely.

    Returns
    -------
    ClaimTryEnd
        A version when claimed, an answer, or neither without the store.
    """
    # The key of a first attempt is mostly new, so its insert goes first: one
    # write, no read. A later attempt mostly finds a row, and the store carries
    # several times more reads than writes.
    read_next = attempt.request.attempt > 1
    for _ in range(_MAX_CALLS):
        if read_next:
            current = await _read(store, attempt)
            if current is None:
                return _NO_STORE
        else:
            written = await _write(store, attempt)
            if isinstance(written, ClaimTryEnd):
                return written
            current = written
        read_next = current is None
        end = _follow(attempt, current) if current is not None else None
        if end is not None:
            return end
    return _NO_STORE


async def _read(store: TableStore, attempt: ClaimTry) -> Row | None:
    result = await store.read(make_row_key(attempt.request.key))
    return None if isinstance(result, Failure) else result.unwrap()


async def _write(
    store: TableStore, attempt: ClaimTry
) -> Row | ClaimTryEnd | None:
    """Write the claim; a row when refused, None when its effect is unknown."""
    key = make_row_key(attempt.request.key)
    was_unsure = attempt.unsure
    attempt.unsure = True
    result = await store.write(
        {key: encode_claim(attempt.row)}, {key: attempt.version}
    )
    if not isinstance(result, Failure):
        return ClaimTryEnd(Version(attempt.version + 1))
    error = result.failure()
    if error.kind is StoreErrorKind.UNKNOWN_EFFECT:
        return None
    attempt.unsure = was_unsure
    if error.kind is StoreErrorKind.UNAVAILABLE:
        return _NO_STORE
    for row in error.conflicts:
        if row.key == key:
            return row
    attempt.unsure = True
    return None


def _follow(attempt: ClaimTry, current: Row) -> ClaimTryEnd | None:
    """Follow the current row; None when the claim is to be written on it."""
    row = decode_claim(current.value) if current.version else None
    if current.version and row is None:
        return ClaimTryEnd(answer=Held("the claim row can't be decoded"))
    step = choose_step(
        row,
        attempt.request,
        attempt.mode,
        attempt.row.claim_id,
        attempt.undispatched,
    )
    if step is Step.OWN:
        return ClaimTryEnd(current.version)
    if step is Step.REFUSE:
        return ClaimTryEnd(
            answer=Refused("the order key belongs to another request")
        )
    if step is Step.REPLAY and row is not None and row.answer is not None:
        return ClaimTryEnd(answer=Known(row.answer))
    if step in (Step.HOLD, Step.REPLAY):
        return ClaimTryEnd(answer=Held("the outcome of the order is unknown"))
    attempt.version = current.version
    return None
