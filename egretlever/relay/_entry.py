"""Entry node: forwards each client request of its host to a home node."""

import dataclasses
import random

import curio

from egretlever.core import (
    RequestId,
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
    ServersByDistance,
)
from egretlever.platform import headers
from egretlever.relay import _metrics as metrics
from egretlever.relay._attempt_times import AttemptTimes
from egretlever.relay._client_messages import ClientAnswer, ClientRequest
from egretlever.relay._fleet import FleetView
from egretlever.relay._home import HomeNode
from egretlever.relay._interfaces import OfferSender
from egretlever.relay._outcomes import (
    AttemptEnd,
    AttemptHistory,
    Ending,
    GiveUpReason,
    describe_exclusions,
    is_failed,
    make_answer,
    make_local_answer,
    make_rejection,
)
from egretlever.relay._running_requests import RunningRequests, StopTimeout
from egretlever.relay._sampling import RequestSampler
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock, remove_hop_by_hop

_LOG = make_log("entry")
# A request is given up when this many home nodes have refused it for lack of
# retry budget: hardly any has some left then.
_MAX_BUDGET_REFUSALS = 4
# A granted retry must reach a server soon, since it is counted where it was
# granted.
_GRANT_LIFETIME = Seconds(0.4)
# A starting node reads the configuration and the servers within this time,
# unless the store is unavailable.
_STARTUP_TIMEOUT = Seconds(0.3)
_STARTUP_POLL_INTERVAL = 0.01  # seconds
# During a planned stop, a request is offered only while this multiple of its
# route's usual service time is left. One that can't be retried must not be cut
# off at a server; few answers take four times as long as usual.
_STOP_TIME_FACTOR = 4.0
_IDEMPOTENT_STOP_TIME_FACTOR = 2.0
# An attempt has to end this long before the client's deadline, so that its
# answer still arrives in time.
_RETURN_MARGIN = Seconds(0.02)
_ANSWERED_OR_NOT_RUN = frozenset(
    {Ending.ANSWERED, Ending.REJECTED, Ending.NOT_READY}
)


@dataclasses.dataclass(slots=True)
class _RequestTask:
    """State of one client request while it is served."""

    request: ClientRequest
    id: RequestId
    route: Route
    service: ServiceName
    deadline: Seconds
    search: Search
    history: AttemptHistory
    expires_at: Seconds
    derived: bool
    granted_until: Seconds | None = None
    unanswered_time: Seconds = Seconds(0.0)
    # Clock time of the offer that has no reply yet.
    offered_at: Seconds | None = None


