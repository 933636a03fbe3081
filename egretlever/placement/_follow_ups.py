"""Further attempts of a request whose server takes far longer than usual."""

import dataclasses
import math

from egretlever.core import Seconds
from egretlever.placement._records import HomeCondition

# A further attempt is likely to succeed within this multiple of the usual
# service time.
_RETRY_TIME_FACTOR = 1.5
# Pause before servers that refused a further attempt are asked again; it
# doubles each time, since refused offers cost traffic.
_FIRST_PAUSE = Seconds(0.5)


@dataclasses.dataclass(frozen=True, slots=True)
class OverdueReport:
    """Report of a home node that an attempt is overdue, and goes on.

    Parameters
    ----------
    ran : Seconds
        Time for which the server has been at work.
    retry_granted : bool
        Whether the home node has paid for a retry of the request.
    condition : HomeCondition
        Condition of the home node.
    """

    ran: Seconds
    retry_granted: bool
    condition: HomeCondition


def estimate_retry_time(
    usual_time: Seconds, unanswered_time: Seconds
) -> Seconds:
    """Return the time that has to be left for a further attempt.

    Parameters
    ----------
    usual_time : Seconds
        Usual service time of the request's route.
    unanswered_time : Seconds
        Longest time of its ended attempts that got no answer; 0 without any.
        It is likely to need at least as long.

    Examples
    --------
    >>> estimate_retry_time(Seconds(0.5), Seconds(1.0))
    1.5
    """
    return Seconds(_RETRY_TIME_FACTOR * max(usual_time, unanswered_time))


class FollowUpSearch:
    """Decides when another server is sought beside an overdue attempt.

    All attempts go on until one is answered. The overdue one may be the slow
    one of a sound server, whose work would be lost if no server took the retry,
    or if the other server refused it, failed or took as long.

    Examples
    --------
    >>> search = FollowUpSearch()
    >>> search.is_due(Seconds(3.0))
    True
    >>> search.observe_unplaced(Seconds(3.0))
    >>> search.is_due(Seconds(3.4)), search.is_due(Seconds(3.5))
    (False, True)
    """

    def __init__(self) -> None:
        self._next_at = Seconds(-math.inf)
        self._pause = _FIRST_PAUSE

    def is_due(self, now: Seconds) -> bool:
        """Tell whether servers may be asked now."""
        return now >= self._next_at

    def observe_unplaced(self, now: Seconds) -> None:
        """Record that no server takes the request."""
        self._next_at = Seconds(now + self._pause)
        self._pause = Seconds(2 * self._pause)

    def measure_pause(self, now: Seconds) -> Seconds:
        """Return the time until servers may be asked again, 0 when they may."""
        return Seconds(max(0.0, self._next_at - now))
