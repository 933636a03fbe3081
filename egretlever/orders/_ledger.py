"""Order ledger, which writes a claim before each order is dispatched."""

import dataclasses
import random
import time
from collections.abc import Callable

from egretlever.core import (
    Interval,
    NodeId,
    OrderKey,
    OrderMode,
    Outcome,
    Seconds,
    Version,
    check_parameters,
    make_log,
    require,
)
from egretlever.orders._backlog import Backlog, DeferredWrite
from egretlever.orders._claiming import ClaimWrite, ClaimWriteResult, try_claim
from egretlever.orders._interfaces import LedgerSnapshot, OrderModeLookup
from egretlever.orders._recent_keys import RecentKey, RecentKeyCache
from egretlever.orders._rows import (
    AlreadyCompleted,
    Claim,
    Claimed,
    ClaimResult,
    ClaimRow,
    ClaimState,
    OrderRequest,
    OutcomeUnknown,
    RecordedAnswer,
    Refused,
    Unavailable,
    check_request,
)
from egretlever.platform import TableStore

_LOG = make_log("orders")

# The schema allows timeouts of up to an hour, so that no valid request needs to
# be dispatched later than that after its claim. Claims are kept for 7 days.
MAX_DISPATCH_DELAY = Seconds(3600.0)
# Longer answers are recorded without their body. 2,048 recent answers of this
# size take 8 MB of the 256 MB that a node may use.
MAX_ANSWER_BYTES = 4096
_RETRY_AFTER = Seconds(1.0)


