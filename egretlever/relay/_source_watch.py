"""Decides how long a node relies on the node that it follows."""

from egretlever.core import Address, Seconds
from egretlever.relay._changes import TableChange
from egretlever.relay._freshness import Freshness


class SourceWatch:
    """Judges the source of a table's changes by what it sends.

    A source that tells positions is relied on until what is known is too old.
    Of other sources, nodes of an earlier release and those of a table without
    positions, only the connection is judged.

    Parameters
    ----------
    freshness : Freshness or None
        Knows the age of what this node knows.

    Attributes
    ----------
    tried : int
        Sources that failed since the latest reliable change.
    """

    def __init__(self, freshness: Freshness | None) -> None:
        self._freshness = freshness
        self._relay: Address | None = None
        self._followed_at = Seconds(0.0)
        self._timed = False
        # Whether the source looks for another one itself.
        self._searches = False
        self.tried = 0

    def begin(self, relay: Address, now: Seconds) -> None:
        """Record that a node is followed from now on."""
        self._relay = relay
        self._followed_at = now
        self._searches = False

    def end(self) -> None:
        """Record that no node is followed."""
        self._relay = None

    def follows(self, relay: Address) -> bool:
        """Tell whether a node is followed."""
        return relay == self._relay

    def observe_search(self) -> None:
        """Record that the source looks for another one itself."""
        self._searches = True

    def observe(self, change: TableChange, now: Seconds) -> bool:
        """Record a change of the source.

        Returns
        -------
        bool
            Whether earlier failures of the source are forgotten. A slow source
            that tells positions sends the first one in time.
        """
        self._searches = False
        self._timed = change.timed and self._freshness is not None
        if self._freshness is None or not self._timed:
            self.tried = 0
            return True
        position = change.position
        if position is None or self._freshness.is_outdated(position, now):
            return False
        self.tried = 0
        return now - self._followed_at >= self._freshness.trial_time

    def may_follow(self, relay: Address, now: Seconds) -> bool:
        """Tell whether time is left for a node before the store is asked."""
        if self._freshness is None or self.follows(relay):
            return True
        return self._freshness.may_try_another(self.tried, now)

    def find_try_time(self, now: Seconds) -> Seconds | None:
        """Return the time in which a node has to send something.

        Returns
        -------
        Seconds or None
            None when the age of what is known is not known.
        """
        if self._freshness is None:
            return None
        end = self._freshness.find_try_end(now)
        return None if end is None else Seconds(end - now)

    def find_deadline(self) -> Seconds | None:
        """Return the clock time at which the source is left.

        Returns
        -------
        Seconds or None
            None when its connection is judged instead.
        """
        if self._freshness is None or not self._timed:
            return None
        deadline = self._freshness.find_deadline()
        if deadline is None:
            return None
        # A source that was just found needs time to send something.
        earliest = Seconds(self._followed_at + self._freshness.try_time)
        if self._searches:
            earliest = max(earliest, self._freshness.find_wait_end())
        return max(deadline, earliest)
