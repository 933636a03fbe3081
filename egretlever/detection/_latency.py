"""Latency distribution of the servers of one service in one region."""

import math

from egretlever.core import Seconds

_MIN_LATENCY_S = 0.0005
_LOG_BUCKET_RATIO = math.log(1.15)
_BUCKET_COUNT = 96
# Halving the counts at this total lets the thresholds follow a new load within
# 1000 outcomes and keeps the quartiles stable within a few percent.
_MAX_TOTAL = 1000
_MIN_OUTCOMES = 20
_DEFAULT_THRESHOLD_S = 1.0


class LatencyDistribution:
    """Decayed logarithmic histogram of latencies.

    Thresholds are derived from the quartiles, on which a minority of slow
    servers has little effect. A high quantile would follow the slow servers.

    Examples
    --------
    >>> latency = LatencyDistribution()
    >>> for _ in range(100):
    ...     latency.observe(0.02)
    >>> 0.04 < latency.slow_after < 0.06
    True
    """

    __slots__ = (
        "_counts",
        "_since_update",
        "_total",
        "overdue_after",
        "slow_after",
    )

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKET_COUNT
        self._total = 0.0
        self._since_update = 0
        self.slow_after = Seconds(_DEFAULT_THRESHOLD_S)
        self.overdue_after = Seconds(_DEFAULT_THRESHOLD_S)

    def observe(self, latency: float) -> None:
        """Add the latency of a complete response, in seconds."""
        index = 0
        if latency > _MIN_LATENCY_S:
            index = int(math.log(latency / _MIN_LATENCY_S) / _LOG_BUCKET_RATIO)
            index = min(index, _BUCKET_COUNT - 1)
        self._counts[index] += 1
        self._total += 1
        self._since_update += 1
        if self._total >= _MAX_TOTAL:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        # 32 outcomes move the quartiles of 500 by less than one bucket.
        if self._since_update >= 32 or self._total == _MIN_OUTCOMES:
            self._update_thresholds()

    def _update_thresholds(self) -> None:
        self._since_update = 0
        if self._total < _MIN_OUTCOMES:
            return
        lower, median, upper = self._quantiles((0.25, 0.5, 0.75))
        spread = math.log(upper / lower) / 1.349
        # 2.33 spreads give the 99th percentile of a log-normal distribution.
        # The minimum of 2.5 medians avoids that jitter counts as slow when the
        # distribution is narrow.
        slow = median * max(2.5, math.exp(2.33 * spread))
        self.slow_after = Seconds(slow)
        self.overdue_after = Seconds(min(max(2 * slow, 0.05), 2.0))

    def _quantiles(self, shares: tuple[float, ...]) -> list[float]:
        values = []
        seen = 0.0
        index = -1
        for share in shares:
            while seen < share * self._total and index < _BUCKET_COUNT - 1:
                index += 1
                seen += self._counts[index]
            values.append(
                _MIN_LATENCY_S * math.exp((index + 0.5) * _LOG_BUCKET_RATIO)
            )
        return values
