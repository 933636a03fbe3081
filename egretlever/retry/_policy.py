"""Retries and hedges within a deadline and a budget."""

import dataclasses
import random

from egretlever.core import (
    Attempt,
    AttemptResult,
    Interval,
    Outcome,
    Seconds,
    ServerId,
    ServiceName,
    check_parameters,
)
from egretlever.retry._budget import RetryBudget
from egretlever.retry._latency import LatencyWindow
from egretlever.retry._outcomes import classify_attempt, combine_outcomes
from egretlever.retry._types import (
    Decision,
    FirstAttempt,
    Hedge,
    RequestHistory,
    Retry,
    RetryLimits,
    Stop,
    StopReason,
)

# Hedging at the 95th percentile adds a second attempt to 5% of the requests,
# which leaves half of a budget of 10% for retries.
_HEDGE_QUANTILE = 0.95
_DEFAULT_LIMITS = RetryLimits()
_BASE_BACKOFF = Seconds(0.025)
_BACKOFF_CAP = Seconds(1.0)


class _ServiceState:
    """Limits, budget and recent latencies of one service."""

    __slots__ = ("budget", "latency_", "limits")

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.budget = RetryBudget(limits.budget)
        self.latency_ = LatencyWindow()


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySnapshot:
    """Snapshot of a service for operators.

    Parameters
    ----------
    service : ServiceName
        Name of the service.
    tokens : float
        Retries and hedges that the budget allows now.
    hedge_after : Seconds or None
        Wait before a hedge, None with too few samples.
    """

    service: ServiceName
    tokens: float
    hedge_after: Seconds | None


