"""Interface of order ledgers and its records."""

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

OrderModeLookup = Callable[[ServiceName], OrderMode]


class OrderLedger(Protocol):
    """Claims and outcomes of orders, so that each order runs at most once."""

    async def claim(self, request: OrderRequest, now: Seconds) -> ClaimResult:
        """Claim an order before it is dispatched."""

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
class LedgerSnapshot:
    """Snapshot of a ledger for operators.

    Parameters
    ----------
    active : int
        Orders that this node is claiming or running.
    recent : int
        Keys in the cache of recent orders.
    deferred : int
        Rows that wait to be written.
    """

    active: int
    recent: int
    deferred: int
