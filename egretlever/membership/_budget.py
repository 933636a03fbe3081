"""Token buckets that bound the bytes sent between nodes."""

from egretlever.core import Interval, Seconds, check_parameters


class TokenBucket:
    """Token bucket whose tokens are bytes that may be sent.

    Parameters
    ----------
    rate : float
        Refill in bytes per second.
    burst : float
        Capacity of the bucket in bytes.

    Examples
    --------
    >>> bucket = TokenBucket(1000.0, 500.0)
    >>> bucket.take(400, Seconds(0.0)), bucket.take(400, Seconds(0.0))
    (True, False)
    >>> bucket.take(400, Seconds(0.5))
    True
    """

    def __init__(self, rate: float, burst: float) -> None:
        check_parameters(
            "TokenBucket",
            {"rate": rate, "burst": burst},
            {"rate": Interval(0), "burst": Interval(0)},
        )
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def available(self, now: Seconds) -> float:
        """Return the bytes that may be sent now."""
        if self._refilled_at is not None and now > self._refilled_at:
            self._tokens = min(
                self.burst, self._tokens + (now - self._refilled_at) * self.rate
            )
        self._refilled_at = (
            now if self._refilled_at is None else max(now, self._refilled_at)
        )
        return self._tokens

    def take(self, size: int, now: Seconds, reserve: float = 0.0) -> bool:
        """Take tokens for ``size`` bytes unless fewer than ``reserve`` remain.

        Returns
        -------
        bool
            Whether the tokens were taken.
        """
        if self.available(now) - size < reserve:
            return False
        self._tokens -= size
        return True
