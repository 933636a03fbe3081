"""Home node: the only way to the server on its host."""

import dataclasses
import math

import curio

from egretlever.core import RequestId, RouteId, Seconds, ServiceName, make_log
from egretlever.home import (
    Heartbeat,
    LocalServer,
    ServerTrust,
    SlotQueue,
    SlotTicket,
)
from egretlever.placement import (
    Answer,
    Failure,
    FailureReason,
    HomeCondition,
    HomeNotice,
    Offer,
    Refusal,
    RefusalReason,
    Reply,
    Trust,
)
from egretlever.platform import Bounds
from egretlever.relay._fleet import Neighbours
from egretlever.relay._interfaces import ServerRunner
from egretlever.relay._jobs import Job, JobTable
from egretlever.relay._notices import NoticeBoard
from egretlever.relay._repeats import RepeatCounter
from egretlever.relay._sampling import RequestSampler
from egretlever.relay._server_client import ServerClient, ServerResult
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("home")
# A request that has run for this many times the mean of its route is overdue.
# One in some hundred healthy requests takes longer.
_OVERDUE_FACTOR = 6.0
_MIN_OVERDUE = Seconds(0.4)
# Part of the time left that a request of a route without known times may take.
# The times of other routes say little about it.
_UNKNOWN_SHARE = 0.25
# Part of the usual time of its route after which a failed request has been
# worked on. On measured days 4 of 251 failures of healthy servers and 845 of
# 976 failures of gray ones came within 10 ms.
_WORKED_SHARE = 0.3
_DEADLINE_PASSED = 504  # status of a server that stopped at the deadline
_CHECK_INTERVAL = 0.05  # seconds between looks for expired requests
# In a planned stop, the mean time of a route times this has to be left.
_STOP_FACTOR = 3.0
# Waits are told for this many ranks; the last one holds for all further ranks.
_REPORTED_RANKS = 3
_NO_ROUTE = RouteId("")


