"""Replays of customers of unequal size that compete for a full service."""

import dataclasses
import math
import random
from collections.abc import Sequence

import curio

from egretlever.core import (
    CustomerId,
    FailureDomain,
    Seconds,
    ServiceName,
)
from egretlever.placement import Customer, hash_key
from egretlever.platform import headers
from egretlever.relay._client_messages import ClientAnswer, ClientRequest
from egretlever.testing._clock import run_virtual
from egretlever.testing._relay_fleet import RelayFleet
from egretlever.testing._relay_patterns import LoadPattern, RequestKind
from egretlever.transport import RequestHead, read_clock

CUSTOMERS = 81
_ZIPF_EXPONENT = 1.2
_LIMIT_FACTOR = 1.6  # a customer's limit, relative to its usual demand
_SERVICE = ServiceName("desk")
_SLOTS = 4
_SERVERS_BY_DOMAIN = 2
_ENTRIES_BY_DOMAIN = 6  # further hosts, whose clients use the same service
_DOMAINS = ("north-a", "north-b")
_MAX_TRIES = 3
_HONOURED_SHARE = 1 / 3  # of the time left, for which clients wait
_KIND = RequestKind(
    name="order",
    service=_SERVICE,
    rate=0.0,
    work=Seconds(0.2),
    objective=Seconds(0.8),
    timeout=Seconds(2.5),
    rank=1,
    worth=1.0,
    late_worth=0.3,
)
# Requests per second that the servers can run.
CAPACITY = len(_DOMAINS) * _SERVERS_BY_DOMAIN * _SLOTS / _KIND.work


@dataclasses.dataclass(frozen=True, slots=True)
class Surge:
    """A period in which customers send a multiple of their usual demand.

    Parameters
    ----------
    begins, ends : float
        Seconds since the start.
    factor : float
        Multiple of the usual demand.
    customer : int, optional
        Place of the customer by size, 0 for the largest; by default all.
    """

    begins: float
    ends: float
    factor: float
    customer: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerLoad:
    """Demand of 81 customers of unequal size (Zipf).

    Parameters
    ----------
    demand : float
        Usual demand of all customers, as a share of the servers' capacity.
    surge : Surge
        Period of higher demand.
    length : float
        Seconds in which clients send requests.
    limited : bool
        Whether customers have limits; otherwise their weights are equal.
    configured : bool
        Whether the configuration names the customers.
    """

    demand: float
    surge: Surge
    length: float
    limited: bool = True
    configured: bool = True


@dataclasses.dataclass(slots=True)
class CustomerCounts:
    """Outcomes of one customer's requests.

    Attributes
    ----------
    sent, served, on_time : int
        Requests, those with an answer, and those with one within the latency
        objective since the first attempt.
    returned, returned_served : int
        Requests that were refused and sent again, and those of them served.
    """

    sent: int = 0
    served: int = 0
    on_time: int = 0
    returned: int = 0
    returned_served: int = 0

    @property
    def share(self) -> float:
        """Share of requests that were served, 1 without any."""
        return self.served / self.sent if self.sent else 1.0


@dataclasses.dataclass(slots=True)
class CompetitionReport:
    """Outcomes by customer, from the largest customer to the smallest.

    Attributes
    ----------
    counts : list of CustomerCounts
        Outcomes by customer.
    offers : int
        Offers to other hosts.
    returns : list of float
        Times at which refused clients came back.
    """

    counts: list[CustomerCounts]
    offers: int = 0
    returns: list[float] = dataclasses.field(default_factory=list)

    def measure_mean(self) -> float:
        """Return the mean share of requests served over all customers."""
        return sum(one.share for one in self.counts) / len(self.counts)

    def measure_worst_tenth(self) -> float:
        """Return the mean share of the worst-served tenth of customers."""
        shares = sorted(one.share for one in self.counts)
        worst = shares[: math.ceil(len(shares) / 10)]
        return sum(worst) / len(worst)

    def measure_smallest_tenth(self) -> float:
        """Return the share served of the smallest tenth of customers."""
        smallest = self.counts[-math.ceil(len(self.counts) / 10) :]
        return sum(one.served for one in smallest) / sum(
            one.sent for one in smallest
        )

    def sum_all(self) -> CustomerCounts:
        """Return the outcomes of all customers together."""
        total = CustomerCounts()
        for field in dataclasses.fields(CustomerCounts):
            value = sum(getattr(one, field.name) for one in self.counts)
            setattr(total, field.name, value)
        return total


def build_sizes(total: float) -> list[float]:
    """Build the usual demands of all customers, the largest first."""
    sizes = [place**-_ZIPF_EXPONENT for place in range(1, CUSTOMERS + 1)]
    return [total * size / sum(sizes) for size in sizes]


