"""Decides which bytes a process takes on, and whom it drops for them."""

import collections
import enum
from collections.abc import Callable
from typing import Protocol

from egretlever.core import Seconds, require
from egretlever.memory._pressure import PressureEvent

# Tasks, parsers and buffers of a connection without a request.
CONNECTION_BYTES = 32768
# Requests and answers up to this size may use the reserved share.
SHORT_BYTES = 65536
# A peer that has been silent for less is not dropped for a large request; the
# request is refused instead.
_MIN_SILENCE = Seconds(1.0)
# A connection that sends its request at once is not dropped before it could.
_MIN_CONNECTION_SILENCE = Seconds(0.1)


class HoldingKind(enum.Enum):
    """What held bytes belong to."""

    CONNECTION = "connection"
    REQUEST = "request"
    ANSWER = "answer"
    FRAME = "frame"


class Holder(Protocol):
    """A peer's connection, for which the process holds bytes."""

    @property
    def awaits_peer(self) -> bool:
        """Whether the next step is the peer's, not that of the process."""

    def drop(self) -> None:
        """Free the held bytes at once, and end the connection."""


class _Holding:
    """Bytes held for one holder."""

    __slots__ = ("admitted", "sizes", "touched_at")

    def __init__(self, now: Seconds, admitted: bool) -> None:
        self.admitted = admitted
        self.sizes: dict[HoldingKind, int] = {}
        self.touched_at = now


PressureReport = Callable[[PressureEvent, str, int, Seconds], None]


def _ignore(event: PressureEvent, kind: str, used: int, now: Seconds) -> None:
    """Report nothing."""


class ByteAccount:
    """Grants and frees the bytes that a process holds for its peers.

    When a grant would exceed the total, the peer that has gone longest without
    a byte is dropped, if the process waits for it. Otherwise the grant is
    refused.

    Parameters
    ----------
    total : int
        Bound of all held bytes.
    reserved : int
        Part of the total that only short requests and answers use.
    most_holders : int
        Bound of the holders that `admit` lets in.
    report : callable, optional
        Called with each event, the kind of bytes that had no room, the bytes
        held and the time.

    Attributes
    ----------
    used : int
        Bytes granted and not freed.
    used_by_kind : dict of HoldingKind to int
        The same, by what they belong to.
    """

    def __init__(
        self,
        total: int,
        reserved: int,
        most_holders: int,
        report: PressureReport = _ignore,
    ) -> None:
        self.total = total
        self._reserved = reserved
        self.most_holders = most_holders
        self.used = 0
        self.used_by_kind = dict.fromkeys(HoldingKind, 0)
        self._report = report
        # The holder that has gone longest without a byte comes first.
        self._holdings: collections.OrderedDict[Holder, _Holding] = (
            collections.OrderedDict()
        )
        self._admitted = 0

    def admit(self, holder: Holder, now: Seconds) -> bool:
        """Let a connection in, if need be in place of a silent one.

        Parameters
        ----------
        holder : Holder
            The new connection.
        now : Seconds
            Clock time.

        Returns
        -------
        bool
            False when the connection has to be closed.
        """
        full = self._admitted >= self.most_holders
        kind = HoldingKind.CONNECTION
        if full and not self._drop_silent(kind, now, _MIN_CONNECTION_SILENCE):
            self._report(PressureEvent.REFUSED, kind.value, self.used, now)
            return False
        self._holdings[holder] = _Holding(now, True)
        self._admitted += 1
        if self.grow(holder, kind, CONNECTION_BYTES, now, short=True):
            return True
        self.close(holder)
        return False

    def open(self, holder: Holder, now: Seconds) -> None:
        """Let a part of the process hold bytes, besides the connections."""
        self._holdings[holder] = _Holding(now, False)

    def grow(
        self,
        holder: Holder,
        kind: HoldingKind,
        size: int,
        now: Seconds,
        short: bool = False,
        min_silence: Seconds = _MIN_SILENCE,
    ) -> bool:
        """Grant bytes to a holder.

        Parameters
        ----------
        holder : Holder
            An admitted holder.
        kind : HoldingKind
            What the bytes belong to.
        size : int
            Number of bytes.
        now : Seconds
            Clock time.
        short : bool, default=False
            Whether the request or answer may use the reserved share.
        min_silence : Seconds, optional
            Silence from which others are dropped for it.

        Returns
        -------
        bool
            False when the holder must not hold the bytes.
        """
        holding = self._holdings.get(holder)
        if holding is None:
            return False
        bound = self.total if short else self.total - self._reserved
        while self.used + size > bound:
            if not self._drop_silent(kind, now, min_silence, holder):
                self._report(PressureEvent.REFUSED, kind.value, self.used, now)
                return False
        self._charge(holding, kind, size)
        return True

    def charge(self, holder: Holder, kind: HoldingKind, size: int) -> None:
        """Count bytes that are held already, whatever the total."""
        holding = self._holdings.get(holder)
        if holding is not None:
            self._charge(holding, kind, size)

    def shrink(self, holder: Holder, kind: HoldingKind, size: int) -> None:
        """Free bytes of a holder; one that was dropped has none."""
        holding = self._holdings.get(holder)
        if holding is not None:
            require("frees-what-it-holds", size <= holding.sizes.get(kind, 0))
            self._charge(holding, kind, -size)

    def _charge(self, holding: _Holding, kind: HoldingKind, size: int) -> None:
        holding.sizes[kind] = holding.sizes.get(kind, 0) + size
        self.used_by_kind[kind] += size
        self.used += size

    def touch(self, holder: Holder, now: Seconds) -> None:
        """Record that a peer has sent or taken bytes."""
        holding = self._holdings.get(holder)
        if holding is not None:
            holding.touched_at = now
            self._holdings.move_to_end(holder)

    def close(self, holder: Holder) -> None:
        """Free everything of a holder that has ended; repeatable."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._admitted -= holding.admitted
            for kind, size in list(holding.sizes.items()):
                self._charge(holding, kind, -size)

    def _drop_silent(
        self,
        kind: HoldingKind,
        now: Seconds,
        min_silence: Seconds,
        asking: Holder | None = None,
    ) -> bool:
        """Drop the holder that has gone longest without a byte.

        Parameters
        ----------
        kind : HoldingKind
            Kind of bytes that have no room.
        now : Seconds
            Clock time.
        min_silence : Seconds
            Silence from which a holder may be dropped.
        asking : Holder, optional
            Holder for which it is done, which stays.

        Returns
        -------
        bool
            False when there is none to drop.
        """
        for holder, holding in self._holdings.items():
            if now - holding.touched_at < min_silence:
                return False
            if holder is not asking and holder.awaits_peer:
                self.close(holder)
                holder.drop()
                self._report(PressureEvent.DROPPED, kind.value, self.used, now)
                return True
        return False
