"""Bytes that a home node holds for its server, within the process's account."""

from egretlever.core import Seconds
from egretlever.memory import ByteAccount, HoldingKind
from egretlever.transport import BufferLimit, read_clock

# Answers that are being received together, at most.
_MAX_RECEIVED_BYTES = 12 << 20
# An answer can't be refused, so clients that don't read are dropped for it at
# once.
_MIN_SILENCE = Seconds(0.0)


class _OwnHolder:
    """Part of the process that holds bytes and is never dropped.

    Parameters
    ----------
    account : ByteAccount
        Account of the process.
    """

    def __init__(self, account: ByteAccount) -> None:
        self._account = account
        account.open(self, read_clock())

    @property
    def awaits_peer(self) -> bool:
        """Whether the next step is the peer's."""
        return False

    def drop(self) -> None:
        """Do nothing: only holders that await their peer are dropped."""


class AnswerBuffer(_OwnHolder):
    """Room for the answers that are being received from the server.

    Parameters
    ----------
    account : ByteAccount
        Account of the process.
    """

    def __init__(self, account: ByteAccount) -> None:
        super().__init__(account)
        self._limit = BufferLimit(_MAX_RECEIVED_BYTES)

    def reserve(self, size: int) -> bool:
        """Take room for some bytes; false when there is not enough."""
        if not self._limit.reserve(size):
            return False
        granted = self._account.grow(
            self,
            HoldingKind.ANSWER,
            size,
            read_clock(),
            min_silence=_MIN_SILENCE,
        )
        if not granted:
            self._limit.release(size)
        return granted

    def release(self, size: int) -> None:
        """Return room taken by `reserve`."""
        self._limit.release(size)
        self._account.shrink(self, HoldingKind.ANSWER, size)


class KeptAnswers(_OwnHolder):
    """Counts the answers that are kept for requests that are resumed.

    Parameters
    ----------
    account : ByteAccount
        Account of the process.
    """

    def count(self, size: int) -> None:
        """Count bytes that are kept, or freed if negative."""
        self._account.charge(self, HoldingKind.ANSWER, size)


class HeldBodies(_OwnHolder):
    """Large bodies of the requests that one node has forwarded.

    Parameters
    ----------
    account : ByteAccount
        Account of the process.
    """

    def grant(self, size: int) -> bool:
        """Hold a body; false when there is no room for it."""
        return self._account.grow(self, HoldingKind.FRAME, size, read_clock())

    def free(self, size: int) -> None:
        """Free a body."""
        self._account.shrink(self, HoldingKind.FRAME, size)

    def close(self) -> None:
        """Free all bodies."""
        self._account.close(self)


class ServerLoad:
    """Bounds the bytes of the requests that the server holds at a time.

    A server that holds more than its memory ends with all of its requests. One
    request is always sent, whatever its size.

    Parameters
    ----------
    most : int
        Bound, in bytes.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._used = 0

    def has_room(self, size: int) -> bool:
        """Tell whether a request may be sent now."""
        return not self._used or self._used + size <= self._most

    def begin(self, size: int) -> None:
        """Count a request that is sent."""
        self._used += size

    def end(self, size: int) -> None:
        """Count a request that has ended."""
        self._used -= size
