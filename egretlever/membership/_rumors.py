"""Rumors: recent changes that are piggybacked on gossip messages."""

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
    """Items to piggyback, each for a limited number of sends and time.

    Parameters
    ----------
    limit : int
        Maximum number of items. The oldest is dropped first, and anti-entropy
        repairs the loss.
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
        """Add an item, replacing an older one with the same key."""
        self._rumors.pop(key, None)
        self._rumors[key] = _Rumor(item, urgent, relays, until)
        if len(self._rumors) > self._limit:
            del self._rumors[next(iter(self._rumors))]

    def discard(self, key: _Key) -> None:
        """Remove the item of a key."""
        self._rumors.pop(key, None)

    def choose(
        self,
        free_bytes: int,
        measure: Callable[[_Key, _Item], int],
        now: Seconds,
        urgent_only: bool = False,
    ) -> list[tuple[_Key, _Item]]:
        """Choose items that fit, urgent and least relayed ones first.

        Parameters
        ----------
        free_bytes : int
            Bytes available.
        measure : callable
            Returns the size of an item.
        now : Seconds
            Current time; expired items are dropped.
        urgent_only : bool, default=False
            Choose urgent items only.

        Returns
        -------
        list of tuple
            Keys and items, each counted as relayed once more.
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
