"""Budget of repeated attempts, shared by all home nodes without messages."""

import collections

from egretlever.core import Interval, Seconds, check_parameters

# A repeated run repeats its own calls too, which count as repeats at the called
# service, and calls may not count among its requests. Half of the fleet's
# bound covers both where calls are half of the requests.
_USED_SHARE = 0.5


class RepeatBudget:
    """Counts first and repeated arrivals at one server in a sliding window.

    The bound of the fleet is a share of the service's requests and a fixed
    slack. Each home node keeps to the share of the requests that its server
    got and to its part of the slack, so the sum over all homes keeps the
    bound, whichever of them decide at the same moment. A repeated request that
    one home has no room for is offered to another, so that the whole budget
    can be used wherever the failures are.

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
    >>> budget = RepeatBudget(0.2, 4.0, Seconds(10.0))
    >>> [budget.take(Seconds(0.0), homes=2) for _ in range(2)]
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
        """Count a first arrival."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: Seconds, homes: int) -> bool:
        """Count a repeated attempt if the budget has room for it.

        Parameters
        ----------
        now : Seconds
            Reading of the clock.
        homes : int
            Home nodes that share the slack, at least 1.
        """
        if not self.has_room(now, homes):
            return False
        self._repeats.append(now)
        return True

    def has_room(self, now: Seconds, homes: int) -> bool:
        """Tell whether a repeated attempt would be allowed."""
        self._expire(now)
        allowed = _USED_SHARE * (
            self._ratio * len(self._requests) + self._slack / max(1, homes)
        )
        return len(self._repeats) + 1 <= allowed

    def _expire(self, now: Seconds) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
