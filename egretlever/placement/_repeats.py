"""Budget of repeated attempts, shared by all nodes without messages."""

import collections

from egretlever.core import Interval, Seconds, check_parameters

# A repeated run repeats its own calls too, which count at the called service.
# A quarter of the fleet's bound is left for them.
_USED_SHARE = 0.75


class RepeatBudget:
    """Counts first and repeated attempts of one service in a sliding window.

    The bound of the fleet is a share of the service's requests and a fixed
    slack. Each node keeps to the share of its own requests and to its part of
    the slack, so the sum over all nodes keeps the bound, whichever nodes
    decide at the same moment.

    Parameters
    ----------
    ratio : float
        Repeated attempts allowed, as a share of the requests.
    slack : float
        Repeated attempts allowed beyond the share, in the whole fleet.
    window : Seconds
        Length of the sliding window.

    Examples
    --------
    >>> budget = RepeatBudget(0.2, 3.0, Seconds(10.0))
    >>> [budget.take(Seconds(0.0), nodes=2) for _ in range(2)]
    [True, False]
    """

    def __init__(self, ratio: float, slack: float, window: Seconds) -> None:
        check_parameters(
            "RepeatBudget",
            {"ratio": ratio, "slack": slack, "window": window},
            {
                "ratio": Interval(0, 1),
                "slack": Interval(0),
                "window": Interval(0.001),
            },
        )
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[Seconds] = collections.deque()
        self._repeats: collections.deque[Seconds] = collections.deque()

    def observe(self, now: Seconds) -> None:
        """Count a request of a client."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: Seconds, nodes: int) -> bool:
        """Count a repeated attempt if the budget has room for it.

        Parameters
        ----------
        now : Seconds
            Reading of the clock.
        nodes : int
            Nodes that share the slack, at least 1.
        """
        if not self.has_room(now, nodes):
            return False
        self._repeats.append(now)
        return True

    def has_room(self, now: Seconds, nodes: int) -> bool:
        """Tell whether a repeated attempt would be allowed."""
        self._expire(now)
        allowed = _USED_SHARE * (
            self._ratio * len(self._requests) + self._slack / max(1, nodes)
        )
        return len(self._repeats) + 1 <= allowed

    def _expire(self, now: Seconds) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