class BudgetedRetryPolicy:
    """Retries within a budget, with exponential backoff and full jitter.

    Parameters
    ----------
    randomness : random.Random
        Source of the jitter.
    base_backoff : Seconds, default=0.025
        Maximum wait before the first retry; doubles with each further one.
    backoff_cap : Seconds, default=1
        Maximum wait before any retry, without ``Retry-After``.
    """

    def __init__(
        self,
        randomness: random.Random,
        base_backoff: Seconds = _BASE_BACKOFF,
        backoff_cap: Seconds = _BACKOFF_CAP,
    ) -> None:
        check_parameters(
            "RetryPolicy",
            {"base_backoff": base_backoff, "backoff_cap": backoff_cap},
            {
                "base_backoff": Interval(0, 60),
                "backoff_cap": Interval(base_backoff, 60),
            },
        )
        self._randomness = randomness
        self._base_backoff = base_backoff
        self._backoff_cap = backoff_cap
        self._services: dict[ServiceName, _ServiceState] = {}

    def update(self, service: ServiceName, limits: RetryLimits | None) -> None:
        """Set the limits of a service; None removes the service."""
        if limits is None:
            self._services.pop(service, None)
            return
        state = self._get_state(service)
        if limits.budget != state.limits.budget:
            tokens = state.budget.tokens_
            state.budget = RetryBudget(limits.budget)
            state.budget.tokens_ = min(tokens, state.budget.tokens_)
        state.limits = limits

    def _get_state(self, service: ServiceName) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(_DEFAULT_LIMITS)
        return state

    def classify(self, attempt: Attempt, idempotent: bool) -> Outcome:
        """Return what a caller may conclude from one attempt.

        The outcome does not depend on ``idempotent``; idempotent requests may
        be retried without a proof that they did not run.
        """
        return classify_attempt(attempt)

    def observe(self, event: FirstAttempt | Attempt, now: Seconds) -> None:
        """Record a dispatched first attempt or an ended attempt."""
        state = self._get_state(event.service)
        if isinstance(event, FirstAttempt):
            state.budget.add_first_attempt()
        elif event.result is AttemptResult.OK:
            state.latency_.add(event.latency)

    def decide(self, history: RequestHistory, now: Seconds) -> Decision:
        """Decide on the next attempt of a request.

        Parameters
        ----------
        history : RequestHistory
            Attempts so far.
        now : Seconds
            Clock reading.

        Returns
        -------
        Retry, Hedge or Stop
            The decision; the classes say which tokens are taken.

        Examples
        --------
        >>> from egretlever.testing import builders
        >>> policy = make_retry_policy(random.Random(1))
        >>> shed = builders.build_attempt(result=AttemptResult.SHED)
        >>> history = RequestHistory(
        ...     shed.service, False, Seconds(5.0), (shed,)
        ... )
        >>> type(policy.decide(history, Seconds(0.0))).__name__
        'Retry'
        """
        state = self._get_state(history.service)
        outcomes = [classify_attempt(attempt) for attempt in history.attempts]
        outcome = combine_outcomes(outcomes, bool(history.running))
        reason = self._find_stop_reason(history, outcomes, state.limits, now)
        if reason is not None:
            return Stop(outcome, reason)
        if history.running:
            return self._decide_hedge(history, state, outcome, now)
        return self._decide_retry(history, state, outcome, now)

    def _find_stop_reason(
        self,
        history: RequestHistory,
        outcomes: list[Outcome],
        limits: RetryLimits,
        now: Seconds,
    ) -> StopReason | None:
        started = len(history.attempts) + len(history.running)
        if _is_answered(history, outcomes):
            return StopReason.ANSWERED
        all_not_run = all(outcome is Outcome.NOT_RUN for outcome in outcomes)
        if not history.idempotent and (history.running or not all_not_run):
            return StopReason.NOT_IDEMPOTENT
        if started >= limits.max_attempts:
            return StopReason.ATTEMPTS_USED
        if now >= history.deadline:
            return StopReason.DEADLINE
        return None

    def _decide_retry(
        self,
        history: RequestHistory,
        state: _ServiceState,
        outcome: Outcome,
        now: Seconds,
    ) -> Decision:
        if not history.attempts:
            return Retry(Seconds(0.0))
        last = history.attempts[-1]
        if last.result is AttemptResult.STALE_CONNECTION:
            return self._retry_connection(history, state, outcome)
        after = self._choose_backoff(history)
        median_latency = state.latency_.quantile(0.5) or 0.0
        if now + after + median_latency >= history.deadline:
            return Stop(outcome, StopReason.DEADLINE)
        # An attempt that sent no byte put no load on a server, so a retry can't
        # amplify an overload and needs no token.
        if last.sent and not state.budget.take():
            return Stop(outcome, StopReason.BUDGET_EMPTY)
        return Retry(after, _list_failed(history))

    def _retry_connection(
        self, history: RequestHistory, state: _ServiceState, outcome: Outcome
    ) -> Decision:
        # If no byte was sent, no server got the request, so a retry can't
        # amplify an overload and needs no token.
        if history.attempts[-1].sent and not state.budget.take():
            return Stop(outcome, StopReason.BUDGET_EMPTY)
        return Retry(Seconds(0.0), _list_failed(history))

    def _choose_backoff(self, history: RequestHistory) -> Seconds:
        # A stale connection is no failure of the server and doesn't lengthen
        # the backoff.
        failures = sum(
            attempt.result is not AttemptResult.STALE_CONNECTION
            for attempt in history.attempts
        )
        ceiling = min(
            self._backoff_cap, self._base_backoff * 2.0 ** (failures - 1)
        )
        # The jitter is added to Retry-After and spans at least half of it.
        # Otherwise requests that were shed together would be retried together.
        requested_wait = history.attempts[-1].retry_after or 0.0
        jitter = self._randomness.uniform(0, max(ceiling, requested_wait / 2))
        return Seconds(requested_wait + jitter)

    def _decide_hedge(
        self,
        history: RequestHistory,
        state: _ServiceState,
        outcome: Outcome,
        now: Seconds,
    ) -> Decision:
        delay = state.latency_.quantile(_HEDGE_QUANTILE)
        if not state.limits.hedge or delay is None or len(history.running) > 1:
            return Stop(outcome, StopReason.WAITING)
        due = history.running[0].since + delay
        median_latency = state.latency_.quantile(0.5) or 0.0
        if max(due, now) + median_latency >= history.deadline:
            return Stop(outcome, StopReason.DEADLINE)
        exclude = _list_failed(history) | {history.running[0].server}
        if due > now:
            return Hedge(Seconds(due - now), exclude)
        if not state.budget.take():
            return Stop(outcome, StopReason.BUDGET_EMPTY)
        return Hedge(Seconds(0.0), exclude)

    def describe(self) -> list[RetrySnapshot]:
        """Return a snapshot of each service, ordered by name."""
        return [
            RetrySnapshot(
                name,
                state.budget.tokens_,
                state.latency_.quantile(_HEDGE_QUANTILE),
            )
            for name, state in sorted(self._services.items())
        ]


def _is_answered(history: RequestHistory, outcomes: list[Outcome]) -> bool:
    """Whether there is a response that a retry is not expected to improve."""
    for attempt, outcome in zip(history.attempts, outcomes, strict=True):
        if attempt.result is AttemptResult.OK:
            return True
        if outcome is Outcome.COMPLETED and (
            not history.idempotent or attempt.status < 500
        ):
            return True
    return False


def _list_failed(history: RequestHistory) -> frozenset[ServerId]:
    return frozenset(
        attempt.server
        for attempt in history.attempts
        if attempt.result is not AttemptResult.STALE_CONNECTION
    )


def make_retry_policy(
    randomness: random.Random,
    base_backoff: Seconds = _BASE_BACKOFF,
    backoff_cap: Seconds = _BACKOFF_CAP,
) -> BudgetedRetryPolicy:
    """Make the retry policy of a node.

    Parameters
    ----------
    randomness : random.Random
        Source of the jitter.
    base_backoff : Seconds, default=0.025
        Maximum wait before the first retry.
    backoff_cap : Seconds, default=1
        Maximum wait before any retry, without ``Retry-After``.

    Returns
    -------
    BudgetedRetryPolicy
        A ``RetryPolicy`` with default limits for every service.

    Raises
    ------
    FindingsError
        When a parameter is out of its interval.
    """
    return BudgetedRetryPolicy(randomness, base_backoff, backoff_cap)