class TableOrderLedger:
    """Order ledger over the table service.

    Parameters
    ----------
    store : TableStore
        Table service.
    node_id : NodeId
        Id of the node, written into its claims.
    find_mode : callable
        Returns the order mode of a service.
    randomness : random.Random
        Source of claim ids and of the jitter of ``retry_after``.
    read_unix_time : callable
        Returns the Unix time in seconds, written into claims.
    recent_capacity : int
        Maximum number of keys in the cache of recent orders.
    backlog_capacity : int
        Maximum number of rows that wait to be written.
    """

    def __init__(
        self,
        store: TableStore,
        node_id: NodeId,
        find_mode: OrderModeLookup,
        randomness: random.Random,
        read_unix_time: Callable[[], float],
        recent_capacity: int,
        backlog_capacity: int,
    ) -> None:
        check_parameters(
            "OrderLedger",
            {
                "recent_capacity": recent_capacity,
                "backlog_capacity": backlog_capacity,
            },
            {
                "recent_capacity": Interval(1),
                "backlog_capacity": Interval(1),
            },
        )
        self._store = store
        self._node_id = node_id
        self._find_mode = find_mode
        self._randomness = randomness
        self._read_unix_time = read_unix_time
        self._backlog = Backlog(store, backlog_capacity)
        self._recent = RecentKeyCache(recent_capacity)
        # Claim ids of the orders that this node is claiming or running.
        self._active: dict[OrderKey, str] = {}

    async def claim(self, request: OrderRequest, now: Seconds) -> ClaimResult:
        """Claim an order before it is dispatched.

        Parameters
        ----------
        request : OrderRequest
            The order.
        now : Seconds
            Clock reading.

        Returns
        -------
        Claimed, AlreadyCompleted, OutcomeUnknown, Unavailable or Refused
            Only ``Claimed`` allows a dispatch.
        """
        problem = check_request(request)
        if problem is not None:
            return Refused(problem)
        cached = self._look_up_cached(request)
        if cached is not None:
            return cached
        row = self._make_row(request)
        claim_write = ClaimWrite(
            request,
            row,
            self._find_mode(request.service),
            self._list_undispatched(request.key),
        )
        self._active[request.key] = row.claim_id
        result: ClaimResult | None = None
        try:
            write_result = await try_claim(self._store, claim_write)
            result = self._make_result(claim_write, write_result, now)
            return result
        finally:
            if not isinstance(result, Claimed):
                self._abandon_claim(claim_write, result)

    def _look_up_cached(self, request: OrderRequest) -> ClaimResult | None:
        """Answer without a store call, None if one is needed."""
        if request.key in self._active:
            return OutcomeUnknown("the order is in progress on this node")
        deferred = self._backlog.get(request.key)
        if deferred is not None:
            if deferred.row.digest != request.digest:
                return Refused("the order key belongs to another request")
            if deferred.row.answer is not None:
                return AlreadyCompleted(deferred.row.answer)
            if deferred.row.state is ClaimState.PENDING:
                return OutcomeUnknown(
                    "the order was dispatched, its outcome is unknown"
                )
        recent = self._recent.get(request.key)
        if recent is None:
            return None
        if recent.digest != request.digest:
            return Refused("the order key belongs to another request")
        # Without an answer the row is read: no other node can complete the
        # order, but an operator or a late record may have done so.
        return (
            AlreadyCompleted(recent.answer)
            if recent.answer is not None
            else None
        )

    def _make_row(self, request: OrderRequest) -> ClaimRow:
        return ClaimRow(
            key=request.key,
            claim_id=f"{self._node_id}/{self._randomness.getrandbits(96):024x}",
            node=self._node_id,
            service=request.service,
            digest=request.digest,
            state=ClaimState.PENDING,
            claimed_at=self._read_unix_time(),
        )

    def _list_undispatched(self, key: OrderKey) -> frozenset[str]:
        deferred = self._backlog.get(key)
        if deferred is None or deferred.row.state is not ClaimState.RELEASED:
            return frozenset()
        return deferred.claim_ids

    def _make_result(
        self,
        claim_write: ClaimWrite,
        write_result: ClaimWriteResult,
        now: Seconds,
    ) -> ClaimResult:
        if write_result.answer is not None:
            if isinstance(write_result.answer, AlreadyCompleted):
                self._recent.put(
                    claim_write.request.key,
                    RecentKey(
                        claim_write.request.digest, write_result.answer.answer
                    ),
                )
            return write_result.answer
        dispatch_deadline = Seconds(now + MAX_DISPATCH_DELAY)
        if write_result.version is not None:
            # The row is claimed again, so its deferred release is obsolete.
            self._backlog.discard(claim_write.request.key)
            return Claimed(
                Claim(claim_write.row, write_result.version, dispatch_deadline)
            )
        return self._make_result_without_store(claim_write, dispatch_deadline)

    def _make_result_without_store(
        self, claim_write: ClaimWrite, dispatch_deadline: Seconds
    ) -> ClaimResult:
        request = claim_write.request
        is_first = request.attempt == 1
        may_run_unclaimed = (
            claim_write.mode is OrderMode.FIRST_ATTEMPT and is_first
        )
        # With a full backlog the claim can't be kept until the store is back.
        if may_run_unclaimed and self._defer(
            claim_write.row, Version(0), claim_write.undispatched
        ):
            _LOG.info(
                "order %s dispatched before its claim: store unavailable",
                request.key,
            )
            return Claimed(
                Claim(claim_write.row, Version(0), dispatch_deadline)
            )
        jitter = self._randomness.random()
        return Unavailable(
            "the order could not be claimed",
            Outcome.NOT_RUN if is_first else Outcome.UNKNOWN,
            Seconds(_RETRY_AFTER * (1 + jitter)),
        )

    def _abandon_claim(
        self, claim_write: ClaimWrite, result: ClaimResult | None
    ) -> None:
        """Clean up after a claim that was refused, failed or cancelled."""
        key = claim_write.request.key
        self._active.pop(key, None)
        if claim_write.effect_unknown and not isinstance(
            result, (AlreadyCompleted, OutcomeUnknown, Refused)
        ):
            # The claim may still be written. Its release is conditional on
            # the same version, so that only one of the two takes effect.
            released = dataclasses.replace(
                claim_write.row, state=ClaimState.RELEASED
            )
            self._defer(released, claim_write.version, claim_write.undispatched)

    def _defer(
        self, row: ClaimRow, version: Version, other_ids: frozenset[str]
    ) -> bool:
        return self._backlog.put(
            DeferredWrite(row, version, other_ids | {row.claim_id})
        )

    def may_dispatch(self, claim: Claim, now: Seconds) -> bool:
        """Whether a claim still allows a dispatch.

        A node that was paused for an hour after the claim drops the order, so
        that dispatches stay far below the 7 days after which claims are
        removed.
        """
        is_active = self._active.get(claim.row.key) == claim.row.claim_id
        return is_active and now < claim.dispatch_deadline

    async def record(
        self,
        claim: Claim,
        outcome: Outcome,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Record how a claimed order ended.

        A completed order is written by the next ``flush``. An order that is
        proved not to have run is released at once, because its caller is told
        to retry. An unknown outcome needs no write: a pending claim means the
        same.

        Parameters
        ----------
        claim : Claim
            The claim that ``claim`` returned.
        outcome : Outcome
            How the order ended.
        answer : RecordedAnswer, optional
            Answer of a completed order.
        """
        key = claim.row.key
        if self._active.get(key, claim.row.claim_id) != claim.row.claim_id:
            _LOG.warning(
                "order %s: ignoring the late outcome of an earlier claim", key
            )
            return
        self._active.pop(key, None)
        if outcome is Outcome.COMPLETED:
            self._complete(claim, answer or RecordedAnswer(0, omitted=True))
        elif outcome is Outcome.UNKNOWN:
            self._recent.put(key, RecentKey(claim.row.digest, None))
        else:
            await self._release(claim)

    def _complete(self, claim: Claim, answer: RecordedAnswer) -> None:
        if len(answer.body) > MAX_ANSWER_BYTES:
            answer = dataclasses.replace(answer, body=b"", omitted=True)
        row = dataclasses.replace(
            claim.row, state=ClaimState.COMPLETED, answer=answer
        )
        self._recent.put(row.key, RecentKey(row.digest, answer))
        if not self._defer(
            row, claim.version, self._list_deferred_ids(row.key)
        ):
            _LOG.warning(
                "order %s: outcome not recorded, the backlog is full", row.key
            )

    async def _release(self, claim: Claim) -> None:
        key = claim.row.key
        recent = self._recent.get(key)
        require(
            "completed-order-not-released",
            recent is None or recent.answer is None,
            key,
        )
        self._recent.discard(key)
        row = dataclasses.replace(claim.row, state=ClaimState.RELEASED)
        if self._defer(row, claim.version, self._list_deferred_ids(key)):
            await self._backlog.flush([key])

    def _list_deferred_ids(self, key: OrderKey) -> frozenset[str]:
        deferred = self._backlog.get(key)
        return deferred.claim_ids if deferred is not None else frozenset()

    async def flush(self) -> int:
        """Write a batch of deferred rows and return how many are done."""
        return await self._backlog.flush()

    def describe(self) -> LedgerSnapshot:
        """Return a snapshot for operators."""
        return LedgerSnapshot(
            len(self._active), len(self._recent), len(self._backlog)
        )


def make_order_ledger(
    store: TableStore,
    node_id: NodeId,
    find_mode: OrderModeLookup,
    randomness: random.Random,
    read_unix_time: Callable[[], float] = time.time,
    recent_capacity: int = 2048,
    backlog_capacity: int = 10_000,
) -> TableOrderLedger:
    """Make the order ledger of a node.

    Parameters
    ----------
    store : TableStore
        Table service.
    node_id : NodeId
        Id of the node.
    find_mode : callable
        Returns the ``OrderMode`` of a service by its name.
    randomness : random.Random
        Source of claim ids. Two nodes must not share a seed and an id.
    read_unix_time : callable, default=time.time
        Returns the Unix time in seconds.
    recent_capacity : int, default=2048
        Maximum number of keys in the cache of recent orders.
    backlog_capacity : int, default=10000
        Maximum number of rows that wait to be written.

    Returns
    -------
    TableOrderLedger
        An ``OrderLedger``.

    Raises
    ------
    FindingsError
        When a capacity is below 1.
    """
    return TableOrderLedger(
        store,
        node_id,
        find_mode,
        randomness,
        read_unix_time,
        recent_capacity,
        backlog_capacity,
    )
