"""Deterministic simulation of a fleet of relay nodes in virtual time.

Entry nodes and home nodes are the production classes. The connections between
them and the servers are replaced by delays, so that a load pattern is replayed
in seconds and with the same result each time.
"""

import collections
import math
import random
from collections.abc import Callable

import curio

from egretlever.core import (
    Address,
    FailureDomain,
    Incarnation,
    RegionName,
    RouteId,
    Seconds,
    ServerId,
    ServiceName,
    Version,
)
from egretlever.home import Heartbeat
from egretlever.placement import (
    Answer,
    Backend,
    ClientLimits,
    Configuration,
    EvenLoad,
    Failure,
    FailureReason,
    HomeCondition,
    HomeNotice,
    HomeSelector,
    HomeServer,
    Offer,
    Refusal,
    Reply,
    Route,
    Trust,
)
from egretlever.platform import headers
from egretlever.relay._client_messages import ClientRequest
from egretlever.relay._entry import EntryNode
from egretlever.relay._fleet import FleetView
from egretlever.relay._home import HomeNode
from egretlever.relay._interfaces import OfferObserver, ServerRunner
from egretlever.relay._jobs import Job
from egretlever.relay._server_client import ServerResult
from egretlever.testing._clock import run_virtual
from egretlever.testing._relay_patterns import (
    Burst,
    LoadPattern,
    OutcomeCounts,
    ReplayReport,
    RequestKind,
)
from egretlever.transport import RequestHead, read_clock

# One-way network delays between two nodes, in seconds.
_SAME_DOMAIN_DELAY = 0.0002
_SAME_REGION_DELAY = 0.0014
_REGION_DELAY = 0.008
# A gray server fails this share of its requests, almost immediately.
_GRAY_FAILURE_SHARE = 0.85
_GRAY_FAILURE_TIME = 0.001  # seconds
_ERROR_SHARE = 0.012  # of the requests of healthy servers
_WORK_TIME_SIGMA = 0.6  # standard deviation of the logarithm of work times
_FIRST_PORT = 10_000
_SAMPLE_INTERVAL = 0.05  # seconds between two samples of the spread
# Time between the start of the nodes and the first request, in seconds.
_WARMUP = 10.0


