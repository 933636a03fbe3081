"""Choice of the requests whose log lines are written in a flood."""

import zlib

from egretlever.core import RequestId, Seconds

# Lines a second above which fewer requests are logged. A node at the design
# size has 90 requests a second with four lines each and logs all of them.
_MAX_LINES = 400
_MIN_LINES = _MAX_LINES // 4
_MAX_SHIFT = 10  # at least one request in 1,024 is logged


class RequestSampler:
    """Keeps the lines of whole requests, and fewer requests in a flood.

    Requests are chosen by a hash of their ids, and each halving keeps a part
    of those before it. All nodes on the way of a request therefore keep its
    lines, unless their loads differ, and then the busiest one decides.

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
        """Share of the requests whose lines are written."""
        return float(1 / (1 << self._shift))

    def decide(self, request_id: RequestId, now: Seconds) -> bool:
        """Count a line and tell whether it is written."""
        if int(now) != self._second:
            if self._lines * self.share > _MAX_LINES:
                self._shift = min(_MAX_SHIFT, self._shift + 1)
            elif self._lines * self.share < _MIN_LINES:
                self._shift = max(0, self._shift - 1)
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        mask = (1 << self._shift) - 1
        return zlib.crc32(request_id.encode()) & mask == 0
