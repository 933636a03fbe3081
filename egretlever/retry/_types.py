"""Interface of retry policies and its records."""

import dataclasses
import enum
from typing import Protocol

from egretlever.core import (
    Attempt,
    Interval,
    Outcome,
    Seconds,
    ServerId,
    ServiceName,
    check_parameters,
)


class StopReason(enum.Enum):
    """Why no further attempt is started."""

    ANSWERED = "answered"
    NOT_IDEMPOTENT = "not-idempotent"
    ATTEMPTS_USED = "attempts-used"
    BUDGET_EMPTY = "budget-empty"
    DEADLINE = "deadline"
    WAITING = "waiting"
    NO_RETRIES = "no-retries"


@dataclasses.dataclass(frozen=True, slots=True)
class FirstAttempt:
    """Event: the first attempt of a request was dispatched.

    Parameters
    ----------
    service : ServiceName
        Service of the request.
    """

    service: ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt in flight.

    Parameters
    ----------
    server : ServerId
        Server that the attempt was sent to.
    since : Seconds
        Time of dispatch.
    """

    server: ServerId
    since: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHistory:
    """Attempts of one request so far.

    Parameters
    ----------
    service : ServiceName
        Service of the request.
    idempotent : bool
        Whether the request may run more than once.
    deadline : Seconds
        Time after which the response is useless.
    attempts : tuple of Attempt
        Ended attempts, oldest first.
    running : tuple of RunningAttempt, optional
        Attempts in flight.
    """

    service: ServiceName
    idempotent: bool
    deadline: Seconds
    attempts: tuple[Attempt, ...]
    running: tuple[RunningAttempt, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Decision: start another attempt. Its budget token is already taken.

    Parameters
    ----------
    after : Seconds
        Wait before the attempt.
    exclude : frozenset of ServerId
        Servers to avoid while others are eligible.
    """

    after: Seconds
    exclude: frozenset[ServerId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Hedge:
    """Decision: start a second attempt while the first is in flight.

    If ``after`` is above 0, no attempt is started and no budget token is taken;
    the policy is asked again after that wait. If it is 0, the token is taken.

    Parameters
    ----------
    after : Seconds
        Wait before the policy is asked again, or 0.
    exclude : frozenset of ServerId
        Servers that already got an attempt of the request.
    """

    after: Seconds
    exclude: frozenset[ServerId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Decision: start no further attempt. Attempts in flight continue.

    Parameters
    ----------
    outcome : Outcome
        Outcome for the caller unless an attempt in flight completes.
    reason : StopReason
        Why the request is not retried.
    """

    outcome: Outcome
    reason: StopReason


Decision = Retry | Hedge | Stop


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits of one service, from its catalogue entry.

    Parameters
    ----------
    max_attempts : int, default=3
        Maximum number of attempts for one request, the first included.
    budget : float, default=0.1
        Retries and hedges per first attempt.
    hedge : bool, default=False
        Whether slow idempotent requests are hedged.
    """

    max_attempts: int = 3
    budget: float = 0.1
    hedge: bool = False

    def __post_init__(self) -> None:
        check_parameters(
            "RetryLimits",
            {"max_attempts": self.max_attempts, "budget": self.budget},
            {"max_attempts": Interval(1, 10), "budget": Interval(0, 1)},
        )


class RetryPolicy(Protocol):
    """Decides whether a request is retried or hedged."""

    def classify(self, attempt: Attempt, idempotent: bool) -> Outcome:
        """Return what a caller may conclude from one attempt."""

    def observe(self, event: FirstAttempt | Attempt, now: Seconds) -> None:
        """Record a dispatched first attempt or an ended attempt."""

    def decide(self, history: RequestHistory, now: Seconds) -> Decision:
        """Decide on the next attempt of a request."""

    def update(self, service: ServiceName, limits: RetryLimits | None) -> None:
        """Set the limits of a service; None removes the service."""
