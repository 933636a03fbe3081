"""Budget of bytes on the link between regions."""

from egretlever.core import Interval, Seconds, check_parameters, require

# Less urgent ranks leave this part of a full bucket per step of priority to
# more urgent ones, up to three quarters.
_RESERVE_PER_PRIORITY = 0.25
_HIGHEST_RESERVE = 0.75


class LinkBudget:
    """Token bucket of the bytes that a node may send across the link.

    Parameters
    ----------
    bytes_per_s : float
        Part of the link that all nodes of the region use for requests.
    burst_s : float, default=2
        Seconds of the node's rate that the bucket holds.
    nodes : int, default=1
        Live nodes of the region, which share the link evenly.

    Examples
    --------
    >>> budget = LinkBudget(bytes_per_s=1000.0, burst_s=1.0)
    >>> budget.take(800, 0, Seconds(0.0)), budget.take(800, 0, Seconds(0.0))
    (True, False)
    >>> budget.take(800, 0, Seconds(1.0))
    True
    """

    __slots__ = ("_at", "_burst_s", "_nodes", "_rate", "tokens_")

    def __init__(
        self, bytes_per_s: float, burst_s: float = 2.0, nodes: int = 1
    ) -> None:
        check_parameters(
            "LinkBudget",
            {"bytes_per_s": bytes_per_s, "burst_s": burst_s, "nodes": nodes},
            {
                "bytes_per_s": Interval(0),
                "burst_s": Interval(0.01),
                "nodes": Interval(1),
            },
        )
        self._rate = bytes_per_s
        self._burst_s = burst_s
        self._nodes = nodes
        self._at = float("-inf")
        self.tokens_ = self._capacity

    @property
    def _capacity(self) -> float:
        return self._rate / self._nodes * self._burst_s

    def set_nodes(self, nodes: int, now: Seconds) -> None:
        """Change the number of nodes that share the link."""
        self._fill(now)
        self._nodes = max(1, nodes)
        self.tokens_ = min(self.tokens_, self._capacity)

    def take(self, size: int, priority: int, now: Seconds) -> bool:
        """Take the bytes of one attempt, or nothing.

        Parameters
        ----------
        size : int
            Bytes of request and response.
        priority : int
            Priority of the rank, 0 is the most urgent.
        now : Seconds
            Reading of the local clock.

        Returns
        -------
        bool
            Whether the bytes were taken.
        """
        self._fill(now)
        if self._rate <= 0.0 or self.tokens_ < self._find_needed(
            size, priority
        ):
            return False
        self.tokens_ -= size
        require(
            "link-budget-not-overdrawn",
            self.tokens_ >= min(0.0, self._capacity - size) - 1e-6,
            f"{self.tokens_} bytes left",
        )
        return True

    def predict_wait(self, size: int, priority: int, now: Seconds) -> Seconds:
        """Return the time until the bytes of one attempt are there."""
        self._fill(now)
        rate = self._rate / self._nodes
        missing = max(0.0, self._find_needed(size, priority) - self.tokens_)
        return Seconds(missing / rate if rate else 60.0)

    def _find_needed(self, size: int, priority: int) -> float:
        """Return the tokens needed; a large attempt needs a full bucket.

        At the design size a node's bucket holds 7.5 kB. A larger attempt
        leaves a debt, which later attempts wait for.
        """
        reserve = min(_RESERVE_PER_PRIORITY * priority, _HIGHEST_RESERVE)
        return min(size + reserve * self._capacity, self._capacity)

    def _fill(self, now: Seconds) -> None:
        if now > self._at:
            elapsed = min(now - self._at, self._burst_s)
            grown = self.tokens_ + elapsed * self._rate / self._nodes
            self.tokens_ = min(grown, self._capacity)
            self._at = now
