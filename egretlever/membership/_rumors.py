"""Recent changes that ride along on every message for a while."""

import dataclasses
from collections.abc import Callable
from typing import Generic, TypeVar

from egretlever.core import Seconds

_Key = TypeVar("_Key")
_Item = TypeVar("_Item")


@dataclasses.dataclass(slots=True)
class _Rumor(Generic[_Item]):
    item: _Item
    urgent: bool
    relays: int
    until: Seconds


class Rumors(Generic[_Key, _Item]):
    """Items with a bounded number of relays and a bounded age.

    Parameters
    ----------
    limit : int
        Items kept; the oldest is dropped first, and anti-entropy repairs it.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._rumors: dict[_Key, _Rumor[_Item]] = {}

    def __len__(self) -> int:
        return len(self._rumors)

    def get(self, key: _Key) -> _Item | None:
        """Return the item of a key."""
        rumor = self._rumors.get(key)
        return rumor.item if rumor else None

    def is_urgent(self, key: _Key) -> bool:
        """Return whether a key has an urgent item."""
        rumor = self._rumors.get(key)
        return rumor is not None and rumor.urgent

    def add(
        self,
        key: _Key,
        item: _Item,
        urgent: bool,
        relays: int,
        until: Seconds,
    ) -> None:
        """Add an item in place of an older one of the same key."""
        self._rumors.pop(key, None)
        self._rumors[key] = _Rumor(item, urgent, relays, until)
        if len(self._rumors) > self._limit:
            del self._rumors[next(iter(self._rumors))]

    def discard(self, key: _Key) -> None:
        """Drop the item of a key."""
        self._rumors.pop(key, None)

    def choose(
        self,
        free_bytes: int,
        measure: Callable[[_Key, _Item], int],
        now: Seconds,
        urgent_only: bool = False,
    ) -> list[tuple[_Key, _Item]]:
        """Take items that fit the room, urgent and least relayed first.

        Parameters
        ----------
        room : int
            Bytes available.
        measure : callable
            Gives the size of an item.
        now : Seconds
            Reading of the clock; older items are dropped.
        urgent_only : bool, default=False
            Leave ordinary items for later.

        Returns
        -------
        list of tuple
            Keys and items, each counted as relayed once.
        """
        if not self._rumors:
            return []
        for key in [k for k, r in self._rumors.items() if r.until < now]:
            del self._rumors[key]
        ordered = sorted(
            self._rumors.items(),
            key=lambda pair: (not pair[1].urgent, -pair[1].relays),
        )
        chosen = []
        for key, rumor in ordered:
            if urgent_only and not rumor.urgent:
                break
            size = measure(key, rumor.item)
            if size > free_bytes:
                continue
            free_bytes -= size
            chosen.append((key, rumor.item))
            rumor.relays -= 1
            if rumor.relays <= 0:
                del self._rumors[key]
            if free_bytes < 40:
                break
        return chosen
