"""Home node: the only access to the server on its host."""

import dataclasses
import functools
import math
from collections.abc import Awaitable, Callable

import curio

from egretlever.core import RouteId, Seconds, ServiceName, make_log
from egretlever.home import (
    LocalServer,
    SlotTicket,
    make_attempt_limits,
)
from egretlever.memory import ByteAccount, ProcessLimits, make_byte_account
from egretlever.placement import (
    Failure,
    FailureReason,
    HomeCondition,
    HomeNotice,
    Offer,
    OverdueReport,
    Refusal,
    RefusalReason,
    Reply,
    Trust,
)
from egretlever.platform import Bounds
from egretlever.relay._attempts import run_attempt
from egretlever.relay._fleet import Neighbours
from egretlever.relay._held_bytes import AnswerBuffer, ServerLoad
from egretlever.relay._interfaces import OfferObserver, ServerRunner
from egretlever.relay._jobs import Job, JobTable
from egretlever.relay._notices import NoticePublisher
from egretlever.relay._outcomes import is_stopped_at_deadline, is_unanswered
from egretlever.relay._retries import RetryCounter
from egretlever.relay._sampling import RequestSampler
from egretlever.relay._server_client import ServerClient, ServerResult
from egretlever.relay._server_health import ServerHealth
from egretlever.relay._server_runs import ServerRuns
from egretlever.relay._shares import QueueOutcome, ShareFinder
from egretlever.relay._slot_waiting import SlotWaiter
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("home")
# Waits are reported for this many ranks; the last one also covers all further
# ranks.
_REPORTED_RANKS = 3
_NO_ROUTE = RouteId("")
# Outcome of an overdue request that another server has answered, or that its
# client has given up.
_WITHDRAWN_OVERDUE = ServerResult(Failure(FailureReason.OVERDUE), False)


async def _ignore() -> None:
    """Do nothing; default of the callbacks."""


def _has_granted_retry(job: Job) -> bool:
    """Tell whether a retry was paid for while the job was running."""
    return job.overdue is not None and job.overdue.retry_granted


