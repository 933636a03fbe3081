"""Circuit breaker of a server, fed by all of its requests at the home node."""

import math

from egretlever.core import Seconds
from egretlever.placement import Trust

# Weight of a new outcome in the moving failure share. With 0.5 one failure
# after successes exceeds the bound of DOUBTED and two in a row exceed that of
# BROKEN; two successes end either state.
_OUTCOME_WEIGHT = 0.5
# A failure after the usual service time counts less, since the request itself
# or a call that it made may be at fault. Two in a row exceed the bound of
# DOUBTED.
_SLOW_FAILURE_WEIGHT = 0.25
_DOUBTED_ABOVE = 0.3
_BROKEN_ABOVE = 0.6
# Above this failure share a broken server gets no forced requests either. A
# server that fails half of its requests is mostly below it, one that fails nine
# in ten is mostly above it.
_MAX_FORCED_FAILURE_SHARE = 0.85
# Seconds between trial requests to a broken server, with exponential backoff.
# Each trial costs a retry, and each second without one keeps a server that has
# recovered out of service.
_TRIAL_INTERVAL_S = 0.4
_TRIAL_GROWTH = 1.5
_MAX_TRIAL_INTERVAL_S = 1.6
# Seconds between trials while the retry budget is low. Without any trials,
# servers that have recovered would stay out of service during an overload.
_LOW_BUDGET_TRIAL_INTERVAL_S = 2.0
# Seconds without any outcome after which a request that is not idempotent may
# be the trial, for services without idempotent requests.
_NON_IDEMPOTENT_TRIAL_INTERVAL_S = 3.0


class CircuitBreaker:
    """Circuit breaker that decides which requests a server may get.

    It guards against gray failures, in which a server fails most of its
    requests for some seconds while its health endpoint reports success. A
    request that can't be retried is lost there, so requests that can be retried
    show first whether the server works. In the ``BROKEN`` state, the open state
    of a circuit breaker, single requests pass as trials, as in its half-open
    state.

    Attributes
    ----------
    failure_share_ : float
        Exponential moving average of the share of failures, 0 to 1.

    Examples
    --------
    >>> breaker = CircuitBreaker()
    >>> breaker.observe(False, Seconds(0.0))
    >>> breaker.decide(may_be_trial=False, now=Seconds(0.1))
    False
    >>> breaker.decide(may_be_trial=True, now=Seconds(0.1))
    True
    """

    def __init__(self) -> None:
        self.failure_share_ = 0.0
        self._last_trial_at = Seconds(-math.inf)
        self._trial_interval = 0.0
        self._observed_at = Seconds(0.0)
        self._overdue = 0

    def describe(self) -> Trust:
        """Return the current state."""
        if self.failure_share_ > _BROKEN_ABOVE:
            return Trust.BROKEN
        if self.failure_share_ > _DOUBTED_ABOVE or self._overdue:
            return Trust.DOUBTED
        return Trust.TRUSTED

    def decide(
        self,
        may_be_trial: bool,
        now: Seconds,
        forced: bool = False,
        low_retry_budget: bool = False,
    ) -> bool:
        """Decide whether the server may get a request, and count a trial.

        Parameters
        ----------
        may_be_trial : bool
            Whether the request can be retried elsewhere, so that it may be a
            trial.
        now : Seconds
            Current time.
        forced : bool, default=False
            Whether no other server accepts the request. A doubted server may
            then get it, and a broken one if the request can be retried: when
            most servers of the service fail, a part of the requests succeeds.
        low_retry_budget : bool, default=False
            Whether the retry budget is low, which makes trials rarer.
        """
        if self.allows_without_trial(may_be_trial, forced):
            return True
        if now - self._observed_at > _NON_IDEMPOTENT_TRIAL_INTERVAL_S:
            return self._start_trial(now, low_retry_budget)
        return may_be_trial and self._start_trial(now, low_retry_budget)

    def allows_without_trial(
        self, may_be_trial: bool, forced: bool = False
    ) -> bool:
        """Return whether the server may get a request that is not a trial."""
        level = self.describe()
        if level is Trust.TRUSTED:
            return True
        if level is Trust.DOUBTED:
            return may_be_trial or forced
        partly_works = self.failure_share_ <= _MAX_FORCED_FAILURE_SHARE
        return may_be_trial and forced and partly_works

    def measure_time_to_trial(
        self, now: Seconds, low_retry_budget: bool = False
    ) -> Seconds:
        """Return the time until the next trial of a broken server, otherwise 0.

        Parameters
        ----------
        now : Seconds
            Current time.
        low_retry_budget : bool, default=False
            Whether the retry budget is low, which makes trials rarer.
        """
        if self.describe() is not Trust.BROKEN:
            return Seconds(0.0)
        interval = self._trial_interval
        if low_retry_budget:
            interval = max(interval, _LOW_BUDGET_TRIAL_INTERVAL_S)
        return Seconds(max(0.0, self._last_trial_at + interval - now))

    def _start_trial(self, now: Seconds, low_retry_budget: bool) -> bool:
        if self.measure_time_to_trial(now, low_retry_budget) > 0:
            return False
        self._last_trial_at = now
        self._trial_interval = min(
            _MAX_TRIAL_INTERVAL_S,
            max(_TRIAL_INTERVAL_S, self._trial_interval * _TRIAL_GROWTH),
        )
        return True

    def observe(
        self, good: bool, now: Seconds, after_usual_time: bool = False
    ) -> None:
        """Record the outcome of a request that the server began to run.

        Parameters
        ----------
        good : bool
            Whether the request succeeded.
        now : Seconds
            Current time.
        after_usual_time : bool, default=False
            Whether a failure came after the usual service time. Servers with
            gray failures mostly fail at once.
        """
        bad = 0.0 if good else 1.0
        weight = (
            _SLOW_FAILURE_WEIGHT
            if after_usual_time and not good
            else _OUTCOME_WEIGHT
        )
        self.failure_share_ += weight * (bad - self.failure_share_)
        self._observed_at = now
        if good:
            self._trial_interval = 0.0

    def observe_overdue(self, change: int) -> None:
        """Adjust the number of running requests that are far slower than usual.

        Parameters
        ----------
        change : int
            Requests to add; negative when they have ended.
        """
        self._overdue = max(0, self._overdue + change)
