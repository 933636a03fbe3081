"""Retry policies that the measured one is compared with."""

from egretlever.core import (
    Attempt,
    AttemptResult,
    Outcome,
    Seconds,
    ServiceName,
)
from egretlever.retry._outcomes import classify_attempt, combine_outcomes
from egretlever.retry._types import (
    Decision,
    FirstAttempt,
    RequestHistory,
    Retry,
    RetryLimits,
    Stop,
    StopReason,
)


class FixedRetryPolicy:
    """Tries again at once, whatever the request, up to a fixed number.

    Parameters
    ----------
    max_attempts : int
        Attempts for one request; 1 never retries.
    """

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts

    def classify(self, attempt: Attempt, idempotent: bool) -> Outcome:
        """Tell what a caller may conclude from one attempt."""
        return classify_attempt(attempt)

    def observe(self, event: FirstAttempt | Attempt, now: Seconds) -> None:
        """Learn nothing."""

    def update(self, service: ServiceName, limits: RetryLimits | None) -> None:
        """Ignore the limits of services."""

    def decide(self, history: RequestHistory, now: Seconds) -> Decision:
        """Decide on the next attempt of a request."""
        outcomes = [classify_attempt(attempt) for attempt in history.attempts]
        outcome = combine_outcomes(outcomes, bool(history.running))
        if any(
            attempt.result is AttemptResult.OK for attempt in history.attempts
        ):
            return Stop(outcome, StopReason.ANSWERED)
        if history.running:
            return Stop(outcome, StopReason.WAITING)
        if len(history.attempts) >= self._max_attempts:
            return Stop(outcome, StopReason.ATTEMPTS_USED)
        if now >= history.deadline:
            return Stop(outcome, StopReason.DEADLINE)
        return Retry(Seconds(0.0))


def make_blind_policy(max_attempts: int = 3) -> FixedRetryPolicy:
    """Make the baseline that retries blindly, orders included."""
    return FixedRetryPolicy(max_attempts)


def make_single_attempt_policy() -> FixedRetryPolicy:
    """Make the baseline that never retries."""
    return FixedRetryPolicy(1)
