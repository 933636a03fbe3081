"""Interface of admission control and its records."""

import dataclasses
import enum
from collections.abc import Iterable, Sequence
from typing import Protocol

from egretlever.core import (
    AttemptResult,
    CallerId,
    RankName,
    RequestId,
    Seconds,
    ServiceName,
)


class RefusalReason(enum.Enum):
    """Why a ticket left admission without being dispatched or expiring."""

    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_RANK = "unknown-rank"
    DEADLINE_PASSED = "deadline-passed"
    WAIT_EXCEEDS_DEADLINE = "wait-exceeds-deadline"
    QUEUE_FULL = "queue-full"
    DISPLACED = "displaced"
    INFEASIBLE = "infeasible"
    WITHDRAWN = "withdrawn"
    SERVICE_REMOVED = "service-removed"
    RANK_REMOVED = "rank-removed"


@dataclasses.dataclass(frozen=True, slots=True)
class RankPolicy:
    """One rank of the catalogue as admission needs it.

    Parameters
    ----------
    name : RankName
        Name of the rank.
    priority : int
        0 is the most urgent.
    minimum_share : float
        Share of dispatches guaranteed while the rank has waiting work.
    """

    name: RankName
    priority: int
    minimum_share: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """One service of the catalogue as admission needs it.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    queue_limit : int
        Maximum number of tickets waiting on this node.
    concurrency_limit : int
        Upper bound of the adaptive limit of attempts in flight from this
        node.
    """

    name: ServiceName
    queue_limit: int = 512
    concurrency_limit: int = 10000


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """One attempt that asks to be dispatched. Tickets compare by identity.

    Each retry or hedge has a ticket of its own with the rank of its request.

    Parameters
    ----------
    request : RequestId
        Request that the attempt belongs to.
    service : ServiceName
        Service to send the request to.
    rank : RankName
        Priority class of the request.
    caller : CallerId
        Caller, among which queues are fair.
    deadline : Seconds
        Reading of the local clock after which the response is useless.
    worth : float
        Relative value of a response in time.
    attempt : int
        1 for the first attempt of the request.
    """

    request: RequestId
    service: ServiceName
    rank: RankName
    caller: CallerId
    deadline: Seconds
    worth: float = 1.0
    attempt: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The ticket is dispatched now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The ticket waits in a queue until ``advance`` returns it.

    Parameters
    ----------
    expected_wait : Seconds
        Estimated time until dispatch.
    """

    expected_wait: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The ticket is not dispatched, so no server runs its attempt.

    Parameters
    ----------
    reason : RefusalReason
        Reason of the refusal.
    retry_after : Seconds
        Time after which a retry may be admitted.
    """

    reason: RefusalReason
    retry_after: Seconds = Seconds(0.0)


AdmissionDecision = Admitted | Queued | Refused


@dataclasses.dataclass(slots=True)
class QueueDepartures:
    """Tickets removed from the queues, each reported exactly once.

    Parameters
    ----------
    dispatched : list of Ticket
        To be sent to a server now, most urgent first.
    expired : list of Ticket
        Deadline passed while waiting; not run.
    refused : list of (Ticket, Refused)
        Refused while waiting, with the reason; not run.
    """

    dispatched: list[Ticket] = dataclasses.field(default_factory=list)
    expired: list[Ticket] = dataclasses.field(default_factory=list)
    refused: list[tuple[Ticket, Refused]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Slots that routing has for a service at present.

    Parameters
    ----------
    service : ServiceName
        Service.
    slots : int
        Sum of the concurrency limits of the eligible servers in the node's
        subset.
    """

    service: ServiceName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoopPause:
    """The event loop was blocked; latencies that include it are invalid.

    Parameters
    ----------
    duration : Seconds
        Length of the pause, which has just ended.
    """

    duration: Seconds


AdmissionEvent = Capacity | LoopPause


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """Snapshot of one service's queues for operators.

    Parameters
    ----------
    service : ServiceName
        Service.
    in_flight, limit : int
        Attempts in flight and their adaptive limit.
    waiting : dict of RankName to int
        Waiting tickets by rank.
    latency_s : float
        Smoothed latency of successful attempts, in seconds.
    """

    service: ServiceName
    in_flight: int
    limit: int
    waiting: dict[RankName, int]
    latency_s: float


class Admission(Protocol):
    """Decides when each attempt is dispatched, or refuses it."""

    def offer(self, ticket: Ticket, now: Seconds) -> AdmissionDecision:
        """Offer a ticket; call ``advance`` afterwards."""

    def advance(self, now: Seconds) -> QueueDepartures:
        """Advance the time and return the tickets that leave the queues."""

    def finish(
        self,
        ticket: Ticket,
        result: AttemptResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Record the end of a dispatched ticket; call ``advance`` after."""

    def cancel(self, ticket: Ticket, now: Seconds) -> bool:
        """Refuse a ticket whose caller disconnected; False if not waiting."""

    def observe(self, event: AdmissionEvent, now: Seconds) -> None:
        """Record a change of capacity or a pause of the event loop."""

    def configure(
        self,
        services: Iterable[ServicePolicy],
        now: Seconds,
        ranks: Sequence[RankPolicy] | None = None,
    ) -> None:
        """Replace the services, and the ranks if given."""

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the state of each service in use."""
