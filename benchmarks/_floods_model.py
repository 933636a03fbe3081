"""Simulates entry nodes and servers with slots, in virtual time."""

import dataclasses
import enum
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from egretlever.admission import (
    Admission,
    Admitted,
    Capacity,
    Queued,
    Ticket,
)
from egretlever.core import (
    Attempt,
    AttemptResult,
    CallerId,
    RequestId,
    Seconds,
    Server,
    ServerId,
    ServiceName,
)
from egretlever.routing import (
    LoadReport,
    Location,
    Placement,
    PlacementRequest,
    Router,
)
from egretlever.schema import catalogue_pb2

SERVICE = ServiceName("ordering")
_TICK_S = 0.01
_CALLERS = 2000
_RETRY_BUDGET = 0.1
_RETRY_BURST = 10.0


class RetryMode(enum.Enum):
    """Retry policy of an entry node."""

    BUDGETED = "budgeted"
    UNBUDGETED = "blind"


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Servers and entry nodes of one organisation, with their latencies.

    Parameters
    ----------
    name : str
        Name used in the measures.
    servers : list of Server
        Backend servers of the service.
    locations : list of Location
        Entry nodes.
    domain_latency, region_latency : float
        One-way latency in seconds within a region and between regions.
    service_time : float
        Mean of the exponential service time in seconds.
    """

    name: str
    servers: list[Server]
    locations: list[Location]
    domain_latency: float
    region_latency: float
    service_time: float

    @property
    def capacity(self) -> float:
        """Requests per second that all slots together can run."""
        slots = sum(server.slots for server in self.servers)
        return slots / self.service_time


@dataclasses.dataclass(slots=True)
class RankCounts:
    """Counts of the requests of one rank in the measured window."""

    offered: int = 0
    completed: int = 0
    on_time: int = 0
    sheds: int = 0


@dataclasses.dataclass(slots=True)
class _Request:
    ticket: Ticket
    rank: catalogue_pb2.Rank
    arrived: float
    measured: bool
    attempts: int = 1
    attempted_servers: frozenset[ServerId] = frozenset()


class Clock:
    """Event queue in virtual time."""

    def __init__(self) -> None:
        self.now = Seconds(0.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_in(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        item = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._events, item)

    def run_until(self, end: float) -> None:
        """Run events up to a time."""
        while self._events and self._events[0][0] <= end:
            time, _, action = heapq.heappop(self._events)
            self.now = Seconds(time)
            action()


class FakeServer:
    """Runs requests in slots and sheds requests when all slots are busy."""

    def __init__(
        self, server: Server, clock: Clock, service_time: float, seed: str
    ) -> None:
        self.server = server
        self.busy = 0
        self._clock = clock
        self._service_time = service_time
        self._rng = random.Random(seed)

    def receive(self, respond: Callable[[AttemptResult], None]) -> None:
        """Run a request or shed it."""
        if self.busy >= self.server.slots:
            respond(AttemptResult.SHED)
            return
        self.busy += 1
        duration = self._rng.expovariate(1.0 / self._service_time)

        def end() -> None:
            self.busy -= 1
            respond(AttemptResult.OK)

        self._clock.call_in(duration, end)


class EntryNode:
    """Entry node: admits requests, places them on servers and retries them."""

    def __init__(
        self,
        fleet: Fleet,
        location: Location,
        servers: dict[ServerId, FakeServer],
        admission: Admission,
        router: Router,
        retries: RetryMode,
        clock: Clock,
        counts: dict[str, RankCounts],
    ) -> None:
        self._fleet = fleet
        self._location = location
        self._servers = servers
        self._admission = admission
        self._router = router
        self._retries = retries
        self._clock = clock
        self._counts = counts
        self._requests: dict[Ticket, _Request] = {}
        self._budget = _RETRY_BURST
        router.update(fleet.servers, clock.now)
        self._tick()

    def arrive(
        self, number: int, rank: catalogue_pb2.Rank, measured: bool
    ) -> None:
        """Accept a new request of a rank."""
        now = self._clock.now
        ticket = Ticket(
            RequestId(f"request-{number}"),
            SERVICE,
            rank.name,  # type: ignore[arg-type]
            CallerId(f"caller-{number * 7919 % _CALLERS}"),
            Seconds(now + rank.target_s),
            rank.worth,
        )
        if measured:
            self._counts[rank.name].offered += 1
        self._offer(_Request(ticket, rank, now, measured))

    def _offer(self, request: _Request) -> None:
        now = self._clock.now
        answer = self._admission.offer(request.ticket, now)
        if isinstance(answer, Admitted):
            self._place(request)
        elif isinstance(answer, Queued):
            self._requests[request.ticket] = request
        self._advance()

    def _advance(self) -> None:
        departures = self._admission.advance(self._clock.now)
        for ticket in departures.expired:
            del self._requests[ticket]
        for ticket, _ in departures.refused:
            del self._requests[ticket]
        for ticket in departures.dispatched:
            self._place(self._requests.pop(ticket))

    def _tick(self) -> None:
        now = self._clock.now
        self._router.advance(now)
        slots = self._router.count_slots(SERVICE, None, now)
        self._admission.observe(Capacity(SERVICE, slots), now)
        self._advance()
        self._clock.call_in(_TICK_S, self._tick)

    def _place(self, request: _Request) -> None:
        now = self._clock.now
        if request.attempts == 1:
            self._budget = min(self._budget + _RETRY_BUDGET, _RETRY_BURST)
        placement = self._router.decide(
            PlacementRequest(
                SERVICE,
                request.ticket.deadline,
                request.rank.priority,
                request.rank.cross_region,
                exclude=request.attempted_servers,
            ),
            now,
        )
        if not isinstance(placement, Placement):
            self._admission.finish(
                request.ticket, AttemptResult.CANCELLED, Seconds(0.0), now
            )
            self._resubmit(request, placement.retry_after)
            return
        server = self._servers[placement.server.id]
        delay = self._find_one_way_latency(placement.server)

        def respond(result: AttemptResult) -> None:
            busy = server.busy + (result is AttemptResult.OK)
            self._clock.call_in(
                delay,
                lambda: self._end(request, placement, result, now, busy),
            )

        self._clock.call_in(delay, lambda: server.receive(respond))

    def _find_one_way_latency(self, server: Server) -> float:
        if server.region != self._location.region:
            return self._fleet.region_latency
        return self._fleet.domain_latency

    def _end(
        self,
        request: _Request,
        placement: Placement,
        result: AttemptResult,
        started: float,
        busy: int,
    ) -> None:
        now = self._clock.now
        server = placement.server
        latency = Seconds(now - started)
        attempt = Attempt(
            server.id, server.incarnation, SERVICE, result, latency
        )
        self._router.observe(LoadReport(server.id, busy, server.slots), now)
        self._router.observe(attempt, now)
        self._router.release(placement, now)
        self._admission.finish(request.ticket, result, latency, now)
        count = self._counts[request.rank.name]
        if result is AttemptResult.OK:
            if request.measured:
                count.completed += 1
                count.on_time += now <= request.ticket.deadline
        else:
            count.sheds += request.measured
            self._retry(request, server.id)
        self._advance()

    def _retry(self, request: _Request, server: ServerId) -> None:
        if request.attempts >= 3:
            return
        if self._retries is RetryMode.BUDGETED:
            if self._budget < 1.0:
                return
            self._budget -= 1.0
        request.attempts += 1
        request.attempted_servers |= {server}
        self._resubmit(request, 0.0)

    def _resubmit(self, request: _Request, delay: float) -> None:
        request.ticket = dataclasses.replace(
            request.ticket, attempt=request.ticket.attempt + 1
        )
        if self._clock.now + delay < request.ticket.deadline:
            self._clock.call_in(delay, lambda: self._offer(request))


def run_model(
    fleet: Fleet,
    make_node: Callable[
        [Location, random.Random], tuple[Admission, Router, RetryMode]
    ],
    ranks: Sequence[catalogue_pb2.Rank],
    rates: dict[str, float],
    seed: int,
    warm_up: float = 4.0,
    window: float = 12.0,
) -> dict[str, RankCounts]:
    """Simulate one fleet under Poisson arrivals and count outcomes by rank.

    Parameters
    ----------
    fleet : Fleet
        Servers and entry nodes.
    make_node : callable
        Creates the admission, router and retry mode of one node.
    ranks : sequence of Rank
        Ranks of the catalogue.
    rates : dict of str to float
        Requests per second by rank; nodes are chosen uniformly.
    seed : int
        Seed of the run.
    warm_up, window : float
        Length in seconds of the warm-up and of the measured window.

    Returns
    -------
    dict of str to RankCounts
        Counts of the requests that arrived in the window, by rank.
    """
    clock = Clock()
    rng = random.Random(f"{seed}-arrivals")
    counts = {rank.name: RankCounts() for rank in ranks}
    servers = {
        server.id: FakeServer(
            server, clock, fleet.service_time, f"{seed}-{server.id}"
        )
        for server in fleet.servers
    }
    nodes = [
        EntryNode(
            fleet,
            location,
            servers,
            *make_node(location, random.Random(f"{seed}-{location.node}")),
            clock,
            counts,
        )
        for location in fleet.locations
    ]
    numbers = itertools.count()

    def arrive(rank: catalogue_pb2.Rank) -> None:
        in_window = warm_up <= clock.now < warm_up + window
        rng.choice(nodes).arrive(next(numbers), rank, in_window)
        clock.call_in(rng.expovariate(rates[rank.name]), lambda: arrive(rank))

    for rank in ranks:
        clock.call_in(
            rng.expovariate(rates[rank.name]), functools.partial(arrive, rank)
        )
    clock.run_until(warm_up + window + 6.0)
    return counts
