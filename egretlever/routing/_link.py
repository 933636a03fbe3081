"""Bandwidth budget of the link between regions."""

from egretlever.core import Interval, Seconds, check_parameters, require

# Share of a full bucket that is reserved from a rank, per step of its priority
# below the most urgent one, up to the maximum of three quarters.
_RESERVED_SHARE_PER_PRIORITY = 0.25
_MAX_RESERVED_SHARE = 0.75


class LinkBudget:
    """Token bucket of bytes that a node may send over the link between regions.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth that all nodes of the region may use for requests.
    burst_s : float, default=2
        Capacity of the bucket, in seconds of the node's rate.
    nodes : int, default=1
        Number of live nodes of the region, which share the link evenly.

    Examples
    --------
    >>> budget = LinkBudget(bytes_per_s=1000.0, burst_s=1.0)
    >>> budget.take(800, 0, Seconds(0.0)), budget.take(800, 0, Seconds(0.0))
    (True, False)
    >>> budget.take(800, 0, Seconds(1.0))
    True
    """

    __slots__ = ("_filled_at", "_burst_s", "_nodes", "_rate", "tokens_")

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
        self._filled_at = float("-inf")
        self.tokens_ = self._capacity

    @property
    def _capacity(self) -> float:
        return self._rate / self._nodes * self._burst_s

    def set_nodes(self, nodes: int, now: Seconds) -> None:
        """Change the number of nodes that share the link."""
        self._refill(now)
        self._nodes = max(1, nodes)
        self.tokens_ = min(self.tokens_, self._capacity)

    def take(self, size: int, priority: int, now: Seconds) -> bool:
        """Consume the bytes of one attempt if there are enough tokens.

        Parameters
        ----------
        size : int
            Bytes of request and response together.
        priority : int
            Priority of the rank, 0 for the most urgent.
        now : Seconds
            Current local time.

        Returns
        -------
        bool
            Whether the bytes were consumed.
        """
        self._refill(now)
        if self._rate <= 0.0 or self.tokens_ < self._find_required(
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
        """Return the time until there are enough tokens for one attempt."""
        self._refill(now)
        rate = self._rate / self._nodes
        missing = max(0.0, self._find_required(size, priority) - self.tokens_)
        return Seconds(missing / rate if rate else 60.0)

    def _find_required(self, size: int, priority: int) -> float:
        """Return the required tokens, at most a full bucket.

        At the design size of the fleet a node's bucket holds 7.5 kB. A larger
        attempt needs a full bucket and leaves a negative balance, which has to
        be refilled before later attempts.
        """
        reserved_share = min(
            _RESERVED_SHARE_PER_PRIORITY * priority, _MAX_RESERVED_SHARE
        )
        return min(size + reserved_share * self._capacity, self._capacity)

    def _refill(self, now: Seconds) -> None:
        if now > self._filled_at:
            elapsed = min(now - self._filled_at, self._burst_s)
            grown = self.tokens_ + elapsed * self._rate / self._nodes
            self.tokens_ = min(grown, self._capacity)
            self._filled_at = now
