"""Baseline retry policies for benchmarks."""

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


class UnbudgetedRetryPolicy:
    """Retries at once, idempotent or not, up to a number of attempts.

    Parameters
    ----------
    max_attempts : int
        Attempts for one request; with 1 nothing is retried.
    """

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts

    def classify(self, attempt: Attempt, idempotent: bool) -> Outcome:
        """Return what a caller may conclude from one attempt."""
        return classify_attempt(attempt)

    def observe(self, event: FirstAttempt | Attempt, now: Seconds) -> None:
        """Ignore attempts."""

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


def make_unbudgeted_policy(max_attempts: int = 3) -> UnbudgetedRetryPolicy:
    """Make the baseline without a budget, which retries even orders."""
    return UnbudgetedRetryPolicy(max_attempts)


def make_single_attempt_policy() -> UnbudgetedRetryPolicy:
    """Make the baseline that never retries."""
    return UnbudgetedRetryPolicy(1)
