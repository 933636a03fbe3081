"""Entry node: finds a home node for each request of the host's clients."""

import dataclasses
import random

import curio

from egretlever.core import (
    RequestId,
    RouteId,
    Seconds,
    ServiceName,
    make_log,
)
from egretlever.placement import (
    Answer,
    ClientLimits,
    Configuration,
    HomeChoice,
    Offer,
    Refusal,
    RefusalReason,
    Reply,
    Route,
    RouteTable,
    Search,
)
from egretlever.platform import headers
from egretlever.relay import _metrics as metrics
from egretlever.relay._clients import ClientAnswer, ClientRequest
from egretlever.relay._fleet import FleetView
from egretlever.relay._home import HomeNode
from egretlever.relay._interfaces import OfferSender
from egretlever.relay._outcomes import (
    Ending,
    History,
    Stop,
    is_failed,
    make_answer,
    make_own_answer,
    make_rejection,
)
from egretlever.relay._sampling import RequestSampler
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock, remove_hop_by_hop

_LOG = make_log("entry")
# Time of a request at a server before its route has answers.
_FIRST_ESTIMATE = Seconds(0.15)
_NEW_WEIGHT = 0.1  # weight of a new answer in the mean time of its route
# Failure domains without repeats after which a request is given up: the whole
# fleet has none then, and each further refusal costs bytes between regions.
_MAX_SPENT = 2
# A node that has just started reads configuration and servers within this time,
# or the store is away.
_START_WAIT = Seconds(0.3)
_START_CHECK = 0.01  # seconds
# A server has to be given up this long before the client gives up, or its
# answer comes too late on the way back.
_RETURN_TIME = Seconds(0.02)


@dataclasses.dataclass(slots=True)
class _Task:
    """One request of a client while it is served."""

    request: ClientRequest
    id: RequestId
    route: Route
    service: ServiceName
    deadline: Seconds
    search: Search
    history: History
    derived: bool


