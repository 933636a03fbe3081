"""Adaptive concurrency limit (AIMD)."""

import math

from egretlever.core import (
    AttemptResult,
    Interval,
    Seconds,
    check_parameters,
    require,
)

# The service counts as congested when the short-term mean latency exceeds this
# multiple of the baseline, the lowest long-term mean of the last 30 to 60 s.
# For exponential service times the short-term mean varies by 16% and the
# long-term mean by 7%, so that their ratio rarely exceeds 2 without congestion.
# After 25 samples a baseline varies by 20%, and one that is too low keeps the
# limit low: in the flood benchmark, on one node for the whole run.
_LATENCY_TOLERANCE = 2.5
_BASELINE_WINDOW_S = 30.0
_SHORT_SMOOTHING = 0.05
_LONG_SMOOTHING = 0.01
_BASELINE_SAMPLES = 100

# Increase of the limit per round (as many successful attempts as the limit),
# and share by which one shed reply lowers it. With n attempts in flight the
# share of shed replies settles at 6 / n^2: 6% at 10 in flight, within the retry
# budget of 10%. Steps of 1 and 0.2 settle at the same share but oscillate more,
# and leave 8% of the slots unused. Lowering the limit by a fixed number of
# slots settles at 1 / n, and leaves a node with few attempts in flight without
# its fair share, because it gets more shed replies than a node with many.
_ADDITIVE_INCREASE = 0.3
_SHED_DECREASE = 0.05
_CONGESTION_FACTOR = 0.9

# Factor applied to the limit while the baseline is measured again after
# congestion. Above 1 / _LATENCY_TOLERANCE the limit would grow with each
# window.
_REMEASURE_FACTOR = 0.3


class ConcurrencyLimit:
    """Limit found by additive increase and multiplicative decrease (AIMD).

    A round is as many successful attempts as the limit. The limit grows by 0.3
    per round while it is in use. During slow start, from the time the baseline
    latency is known until the first sign of overload, it doubles each round. A
    shed reply lowers the limit by 5%. Timeouts and raised latency lower it by
    10%, at most once within the mean latency.

    Parameters
    ----------
    ceiling : float
        Highest limit.
    initial : float, default=4
        Limit at the start.

    Examples
    --------
    >>> limit = ConcurrencyLimit(ceiling=4)
    >>> limit.observe(AttemptResult.SHED, Seconds(0.0), 4, Seconds(1.0))
    >>> limit.allowed, limit.value_
    (3, 3.8)
    """

    __slots__ = (
        "_baseline",
        "_baseline_at",
        "_ceiling",
        "_congested",
        "_latency",
        "_long_latency",
        "_decreased_at",
        "_previous_baseline",
        "_slow_start",
        "_samples",
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
        self._slow_start = True
        self._latency = 0.0
        self._long_latency = 0.0
        self._samples = 0
        self._congested = False
        self._baseline = math.inf
        self._previous_baseline = math.inf
        self._baseline_at = 0.0
        self._decreased_at = -math.inf

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
        """Record the end of one attempt.

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
            self._observe_success(latency, in_flight, now)
        elif result is AttemptResult.SHED:
            self._slow_start = False
            self.value_ *= 1.0 - _SHED_DECREASE
        elif result in (AttemptResult.TIMEOUT, AttemptResult.CONNECT_TIMEOUT):
            self._decrease(now)
        self.value_ = min(max(self.value_, 1.0), self._ceiling)
        require(
            "limit-within-ceiling",
            1.0 <= self.value_ <= self._ceiling,
            f"{self.value_} is not in [1, {self._ceiling}]",
        )

    def _observe_success(
        self, latency: Seconds, in_flight: int, now: Seconds
    ) -> None:
        self._samples += 1
        short = max(1.0 / self._samples, _SHORT_SMOOTHING)
        long = max(1.0 / self._samples, _LONG_SMOOTHING)
        self._latency += short * (latency - self._latency)
        self._long_latency += long * (latency - self._long_latency)
        self._update_baseline(now)
        lowest = min(self._baseline, self._previous_baseline)
        if self._latency > _LATENCY_TOLERANCE * lowest:
            self._congested = True
            self._decrease(now)
        elif in_flight >= 0.8 * self.allowed:
            in_slow_start = self._slow_start and lowest < math.inf
            self.value_ += (
                1.0 if in_slow_start else _ADDITIVE_INCREASE / self.value_
            )

    def _update_baseline(self, now: Seconds) -> None:
        if now - self._baseline_at >= _BASELINE_WINDOW_S:
            self._start_window(now)
        if self._samples >= _BASELINE_SAMPLES:
            self._baseline = min(self._baseline, self._long_latency)

    def _start_window(self, now: Seconds) -> None:
        """Start a new baseline window, after congestion with a lower limit.

        Without the lower limit the latency under congestion would become the
        baseline, and the limit would grow with each window.
        """
        if self._congested:
            self.value_ *= _REMEASURE_FACTOR
            self._previous_baseline = math.inf
            self._samples = 0
        else:
            self._previous_baseline = self._baseline
        self._congested = False
        self._baseline = math.inf
        self._baseline_at = now

    def _decrease(self, now: Seconds) -> None:
        self._slow_start = False
        if now - self._decreased_at >= self._latency:
            self.value_ *= _CONGESTION_FACTOR
            self._decreased_at = now
