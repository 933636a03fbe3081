"""Interface of order ledgers."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from egretlever.core import OrderMode, Outcome, Seconds, ServiceName
from egretlever.orders._rows import (
    Claim,
    ClaimResult,
    OrderRequest,
    RecordedAnswer,
)

ModeSource = Callable[[ServiceName], OrderMode]


class OrderLedger(Protocol):
    """Runs each order at most once."""

    async def claim(self, request: OrderRequest, now: Seconds) -> ClaimResult:
        """Claim an order before its dispatch."""

    def may_dispatch(self, claim: Claim, now: Seconds) -> bool:
        """Whether a claim still allows a dispatch."""

    async def record(
        self,
        claim: Claim,
        outcome: Outcome,
        answer: RecordedAnswer | None = None,
    ) -> None:
        """Record how a claimed order ended."""

    async def flush(self) -> int:
        """Write a batch of deferred rows."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerView:
    """Snapshot of a ledger for operators.

    Parameters
    ----------
    active : int
        Orders claimed by this node that have not ended.
    recent : int
        Keys in the node's memory.
    deferred : int
        Rows that wait for the store.
    """

    active: int
    recent: int
    deferred: int
