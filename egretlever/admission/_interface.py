"""Records and the Protocol of admission."""

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
        Share of dispatches kept while the rank has waiting work.
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
        Tickets waiting in this node.
    concurrency_limit : int
        Attempts in flight from this node, whatever is measured.
    """

    name: ServiceName
    queue_limit: int = 512
    concurrency_limit: int = 10000


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """One attempt that asks to be dispatched. Tickets compare by identity.

    Retries and hedges are tickets of their own with their request's rank.

    Parameters
    ----------
    request : RequestId
        Request that the attempt belongs to.
    service : ServiceName
        Service to be reached.
    rank : RankName
        Class of work.
    caller : CallerId
        Caller, for fairness.
    deadline : Seconds
        Reading of the local clock after which the answer has no use.
    worth : float
        Value of an answer on time.
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
    """The ticket waits; ``advance`` reports how it leaves.

    Parameters
    ----------
    expected_wait : Seconds
        Estimated time until dispatch.
    """

    expected_wait: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The ticket is not dispatched and was not run.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    retry_after : Seconds
        Wait after which another try makes sense.
    """

    reason: RefusalReason
    retry_after: Seconds = Seconds(0.0)


Answer = Admitted | Queued | Refused


@dataclasses.dataclass(slots=True)
class Departures:
    """Tickets that left the queues, each exactly once.

    Parameters
    ----------
    dispatched : list of Ticket
        To be sent to a server now, most urgent first.
    expired : list of Ticket
        Deadline passed while waiting; not run.
    refused : list of (Ticket, Refused)
        Dropped in favour of other work, or no longer feasible; not run.
    """

    dispatched: list[Ticket] = dataclasses.field(default_factory=list)
    expired: list[Ticket] = dataclasses.field(default_factory=list)
    refused: list[tuple[Ticket, Refused]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Slots that routing can offer for a service at the moment.

    Parameters
    ----------
    service : ServiceName
        Service.
    slots : int
        Sum of the limits of the eligible servers of the node's subset.
    """

    service: ServiceName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The loop stood still; latencies measured across it mean nothing.

    Parameters
    ----------
    duration : Seconds
        Length of the pause, which ends now.
    """

    duration: Seconds


Event = Capacity | Pause


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """State of one service's queues for operators.

    Parameters
    ----------
    service : ServiceName
        Service.
    in_flight, limit : int
        Attempts running and the adaptive limit.
    waiting : dict of RankName to int
        Waiting tickets by rank.
    latency_s : float
        Smoothed latency of good attempts, in seconds.
    """

    service: ServiceName
    in_flight: int
    limit: int
    waiting: dict[RankName, int]
    latency_s: float


class Admission(Protocol):
    """Decides when attempts are dispatched, and which are not."""

    def offer(self, ticket: Ticket, now: Seconds) -> Answer:
        """Offer a ticket; call ``advance`` afterwards."""

    def advance(self, now: Seconds) -> Departures:
        """Move time forward and return the tickets that leave the queues."""

    def finish(
        self,
        ticket: Ticket,
        result: AttemptResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Report the end of a dispatched ticket; call ``advance`` after."""

    def withdraw(self, ticket: Ticket, now: Seconds) -> bool:
        """Refuse a waiting ticket whose caller left; False if not waiting."""

    def observe(self, event: Event, now: Seconds) -> None:
        """Take in a capacity hint or a pause of the node."""

    def configure(
        self,
        services: Iterable[ServicePolicy],
        now: Seconds,
        ranks: Sequence[RankPolicy] | None = None,
    ) -> None:
        """Replace the services, and the ranks if given, by new ones."""

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the state of each service in use."""
