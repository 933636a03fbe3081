"""Recent latencies of one service, which decide when to hedge."""

import collections

from egretlever.core import Seconds

_WINDOW_SAMPLES = 128
# With fewer samples the 95th percentile is not reliable.
_MIN_SAMPLES = 40
_SORT_INTERVAL_SAMPLES = 16


class LatencyWindow:
    """Quantiles of the latencies of recent successful attempts."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SAMPLES
        )
        self._sorted: list[float] = []
        self._added = 0

    def add(self, latency: Seconds) -> None:
        """Add the latency of a successful attempt."""
        self._recent.append(latency)
        self._added += 1
        if self._added % _SORT_INTERVAL_SAMPLES == 0:
            self._sorted = sorted(self._recent)

    def quantile(self, share: float) -> Seconds | None:
        """Return a quantile, None with too few samples."""
        if len(self._sorted) < _MIN_SAMPLES:
            return None
        position = min(int(share * len(self._sorted)), len(self._sorted) - 1)
        return Seconds(self._sorted[position])