class EntryNode:
    """Serves the clients of one host.

    Parameters
    ----------
    service : ServiceName
        Service of the host, which its requests name as their caller.
    fleet : FleetView
        What is known of the fleet.
    home : HomeNode
        Home node in the same process.
    links : OfferSender
        Connections to the other home nodes.
    rng : random.Random
        Source of choices.

    Attributes
    ----------
    in_flight : int
        Requests without an answer.
    """

    def __init__(
        self,
        service: ServiceName,
        fleet: FleetView,
        home: HomeNode,
        links: OfferSender,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._fleet = fleet
        self._home = home
        self._links = links
        self._rng = rng
        self._selector = fleet.selector
        self._routes: RouteTable | None = None
        self._times: dict[RouteId, Seconds] = {}
        self.in_flight = 0
        self._sampler = RequestSampler()
        self._rejects_from: Seconds | None = None
        self._ends_at: Seconds | None = None

    def configure(self, configuration: Configuration) -> bool:
        """Put a configuration in force; false when a newer one is."""
        held = self._routes
        if (
            held is not None
            and configuration.version <= held.configuration.version
        ):
            return False
        self._routes = RouteTable(configuration, self._rng)
        return True

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._routes is not None

    def read_limits(self) -> ClientLimits:
        """Return the limits of clients in force."""
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    def stop(self, rejects_from: Seconds, ends_at: Seconds) -> None:
        """Begin a planned stop.

        Parameters
        ----------
        rejects_from : Seconds
            Reading of the clock from which new requests are rejected.
        ends_at : Seconds
            Reading of the clock at which every request has its answer.
        """
        self._rejects_from = rejects_from
        self._ends_at = ends_at

    async def handle(self, request: ClientRequest) -> ClientAnswer:
        """Serve one request of a client."""
        self.in_flight += 1
        try:
            return await self._handle(request)
        finally:
            self.in_flight -= 1
            metrics.REQUEST_SECONDS.observe(read_clock() - request.received_at)

    async def _handle(self, request: ClientRequest) -> ClientAnswer:
        found = request.head.find(headers.REQUEST_ID)
        if not await self._await_start():
            return self._reject(found, "no configuration yet", Seconds(1.0))
        assert self._routes is not None  # awaited
        if (
            self._rejects_from is not None
            and request.received_at > self._rejects_from
        ):
            return self._reject(found, "the node stops", Seconds(0.0))
        route = self._routes.match(
            request.head.find(b"host") or "", request.head.path
        )
        if route is None:
            answer = make_own_answer(404, found, "no route")
            return self._end(Ending.NO_ROUTE, found, None, answer, "no route")
        if not found:
            answer = make_own_answer(400, None, "the request has no id")
            return self._end(Ending.MALFORMED, found, None, answer, "no id")
        task = self._make_task(request, RequestId(found), route)
        try:
            async with curio.timeout_after(task.deadline - read_clock()):
                return await self._serve(task)
        except curio.TaskTimeout:
            return self._time_out(task)

    async def _await_start(self) -> bool:
        """Wait until the node knows routes and servers; false if it does not.

        After all processes were killed clients come back within the first
        milliseconds, and reading the store takes a few more.
        """
        until = read_clock() + _START_WAIT
        while not (self.configured and self._fleet.directory.complete):
            if read_clock() >= until:
                return self.configured
            await curio.sleep(_START_CHECK)
        return True

    def _reject(
        self, request_id: str | None, text: str, wait: Seconds
    ) -> ClientAnswer:
        answer = make_rejection(request_id, text, wait)
        return self._end(Ending.NOT_READY, request_id, None, answer, text)

    def _make_task(
        self, request: ClientRequest, request_id: RequestId, route: Route
    ) -> _Task:
        assert self._routes is not None  # checked by handle
        begun = request.received_at
        limit = route.timeout
        text = request.head.find(headers.DEADLINE)
        if text is not None and text.strip().isdecimal():
            limit = Seconds(min(limit, int(text) / 1000))
        deadline = Seconds(begun + limit)
        if self._ends_at is not None:
            deadline = min(deadline, self._ends_at)
        service = self._routes.choose_service(route)
        # A request that could not be repeated must not test a doubted server.
        may_test = route.idempotent and route.max_attempts > 1
        search = Search(
            rank=route.rank,
            may_test=may_test,
            on_time_at=Seconds(min(deadline, begun + route.objective)),
            deadline=Seconds(deadline - _RETURN_TIME),
            service_time=self._times.get(route.id, _FIRST_ESTIMATE),
        )
        return _Task(
            request,
            request_id,
            route,
            service,
            deadline,
            search,
            History(),
            self._home.may_derive(service),
        )

    async def _serve(self, task: _Task) -> ClientAnswer:
        while True:
            choice = self._selector.decide(
                task.search,
                self._fleet.list_servers(task.service),
                read_clock(),
            )
            if choice is None:
                return self._give_up(task, Stop.NO_HOME)
            started = read_clock()
            reply = await self._offer(task, choice)
            now = read_clock()
            self._log_reply(task, choice, reply, Seconds(now - started))
            if isinstance(reply, Answer) and not is_failed(reply):
                self._learn(task.route.id, reply.condition.route_time)
                return self._end(
                    Ending.ANSWERED, task.id, task, make_answer(reply)
                )
            arrivals = task.history.arrivals
            task.history.observe(reply)
            refused = reply.reason if isinstance(reply, Refusal) else None
            if refused is RefusalReason.EXPIRED:
                task.search.skip_stage()
            elif refused is RefusalReason.NO_BUDGET:
                # Home nodes of one failure domain pool their parts.
                task.search.spent.add(choice.server.failure_domain)
            if task.history.arrivals > arrivals:
                task.search.excluded.add(choice.server.id)
                task.search.may_test = False
            if len(task.search.spent) >= _MAX_SPENT:
                return self._give_up(task, Stop.NO_BUDGET)
            if task.history.may_have_run and not task.route.idempotent:
                return self._give_up(task, Stop.MAY_HAVE_RUN)
            if task.history.arrivals >= task.route.max_attempts:
                return self._give_up(task, Stop.ATTEMPTS_USED)

    async def _offer(self, task: _Task, choice: HomeChoice) -> Reply:
        head = task.request.head
        offer = Offer(
            request_id=task.id,
            service=task.service,
            route=task.route.id,
            method=head.method,
            target=head.target.encode("latin-1"),
            headers=tuple(remove_hop_by_hop(head.headers)),
            body=task.request.body,
            rank=task.route.rank,
            idempotent=task.route.idempotent,
            time_left=Seconds(task.deadline - read_clock() - _RETURN_TIME),
            max_wait=choice.max_wait,
            caller_service=self._service,
            forced=choice.forced,
            careful=not task.search.may_test,
            late=choice.late,
            repeated=task.history.arrivals > 0,
            derived=task.derived,
        )
        self._selector.start(choice.server)
        reply: Reply | None = None
        try:
            if self._fleet.is_own(choice.server.relay):
                reply = await self._home.run(offer)
            else:
                reply = await self._links.offer(
                    choice.server.relay,
                    offer,
                    follow=self._fleet.is_near(choice.server),
                )
        finally:
            self._selector.finish(
                choice.server,
                reply,
                read_clock(),
                self._times.get(task.route.id, Seconds(0.0)),
            )
        metrics.OFFERS.labels(reply.name).inc()
        return reply

    def _learn(self, route: RouteId, time: Seconds) -> None:
        if time <= 0:
            return
        old = self._times.get(route, time)
        self._times[route] = Seconds(old + _NEW_WEIGHT * (time - old))

    def _log_reply(
        self, task: _Task, choice: HomeChoice, reply: Reply, took: Seconds
    ) -> None:
        if not self._sampler.decide(task.id, read_clock()):
            return
        _LOG.event(
            logs_pb2.RequestLine(
                event="offered",
                request=task.id,
                route=task.route.id,
                service=task.service,
                server=choice.server.id,
                rank=task.route.rank,
                offers=task.search.offers,
                attempts=task.history.arrivals,
                reason=choice.reason,
                max_wait_s=round(choice.max_wait, 4),
                time_left_s=round(task.deadline - read_clock(), 4),
                wait_s=round(choice.wait, 4),
                trust=choice.trust.value,
                view_age_s=round(choice.view_age or 0.0, 3),
                directory=str(self._fleet.directory.version),
                outcome=reply.name,
                took_s=round(took, 4),
            )
        )

    def _give_up(self, task: _Task, stop: Stop) -> ClientAnswer:
        """Answer a request that no server will be sent any more."""
        history = task.history
        cause = history.reason.value if history.reason else "none-asked"
        reason = f"{stop.value}: {cause}"
        if history.failed_answer is not None:
            answer = make_answer(history.failed_answer)
            return self._end(Ending.ANSWERED, task.id, task, answer, reason)
        if history.may_have_run:
            answer = make_own_answer(502, task.id, f"outcome unknown: {cause}")
            return self._end(Ending.UNKNOWN, task.id, task, answer, reason)
        answer = make_rejection(
            task.id, f"not run: {cause}", task.search.service_time
        )
        return self._end(Ending.REJECTED, task.id, task, answer, reason)

    def _time_out(self, task: _Task) -> ClientAnswer:
        answer = make_own_answer(504, task.id, "no answer in time")
        reason = task.history.reason.value if task.history.reason else ""
        return self._end(Ending.TIMED_OUT, task.id, task, answer, reason)

    def _end(
        self,
        ending: Ending,
        request_id: str | None,
        task: _Task | None,
        answer: ClientAnswer,
        reason: str = "",
    ) -> ClientAnswer:
        """Count and log how a request ended, and return its answer."""
        metrics.REQUESTS.labels(ending.value, str(answer.status)).inc()
        now = read_clock()
        if not self._sampler.decide(RequestId(request_id or ""), now):
            return answer
        version = ""
        if self._routes is not None:
            version = f"{self._routes.configuration.version:08x}"
        line = logs_pb2.RequestLine(
            event="ended",
            request=request_id or "",
            outcome=ending.value,
            reason=reason,
            status=answer.status,
            configuration=version,
        )
        if task is not None:
            line.route = task.route.id
            line.service = task.service
            line.rank = task.route.rank
            line.attempts = task.history.arrivals
            line.time_left_s = round(task.deadline - now, 4)
            line.took_s = round(now - task.request.received_at, 4)
        _LOG.event(line)
        return answer
