"""Outcomes of attempts, and retries and hedges within a budget."""

from egretlever.retry._baselines import (
    make_single_attempt_policy,
    make_unbudgeted_policy,
)
from egretlever.retry._budget import RetryBudget
from egretlever.retry._outcomes import classify_attempt, combine_outcomes
from egretlever.retry._policy import RetrySnapshot, make_retry_policy
from egretlever.retry._types import (
    Decision,
    FirstAttempt,
    Hedge,
    RequestHistory,
    Retry,
    RetryLimits,
    RetryPolicy,
    RunningAttempt,
    Stop,
    StopReason,
)

__all__ = [
    "Decision",
    "FirstAttempt",
    "Hedge",
    "RequestHistory",
    "Retry",
    "RetryBudget",
    "RetryLimits",
    "RetryPolicy",
    "RetrySnapshot",
    "RunningAttempt",
    "Stop",
    "StopReason",
    "classify_attempt",
    "combine_outcomes",
    "make_retry_policy",
    "make_single_attempt_policy",
    "make_unbudgeted_policy",
]
