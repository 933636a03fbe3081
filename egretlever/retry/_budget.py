"""Retry budget: a token bucket filled by first attempts."""

from egretlever.core import Interval, check_parameters

# At the design size a node gets about one request for a service in 4 s, so that
# with a larger burst 1,000 nodes would amplify a sudden overload.
BURST = 3.0


class RetryBudget:
    """Token bucket of one service on one node.

    Each first attempt adds a share of a token, so that retries and hedges stay
    below ``share`` times the first attempts plus the burst. Time adds no
    tokens: a slow service gets no retries while its requests wait.

    Parameters
    ----------
    share : float
        Tokens added by a first attempt.
    burst : float, default=3
        Capacity of the bucket, which starts full if ``share`` is above 0.

    Examples
    --------
    >>> budget = RetryBudget(0.1, burst=1)
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self, share: float, burst: float = BURST) -> None:
        check_parameters(
            "RetryBudget",
            {"share": share, "burst": burst},
            {"share": Interval(0, 1), "burst": Interval(0)},
        )
        self.share = share
        self._burst = burst
        self.tokens_ = burst if share > 0 else 0.0

    def add_first_attempt(self) -> None:
        """Add the share of one first attempt."""
        self.tokens_ = min(self._burst, self.tokens_ + self.share)

    def take(self) -> bool:
        """Take a token if a whole one is left."""
        # Floating point: ten additions of 0.1 give slightly less than 1.
        if self.share <= 0 or self.tokens_ < 1 - 1e-9:
            return False
        self.tokens_ = max(0.0, self.tokens_ - 1)
        return True
