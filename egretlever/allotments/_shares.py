"""Share of the allotments that one node owns."""

import collections

from egretlever.core import Seconds

# Nodes learn of changes in the directory at different times. One that has left
# may use its share for as long as its leases last.
_MEMORY = Seconds(5.0)


class FleetShare:
    """Share of one node, by the largest number of nodes in the last seconds.

    Examples
    --------
    >>> shares = FleetShare()
    >>> shares.measure(4, Seconds(0.0))
    0.25
    >>> shares.measure(2, Seconds(1.0))
    0.25
    >>> shares.measure(2, Seconds(5.0))
    0.25
    >>> shares.measure(2, Seconds(7.0))
    0.5
    """

    def __init__(self) -> None:
        # Falling counts, each with the time until which it was in effect.
        self._counts: collections.deque[tuple[Seconds, int]] = (
            collections.deque()
        )

    def measure(self, count: int, now: Seconds) -> float:
        """Return the share.

        Parameters
        ----------
        count : int
            Number of nodes in the directory, 0 when this one is not among them.
        now : Seconds
            Clock time.
        """
        if self._counts:
            self._counts[-1] = (now, self._counts[-1][1])
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - _MEMORY:
            self._counts.popleft()
        return 1 / self._counts[0][1] if count else 0.0
