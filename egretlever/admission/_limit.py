"""Adaptive limit of concurrent attempts."""

import math

from egretlever.core import (
    AttemptResult,
    Interval,
    Seconds,
    check_parameters,
    require,
)

# Congestion is assumed when the short mean of the latency exceeds this
# multiple of the lowest long mean of the last 30 to 60 s. For exponential
# service times the short mean varies by 16% and the long one by 7%, so that
# their ratio rarely exceeds 2 without congestion. A baseline after 25 samples
# varies by 20%; it was too low on one node of the flood benchmark, whose limit
# stayed low for the run.
_LATENCY_TOLERANCE = 2.5
_BASELINE_WINDOW_S = 30.0
_SHORT_SMOOTHING = 0.05
_LONG_SMOOTHING = 0.01
_BASELINE_SAMPLES = 100

# Slots gained in a full round of good attempts, and part of the limit lost for
# one shed reply. n attempts in flight settle at a part of 6 / n^2 shed replies:
# 6% at 10 in flight, within the retry budget of 10%. Steps of 1 and 0.2 settle
# at the same part but swing more, and left 8% of the slots unused. A loss of a
# fixed number of slots settles at 1 / n, and left a node with few attempts
# without its share, because it meets more shed replies than a node with many.
_GAIN = 0.3
_SHED_PART = 0.05
_CONGESTED_SHARE = 0.9

# Part of the limit at which the baseline is measured again after congestion.
# Above 1 / _LATENCY_TOLERANCE the limit would grow with each window.
_REMEASURE_PART = 0.3


class ConcurrencyLimit:
    """Limit found by additive increase and decrease on signs of overload.

    The limit grows by 0.3 in each round of good attempts while it is in use,
    and doubles each round, once the latency is known, until the first sign of
    overload. A shed reply lowers it by a twentieth. Timeouts and raised latency
    lower it by a tenth, at most once in a round.

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
    (3, 3.8)
    """

    __slots__ = (
        "_baseline",
        "_baseline_at",
        "_ceiling",
        "_congested",
        "_latency",
        "_long_latency",
        "_lowered_at",
        "_previous_baseline",
        "_probing",
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
        self._probing = True
        self._latency = 0.0
        self._long_latency = 0.0
        self._samples = 0
        self._congested = False
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
            self.value_ *= 1.0 - _SHED_PART
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
        self._samples += 1
        short = max(1.0 / self._samples, _SHORT_SMOOTHING)
        long = max(1.0 / self._samples, _LONG_SMOOTHING)
        self._latency += short * (latency - self._latency)
        self._long_latency += long * (latency - self._long_latency)
        self._update_baseline(now)
        lowest = min(self._baseline, self._previous_baseline)
        if self._latency > _LATENCY_TOLERANCE * lowest:
            self._congested = True
            self._lower(now)
        elif in_flight >= 0.8 * self.allowed:
            doubles = self._probing and lowest < math.inf
            self.value_ += 1.0 if doubles else _GAIN / self.value_

    def _update_baseline(self, now: Seconds) -> None:
        if now - self._baseline_at >= _BASELINE_WINDOW_S:
            self._start_window(now)
        if self._samples >= _BASELINE_SAMPLES:
            self._baseline = min(self._baseline, self._long_latency)

    def _start_window(self, now: Seconds) -> None:
        """Forget old latencies; after congestion, measure below it.

        Without the lower limit the congested latency would become the
        baseline, and the limit would grow with each window.
        """
        if self._congested:
            self.value_ *= _REMEASURE_PART
            self._previous_baseline = math.inf
            self._samples = 0
        else:
            self._previous_baseline = self._baseline
        self._congested = False
        self._baseline = math.inf
        self._baseline_at = now

    def _lower(self, now: Seconds) -> None:
        self._probing = False
        if now - self._lowered_at >= self._latency:
            self.value_ *= _CONGESTED_SHARE
            self._lowered_at = now