class EntryNode:
    """Serves the clients of one host.

    Parameters
    ----------
    service : ServiceName
        Service of this host, sent as the caller of its requests.
    fleet : FleetView
        Servers of the fleet and the reports of their home nodes.
    home : HomeNode
        Home node in the same process.
    links : OfferSender
        Connections to the other home nodes.
    rng : random.Random
        Source of random choices.

    Attributes
    ----------
    running : RunningRequests
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
        self._times = AttemptTimes()
        self.running = RunningRequests()
        self._sampler = RequestSampler()
        self._stops_at: Seconds | None = None
        self._rejects_from: Seconds | None = None
        self._ends_at: Seconds | None = None

    def configure(self, configuration: Configuration) -> bool:
        """Apply a configuration; false when it is not newer."""
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
        """Return the current limits for clients."""
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    def stop(self, rejects_from: Seconds, ends_at: Seconds) -> None:
        """Begin a planned stop.

        Parameters
        ----------
        rejects_from : Seconds
            Clock time from which new requests are rejected.
        ends_at : Seconds
            Clock time by which every request must have its answer.
        """
        self._stops_at = read_clock()
        self._rejects_from = rejects_from
        self._ends_at = ends_at

    async def handle(self, request: ClientRequest) -> ClientAnswer:
        """Serve one client request."""
        running = await self.running.enter()
        try:
            return await self._handle(request)
        except StopTimeout:
            # It waited for the configuration.
            found = request.head.find(headers.REQUEST_ID)
            return self._reject(found, "the node stops", Seconds(0.0))
        finally:
            await self.running.leave(running)
            metrics.REQUEST_SECONDS.observe(read_clock() - request.received_at)

    async def _handle(self, request: ClientRequest) -> ClientAnswer:
        found = request.head.find(headers.REQUEST_ID)
        if not await self._await_ready():
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
            answer = make_local_answer(404, found, "no route")
            return self._finish(
                Ending.NO_ROUTE, found, None, answer, "no route"
            )
        if not found:
            answer = make_local_answer(400, None, "the request has no id")
            return self._finish(Ending.MALFORMED, found, None, answer, "no id")
        task = self._make_task(request, RequestId(found), route)
        try:
            async with curio.timeout_after(task.deadline - read_clock()):
                return await self._serve(task)
        except curio.TaskTimeout:
            return self._time_out(task)
        except StopTimeout:
            return self._end_at_stop(task)

    async def _await_ready(self) -> bool:
        """Wait for routes and servers; false when there is no configuration.

        After a crash of all processes, clients return within the first few
        milliseconds, before the store has been read.
        """
        until = read_clock() + _STARTUP_TIMEOUT
        while not (self.configured and self._fleet.directory.complete):
            if read_clock() >= until:
                return self.configured
            await curio.sleep(_STARTUP_POLL_INTERVAL)
        return True

    def _reject(
        self, request_id: str | None, text: str, wait: Seconds
    ) -> ClientAnswer:
        answer = make_rejection(request_id, text, wait)
        return self._finish(Ending.NOT_READY, request_id, None, answer, text)

    def _make_task(
        self, request: ClientRequest, request_id: RequestId, route: Route
    ) -> _RequestTask:
        assert self._routes is not None  # checked by handle
        begun = request.received_at
        # A request without a deadline counts as one that may expire any time.
        expires_at, limit = begun, route.timeout
        text = request.head.find(headers.DEADLINE)
        if text is not None and text.strip().isdecimal():
            time_left = int(text) / 1000
            expires_at = Seconds(begun + time_left)
            limit = Seconds(min(limit, time_left))
        deadline = Seconds(begun + limit)
        if self._ends_at is not None:
            deadline = min(deadline, self._ends_at)
        service = self._routes.choose_service(route)
        # A request that can't be retried must not be the trial of a server that
        # is not trusted.
        may_be_trial = route.idempotent and route.max_attempts > 1
        search = Search(
            rank=route.rank,
            may_be_trial=may_be_trial,
            on_time_at=Seconds(min(deadline, begun + route.objective)),
            deadline=Seconds(deadline - _RETURN_MARGIN),
            service_time=self._times.estimate(route),
            least_time=self._times.estimate_least(route, begun),
        )
        return _RequestTask(
            request,
            request_id,
            route,
            service,
            deadline,
            search,
            AttemptHistory(),
            expires_at,
            self._rng.random()
            < self._home.estimate_derived_share(service, expires_at),
        )

    async def _serve(self, task: _RequestTask) -> ClientAnswer:
        while True:
            # One that may have run can only gain by another attempt.
            if not (task.history.may_have_run or self._may_finish(task)):
                return self._give_up(task, GiveUpReason.STOPPING)
            servers = self._fleet.sample_servers(task.service)
            choice = self._selector.decide(task.search, servers, read_clock())
            if choice is None:
                return self._give_up_unplaced(task)
            started = read_clock()
            reply = await self._offer(task, choice, servers)
            now = read_clock()
            took = Seconds(now - started)
            self._log_reply(task, choice, reply, took)
            if isinstance(reply, Answer) and not is_failed(reply):
                self._times.observe(task.route, reply, now)
                return self._finish(
                    Ending.ANSWERED, task.id, task, make_answer(reply)
                )
            attempts = task.history.attempts
            task.history.observe(reply, took)
            if not isinstance(reply, Refusal):
                task.unanswered_time = max(
                    task.unanswered_time,
                    self._times.observe(task.route, reply, now),
                )
            refused = reply.reason if isinstance(reply, Refusal) else None
            if refused is RefusalReason.EXPIRED:
                task.search.end_stage()
            elif refused is RefusalReason.NO_BUDGET:
                task.search.budget_refusals += 1
                task.search.excluded.add(choice.server.id)
            if task.history.attempts > attempts:
                task.search.excluded.add(choice.server.id)
                task.search.may_be_trial = False
                # A retry costs budget, so that it has to be likely to succeed.
                task.search.least_time = None
                task.granted_until = (
                    Seconds(now + _GRANT_LIFETIME)
                    if reply.retry_granted
                    else None
                )
            if task.search.budget_refusals >= _MAX_BUDGET_REFUSALS:
                if task.derived:
                    self._home.observe_call_without_budget(task.expires_at)
                return self._give_up(task, GiveUpReason.NO_BUDGET)
            if task.history.may_have_run and not task.route.idempotent:
                return self._give_up(task, GiveUpReason.MAY_HAVE_RUN)
            if task.history.attempts >= task.route.max_attempts:
                return self._give_up(task, GiveUpReason.ATTEMPTS_USED)

    def _may_finish(self, task: _RequestTask) -> bool:
        """Tell whether an attempt is likely to end before a planned stop."""
        if self._ends_at is None:
            return True
        factor = (
            _IDEMPOTENT_STOP_TIME_FACTOR
            if task.route.idempotent
            else _STOP_TIME_FACTOR
        )
        needed = factor * self._times.estimate_usual(task.route)
        return read_clock() + needed <= self._ends_at

    def _can_follow(
        self, task: _RequestTask, choice: HomeChoice, servers: ServersByDistance
    ) -> bool:
        """Tell whether another attempt could follow the one at a server.

        None does in a planned stop: an overdue attempt may be the slow one of a
        sound server, and what it has done is lost if no server takes a retry.
        """
        if self._ends_at is not None:
            return False
        attempts = task.history.attempts + 1
        return attempts < task.route.max_attempts and (
            self._selector.has_alternative(
                task.search, choice.server, servers, read_clock()
            )
        )

    async def _offer(
        self,
        task: _RequestTask,
        choice: HomeChoice,
        servers: ServersByDistance,
    ) -> Reply:
        head = task.request.head
        deadline = task.deadline
        if self._ends_at is not None:
            deadline = min(deadline, self._ends_at)
        time_left = Seconds(deadline - read_clock() - _RETURN_MARGIN)
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
            time_left=time_left,
            max_wait=choice.max_wait,
            caller_service=self._service,
            forced=choice.forced,
            careful=not task.search.may_be_trial,
            late=choice.late,
            repeated=task.history.attempts > 0,
            derived=task.derived,
            retriable=task.history.attempts + 1 < task.route.max_attempts,
            granted=(
                task.granted_until is not None
                and read_clock() < task.granted_until
            ),
            usual_time=self._times.estimate_usual(task.route),
            guessed=not self._times.find(task.route),
            reserve=self._times.estimate_reserve(
                task.route,
                time_left,
                task.unanswered_time,
                self._can_follow(task, choice, servers),
            ),
        )
        self._selector.start_offer(choice.server)
        task.offered_at = read_clock()
        reply: Reply | None = None
        try:
            if self._fleet.is_own(choice.server.relay):
                reply = await self._home.run(offer)
            else:
                reply = await self._links.offer(
                    choice.server.relay,
                    offer,
                    follow=self._fleet.is_in_own_domain(choice.server),
                )
        finally:
            self._selector.finish_offer(
                choice.server,
                reply,
                read_clock(),
                self._times.find(task.route),
            )
        task.offered_at = None
        metrics.OFFERS.labels(reply.name).inc()
        return reply

    def _log_reply(
        self,
        task: _RequestTask,
        choice: HomeChoice,
        reply: Reply,
        took: Seconds,
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
                attempts=task.history.attempts,
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

    def _give_up_unplaced(self, task: _RequestTask) -> ClientAnswer:
        """Answer a request that no home node takes."""
        excluded = self._selector.explain(
            task.search,
            self._fleet.sample_servers(task.service),
            read_clock(),
        )
        for reason, count in excluded.items():
            metrics.EXCLUSIONS.labels(reason.value).inc(count)
        text = describe_exclusions(excluded)
        return self._give_up(task, GiveUpReason.NO_HOME, text)

    def _give_up(
        self, task: _RequestTask, stop: GiveUpReason, excluded: str = ""
    ) -> ClientAnswer:
        """Answer a request for which no further attempt is made."""
        history = task.history
        cause = history.reason.value if history.reason else "none-asked"
        reason = f"{stop.value}: {cause}"
        if excluded:
            reason += f" ({excluded})"
        if history.failed_answer is not None:
            answer = make_answer(history.failed_answer)
            return self._finish(Ending.ANSWERED, task.id, task, answer, reason)
        if history.may_have_run:
            answer = make_local_answer(
                502, task.id, f"outcome unknown: {cause}"
            )
            return self._finish(Ending.UNKNOWN, task.id, task, answer, reason)
        answer = make_rejection(
            task.id, f"not run: {cause}", task.search.service_time
        )
        return self._finish(Ending.REJECTED, task.id, task, answer, reason)

    def _time_out(
        self, task: _RequestTask, ended_by: AttemptEnd = AttemptEnd.TIMEOUT
    ) -> ClientAnswer:
        if task.offered_at is not None:
            at_work = Seconds(read_clock() - task.offered_at)
            task.history.observe_end(ended_by, at_work)
        answer = make_local_answer(504, task.id, "no answer in time")
        reason = task.history.reason.value if task.history.reason else ""
        return self._finish(Ending.TIMED_OUT, task.id, task, answer, reason)

    def _end_at_stop(self, task: _RequestTask) -> ClientAnswer:
        """Answer a request whose latest offer has no reply."""
        task.history.may_have_run |= task.offered_at is not None
        if task.history.may_have_run and task.history.failed_answer is None:
            return self._time_out(task, AttemptEnd.STOP)
        return self._give_up(task, GiveUpReason.STOPPING)

    def _finish(
        self,
        ending: Ending,
        request_id: str | None,
        task: _RequestTask | None,
        answer: ClientAnswer,
        reason: str = "",
    ) -> ClientAnswer:
        """Count and log the end of a request, and return its answer."""
        metrics.REQUESTS.labels(ending.value, str(answer.status)).inc()
        now = read_clock()
        stopped_for = None
        if self._stops_at is not None:
            stopped_for = Seconds(now - self._stops_at)
        # Those that a planned stop may have lost are few, and always logged.
        is_sampled = self._sampler.decide(RequestId(request_id or ""), now)
        if not is_sampled and (
            stopped_for is None or ending in _ANSWERED_OR_NOT_RUN
        ):
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
            line.attempts = task.history.attempts
            line.time_left_s = round(task.deadline - now, 4)
            line.took_s = round(now - task.request.received_at, 4)
            if ended_by := task.history.ended_by:
                line.ended_by = ended_by.value
                line.at_work_s = round(task.history.at_work, 4)
        if stopped_for is not None:
            line.since_stop_s = round(stopped_for, 4)
        _LOG.event(line)
        return answer