class HomeNode:
    """Runs requests at the server of its host, each within a slot.

    Parameters
    ----------
    bounds : Bounds
        Limits of the retry budget.
    neighbours : Neighbours
        Reports of the other home nodes, which share the retry budget.
    client : ServerRunner
        Runs requests at the server.
    first_start : bool, default=False
        Whether the whole fleet starts for the first time.
    report_leaving : callable, optional
        Coroutine function that is called when the server says in its answers
        that it leaves.
    account : ByteAccount, optional
        Grants the bytes that the process holds; by default the node has one of
        its own.

    Attributes
    ----------
    local : LocalServer
        State of the server according to its heartbeats.
    jobs : JobTable
        Requests by id.
    slots : SlotWaiter
        Requests that wait for a slot of the server.
    shares : ShareFinder
        Customers that share the server when it is full.
    notice_publisher : NoticePublisher
        Notifies entry nodes of the same failure domain when the condition
        changes.
    """

    def __init__(
        self,
        bounds: Bounds,
        neighbours: Neighbours,
        client: ServerRunner,
        first_start: bool = False,
        report_leaving: Callable[[], Awaitable[None]] = _ignore,
        account: ByteAccount | None = None,
    ) -> None:
        account = account or make_byte_account(ProcessLimits())
        self._retries = RetryCounter(bounds, neighbours, first_start)
        self._server_runs = ServerRuns()
        self.local = LocalServer()
        self.jobs = JobTable(self._run_logged, account)
        self.notice_publisher = NoticePublisher(self._make_notice)
        self._rejects_from = Seconds(math.inf)
        self._ends_at = Seconds(math.inf)
        self.slots = SlotWaiter(self.notice_publisher.mark_changed)
        self._queue = self.slots.queue
        self.shares = ShareFinder()
        self._health = ServerHealth(self.local, self._queue, report_leaving)
        self._client = client
        # The server shares the host's memory with this process.
        self._server_load = ServerLoad(account.total // 2)
        self._sampler = RequestSampler()

    def apply_heartbeat(self) -> None:
        """Apply the latest heartbeat of the server."""
        server = self.local.current
        if server is None:
            return
        if self._health.identify(server):
            self._retries.identify(server.id)
        self._queue.resize(server.slots)

    def reload(self, bounds: Bounds) -> None:
        """Apply limits of the retry budget; the counts are kept."""
        self._retries.reload(bounds)

    def estimate_derived_share(
        self, service: ServiceName, expires_at: Seconds
    ) -> float:
        """Return the probability that a request is a call of a retried one.

        Nested calls of the server are not marked.

        Parameters
        ----------
        service : ServiceName
            Called service.
        expires_at : Seconds
            Clock time at which the request expires for its sender. A nested
            call expires with the request that made it, or sooner.
        """
        server = self.local.current
        if server is None or server.service == service:
            return 0.0
        return self._server_runs.estimate_retried_share(expires_at)

    def observe_call_without_budget(self, expires_at: Seconds) -> None:
        """Record that a nested call of a retried request found no budget.

        Retries that would make such calls are refused for a while: they would
        fail with their calls.

        Parameters
        ----------
        expires_at : Seconds
            Clock time at which the call expires.
        """
        self._server_runs.pause(expires_at, read_clock())

    def describe(self, route: RouteId = _NO_ROUTE) -> HomeCondition:
        """Return the condition that is attached to replies and notices.

        Parameters
        ----------
        route : RouteId, optional
            Route whose mean service time is included.
        """
        now = read_clock()
        return HomeCondition(
            waits=tuple(
                self._queue.forecast_wait(route, rank, now)
                for rank in range(_REPORTED_RANKS)
            ),
            free_slots=self._queue.count_free(now),
            trust=self._health.circuit_breaker.describe(),
            service_time=self._queue.service_time_,
            route_time=self._queue.find_mean_service_time(route),
            time_to_trial=self._measure_time_to_trial(now),
        )

    def _measure_time_to_trial(self, now: Seconds) -> Seconds:
        """Return the time until a broken server may get its next trial.

        A trial is a request that is let through to a broken server, as a
        half-open circuit breaker does.
        """
        server = self.local.current
        if (
            server is None
            or self._health.circuit_breaker.describe() is not Trust.BROKEN
        ):
            return Seconds(0.0)
        low_retry_budget = self._retries.has_low_retry_budget(
            server.service, now
        )
        return self._health.circuit_breaker.measure_time_to_trial(
            now, low_retry_budget
        )

    def _make_notice(self) -> HomeNotice | None:
        server = self.local.current
        stops = read_clock() > self._rejects_from
        if server is None or server.draining or stops:
            # Offers to a leaving server decrease as entry nodes learn of it. A
            # notice with free slots would attract new offers.
            return None
        return HomeNotice(server.id, self.describe())

    async def _run_logged(self, job: Job) -> Reply:
        begun = read_clock()
        reply = await self._run(job)
        now = read_clock()
        if self._sampler.decide(job.offer.request_id, now):
            self._log(job, reply, Seconds(now - begun))
        return reply

    def _log(self, job: Job, reply: Reply, took: Seconds) -> None:
        server = self.local.current
        condition = reply.condition or HomeCondition()
        wait = condition.find_wait(job.offer.rank)
        _LOG.event(
            logs_pb2.RequestLine(
                event="ran" if job.dispatched else "refused",
                request=job.offer.request_id,
                route=job.offer.route,
                server="" if server is None else server.id,
                rank=job.offer.rank,
                customer=job.offer.customer,
                age_s=round(job.offer.age, 4),
                outcome=reply.name,
                max_wait_s=round(job.offer.max_wait, 4),
                time_left_s=round(job.deadline - read_clock(), 4),
                wait_s=round(wait, 4),
                free_slots=condition.free_slots,
                trust=condition.trust.value,
                took_s=round(took, 4),
            )
        )

    def _refuse(self, reason: RefusalReason, offer: Offer) -> Refusal:
        if reason is RefusalReason.NO_BUDGET:
            self._retries.count_refusal()
        return Refusal(reason, self.describe(offer.route))

    def _find_refusal_reason(self, job: Job) -> RefusalReason | None:
        server = self.local.current
        if server is None or server.service != job.offer.service:
            return RefusalReason.NO_SERVER
        if server.draining or self._may_outlast_stop(job):
            return RefusalReason.LEAVING
        return None

    def stop(self, rejects_from: Seconds, ends_at: Seconds) -> None:
        """Begin a planned stop.

        The server keeps running, so until `rejects_from` it gets requests that
        expire before this process ends. Whether others would end sooner is not
        known: some take far longer than usual.

        Parameters
        ----------
        rejects_from : Seconds
            Clock time from which offers are refused.
        ends_at : Seconds
            Clock time by which every request must have its reply.
        """
        self._rejects_from = rejects_from
        self._ends_at = ends_at

    async def report_outlasting(self) -> None:
        """Report running requests that a planned stop could end.

        Their entry nodes seek other servers while the requests go on here.
        """
        for job in self.jobs.list_running():
            if job.dispatched and job.deadline > self._ends_at:
                await self._report_overdue(job)

    def _may_outlast_stop(self, job: Job) -> bool:
        """Tell whether a planned stop could end a request at the server."""
        return read_clock() > self._rejects_from or job.deadline > self._ends_at

    async def _run(self, job: Job) -> Reply:
        offer = job.offer
        reason = self._find_refusal_reason(job)
        if reason is not None:
            return self._refuse(reason, offer)
        now = read_clock()
        if not self._retries.has_room(
            offer, now
        ) or self._server_runs.is_paused(offer, now):
            return self._refuse(RefusalReason.NO_BUDGET, offer)
        may_be_trial = offer.may_be_trial
        trial = not self._health.circuit_breaker.allows_without_trial(
            may_be_trial, offer.forced
        )
        low_retry_budget = trial and self._retries.has_low_retry_budget(
            offer.service, now
        )
        if not self._health.circuit_breaker.decide(
            may_be_trial, now, offer.forced, low_retry_budget
        ):
            return self._refuse(RefusalReason.UNTRUSTED, offer)
        ticket = SlotTicket(
            offer.request_id,
            offer.route,
            offer.rank,
            job.deadline,
            offer.max_wait,
            offer.late,
            self.shares.find(offer, now),
        )
        if not self._queue.offer(ticket, now):
            self.shares.observe(offer, QueueOutcome.REFUSED)
            return self._refuse(RefusalReason.BUSY, offer)
        if not await self.slots.wait(ticket):
            self.shares.observe(offer, QueueOutcome.EXPIRED)
            return self._refuse(RefusalReason.EXPIRED, offer)
        self.shares.observe(offer, QueueOutcome.STARTED)
        answered = unanswered = False
        begun = read_clock()
        try:
            # The server may have left or lost trust while the request waited.
            reason = self._find_refusal_reason(job)
            if reason is None and not (
                trial
                or self._health.circuit_breaker.allows_without_trial(
                    may_be_trial, offer.forced
                )
            ):
                reason = RefusalReason.UNTRUSTED
            if reason is None and job.detached_at is not None:
                # Its entry node has closed the connection, perhaps long ago if
                # this process was paused, and may have given the request up.
                reason = RefusalReason.FENCED
            if reason is None and not self._server_load.has_room(
                len(offer.body)
            ):
                reason = RefusalReason.BUSY
            if reason is None and not self._retries.count_arrival(offer, now):
                reason = RefusalReason.NO_BUDGET
            if reason is not None:
                return self._refuse(reason, offer)
            unanswered = True  # unless it ends otherwise than by a withdrawal
            self._server_load.begin(len(offer.body))
            try:
                result = await self._dispatch(job)
            finally:
                self._server_load.end(len(offer.body))
            unanswered = is_unanswered(result.reply)
            if not isinstance(result.reply, Failure):
                # Without an answer, the server may still be at work on it.
                self._server_runs.end(offer.request_id)
            answered = result.good is True
        finally:
            await self.slots.finish(offer.request_id, answered, unanswered)
        reply = result.reply
        if not isinstance(reply, Refusal):
            ran = Seconds(read_clock() - begun)
            reply = dataclasses.replace(reply, ran=ran)
        return dataclasses.replace(
            reply,
            condition=self.describe(offer.route),
            retry_granted=not _has_granted_retry(job)
            and self._retries.grant(offer, result.reply, job.deadline),
        )

    async def _dispatch(self, job: Job) -> ServerResult:
        server = self.local.current
        assert server is not None  # checked by _find_refusal_reason
        offer = job.offer
        now = read_clock()
        left = Seconds(job.deadline - now)
        if left <= 0:
            return ServerResult(Refusal(RefusalReason.EXPIRED), None)
        time = self._queue.find_service_time(offer.route)
        known = time.answered > 0
        limits = make_attempt_limits(
            offer, left, time, self._queue.service_time_
        )
        job.observe_dispatch(server)
        self._server_runs.begin(offer, now, job.deadline)

        result = await run_attempt(
            self._client,
            server,
            offer,
            limits,
            self._health.circuit_breaker,
            functools.partial(self._report_overdue, job),
        )
        if is_unanswered(result.reply) and not (
            limits.judges_server
            and (known or not is_stopped_at_deadline(result.reply))
        ):
            # The request's deadline was too short to judge the server by it.
            result = dataclasses.replace(result, good=None)
        if result.signals is not None and self._health.is_current(server):
            await self._health.observe_signals(result.signals)
        if result.good is not None and self._health.is_current(server):
            self._health.observe(offer, result, now)
        return result

    async def _report_overdue(self, job: Job) -> None:
        """Let the entry node seek another server for a running request."""
        offer = job.offer
        if job.overdue is not None or not (
            offer.idempotent and offer.retriable
        ):
            return
        ran = Seconds(read_clock() - job.dispatched_at)
        granted = self._retries.grant(
            offer, _WITHDRAWN_OVERDUE.reply, job.deadline
        )
        await job.observe_overdue(
            OverdueReport(ran, granted, self.describe(offer.route))
        )

    async def run(
        self, offer: Offer, observer: OfferObserver | None = None
    ) -> Reply:
        """Run an offer of the entry node in the same process.

        Parameters
        ----------
        offer : Offer
            The request.
        observer : OfferObserver, optional
            Learns how the offer proceeds.
        """
        job = await self.jobs.submit(offer, observer=observer)
        try:
            await job.done.wait()
        except curio.CancelledError:
            await self.withdraw(job)
            raise
        return job.reply or Failure(FailureReason.HOME_LOST)

    async def withdraw(self, job: Job) -> None:
        """Cancel a job that another server has answered, or whose client left.

        An overdue one counts as a failure of the server.
        """
        if (
            job.overdue is not None
            and job.ended_at is None
            and job.server is not None
            and self._health.is_current(job.server)
        ):
            self._health.observe(job.offer, _WITHDRAWN_OVERDUE, read_clock())
        await self.jobs.withdraw(job)

    async def maintain_forever(self) -> None:
        """Close idle connections to the server, and report retries."""
        while True:
            await curio.sleep(1.0)
            await self._client.expire(read_clock())
            server = self.local.current
            if server is not None:
                self._retries.report(server.id, server.service)

    async def close(self) -> None:
        """Close the connections to the server."""
        await self._client.close()


def make_home_node(
    bounds: Bounds,
    neighbours: Neighbours,
    first_start: bool = False,
    report_leaving: Callable[[], Awaitable[None]] = _ignore,
    account: ByteAccount | None = None,
) -> HomeNode:
    """Make a home node that reaches its server over HTTP.

    Parameters
    ----------
    bounds : Bounds
        Limits of the retry budget.
    neighbours : Neighbours
        Reports of the other home nodes, which share the retry budget.
    first_start : bool, default=False
        Whether the whole fleet starts for the first time.
    report_leaving : callable, optional
        Coroutine function that is called when the server says in its answers
        that it leaves.
    account : ByteAccount, optional
        Grants the bytes that the process holds.
    """
    account = account or make_byte_account(ProcessLimits())
    client = ServerClient(AnswerBuffer(account))
    return HomeNode(
        bounds, neighbours, client, first_start, report_leaving, account
    )
