"""Adaptive limit of concurrent attempts."""

import math

from egretlever.core import (
    AttemptResult,
    Interval,
    Seconds,
    check_parameters,
    require,
)

# Congestion is assumed when the smoothed latency exceeds this multiple of
# the lowest smoothed latency of the last 30 to 60 s. The smoothed latency of
# exponential service times varies by about a quarter of its mean.
_LATENCY_TOLERANCE = 2.5
_BASELINE_WINDOW_S = 30.0
_SMOOTHING = 0.1

# Loss of limit for one shed reply. With one slot gained in a full round of
# good attempts, n attempts in flight settle at 1 / (1 + n / 2) shed replies,
# and nodes that share servers converge to equal limits.
_SHED_STEP = 0.5
_CONGESTED_SHARE = 0.9


class ConcurrencyLimit:
    """Limit found by additive increase and decrease on signs of overload.

    The limit grows by one in each round of good attempts while it is in use,
    and doubles each round until the first sign of overload. A shed reply
    lowers it by half a slot. Timeouts and raised latency lower it by a tenth,
    at most once in a round.

    Parameters
    ----------
    ceiling : float
        Highest limit.
    initial : float, default=4
        First limit.

    Examples
    --------
    >>> limit = ConcurrencyLimit(ceiling=4)
    >>> limit.observe(AttemptResult.SHED, Seconds(0.0), 4, Seconds(1.0))
    >>> limit.allowed, limit.value_
    (3, 3.5)
    """

    __slots__ = (
        "_baseline",
        "_baseline_at",
        "_ceiling",
        "_latency",
        "_lowered_at",
        "_previous_baseline",
        "_probing",
        "value_",
    )

    def __init__(self, ceiling: float, initial: float = 4.0) -> None:
        check_parameters(
            "ConcurrencyLimit",
            {"ceiling": ceiling, "initial": initial},
            {"ceiling": Interval(1), "initial": Interval(1)},
        )
        self._ceiling = float(ceiling)
        self.value_ = min(initial, self._ceiling)
        self._probing = True
        self._latency = 0.0
        self._baseline = math.inf
        self._previous_baseline = math.inf
        self._baseline_at = 0.0
        self._lowered_at = -math.inf

    @property
    def allowed(self) -> int:
        """Attempts that may run at the same time, at least 1."""
        return int(self.value_)

    def set_ceiling(self, ceiling: float) -> None:
        """Change the highest limit."""
        self._ceiling = max(1.0, ceiling)
        self.value_ = min(self.value_, self._ceiling)

    def observe(
        self,
        result: AttemptResult,
        latency: Seconds,
        in_flight: int,
        now: Seconds,
    ) -> None:
        """Take in the end of one attempt.

        Parameters
        ----------
        result : AttemptResult
            How it ended.
        latency : Seconds
            Time from dispatch to the end.
        in_flight : int
            Attempts in flight, the ended one included.
        now : Seconds
            Reading of the local clock.
        """
        if result is AttemptResult.OK:
            self._observe_good(latency, in_flight, now)
        elif result is AttemptResult.SHED:
            self._probing = False
            self.value_ -= _SHED_STEP
        elif result in (AttemptResult.TIMEOUT, AttemptResult.CONNECT_TIMEOUT):
            self._lower(now)
        self.value_ = min(max(self.value_, 1.0), self._ceiling)
        require(
            "limit-within-ceiling",
            1.0 <= self.value_ <= self._ceiling,
            f"{self.value_} is not in [1, {self._ceiling}]",
        )

    def _observe_good(
        self, latency: Seconds, in_flight: int, now: Seconds
    ) -> None:
        if self._latency == 0.0:
            self._latency = latency
        self._latency += _SMOOTHING * (latency - self._latency)
        self._update_baseline(now)
        lowest = min(self._baseline, self._previous_baseline)
        if self._latency > _LATENCY_TOLERANCE * lowest:
            self._lower(now)
        elif in_flight >= 0.8 * self.allowed:
            self.value_ += 1.0 if self._probing else 1.0 / self.value_

    def _update_baseline(self, now: Seconds) -> None:
        if now - self._baseline_at >= _BASELINE_WINDOW_S:
            self._previous_baseline = self._baseline
            self._baseline = math.inf
            self._baseline_at = now
        self._baseline = min(self._baseline, self._latency)

    def _lower(self, now: Seconds) -> None:
        self._probing = False
        if now - self._lowered_at >= self._latency:
            self.value_ *= _CONGESTED_SHARE
            self._lowered_at = now
