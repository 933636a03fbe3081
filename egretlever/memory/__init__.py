"""Account of the bytes that a process holds for its peers, without I/O."""

from egretlever.memory._account import (
    CONNECTION_BYTES,
    SHORT_BYTES,
    ByteAccount,
    Holder,
    HoldingKind,
)
from egretlever.memory._limits import ProcessLimits, make_byte_account

__all__ = [
    "CONNECTION_BYTES",
    "SHORT_BYTES",
    "ByteAccount",
    "Holder",
    "HoldingKind",
    "ProcessLimits",
    "make_byte_account",
]
