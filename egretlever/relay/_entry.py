"""Entry node: forwards each client request of its host to a home node."""

import random

import curio

from egretlever.core import (
    Seconds,
    ServiceName,
    make_log,
)
from egretlever.placement import (
    Answer,
    Configuration,
    Failure,
    FailureReason,
    Refusal,
    RefusalReason,
    Reply,
    Stage,
    choose_retry_after,
)
from egretlever.platform import headers
from egretlever.relay import _metrics as metrics
from egretlever.relay._client_messages import ClientAnswer, ClientRequest
from egretlever.relay._endings import EndingLog
from egretlever.relay._fleet import FleetView
from egretlever.relay._home import HomeNode
from egretlever.relay._intake import IntakeRefusal, RequestIntake
from egretlever.relay._interfaces import (
    UNLIMITED_ADMISSION,
    CustomerAdmission,
    OfferSender,
)
from egretlever.relay._offers import OfferDispatcher
from egretlever.relay._outcomes import (
    AttemptEnd,
    Ending,
    GiveUpReason,
    describe_exclusions,
    is_failed,
    make_answer,
    make_local_answer,
    make_rejection,
    make_throttled_answer,
)
from egretlever.relay._request_task import (
    RETURN_MARGIN,
    PlannedEnd,
    RequestTask,
    RunningOffer,
)
from egretlever.relay._sampling import RequestSampler
from egretlever.transport import RunningRequests, StopTimeout, read_clock

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
    admission : CustomerAdmission, optional
        Keeps customers within their allotments; by default there are none.

    Attributes
    ----------
    intake : RequestIntake
        Checks requests against the configuration in force.
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
        admission: CustomerAdmission = UNLIMITED_ADMISSION,
    ) -> None:
        self._fleet = fleet
        self._home = home
        self._dispatcher = OfferDispatcher(service, fleet, home, links)
        self.running = RunningRequests()
        self._sampler = RequestSampler()
        self._planned_end = PlannedEnd()
        self._endings = EndingLog(self._sampler, self._planned_end)
        self._admission = admission
        self._rng = rng
        self.intake = RequestIntake(
            home, self._dispatcher.times, self._planned_end, rng
        )

    def configure(self, configuration: Configuration) -> bool:
        """Apply a configuration; false when it is not newer."""
        applied = self.intake.configure(configuration)
        self._endings.version = self.intake.version
        return applied

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force."""
        return self.intake.version is not None

    def stop(self, rejects_from: Seconds, ends_at: Seconds) -> None:
        """Begin a planned stop.

        Parameters
        ----------
        rejects_from : Seconds
            Clock time from which new requests are rejected.
        ends_at : Seconds
            Clock time by which every request must have its answer.
        """
        self._planned_end.begin(read_clock(), rejects_from, ends_at)

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
        if request.received_at > self._planned_end.rejects_from:
            return self._reject(found, "the node stops", Seconds(0.0))
        task = self.intake.check(request)
        if isinstance(task, IntakeRefusal):
            return self._endings.finish(
                task.ending, found, None, task.answer, task.reason
            )
        try:
            async with curio.timeout_after(task.answer_by - read_clock()):
                return await self._serve_admitted(task)
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
        return self._endings.finish(
            Ending.NOT_READY, request_id, None, answer, text
        )

    async def _serve_admitted(self, task: RequestTask) -> ClientAnswer:
        """Serve a request that its customer's allotment has room for."""
        if task.customer is None:
            return await self._serve(task)
        asked_at = read_clock()
        wait = await self._admission.admit(
            task.customer, asked_at, task.answer_by
        )
        if wait is not None:
            answer = make_throttled_answer(task.id, wait)
            return self._endings.finish(
                Ending.OVER_ALLOTMENT, task.id, task, answer, "over allotment"
            )
        try:
            return await self._serve(task)
        finally:
            if not (task.ran or task.offers):
                self._admission.release(task.customer, asked_at, read_clock())

    async def _serve(self, task: RequestTask) -> ClientAnswer:
        try:
            while (answer := await self._proceed(task)) is None:
                await self._await_change(task)
            return answer
        finally:
            for offer in task.offers:
                await offer.withdraw()

    async def _proceed(self, task: RequestTask) -> ClientAnswer | None:
        """Handle replies and overdue attempts, and make offers.

        Returns
        -------
        ClientAnswer or None
            None while replies are awaited.
        """
        for offer in task.take_ended():
            reply = await offer.get_reply()
            if isinstance(reply, Answer) and not is_failed(reply):
                return self._finish_answered(task, offer, reply)
            self._observe_failure(task, offer, reply)
        if not task.offers:
            return await self._offer_next(task)
        if self._may_follow_up(task):
            await self._follow_up(task)
        return None

    async def _await_change(self, task: RequestTask) -> None:
        pause = task.follow_ups.measure_pause(read_clock())
        if pause and task.find_overdue() is not None:
            await curio.ignore_after(pause, task.changed.wait)
        else:
            await task.changed.wait()
        task.changed.clear()

    async def _offer_next(self, task: RequestTask) -> ClientAnswer | None:
        """Make the next offer of a request without one, or give it up."""
        reason = self._find_give_up_reason(task)
        if reason is not None:
            if reason is GiveUpReason.NO_BUDGET and task.derived:
                self._home.observe_call_without_budget(task.expires_at)
            return self._give_up(task, reason)
        if not await self._dispatcher.start(task):
            return self._give_up_unplaced(task)
        return None

    def _find_give_up_reason(self, task: RequestTask) -> GiveUpReason | None:
        history = task.history
        if task.search.budget_refusals >= _MAX_BUDGET_REFUSALS:
            return GiveUpReason.NO_BUDGET
        if history.may_have_run and not task.route.idempotent:
            return GiveUpReason.MAY_HAVE_RUN
        if history.attempts >= task.route.max_attempts:
            return GiveUpReason.ATTEMPTS_USED
        # One that may have run can only gain by another attempt.
        if not (history.may_have_run or self._may_finish(task)):
            return GiveUpReason.STOPPING
        return None

    def _may_finish(self, task: RequestTask) -> bool:
        """Tell whether an attempt is likely to end before a planned stop."""
        factor = (
            _IDEMPOTENT_STOP_TIME_FACTOR
            if task.route.idempotent
            else _STOP_TIME_FACTOR
        )
        needed = factor * self._dispatcher.times.estimate_usual(task.route)
        return read_clock() + needed <= self._planned_end.ends_at

    def _may_follow_up(self, task: RequestTask) -> bool:
        """Tell whether another server may be asked beside an overdue one."""
        if task.find_overdue() is None:
            return False
        now = read_clock()
        needed = self._dispatcher.times.estimate_retry_time(
            task.route, task.measure_unanswered(now)
        )
        return (
            task.count_attempts() < task.route.max_attempts
            and task.search.budget_refusals < _MAX_BUDGET_REFUSALS
            and now + needed <= task.answer_by - RETURN_MARGIN
            and task.follow_ups.is_due(now)
        )

    async def _follow_up(self, task: RequestTask) -> None:
        """Offer a request whose attempt is overdue to a further home node."""
        overdue = task.find_overdue()
        assert overdue is not None  # checked by _may_follow_up
        assert overdue.overdue is not None
        server = overdue.choice.server
        if server.id not in task.search.excluded:
            task.search.exclude_failed(server.id)
            self._fleet.selector.observe_condition(
                server, overdue.overdue.condition, overdue.overdue_at
            )
            if overdue.overdue.retry_granted:
                task.granted_until = Seconds(
                    overdue.overdue_at + _GRANT_LIFETIME
                )
        if not await self._dispatcher.start_alongside(task):
            task.follow_ups.observe_unplaced(read_clock())
            task.search.begin_stage(Stage.ON_TIME)

    def _observe_overtaken(
        self, task: RequestTask, offer: RunningOffer
    ) -> None:
        """Record an overdue offer of a request that another server answers."""
        now = read_clock()
        failure = Failure(FailureReason.OVERDUE, ran=offer.measure_run(now))
        self._log_reply(task, offer, failure)
        self._dispatcher.times.observe(task.route, failure, now)

    def _finish_answered(
        self, task: RequestTask, offer: RunningOffer, reply: Answer
    ) -> ClientAnswer:
        for other in task.list_overdue():
            if other is not offer:
                self._observe_overtaken(task, other)
        self._log_reply(task, offer, reply)
        task.answered = True
        self._dispatcher.times.observe(task.route, reply, read_clock())
        return self._endings.finish(
            Ending.ANSWERED, task.id, task, make_answer(reply)
        )

    def _observe_failure(
        self, task: RequestTask, offer: RunningOffer, reply: Reply
    ) -> None:
        """Record a reply that is no successful answer."""
        now = read_clock()
        server_id = offer.choice.server.id
        self._log_reply(task, offer, reply)
        attempts = task.history.attempts
        task.history.observe(reply, offer.measure_age(now))
        if not isinstance(reply, Refusal):
            task.unanswered_time = max(
                task.unanswered_time,
                self._dispatcher.times.observe(task.route, reply, now),
            )
        refused = reply.reason if isinstance(reply, Refusal) else None
        if refused is RefusalReason.EXPIRED:
            task.search.end_stage()
        elif refused is RefusalReason.BUSY:
            self.intake.observe_busy(task, offer.choice, reply.condition)
        elif refused is RefusalReason.NO_BUDGET:
            task.search.budget_refusals += 1
            task.search.excluded.add(server_id)
        if task.history.attempts > attempts:
            task.search.exclude_failed(server_id)
            task.granted_until = (
                Seconds(now + _GRANT_LIFETIME) if reply.retry_granted else None
            )

    def _log_reply(
        self, task: RequestTask, offer: RunningOffer, reply: Reply
    ) -> None:
        if self._sampler.decide(task.id, read_clock()):
            self._dispatcher.log_reply(task, offer, reply)

    def _give_up_unplaced(self, task: RequestTask) -> ClientAnswer:
        """Answer a request that no home node takes."""
        text = describe_exclusions(self._dispatcher.find_exclusions(task))
        return self._give_up(task, GiveUpReason.NO_HOME, text)

    def _give_up(
        self, task: RequestTask, stop: GiveUpReason, excluded: str = ""
    ) -> ClientAnswer:
        """Answer a request for which no further attempt is made."""
        history = task.history
        cause = history.reason.value if history.reason else "none-asked"
        reason = f"{stop.value}: {cause}"
        if excluded:
            reason += f" ({excluded})"
        if history.failed_answer is not None:
            answer = make_answer(history.failed_answer)
            return self._endings.finish(
                Ending.ANSWERED, task.id, task, answer, reason
            )
        if history.may_have_run:
            answer = make_local_answer(
                502, task.id, f"outcome unknown: {cause}"
            )
            return self._endings.finish(
                Ending.UNKNOWN, task.id, task, answer, reason
            )
        answer = self._reject_for_now(task, f"not run: {cause}")
        return self._endings.finish(
            Ending.REJECTED, task.id, task, answer, reason
        )

    def _reject_for_now(self, task: RequestTask, text: str) -> ClientAnswer:
        needed = task.search.service_time
        if not self.intake.has_customers:
            return make_rejection(task.id, text, needed)
        wait = choose_retry_after(
            self._dispatcher.estimate_room(task),
            Seconds(task.deadline - read_clock()),
            Seconds(needed + RETURN_MARGIN),
            self._rng,
        )
        metrics.RETRY_AFTER_SECONDS.observe(wait)
        return make_rejection(task.id, text, wait, exact=True)

    def _time_out(self, task: RequestTask) -> ClientAnswer:
        answer = self._find_ready_answer(task)
        if answer is not None:
            return answer
        self._observe_ends(task, AttemptEnd.TIMEOUT)
        return self._answer_timeout(task)

    def _answer_timeout(self, task: RequestTask) -> ClientAnswer:
        answer = make_local_answer(504, task.id, "no answer in time")
        reason = task.history.reason.value if task.history.reason else ""
        return self._endings.finish(
            Ending.TIMED_OUT, task.id, task, answer, reason
        )

    def _end_at_stop(self, task: RequestTask) -> ClientAnswer:
        """Answer a request whose offers have no reply."""
        answer = self._find_ready_answer(task)
        if answer is not None:
            return answer
        self._observe_ends(task, AttemptEnd.STOP)
        task.history.may_have_run |= bool(task.offers)
        if task.history.may_have_run and task.history.failed_answer is None:
            return self._answer_timeout(task)
        return self._give_up(task, GiveUpReason.STOPPING)

    def _find_ready_answer(self, task: RequestTask) -> ClientAnswer | None:
        """Return an answer that came in the turn in which time ran out."""
        for offer in task.offers:
            reply = offer.reply
            if isinstance(reply, Answer) and not is_failed(reply):
                return self._finish_answered(task, offer, reply)
        return None

    def _observe_ends(self, task: RequestTask, ended_by: AttemptEnd) -> None:
        """Record what has ended the offers that have no reply."""
        for offer in task.offers:
            age = offer.measure_age(read_clock())
            task.history.observe_end(ended_by, age)
