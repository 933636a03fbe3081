"""Bounded cache of the recent order keys of one node."""

import collections
import dataclasses

from egretlever.core import Digest, OrderKey
from egretlever.orders._rows import RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RecentKey:
    """Cached facts about one order.

    Parameters
    ----------
    digest : Digest
        Digest of the request.
    answer : RecordedAnswer or None
        Recorded answer, None while the outcome is unknown.
    """

    digest: Digest
    answer: RecordedAnswer | None


class RecentKeyCache:
    """Cache of recently written keys, evicted oldest first.

    It saves reads of the store and has answers that are not written yet.
    Without an entry the claim row in the store decides.

    Parameters
    ----------
    capacity : int
        Maximum number of keys.
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
        """Add or replace the entry of a key."""
        self._entries[key] = entry
        self._entries.move_to_end(key)
        if len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def discard(self, key: OrderKey) -> None:
        """Drop the entry of a key, if any."""
        self._entries.pop(key, None)
