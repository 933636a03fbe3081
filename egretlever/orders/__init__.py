"""Claims on orders in the table service, so that each runs at most once."""

from egretlever.orders._encoding import digest_request
from egretlever.orders._interfaces import (
    LedgerSnapshot,
    OrderLedger,
    OrderModeLookup,
)
from egretlever.orders._ledger import TableOrderLedger, make_order_ledger
from egretlever.orders._rows import (
    AlreadyCompleted,
    Claim,
    Claimed,
    ClaimResult,
    OrderRequest,
    OutcomeUnknown,
    RecordedAnswer,
    Refused,
    Unavailable,
)
from egretlever.orders._sweep import (
    ClaimSweep,
    SweepReport,
    choose_sweeper,
    make_claim_sweep,
)

__all__ = [
    "AlreadyCompleted",
    "Claim",
    "ClaimResult",
    "ClaimSweep",
    "Claimed",
    "LedgerSnapshot",
    "OrderLedger",
    "OrderModeLookup",
    "OrderRequest",
    "OutcomeUnknown",
    "RecordedAnswer",
    "Refused",
    "SweepReport",
    "TableOrderLedger",
    "Unavailable",
    "choose_sweeper",
    "digest_request",
    "make_claim_sweep",
    "make_order_ledger",
]
