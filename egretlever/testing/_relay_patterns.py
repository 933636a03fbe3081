"""Load patterns of replays, and what callers and servers saw in one."""

import collections
import dataclasses
import math
from collections.abc import Iterable

from egretlever.core import FailureDomain, Seconds, ServiceName
from egretlever.platform import Bounds


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request of the fleet's clients.

    Parameters
    ----------
    name : str
        Name of the kind and of its route.
    service : ServiceName
        Service that runs it.
    rate : float
        Requests a second in the whole fleet.
    work : Seconds
        Mean time at a server.
    objective, timeout : Seconds
        Time for full worth, and time after which the client has gone.
    rank : int
        Priority, 0 for the most urgent.
    worth, late_worth : float
        Worth of an answer within the objective, and of a later one.
    idempotent : bool
        Whether it may run more than once.
    calls : tuple of str and float, optional
        Kind that each run calls, and how often in the mean.
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
    """A time in which one kind of request comes more often."""

    kind: str
    begins: float
    ends: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A time in which a share of a service's servers is gray.

    With `share` 0.3 and `period` 12, each server turns gray for two thirds of
    a period with this probability, over and over.
    """

    begins: float
    ends: float
    share: float
    period: float = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPattern:
    """What a replay plays.

    Parameters
    ----------
    kinds : tuple of RequestKind
        Kinds of requests; those with rate 0 are called by servers only.
    hosts : tuple of tuple of FailureDomain, ServiceName and int
        Number of hosts by failure domain and service.
    slots : int
        Slots of each server.
    length : Seconds
        Time during which clients send requests.
    bursts, outages
        What is out of the ordinary.
    bounds : Bounds
        Bounds of repeated attempts.
    """

    kinds: tuple[RequestKind, ...]
    hosts: tuple[tuple[FailureDomain, ServiceName, int], ...]
    slots: int = 3
    length: Seconds = Seconds(30.0)
    bursts: tuple[Burst, ...] = ()
    outages: tuple[Outage, ...] = ()
    bounds: Bounds = Bounds()


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the requests of one kind."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    worth: float = 0.0

    @property
    def served(self) -> int:
        """Requests with a good answer."""
        return self.on_time + self.late


@dataclasses.dataclass(slots=True)
class ReplayReport:
    """What callers and servers saw in a replay.

    Attributes
    ----------
    tallies : dict
        Outcomes by kind of request.
    arrivals : dict
        For each service, time and whether it was a repeat, of each request
        that reached a server.
    runs : collections.Counter
        Runs by request id, for requests that may not be repeated.
    refused_runs : int
        Requests that were rejected as not run although they had run.
    needless_rejections : int
        Requests that were rejected while a trusted server of their failure
        domain had a free slot.
    offers : int
        Offers made by entry nodes to other hosts.
    """

    tallies: dict[str, Tally]
    arrivals: dict[ServiceName, list[tuple[float, bool]]]
    runs: "collections.Counter[str]"
    refused_runs: int = 0
    needless_rejections: int = 0
    offers: int = 0

    def measure_worth(self, kinds: Iterable[RequestKind]) -> float:
        """Return the share of the worth of all requests that was earned."""
        earned = sum(tally.worth for tally in self.tallies.values())
        owed = sum(
            self.tallies[kind.name].asked * kind.worth
            for kind in kinds
            if kind.name in self.tallies
        )
        return earned / owed

    def measure_unserved(self) -> float:
        """Return the share of requests without a good answer."""
        asked = sum(tally.asked for tally in self.tallies.values())
        served = sum(tally.served for tally in self.tallies.values())
        return 1 - served / asked

    def find_repeat_excess(self, pattern: LoadPattern) -> float:
        """Return by how much any window had more repeats than allowed.

        Requests for a service are those of clients; calls do not count.
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
            repeats = [at for at, repeated in arrivals if repeated]
            for place, end in enumerate(repeats):
                used = sum(
                    at > end - bounds.retry_window
                    for at in repeats[: place + 1]
                )
                excess = max(excess, used - allowed)
        return excess
