"""Limit of the requests per second that a server takes."""

import math

from egretlever.core import Interval, Seconds, check_parameters

# Requests that may start together after a pause: those of this time, at least
# one. A burst takes from what a server in need allows in the seconds around it.
_BURST_TIME = Seconds(0.5)
# A server that takes no requests at all could not say that it does again.
_MIN_RATE = 0.25  # requests per second


class RateLimit:
    """Paces the requests of a server that names a limit (token bucket).

    Load pattern: a server in need takes a few requests a second, far fewer than
    its slots would run. What it does not take has to be placed elsewhere or
    rejected at once.

    Parameters
    ----------
    rate : float
        Requests per second that the server takes, at least 0.
    now : Seconds
        Clock time at which the limit begins.

    Examples
    --------
    >>> limit = RateLimit(2.0, Seconds(0.0))
    >>> limit.take(Seconds(0.0))
    >>> limit.measure_wait(Seconds(0.0))
    0.5
    >>> limit.measure_wait(Seconds(0.0), ahead=2)
    1.5
    """

    def __init__(self, rate: float, now: Seconds) -> None:
        check_parameters("RateLimit", {"rate": rate}, {"rate": Interval(0.0)})
        self._rate = max(_MIN_RATE, rate)
        self._tokens = 1.0
        self._counted_at = now

    def change(self, rate: float, now: Seconds) -> None:
        """Go on with another rate."""
        self._tokens = self._count(now)
        self._counted_at = now
        self._rate = max(_MIN_RATE, rate)

    def _count(self, now: Seconds) -> float:
        most = max(1.0, _BURST_TIME * self._rate)
        grown = (now - self._counted_at) * self._rate
        return min(most, self._tokens + grown)

    def count_allowed(self, now: Seconds) -> int:
        """Return the number of requests that may start now."""
        return max(0, math.floor(self._count(now) + 1e-9))

    def measure_wait(self, now: Seconds, ahead: int = 0) -> Seconds:
        """Return the time until a request may start.

        Parameters
        ----------
        now : Seconds
            Current time.
        ahead : int, default=0
            Number of requests that start before it.
        """
        missing = ahead + 1 - self._count(now)
        return Seconds(max(0.0, missing / self._rate))

    def take(self, now: Seconds) -> None:
        """Count a request that starts."""
        self._tokens = self._count(now) - 1.0
        self._counted_at = now
