"""Latency distribution of the servers of one service in one region."""

import math

from egretlever.core import Seconds

_LOWEST = 0.0005
_RATIO = math.log(1.15)
_BUCKETS = 96
# Halving the histogram at this size forgets a level of load within 1000
# outcomes and keeps the quartiles stable to a few percent.
_LIMIT = 1000
_ENOUGH = 20
_SLOWEST_WITHOUT_DATA = 1.0


class LatencyDistribution:
    """Decayed logarithmic histogram of latencies.

    Thresholds are taken from the quartiles, which a minority of slow servers
    moves little. A high quantile would follow the slow servers themselves.

    Examples
    --------
    >>> latency = LatencyDistribution()
    >>> for _ in range(100):
    ...     latency.observe(0.02)
    >>> 0.04 < latency.slow_after < 0.06
    True
    """

    __slots__ = ("_counts", "_stale", "_total", "overdue_after", "slow_after")

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0
        self._stale = 0
        self.slow_after = Seconds(_SLOWEST_WITHOUT_DATA)
        self.overdue_after = Seconds(_SLOWEST_WITHOUT_DATA)

    def observe(self, latency: float) -> None:
        """Add the latency of a complete response, in seconds."""
        index = 0
        if latency > _LOWEST:
            index = int(math.log(latency / _LOWEST) / _RATIO)
            index = min(index, _BUCKETS - 1)
        self._counts[index] += 1
        self._total += 1
        self._stale += 1
        if self._total >= _LIMIT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        # 32 outcomes move the quartiles of 500 by less than one bucket.
        if self._stale >= 32 or self._total == _ENOUGH:
            self._update_thresholds()

    def _update_thresholds(self) -> None:
        self._stale = 0
        if self._total < _ENOUGH:
            return
        low, middle, high = self._quantiles((0.25, 0.5, 0.75))
        spread = math.log(high / low) / 1.349
        # 2.33 spreads are the 99th percentile of a log-normal distribution;
        # 2.5 medians keep a narrow distribution from flagging jitter.
        slow = middle * max(2.5, math.exp(2.33 * spread))
        self.slow_after = Seconds(slow)
        self.overdue_after = Seconds(min(max(2 * slow, 0.05), 2.0))

    def _quantiles(self, shares: tuple[float, ...]) -> list[float]:
        values = []
        seen = 0.0
        index = -1
        for share in shares:
            while seen < share * self._total and index < _BUCKETS - 1:
                index += 1
                seen += self._counts[index]
            values.append(_LOWEST * math.exp((index + 0.5) * _RATIO))
        return values