class HomeNode:
    """Runs requests at the server of its host, each within a slot.

    Parameters
    ----------
    bounds : Bounds
        Bounds of repeated attempts.
    neighbours : Neighbours
        What is known of the other home nodes, which share the repeats.
    client : ServerRunner
        Runs requests at the server.

    Attributes
    ----------
    local : LocalServer
        The server as its heartbeats describe it.
    jobs : JobTable
        Requests by id.
    board : NoticeBoard
        Tells entry nodes nearby when the condition changes.
    """

    def __init__(
        self,
        bounds: Bounds,
        neighbours: Neighbours,
        client: ServerRunner,
    ) -> None:
        self._repeats = RepeatCounter(bounds, neighbours)
        self._repeats_running = 0
        self.local = LocalServer()
        self.jobs = JobTable(self._work)
        self.board = NoticeBoard(self._make_notice)
        self._rejects_from = Seconds(math.inf)
        self._ends_at = Seconds(math.inf)
        self._queue = SlotQueue(1)
        self._trust = ServerTrust()
        self._client = client
        self._turns: dict[RequestId, curio.Event] = {}
        self._expired: set[RequestId] = set()
        self._key: tuple[str, int] | None = None
        self._sampler = RequestSampler()

    def renew(self) -> None:
        """Take over the newest heartbeat of the server."""
        server = self.local.current
        if server is None:
            return
        key = (server.id, server.incarnation)
        if key != self._key:
            # Nothing learned of the server before speaks for this one.
            self._key = key
            self._trust = ServerTrust()
        self._queue.resize(server.slots)

    def reload(self, bounds: Bounds) -> None:
        """Take over bounds of repeated attempts; the same ones keep counts."""
        self._repeats.reload(bounds)

    def may_derive(self, service: ServiceName) -> bool:
        """Tell whether a request of the host may be a call of a repeated run.

        Calls of the server carry no mark, so each request for another service
        that begins on the host during such a run is taken for one.

        Parameters
        ----------
        service : ServiceName
            Service that is called.
        """
        server = self.local.current
        return (
            self._repeats_running > 0
            and server is not None
            and server.service != service
        )

    def describe(self, route: RouteId = _NO_ROUTE) -> HomeCondition:
        """Return the condition, as it rides on replies and notices.

        Parameters
        ----------
        route : RouteId, optional
            Route whose time is told too.
        """
        now = read_clock()
        return HomeCondition(
            waits=tuple(
                self._queue.forecast_wait(route, rank, now)
                for rank in range(_REPORTED_RANKS)
            ),
            free_slots=self._queue.count_free(),
            trust=self._trust.describe(),
            service_time=self._queue.service_time_,
            route_time=self._queue.find_time(route),
            closed_for=self._measure_closure(now),
            repeat_use=self._measure_repeat_use(),
        )

    def _measure_closure(self, now: Seconds) -> Seconds:
        """Return the time until the next trial of a broken server."""
        server = self.local.current
        if server is None or self._trust.describe() is not Trust.BROKEN:
            return Seconds(0.0)
        scarce = self._repeats.is_scarce(server.service, now)
        return self._trust.measure_closure(now, scarce)

    def _measure_repeat_use(self) -> float:
        server = self.local.current
        return self._repeats.measure_use(server.service) if server else 0.0

    def _make_notice(self) -> HomeNotice | None:
        server = self.local.current
        stops = read_clock() > self._rejects_from
        if server is None or server.draining or stops:
            # A server that leaves is asked less and less; a notice would make
            # entry nodes ask it at once.
            return None
        return HomeNotice(server.id, self.describe())

    async def _work(self, job: Job) -> Reply:
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
        return Refusal(reason, self.describe(offer.route))

    def _find_obstacle(self, offer: Offer) -> RefusalReason | None:
        server = self.local.current
        if server is None or server.service != offer.service:
            return RefusalReason.NO_SERVER
        if server.draining or self._is_stopping(offer):
            return RefusalReason.LEAVING
        return None

    def stop(self, rejects_from: Seconds, ends_at: Seconds) -> None:
        """Begin a planned stop.

        The server lives on, so it gets requests for as long as these can be
        finished before the process ends.

        Parameters
        ----------
        rejects_from : Seconds
            Reading of the clock from which offers are refused.
        ends_at : Seconds
            Reading of the clock at which every request has its reply.
        """
        self._rejects_from = rejects_from
        self._ends_at = ends_at

    def _is_stopping(self, offer: Offer) -> bool:
        now = read_clock()
        needed = _STOP_FACTOR * self._queue.estimate(offer.route)
        return now > self._rejects_from or now + needed > self._ends_at

    async def _run(self, job: Job) -> Reply:
        offer = job.offer
        obstacle = self._find_obstacle(offer)
        if obstacle is not None:
            return self._refuse(obstacle, offer)
        now = read_clock()
        if offer.repeated and not self._repeats.has_room(offer.service, now):
            return self._refuse(RefusalReason.NO_BUDGET, offer)
        may_test = offer.may_test
        trial = not self._trust.is_open(may_test, offer.forced)
        scarce = trial and self._repeats.is_scarce(offer.service, now)
        if not self._trust.decide(may_test, now, offer.forced, scarce):
            return self._refuse(RefusalReason.UNTRUSTED, offer)
        ticket = SlotTicket(
            offer.request_id,
            offer.route,
            offer.rank,
            job.deadline,
            offer.max_wait,
            offer.late,
        )
        if not self._queue.offer(ticket, now):
            return self._refuse(RefusalReason.BUSY, offer)
        if not await self._await_turn(ticket):
            return self._refuse(RefusalReason.EXPIRED, offer)
        answered = False
        try:
            # The server may have left or turned bad while the request waited.
            obstacle = self._find_obstacle(offer)
            if obstacle is None and not (
                trial or self._trust.is_open(may_test, offer.forced)
            ):
                obstacle = RefusalReason.UNTRUSTED
            if obstacle is None and not self._repeats.count_arrival(offer):
                obstacle = RefusalReason.NO_BUDGET
            if obstacle is not None:
                return self._refuse(obstacle, offer)
            self._repeats_running += offer.repeated
            try:
                result = await self._dispatch(job)
            finally:
                self._repeats_running -= offer.repeated
            answered = result.good is True
        finally:
            self._queue.finish(offer.request_id, read_clock(), answered)
            await self._start_ready()
        return dataclasses.replace(
            result.reply, condition=self.describe(offer.route)
        )

    async def _await_turn(self, ticket: SlotTicket) -> bool:
        """Wait for a slot; false when the request expired meanwhile."""
        turn = self._turns[ticket.request_id] = curio.Event()
        try:
            await self._start_ready()
            await turn.wait()
        except curio.CancelledError:
            if turn.is_set() and ticket.request_id not in self._expired:
                self._queue.finish(ticket.request_id, read_clock(), False)
                await self._start_ready()
            else:
                self._queue.withdraw(ticket.request_id)
            raise
        finally:
            del self._turns[ticket.request_id]
        expired = ticket.request_id in self._expired
        self._expired.discard(ticket.request_id)
        return not expired

    async def _start_ready(self) -> None:
        for ticket in self._queue.start_ready(read_clock()):
            await self._turns[ticket.request_id].set()
        await self.board.touch()

    async def expire_forever(self) -> None:
        """Refuse waiting requests whose answers would come too late."""
        while True:
            await curio.sleep(_CHECK_INTERVAL)
            for ticket in self._queue.expire(read_clock()):
                self._expired.add(ticket.request_id)
                await self._turns[ticket.request_id].set()

    async def _dispatch(self, job: Job) -> ServerResult:
        server = self.local.current
        assert server is not None  # checked by _find_obstacle
        offer = job.offer
        now = read_clock()
        left = Seconds(job.deadline - now)
        if left <= 0:
            return ServerResult(Refusal(RefusalReason.EXPIRED), None)
        overdue = self._find_overdue(offer, left)
        job.dispatched = True
        if offer.idempotent:
            result = await self._client.exchange(
                server, offer, Seconds(min(left, overdue))
            )
        else:
            result = await self._watch(server, offer, left, overdue)
        if _is_stopped_at_deadline(result.reply) and not (
            self._queue.find_time(offer.route) and overdue < left
        ):
            # The time that the client allowed says nothing about the server.
            result = dataclasses.replace(result, good=None)
        if result.good is not None and self._key == (
            server.id,
            server.incarnation,
        ):
            self._judge(offer, result, now)
        return result

    def _judge(
        self, offer: Offer, result: ServerResult, begun: Seconds
    ) -> None:
        """Take an outcome into the trust in the server."""
        end = read_clock()
        before = self._trust.describe()
        worked = self._has_worked(result.reply, offer, Seconds(end - begun))
        self._trust.observe(result.good is True, end, worked)
        after = self._trust.describe()
        if after is not before and self.local.current is not None:
            share = self._trust.failure_share_
            _LOG.event(
                logs_pb2.StateLine(
                    event="trust-changed",
                    subject=self.local.current.id,
                    outcome=after.value,
                    reason=(
                        f"failures {share:.2f} after {result.reply.name}"
                        f" of {offer.request_id}"
                    ),
                )
            )

    def _has_worked(self, reply: Reply, offer: Offer, took: Seconds) -> bool:
        """Tell whether an answer came after a usual time of work."""
        usual = self._queue.find_time(offer.route)
        return (
            isinstance(reply, Answer)
            and reply.status != _DEADLINE_PASSED
            and usual > 0
            and took >= _WORKED_SHARE * usual
        )

    def _find_overdue(self, offer: Offer, left: Seconds) -> Seconds:
        """Find the time at the server after which a request is overdue."""
        usual = self._queue.find_time(offer.route)
        known = _OVERDUE_FACTOR * (usual or self._queue.service_time_)
        if not usual:
            known = max(known, _UNKNOWN_SHARE * left)
        return Seconds(max(_MIN_OVERDUE, known))

    async def _watch(
        self, server: Heartbeat, offer: Offer, left: Seconds, overdue: Seconds
    ) -> ServerResult:
        """Run a request to its end, and doubt the server when it is overdue."""
        trust = self._trust
        doubted = False

        async def doubt() -> None:
            nonlocal doubted
            await curio.sleep(overdue)
            trust.observe_overdue(1)
            doubted = True

        watcher = await curio.spawn(doubt, daemon=True)
        try:
            return await self._client.exchange(server, offer, left)
        finally:
            await watcher.cancel()
            if doubted:
                trust.observe_overdue(-1)

    async def run(self, offer: Offer) -> Reply:
        """Run an offer of this node's own clients."""
        job = await self.jobs.submit(offer)
        try:
            await job.done.wait()
        except curio.CancelledError:
            await self.jobs.withdraw(job)
            raise
        return job.reply or Failure(FailureReason.HOME_LOST)

    async def maintain_forever(self) -> None:
        """Close idle connections to the server."""
        while True:
            await curio.sleep(1.0)
            await self._client.expire(read_clock())

    async def close(self) -> None:
        """Close the connections to the server."""
        await self._client.close()


def make_home_node(bounds: Bounds, neighbours: Neighbours) -> HomeNode:
    """Make a home node that reaches its server over HTTP.

    Parameters
    ----------
    bounds : Bounds
        Bounds of repeated attempts.
    neighbours : Neighbours
        What is known of the other home nodes, which share the repeats.
    """
    return HomeNode(bounds, neighbours, ServerClient())


def _is_stopped_at_deadline(reply: Reply) -> bool:
    return isinstance(reply, Answer) and reply.status == _DEADLINE_PASSED
