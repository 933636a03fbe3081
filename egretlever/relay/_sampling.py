"""Sampling of requests whose log lines are written."""

import zlib

from egretlever.core import RequestId, Seconds

# Above this rate fewer requests are logged. A node at the design size has 90
# requests per second with four lines each, all of which are logged.
_MAX_LINES_PER_S = 400
_MIN_LINES_PER_S = _MAX_LINES_PER_S // 4
_MAX_SHIFT = 10  # at least one request in 1,024 is logged


class RequestSampler:
    """Samples requests, halving the sampled share while the rate is too high.

    Requests are sampled by a hash of their ids, and each smaller sample is a
    subset of the larger ones. The nodes that handle a request therefore sample
    it alike; if their shares differ, all of them log what the smallest share
    contains.

    Examples
    --------
    >>> sampler = RequestSampler()
    >>> sampler.decide("r-1", Seconds(0.0))
    True
    """

    def __init__(self) -> None:
        self._shift = 0
        self._lines = 0
        self._second = 0

    @property
    def share(self) -> float:
        """Share of requests whose lines are written."""
        return float(1 / (1 << self._shift))

    def decide(self, request_id: RequestId, now: Seconds) -> bool:
        """Count a log line and tell whether it is written."""
        if int(now) != self._second:
            if self._lines * self.share > _MAX_LINES_PER_S:
                self._shift = min(_MAX_SHIFT, self._shift + 1)
            elif self._lines * self.share < _MIN_LINES_PER_S:
                self._shift = max(0, self._shift - 1)
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        mask = (1 << self._shift) - 1
        return zlib.crc32(request_id.encode()) & mask == 0