class _Server:
    """A simulated server, which may be gray."""

    def __init__(
        self, fleet: "RelayFleet", host: "_Host", rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._host = host
        self._rng = rng
        self._gray_cycles: dict[int, bool] = {}

    def _is_gray(self, now: float) -> bool:
        for outage in self._fleet.pattern.outages:
            if not outage.begins <= now < outage.ends:
                continue
            phase = (now - outage.begins + self._host.phase) / outage.period
            cycle = int(phase)
            if cycle not in self._gray_cycles:
                self._gray_cycles[cycle] = self._rng.random() < outage.share
            if self._gray_cycles[cycle] and phase - cycle < 2 / 3:
                return True
        return False

    async def exchange(
        self, server: Heartbeat, offer: Offer, time_left: Seconds
    ) -> ServerResult:
        """Run one request."""
        del server
        now = self._fleet.measure_time()
        report = self._fleet.report
        report.arrivals[offer.service].append(
            (now, self._host.take_derived(offer) or offer.repeated)
        )
        if not offer.idempotent:
            report.runs[offer.request_id] += 1
        gray = self._is_gray(now) and self._rng.random() < _GRAY_FAILURE_SHARE
        if gray or self._rng.random() < _ERROR_SHARE:
            await curio.sleep(_GRAY_FAILURE_TIME)
            return _fail(500)
        kind = self._fleet.kinds[offer.route]
        mean = math.log(kind.work) - _WORK_TIME_SIGMA**2 / 2
        work = self._rng.lognormvariate(mean, _WORK_TIME_SIGMA)
        expires_at = Seconds(read_clock() + time_left)
        try:
            async with curio.timeout_after(time_left):
                await curio.sleep(work)
                succeeded = await self._call(kind, offer, expires_at)
        except curio.TaskTimeout:
            return _fail(504)
        if not succeeded:
            return _fail(500)
        answer = Answer(200, (), b"", HomeCondition())
        return ServerResult(answer, True)

    async def _call(
        self, kind: RequestKind, offer: Offer, expires_at: Seconds
    ) -> bool:
        """Make the nested calls of a request; false when one of them fails."""
        if kind.calls is None:
            return True
        call_route, mean = kind.calls
        whole, part = divmod(mean, 1.0)
        count = int(whole) + (self._rng.random() < part)
        for _ in range(count):
            status = await self._host.send(
                self._fleet.kinds[RouteId(call_route)],
                expires_at - read_clock(),
                offer.repeated,
            )
            if status != 200:
                return False
        return True

    async def expire(self, now: Seconds) -> None:
        """Do nothing: there are no connections."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""


def _fail(status: int) -> ServerResult:
    return ServerResult(Answer(status, (), b"", HomeCondition()), False)


class _Links:
    """Sends offers to other hosts of the fleet with simulated delays."""

    def __init__(self, fleet: "RelayFleet", host: "_Host") -> None:
        self._fleet = fleet
        self._host = host
        self._followed: set[Address] = set()
        self._delayed: curio.Queue = curio.Queue()

    async def send_notice(self, notice: HomeNotice) -> None:
        """Record a notice of a home node nearby."""
        delay = self._fleet.pattern.notice_delay
        if delay:
            await self._delayed.put((read_clock() + delay, notice))
        else:
            self._host.view.observe(notice)

    async def deliver_forever(self) -> None:
        """Record delayed notices when they are due."""
        while True:
            due, notice = await self._delayed.get()
            await curio.sleep(max(0.0, due - read_clock()))
            self._host.view.observe(notice)

    async def offer(
        self,
        relay: Address,
        offer: Offer,
        follow: bool = False,
        observer: OfferObserver | None = None,
    ) -> Reply:
        """Offer a request to the home node at an address."""
        other = self._fleet.hosts_by_relay[relay]
        if follow and relay not in self._followed:
            self._followed.add(relay)
            await other.home.notice_publisher.subscribe(self)
        delay = self._fleet.measure_delay(self._host, other)
        report = self._fleet.report
        report.offers[
            self._host.view.selector.measure_distance(other.server)
        ] += 1
        await curio.sleep(delay)
        if offer.request_id in self._host.derived:
            other.derived[offer.request_id] = self._host.derived.pop(
                offer.request_id
            )
        job: Job = await other.home.jobs.submit(offer, observer=observer)
        try:
            await job.done.wait()
        except curio.CancelledError:
            await other.home.withdraw(job)
            raise
        await curio.sleep(delay)
        report.turned_away += isinstance(job.reply, Refusal)
        return job.reply or Failure(FailureReason.HOME_LOST)


class _Host:
    """One simulated host: a relay node, its server and its clients."""

    def __init__(
        self,
        fleet: "RelayFleet",
        number: int,
        domain: FailureDomain,
        service: ServiceName,
    ) -> None:
        self.domain = domain
        self.relay = Address("10.0.0.1", _FIRST_PORT + number)
        self.rng = random.Random(f"{fleet.seed}-{number}")
        self.phase = self.rng.random() * 12.0
        self.derived: dict[str, bool] = {}
        self._fleet = fleet
        self._number = number
        self._service = service
        choices = random.Random(f"entry-{self.rng.random()}")
        selector = HomeSelector(
            domain,
            fleet.regions,
            self.relay,
            choices,
            EvenLoad(choices) if fleet.pattern.even_load else None,
        )
        self.view = FleetView(selector, lambda: self.server, choices)
        self.home = HomeNode(
            fleet.pattern.bounds,
            self.view,
            fleet.make_runner()
            if fleet.make_runner is not None
            else _Server(
                fleet, self, random.Random(f"server-{self.rng.random()}")
            ),
        )
        self.links = _Links(fleet, self)
        self.entry = EntryNode(
            service, self.view, self.home, self.links, choices
        )
        self.server = HomeServer(
            ServerId(f"i-{number}"),
            service,
            domain,
            self.relay,
            fleet.pattern.slots,
            Incarnation(1),
        )
        self._sequence = 0

    def take_derived(self, offer: Offer) -> bool:
        """Remove and return the mark of a nested call of a retried request."""
        return self.derived.pop(offer.request_id, False)

    def start(self) -> None:
        """Announce the server and apply the configuration."""
        heartbeat = Heartbeat(
            id=self.server.id,
            address=self.relay,
            service=self._service,
            failure_domain=self.domain,
            slots=self.server.slots,
            draining=False,
            sequence=1,
            incarnation=self.server.incarnation,
            cold_for=Seconds(0.0),
        )
        self.home.local.observe(heartbeat, read_clock())
        self.home.apply_heartbeat()
        self.entry.configure(self._fleet.configuration)
        rows = [(host.server, Version(1)) for host in self._fleet.hosts]
        self.view.directory.replace(rows, Version(1))

    async def send(
        self, kind: RequestKind, left: float, derived: bool = False
    ) -> int:
        """Send one request to the entry node and return its status."""
        self._sequence += 1
        request_id = f"{self._number}-{self._sequence}"
        if derived:
            self.derived[request_id] = True
        fields = [
            (b"host", b"fleet.example"),
            (headers.REQUEST_ID, request_id.encode()),
            (headers.DEADLINE, b"%d" % max(1, int(left * 1000))),
        ]
        head = RequestHead("GET", f"/{kind.name}/1", fields)
        answer = await self.entry.handle(ClientRequest(head, b"", read_clock()))
        if answer.status == 503 and self._fleet.report.runs[request_id]:
            self._fleet.report.rejected_after_run += 1
        return answer.status

    def measure_load(self) -> int:
        """Return the requests that run or wait at the server."""
        queue = self.home.slots.queue
        waiting = queue.count_waiting()
        busy = queue.slots - queue.count_free(read_clock())
        return waiting + queue.slots if waiting else busy

    async def send_counted(self, kind: RequestKind) -> None:
        """Send a client request and count its outcome."""
        counts = self._fleet.report.outcomes[kind.name]
        counts.sent += 1
        begun = read_clock()
        status = await self.send(kind, kind.timeout)
        took = read_clock() - begun
        if status == 200 and took <= kind.objective:
            counts.on_time += 1
            counts.worth += kind.worth
        elif status == 200:
            counts.late += 1
            counts.worth += kind.late_worth
        elif status == 503:
            counts.rejected += 1
            self._fleet.report.avoidable_rejections += self._fleet.has_free(
                self.domain, kind.service
            )
        else:
            counts.failed += 1


class RelayFleet:
    """Relay nodes, servers and clients of one load pattern.

    Parameters
    ----------
    pattern : LoadPattern
        Load pattern to replay.
    seed : int, default=1
        Seed of arrivals, work times and gray servers.
    make_runner : callable, optional
        Makes the servers, in place of simulated ones of the pattern's kinds.
    """

    def __init__(
        self,
        pattern: LoadPattern,
        seed: int = 1,
        make_runner: Callable[[], ServerRunner] | None = None,
    ) -> None:
        self.pattern = pattern
        self.seed = seed
        self.make_runner = make_runner
        self.kinds = {RouteId(kind.name): kind for kind in pattern.kinds}
        services = {kind.service for kind in pattern.kinds}
        self.report = ReplayReport(
            {
                kind.name: OutcomeCounts()
                for kind in pattern.kinds
                if kind.rate > 0
            },
            {service: [] for service in services},
            collections.Counter(),
        )
        # The name of a failure domain is its region's name, "-" and a suffix.
        self.regions = {
            domain: RegionName(domain.rpartition("-")[0])
            for domain, _, _ in pattern.hosts
        }
        self.configuration = Configuration(
            Version(1),
            tuple(_make_route(kind) for kind in pattern.kinds),
            ClientLimits(),
        )
        self._begun = Seconds(0.0)
        self.hosts: list[_Host] = []
        for domain, service, count in pattern.hosts:
            for _ in range(count):
                number = len(self.hosts)
                self.hosts.append(_Host(self, number, domain, service))
        self.hosts_by_relay = {host.relay: host for host in self.hosts}

    def has_free(self, domain: FailureDomain, service: ServiceName) -> bool:
        """Tell whether a trusted server of a failure domain has a free slot."""
        conditions = [
            host.home.describe()
            for host in self.hosts
            if host.domain == domain and host.server.service == service
        ]
        return any(
            condition.free_slots and condition.trust is Trust.TRUSTED
            for condition in conditions
        )

    def measure_time(self) -> float:
        """Return the seconds since the start of the load."""
        return read_clock() - self._begun

    def measure_delay(self, one: _Host, other: _Host) -> float:
        """Return the one-way delay between two hosts."""
        if one.domain == other.domain:
            return _SAME_DOMAIN_DELAY
        if self.regions[one.domain] == self.regions[other.domain]:
            return _SAME_REGION_DELAY
        return _REGION_DELAY

    async def start(self) -> None:
        """Start the nodes, and the time of the load."""
        for host in self.hosts:
            host.start()
            await curio.spawn(host.links.deliver_forever, daemon=True)
            await curio.spawn(host.home.slots.expire_forever, daemon=True)
            await curio.spawn(host.home.jobs.expire_forever, daemon=True)
            await curio.spawn(
                host.home.notice_publisher.publish_forever, daemon=True
            )
        await curio.sleep(_WARMUP)
        self._begun = read_clock()

    async def run(self) -> ReplayReport:
        """Replay the pattern and return the report."""
        await self.start()
        for burst in self.pattern.bursts:
            await curio.spawn(self._sample_spread, burst, daemon=True)
        async with curio.TaskGroup() as group:
            for at, host, kind in self._draw_arrivals():
                await curio.sleep(max(0.0, at - self.measure_time()))
                await group.spawn(host.send_counted, kind)
        return self.report

    async def _sample_spread(self, burst: Burst) -> None:
        """Record the spread of the load in each failure domain."""
        service = self.kinds[RouteId(burst.kind)].service
        groups: dict[FailureDomain, list[_Host]] = {}
        for host in self.hosts:
            if host.server.service == service:
                groups.setdefault(host.domain, []).append(host)
        await curio.sleep(burst.begins)
        while self.measure_time() < burst.ends:
            for hosts in groups.values():
                loads = [host.measure_load() for host in hosts]
                if any(loads):
                    self.report.spreads.append(
                        max(loads) * len(loads) / sum(loads)
                    )
            await curio.sleep(_SAMPLE_INTERVAL)

    def _draw_arrivals(self) -> list[tuple[float, _Host, RequestKind]]:
        """Draw the arrivals of client requests, evenly by failure domain."""
        rng = random.Random(f"arrivals-{self.seed}")
        by_domain: dict[FailureDomain, list[_Host]] = {}
        for host in self.hosts:
            by_domain.setdefault(host.domain, []).append(host)
        domains = list(by_domain.values())
        arrivals = []
        for kind in self.pattern.kinds:
            at = 0.0
            while kind.rate > 0:
                at += rng.expovariate(kind.rate * self._find_factor(kind, at))
                if at >= self.pattern.length:
                    break
                host = rng.choice(rng.choice(domains))
                arrivals.append((at, host, kind))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _find_factor(self, kind: RequestKind, at: float) -> float:
        for burst in self.pattern.bursts:
            if burst.kind == kind.name and burst.begins <= at < burst.ends:
                return burst.factor
        return 1.0


def _make_route(kind: RequestKind) -> Route:
    return Route(
        id=RouteId(kind.name),
        host="fleet.example",
        prefix=f"/{kind.name}/",
        idempotent=kind.idempotent,
        timeout=kind.timeout,
        objective=kind.objective,
        rank=kind.rank,
        max_attempts=3,
        backends=(Backend(kind.service, 1.0),),
    )


def replay_load(pattern: LoadPattern, seed: int = 1) -> ReplayReport:
    """Replay a load pattern in virtual time.

    Parameters
    ----------
    pattern : LoadPattern
        Load pattern to replay.
    seed : int, default=1
        Seed of arrivals, work times and gray servers.

    Returns
    -------
    ReplayReport
        Outcomes for clients, and requests at servers.
    """

    async def replay() -> ReplayReport:
        return await RelayFleet(pattern, seed).run()

    return run_virtual(replay())
