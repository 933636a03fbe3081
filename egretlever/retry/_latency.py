"""Recent latencies of one service, for hedges."""

import collections

from egretlever.core import Seconds

_WINDOW = 128
# Fewer samples say little about the slowest twentieth.
_ENOUGH = 40
_SORT_INTERVAL = 16


class LatencyWindow:
    """Quantiles over the last successful attempts of a service."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )
        self._sorted: list[float] = []
        self._added = 0

    def add(self, latency: Seconds) -> None:
        """Add the latency of a successful attempt."""
        self._recent.append(latency)
        self._added += 1
        if self._added % _SORT_INTERVAL == 0:
            self._sorted = sorted(self._recent)

    def quantile(self, share: float) -> Seconds | None:
        """Return a quantile, None with too few samples."""
        if len(self._sorted) < _ENOUGH:
            return None
        position = min(int(share * len(self._sorted)), len(self._sorted) - 1)
        return Seconds(self._sorted[position])
