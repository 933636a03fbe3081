"""Store calls that write one claim and resolve conflicts."""

import dataclasses

from returns.result import Failure

from egretlever.core import OrderMode, Version
from egretlever.orders._encoding import decode_claim, encode_claim, make_row_key
from egretlever.orders._rows import (
    AlreadyCompleted,
    ClaimAction,
    ClaimRow,
    OrderRequest,
    OutcomeUnknown,
    Refused,
    choose_claim_action,
)
from egretlever.platform import Row, StoreErrorKind, TableStore

# Without faults a claim takes one call; a lost response takes two more.
_MAX_CALLS = 6


@dataclasses.dataclass(slots=True)
class ClaimWrite:
    """State of one claim while it is being written.

    Parameters
    ----------
    request : OrderRequest
        The order.
    row : ClaimRow
        Row to write.
    mode : OrderMode
        Order mode of the service.
    undispatched : frozenset of str
        Claim ids that this node abandoned before dispatch.
    version : Version
        Row version that the last write was conditional on.
    effect_unknown : bool
        Whether a write of this claim may have taken effect, or may still do
        so, without a response.
    """

    request: OrderRequest
    row: ClaimRow
    mode: OrderMode
    undispatched: frozenset[str]
    version: Version = Version(0)
    effect_unknown: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWriteResult:
    """Result of the store calls; all fields None if the store is unavailable.

    Parameters
    ----------
    version : Version or None
        Version of the written claim.
    answer : AlreadyCompleted, OutcomeUnknown, Refused or None
        Answer that follows from the current row.
    """

    version: Version | None = None
    answer: AlreadyCompleted | OutcomeUnknown | Refused | None = None


_STORE_UNAVAILABLE = ClaimWriteResult()


async def try_claim(
    store: TableStore, claim_write: ClaimWrite
) -> ClaimWriteResult:
    """Write a claim; after a lost response, read the row to learn its effect.

    Parameters
    ----------
    store : TableStore
        Table service.
    claim_write : ClaimWrite
        The claim; ``version`` and ``effect_unknown`` are kept up to date, so
        that a cancelled claim can be abandoned safely.

    Returns
    -------
    ClaimWriteResult
        A version if claimed, an answer if not, neither if the store is
        unavailable.
    """
    # The key of a first attempt is usually new, so it is inserted without a
    # read. A later attempt usually finds a row, and the store handles several
    # times more reads than writes.
    read_next = claim_write.request.attempt > 1
    for _ in range(_MAX_CALLS):
        if read_next:
            current = await _read(store, claim_write)
            if current is None:
                return _STORE_UNAVAILABLE
        else:
            written = await _write(store, claim_write)
            if isinstance(written, ClaimWriteResult):
                return written
            current = written
        read_next = current is None
        result = (
            _interpret_row(claim_write, current)
            if current is not None
            else None
        )
        if result is not None:
            return result
    return _STORE_UNAVAILABLE


async def _read(store: TableStore, claim_write: ClaimWrite) -> Row | None:
    result = await store.read(make_row_key(claim_write.request.key))
    return None if isinstance(result, Failure) else result.unwrap()


async def _write(
    store: TableStore, claim_write: ClaimWrite
) -> Row | ClaimWriteResult | None:
    """Write the claim; the row on a conflict, None if the effect is unknown."""
    key = make_row_key(claim_write.request.key)
    was_unknown = claim_write.effect_unknown
    claim_write.effect_unknown = True
    result = await store.write(
        {key: encode_claim(claim_write.row)}, {key: claim_write.version}
    )
    if not isinstance(result, Failure):
        return ClaimWriteResult(Version(claim_write.version + 1))
    error = result.failure()
    if error.kind is StoreErrorKind.UNKNOWN_EFFECT:
        return None
    claim_write.effect_unknown = was_unknown
    if error.kind is StoreErrorKind.UNAVAILABLE:
        return _STORE_UNAVAILABLE
    for row in error.conflicts:
        if row.key == key:
            return row
    claim_write.effect_unknown = True
    return None


def _interpret_row(
    claim_write: ClaimWrite, current: Row
) -> ClaimWriteResult | None:
    """Derive the result from the row; None if the claim may overwrite it."""
    row = decode_claim(current.value) if current.version else None
    if current.version and row is None:
        return ClaimWriteResult(
            answer=OutcomeUnknown("the claim row can't be decoded")
        )
    action = choose_claim_action(
        row,
        claim_write.request,
        claim_write.mode,
        claim_write.row.claim_id,
        claim_write.undispatched,
    )
    if action is ClaimAction.OWN:
        return ClaimWriteResult(current.version)
    if action is ClaimAction.REFUSE:
        return ClaimWriteResult(
            answer=Refused("the order key belongs to another request")
        )
    if (
        action is ClaimAction.REPLAY
        and row is not None
        and row.answer is not None
    ):
        return ClaimWriteResult(answer=AlreadyCompleted(row.answer))
    if action in (ClaimAction.HOLD, ClaimAction.REPLAY):
        return ClaimWriteResult(
            answer=OutcomeUnknown("the outcome of the order is unknown")
        )
    claim_write.version = current.version
    return None
