"""A service whose servers take given times, in virtual time.

Entry and home nodes are the production classes.
"""

import dataclasses
import math

import curio

from egretlever.core import FailureDomain, Seconds, ServiceName
from egretlever.home import Heartbeat
from egretlever.placement import (
    Answer,
    Failure,
    FailureReason,
    HomeCondition,
    Offer,
    Refusal,
    RefusalReason,
    Trust,
)
from egretlever.platform import Bounds
from egretlever.relay._server_client import ServerResult
from egretlever.testing._relay_fleet import RelayFleet
from egretlever.testing._relay_patterns import LoadPattern, RequestKind
from egretlever.transport import read_clock

# Time for which clients wait, longer than any timeout of a route.
_PATIENCE = 12.0  # seconds
_DOMAIN = FailureDomain("north-a")
_SERVICE = ServiceName("hub")
# Time after which the retry budget of a node that has just started is known.
_WARMUP = 20.0  # seconds


class TimedServer:
    """A sound server that takes the same time for all requests, or hangs.

    Attributes
    ----------
    work : float
        Time for a request in seconds; infinite for a server that hangs.
    arrivals : int
        Requests that reached it.
    broken_off : int
        Requests that were broken off while it was at work.
    status : int
        Status of its answers; 503 stands for requests that it does not run.
    """

    def __init__(self) -> None:
        self.work = 0.0
        self.arrivals = 0
        self.broken_off = 0
        self.status = 200

    async def exchange(
        self, server: Heartbeat, offer: Offer, time_left: Seconds
    ) -> ServerResult:
        """Run one request."""
        del server, offer
        self.arrivals += 1
        if self.status == 503:
            return ServerResult(Refusal(RefusalReason.SHED), None)
        try:
            async with curio.timeout_after(time_left):
                await curio.sleep(min(self.work, _PATIENCE))
        except curio.TaskTimeout:
            self.broken_off += 1
            return ServerResult(Failure(FailureReason.OVERDUE), False)
        except curio.CancelledError:
            self.broken_off += 1
            raise
        answer = Answer(self.status, (), b"", HomeCondition())
        return ServerResult(answer, self.status == 200)

    async def expire(self, now: Seconds) -> None:
        """Do nothing: there are no connections."""

    async def close(self) -> None:
        """Do nothing: there are no connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOutcome:
    """Outcome of one request.

    Parameters
    ----------
    status : int
        Status of the answer.
    took : float
        Time until the answer in seconds.
    """

    status: int
    took: float


class TimedFleet:
    """A service with one route, used by the clients of its first host.

    Parameters
    ----------
    count : int
        Number of servers.
    idempotent : bool, default=True
        Whether requests may run more than once.
    objective, timeout : float
        Latency objective and timeout of the route in seconds.

    Attributes
    ----------
    servers : list of TimedServer
        All servers, by host.
    slots : int
        Slots of each server.
    """

    def __init__(
        self,
        count: int,
        idempotent: bool = True,
        objective: float = 1.2,
        timeout: float = 6.0,
    ) -> None:
        self._kind = RequestKind(
            name="list",
            service=_SERVICE,
            rate=0.0,
            work=Seconds(0.0),
            objective=Seconds(objective),
            timeout=Seconds(timeout),
            rank=1,
            worth=1.0,
            late_worth=0.5,
            idempotent=idempotent,
        )
        pattern = LoadPattern(
            kinds=(self._kind,),
            hosts=((_DOMAIN, _SERVICE, count),),
            bounds=Bounds(retry_ratio=0.2, retry_slack=60.0),
        )
        self.slots = pattern.slots
        self.servers: list[TimedServer] = []
        self._fleet = RelayFleet(pattern, make_runner=self._make_server)

    def _make_server(self) -> TimedServer:
        self.servers.append(TimedServer())
        return self.servers[-1]

    async def start(self) -> None:
        """Start all nodes."""
        for host in self._fleet.hosts:
            host.start()
            for part in (
                host.home.slots.expire_forever,
                host.home.jobs.expire_forever,
                host.home.notice_publisher.publish_forever,
            ):
                await curio.spawn(part, daemon=True)
        await curio.sleep(_WARMUP)

    def hang(self, number: int) -> None:
        """Let a server hang from now on."""
        self.servers[number].work = math.inf

    def stop(self, duration: float) -> None:
        """Begin a planned stop of the first host's entry node.

        Parameters
        ----------
        duration : float
            Time until it ends, in seconds.
        """
        now = read_clock()
        self._fleet.hosts[0].entry.stop(now, Seconds(now + duration))

    async def stop_home(self, number: int, leaves: float, ends: float) -> None:
        """Stop a home node as planned, whose process ends with its requests.

        Parameters
        ----------
        number : int
            Number of the host.
        leaves, ends : float
            Times until it accepts no requests and until it ends, in seconds.
        """
        home, now = self._fleet.hosts[number].home, read_clock()
        home.stop(Seconds(now + leaves), Seconds(now + ends))
        await curio.sleep(leaves)
        await home.report_outlasting()
        await curio.sleep(ends - leaves)
        for job in home.jobs.list_running():
            await job.task.cancel()

    def trust(self, number: int) -> Trust:
        """Return the trust of a home node in its server."""
        return self._fleet.hosts[number].home.describe().trust

    async def send(self, host: int = 0) -> TimedOutcome:
        """Send one request from a client of a host."""
        begun = read_clock()
        status = await self._fleet.hosts[host].send(self._kind, _PATIENCE)
        return TimedOutcome(status, read_clock() - begun)

    async def send_all(self, *works: float) -> list[TimedOutcome]:
        """Send requests one by one, each with its time at all servers."""
        outcomes = []
        for work in works:
            for server in self.servers:
                server.work = work
            outcomes.append(await self.send())
        return outcomes