def build_customers(sizes: Sequence[float], limited: bool) -> list[Customer]:
    """Build customers whose keys are their names."""
    return [
        Customer(
            CustomerId(f"c{place}"),
            (hash_key(b"c%d" % place),),
            rate=size * _LIMIT_FACTOR if limited else 0.0,
        )
        for place, size in enumerate(sizes)
    ]


class _Competition:
    """Clients of customers at the entry nodes of a small fleet."""

    def __init__(self, load: CustomerLoad, seed: int) -> None:
        self._load = load
        self._rng = random.Random(f"customers-{seed}")
        self._sizes = build_sizes(load.demand * CAPACITY)
        hosts = []
        for name in _DOMAINS:
            domain = FailureDomain(name)
            hosts.append((domain, _SERVICE, _SERVERS_BY_DOMAIN))
            hosts.append((domain, ServiceName("hub"), _ENTRIES_BY_DOMAIN))
        pattern = LoadPattern((_KIND,), tuple(hosts), _SLOTS)
        self._fleet = RelayFleet(pattern, seed)
        if load.configured:
            self._fleet.configuration = dataclasses.replace(
                self._fleet.configuration,
                customers=tuple(build_customers(self._sizes, load.limited)),
                keys_required=True,
            )
        self._sequence = 0
        self.report = CompetitionReport([CustomerCounts() for _ in self._sizes])

    async def run(self) -> CompetitionReport:
        """Replay the load."""
        await self._fleet.start()
        async with curio.TaskGroup() as group:
            for at, place in self._draw_arrivals():
                await curio.sleep(max(0.0, at - self._fleet.measure_time()))
                await group.spawn(self._send, place)
        self.report.offers = self._fleet.report.offers.total()
        return self.report

    def _draw_arrivals(self) -> list[tuple[float, int]]:
        arrivals = []
        surge = self._load.surge
        for place, size in enumerate(self._sizes):
            at = 0.0
            while True:
                surges = surge.begins <= at < surge.ends
                if surge.customer not in (None, place):
                    surges = False
                factor = surge.factor if surges else 1.0
                at += self._rng.expovariate(size * factor)
                if at >= self._load.length:
                    break
                arrivals.append((at, place))
        return sorted(arrivals)

    async def _send(self, place: int) -> None:
        """Send one request, and again as often as clients do."""
        counts = self.report.counts[place]
        counts.sent += 1
        begun = read_clock()
        for tries in range(_MAX_TRIES):
            if tries == 1:
                counts.returned += 1
            left = _KIND.timeout - (read_clock() - begun)
            answer = await self._try(place, left)
            took = read_clock() - begun
            if answer.status == 200:
                counts.served += 1
                counts.on_time += took <= _KIND.objective
                counts.returned_served += tries > 0
                return
            wait = dict(answer.headers).get(headers.RETRY_AFTER)
            if wait is None:
                return
            honoured = _HONOURED_SHARE * (_KIND.timeout - took)
            await curio.sleep(max(0.0, min(float(wait), honoured)))
            self.report.returns.append(self._fleet.measure_time())

    async def _try(self, place: int, left: float) -> ClientAnswer:
        self._sequence += 1
        fields = [
            (b"host", b"fleet.example"),
            (headers.REQUEST_ID, b"r-%d" % self._sequence),
            (headers.DEADLINE, b"%d" % max(1, int(left * 1000))),
            (headers.AUTHORIZATION, b"Bearer c%d" % place),
        ]
        head = RequestHead("GET", f"/{_KIND.name}/1", fields)
        host = self._rng.choice(self._fleet.hosts)
        return await host.entry.handle(ClientRequest(head, b"", read_clock()))


def replay_competition(load: CustomerLoad, seed: int = 1) -> CompetitionReport:
    """Replay customers' requests on production nodes in virtual time."""

    async def replay() -> CompetitionReport:
        return await _Competition(load, seed).run()

    return run_virtual(replay())


def build_customer_flood(place: int, **changes: object) -> CustomerLoad:
    """Build a flood of one customer at ten times its usual demand."""
    load = CustomerLoad(0.7, Surge(2.0, 20.0, 10.0, place), 20.0)
    return dataclasses.replace(load, **changes)  # type: ignore[arg-type]


def build_burst(**changes: object) -> CustomerLoad:
    """Build a burst of 2 times the capacity for 3 s."""
    load = CustomerLoad(0.6, Surge(3.0, 6.0, 2.0 / 0.6), 10.0)
    return dataclasses.replace(load, **changes)  # type: ignore[arg-type]
