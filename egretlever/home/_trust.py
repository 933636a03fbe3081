"""Judgement of a server by the outcomes of all callers at its home node."""

import math

from egretlever.core import Seconds
from egretlever.placement import Trust

# Each outcome counts half. One bad outcome after good ones is above the first
# bound, two in a row are above the second; two good ones end either state.
_NEW_WEIGHT = 0.5
# A failure after the usual time of work counts less: the request itself or a
# call that it made may be at fault. Two in a row are above the first bound.
_WORKED_WEIGHT = 0.25
_DOUBT_ABOVE = 0.3
_BROKEN_ABOVE = 0.6
# A forced request that can be repeated is kept out above this share. A server
# that fails half of its requests is mostly below, one that fails nine in ten
# mostly above.
_HOPELESS_ABOVE = 0.85
# A broken server gets a trial after this time, seconds, and later ones after
# longer times. Each trial costs a repeated attempt, and each second without one
# keeps a server that has recovered out of service.
_TRIAL_INTERVAL = 0.4
_TRIAL_GROWTH = 1.5
_MAX_TRIAL_INTERVAL = 1.6
# Time between trials, seconds, while few repeats are left. Without any trial,
# servers that have recovered would stay out of service in an overload.
_SCARCE_TRIAL_INTERVAL = 2.0
# A service may have no idempotent requests. After this time without any
# outcome, seconds, one request that may not be repeated is the trial.
_LONE_TRIAL_INTERVAL = 3.0


class ServerTrust:
    """Decides which requests a server may get after its recent outcomes.

    It answers servers that fail most of their requests for some seconds while
    their health endpoint says all is well. A request that may not be repeated
    is lost there, so idempotent ones test the server first.

    Attributes
    ----------
    failure_share_ : float
        Exponentially weighted share of bad outcomes, 0 to 1.

    Examples
    --------
    >>> trust = ServerTrust()
    >>> trust.observe(False, Seconds(0.0))
    >>> trust.decide(may_test=False, now=Seconds(0.1))
    False
    >>> trust.decide(may_test=True, now=Seconds(0.1))
    True
    """

    def __init__(self) -> None:
        self.failure_share_ = 0.0
        self._tried_at = Seconds(-math.inf)
        self._interval = 0.0
        self._observed_at = Seconds(0.0)
        self._overdue = 0

    def describe(self) -> Trust:
        """Return the present level of trust."""
        if self.failure_share_ > _BROKEN_ABOVE:
            return Trust.BROKEN
        if self.failure_share_ > _DOUBT_ABOVE or self._overdue:
            return Trust.DOUBTED
        return Trust.TRUSTED

    def decide(
        self,
        may_test: bool,
        now: Seconds,
        forced: bool = False,
        scarce: bool = False,
    ) -> bool:
        """Decide whether the server may get a request.

        Parameters
        ----------
        may_test : bool
            Whether the request may be a trial: it can be repeated elsewhere.
        now : Seconds
            Reading of the clock.
        forced : bool, default=False
            No other server takes the request, so doubt does not keep it out.
            When most servers of the service fail, even a broken one takes
            requests that can be repeated: a part of them is served.
        scarce : bool, default=False
            Whether few repeats are left for trials that fail.
        """
        if self.is_open(may_test, forced):
            return True
        if now - self._observed_at > _LONE_TRIAL_INTERVAL:
            return self._take_trial(now, scarce)
        return may_test and self._take_trial(now, scarce)

    def is_open(self, may_test: bool, forced: bool = False) -> bool:
        """Tell whether a request may go to the server without being a trial."""
        level = self.describe()
        if level is Trust.TRUSTED:
            return True
        if level is Trust.DOUBTED:
            return may_test or forced
        hopeful = self.failure_share_ <= _HOPELESS_ABOVE
        return may_test and forced and hopeful

    def measure_closure(self, now: Seconds, scarce: bool = False) -> Seconds:
        """Return the time until a broken server gets its next trial.

        Parameters
        ----------
        now : Seconds
            Reading of the clock.
        scarce : bool, default=False
            Whether few repeats are left for trials that fail.
        """
        if self.describe() is not Trust.BROKEN:
            return Seconds(0.0)
        interval = self._interval
        if scarce:
            interval = max(interval, _SCARCE_TRIAL_INTERVAL)
        return Seconds(max(0.0, self._tried_at + interval - now))

    def _take_trial(self, now: Seconds, scarce: bool) -> bool:
        if self.measure_closure(now, scarce) > 0:
            return False
        self._tried_at = now
        self._interval = min(
            _MAX_TRIAL_INTERVAL,
            max(_TRIAL_INTERVAL, self._interval * _TRIAL_GROWTH),
        )
        return True

    def observe(self, good: bool, now: Seconds, worked: bool = False) -> None:
        """Take the outcome of a request that the server began to run.

        Parameters
        ----------
        good : bool
            Whether the request was served.
        now : Seconds
            Reading of the clock.
        worked : bool, default=False
            Whether a failure came after the usual time of work. Gray servers
            mostly fail at once.
        """
        bad = 0.0 if good else 1.0
        weight = _WORKED_WEIGHT if worked and not good else _NEW_WEIGHT
        self.failure_share_ += weight * (bad - self.failure_share_)
        self._observed_at = now
        if good:
            self._interval = 0.0

    def observe_overdue(self, change: int) -> None:
        """Count the running requests that take far longer than usual."""
        self._overdue = max(0, self._overdue + change)
