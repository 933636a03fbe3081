"""Bounded memory of recent order keys in one node."""

import collections
import dataclasses

from egretlever.core import Digest, OrderKey
from egretlever.orders._rows import RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RecentKey:
    """What the node remembers of an order.

    Parameters
    ----------
    digest : Digest
        Digest of the request.
    answer : RecordedAnswer or None
        Its answer, None while the outcome is unknown.
    """

    digest: Digest
    answer: RecordedAnswer | None


class RecentKeys:
    """Recently used keys, the oldest dropped first.

    The memory saves reads and holds answers that are not recorded yet. The
    claim row decides where it has no entry.

    Parameters
    ----------
    capacity : int
        Largest number of keys.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: collections.OrderedDict[OrderKey, RecentKey] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: OrderKey) -> RecentKey | None:
        """Return the entry of a key, None without one."""
        return self._entries.get(key)

    def put(self, key: OrderKey, entry: RecentKey) -> None:
        """Remember a key."""
        self._entries[key] = entry
        self._entries.move_to_end(key)
        if len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def forget(self, key: OrderKey) -> None:
        """Drop the entry of a key, if any."""
        self._entries.pop(key, None)
