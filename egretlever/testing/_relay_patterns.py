"""Load patterns of replays, and reports on their outcomes."""

import collections
import dataclasses
import math
from collections.abc import Iterable

from egretlever.core import FailureDomain, Seconds, ServiceName
from egretlever.placement import Distance
from egretlever.platform import Bounds


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request in a load pattern.

    Parameters
    ----------
    name : str
        Name of the kind and of its route.
    service : ServiceName
        Service that runs it.
    rate : float
        Requests per second in the whole fleet.
    work : Seconds
        Mean processing time at a server.
    objective, timeout : Seconds
        Time for an answer of full worth, and time after which the client gives
        up.
    rank : int
        Priority, 0 for the most urgent.
    worth, late_worth : float
        Worth of an answer within the objective, and of a later one.
    idempotent : bool
        Whether it may run more than once.
    calls : tuple of str and float, optional
        Kind of its nested calls, and their mean number per request.
    """

    name: str
    service: ServiceName
    rate: float
    work: Seconds
    objective: Seconds
    timeout: Seconds
    rank: int
    worth: float
    late_worth: float
    idempotent: bool = True
    calls: tuple[str, float] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A period in which one kind of request has a higher rate."""

    kind: str
    begins: float
    ends: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A period in which servers have gray failures.

    The outage consists of cycles of length `period`. In each cycle, each server
    is gray with probability `share`, for two thirds of the cycle. For example,
    `share` 0.3 and `period` 12 make it gray for 8 s with probability 0.3.
    """

    begins: float
    ends: float
    share: float
    period: float = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPattern:
    """Load and failures of one replay.

    Parameters
    ----------
    kinds : tuple of RequestKind
        Kinds of requests; those with rate 0 occur as nested calls only.
    hosts : tuple of tuple of FailureDomain, ServiceName and int
        Number of hosts by failure domain and service.
    slots : int
        Slots of each server.
    length : Seconds
        Time during which clients send requests.
    bursts, outages
        Periods of higher load, and of gray failures.
    bounds : Bounds
        Limits of the retry budget.
    notice_delay : float
        Age in seconds with which notices arrive.
    even_load : bool
        Whether entry nodes spread the load by `EvenLoad`.
    """

    kinds: tuple[RequestKind, ...]
    hosts: tuple[tuple[FailureDomain, ServiceName, int], ...]
    slots: int = 3
    length: Seconds = Seconds(30.0)
    bursts: tuple[Burst, ...] = ()
    outages: tuple[Outage, ...] = ()
    bounds: Bounds = Bounds()
    notice_delay: float = 0.0
    even_load: bool = False


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Numbers of requests of one kind by outcome."""

    sent: int = 0
    on_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    worth: float = 0.0

    @property
    def served(self) -> int:
        """Requests with a successful answer."""
        return self.on_time + self.late


@dataclasses.dataclass(slots=True)
class ReplayReport:
    """Outcomes for clients, and requests at servers, in one replay.

    Attributes
    ----------
    outcomes : dict
        Numbers of outcomes by kind of request.
    arrivals : dict
        For each service, the time of each request that reached a server, and
        whether it was a retry or a nested call of one.
    runs : collections.Counter
        Runs by request id, for requests that are not idempotent.
    rejected_after_run : int
        Requests that were rejected as not run although they had run.
    avoidable_rejections : int
        Requests that were rejected while a trusted server of their failure
        domain had a free slot.
    offers : collections.Counter
        Offers of entry nodes to other hosts, by distance.
    turned_away : int
        Those of them that home nodes refused.
    spreads : list of float
        Load of the busiest server over the mean load of its service, at times
        of bursts.
    """

    outcomes: dict[str, OutcomeCounts]
    arrivals: dict[ServiceName, list[tuple[float, bool]]]
    runs: "collections.Counter[str]"
    rejected_after_run: int = 0
    avoidable_rejections: int = 0
    offers: "collections.Counter[Distance]" = dataclasses.field(
        default_factory=collections.Counter
    )
    turned_away: int = 0
    spreads: list[float] = dataclasses.field(default_factory=list)

    def measure_worth(self, kinds: Iterable[RequestKind]) -> float:
        """Return the worth of all answers as a share of the possible worth."""
        earned = sum(counts.worth for counts in self.outcomes.values())
        possible = sum(
            self.outcomes[kind.name].sent * kind.worth
            for kind in kinds
            if kind.name in self.outcomes
        )
        return earned / possible

    def measure_unserved(self) -> float:
        """Return the share of requests without a successful answer."""
        sent = sum(counts.sent for counts in self.outcomes.values())
        served = sum(counts.served for counts in self.outcomes.values())
        return 1 - served / sent

    def find_retry_excess(self, pattern: LoadPattern) -> float:
        """Return the largest excess of retries over the limit in any window.

        The limit depends on client requests only; nested calls do not count.
        """
        bounds = pattern.bounds
        excess = -math.inf
        for service, arrivals in self.arrivals.items():
            rate = sum(
                kind.rate for kind in pattern.kinds if kind.service == service
            )
            allowed = bounds.retry_slack + bounds.retry_ratio * rate * float(
                bounds.retry_window
            )
            retries = [at for at, repeated in arrivals if repeated]
            for place, end in enumerate(retries):
                used = sum(
                    at > end - bounds.retry_window
                    for at in retries[: place + 1]
                )
                excess = max(excess, used - allowed)
        return excess
