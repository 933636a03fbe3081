"""Deduplication of requests at a home node, by request id."""

import collections
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from egretlever.core import RequestId, Seconds, make_log
from egretlever.home import Heartbeat
from egretlever.memory import ByteAccount, ProcessLimits, make_byte_account
from egretlever.placement import (
    Answer,
    Failure,
    FailureReason,
    Offer,
    OverdueReport,
    Refusal,
    RefusalReason,
    Reply,
)
from egretlever.relay._held_bytes import KeptAnswers
from egretlever.relay._interfaces import OfferObserver
from egretlever.transport import read_clock

_LOG = make_log("home")
# An entry node that lost its connection reconnects within this time, unless its
# client has left. Clients expect their work to be cancelled within 0.5 s.
_REATTACH_TIMEOUT = Seconds(0.4)
# Fences and replies are kept for this time, so that a resumed request gets its
# reply and is not run twice. For orders it begins at the deadline, since they
# may be resumed until then.
_REPLY_RETENTION = Seconds(10.0)
# Bodies of answers are kept up to this many bytes in all, the latest ones. A
# request that is resumed later gets no answer, and is not run again.
_MAX_KEPT_BYTES = 16 << 20
_MAX_KEPT_SHARE = 0.125  # of the process's account
# A reply stays at least for this time, in which it is sent. Beyond twice the
# bound it stays only until it is passed on.
_MIN_REPLY_RETENTION = Seconds(0.5)
_MIN_FULL_RETENTION = Seconds(0.05)
# Seconds between checks for detached jobs, while there are any, and for old
# replies and fences.
_DETACHED_CHECK_INTERVAL = 0.1
_RETENTION_CHECK_INTERVAL = 1.0


@dataclasses.dataclass(slots=True)
class Job:
    """One request at a home node.

    Parameters
    ----------
    offer : Offer
        The request; without its body at the end.
    deadline : Seconds
        Clock time at which the client's or the route's timeout ends.

    Attributes
    ----------
    dispatched : bool
        Whether it was sent to the server.
    dispatched_at : Seconds
        Clock time at which it was.
    server : Heartbeat or None
        The server.
    reply : Answer, Refusal or Failure
        Set before `done`.
    done : curio.Event
        Set at the end.
    detached_at : Seconds or None
        Clock time at which the connection of its entry node was lost.
    ended_at : Seconds or None
        Clock time at which the reply was known.
    task : curio.Task
        Runs the job.
    owner : object
        Connection that gets the reply: the latest one that offered the request.
    observer : OfferObserver or None
        Learns how the job proceeds, for the same connection.
    overdue : OverdueReport or None
        Report that the server takes far longer than usual.
    """

    offer: Offer
    deadline: Seconds
    dispatched: bool = False
    dispatched_at: Seconds = Seconds(0.0)
    server: Heartbeat | None = None
    reply: Reply | None = None
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    detached_at: Seconds | None = None
    ended_at: Seconds | None = None
    task: Any = None
    owner: object = None
    observer: OfferObserver | None = None
    overdue: OverdueReport | None = None

    def observe_dispatch(self, server: Heartbeat) -> None:
        """Record that the request is sent to the server."""
        self.dispatched = True
        self.dispatched_at = read_clock()
        self.server = server

    async def observe_overdue(self, report: OverdueReport) -> None:
        """Record that the server takes far longer than usual."""
        self.overdue = report
        if self.observer is not None:
            await self.observer.observe_overdue(report)

    async def replace_observer(self, observer: OfferObserver | None) -> None:
        """Report to another observer, also what the former one may not know."""
        self.observer = observer
        if observer is not None and self.overdue is not None:
            await observer.observe_overdue(self.overdue)


class JobTable:
    """Runs each request id at most once, however often it is offered.

    Parameters
    ----------
    run : callable
        Coroutine function that runs a job and returns its reply.
    account : ByteAccount, optional
        Counts the answers that are kept.
    """

    def __init__(
        self,
        run: Callable[[Job], Awaitable[Reply]],
        account: ByteAccount | None = None,
    ) -> None:
        account = account or make_byte_account(ProcessLimits())
        self._run = run
        self._jobs: dict[RequestId, Job] = {}
        self._fences: dict[RequestId, Seconds] = {}
        # Jobs whose answers are kept, the oldest first.
        self._kept: collections.deque[Job] = collections.deque()
        self._kept_bytes = 0
        self._most_kept_bytes = min(
            _MAX_KEPT_BYTES, int(account.total * _MAX_KEPT_SHARE)
        )
        self._kept_answers = KeptAnswers(account)
        self._has_detached = curio.Event()

    async def submit(
        self,
        offer: Offer,
        owner: object = None,
        observer: OfferObserver | None = None,
    ) -> Job:
        """Start the job of an offer, or return the existing one.

        A resumed offer whose id is unknown was lost in transit. Its id is
        fenced, so that a delayed first copy is not run. A refused request may
        be offered again with other conditions, unless it was sent to the
        server: a copy of the server's refusal could precede the second answer.
        """
        job = self._jobs.get(offer.request_id)
        if job is not None and (
            offer.resumed
            or job.dispatched
            or not isinstance(job.reply, Refusal)
        ):
            job.detached_at = None
            job.owner = owner
            await job.replace_observer(observer)
            return job
        now = read_clock()
        job = Job(offer, min(Seconds(now + offer.time_left), offer.expires_at))
        if offer.resumed or offer.request_id in self._fences:
            self._fences[offer.request_id] = now
            job.reply = Refusal(RefusalReason.FENCED)
            job.ended_at = now
            await job.done.set()
            return job
        self._jobs[offer.request_id] = job
        job.owner = owner
        job.observer = observer
        job.task = await curio.spawn(self._run_job, job, daemon=True)
        return job

    async def _run_job(self, job: Job) -> None:
        try:
            job.reply = await self._run(job)
        except curio.CancelledError:
            # The entry node withdrew the request, or its connection was lost
            # and it may resume it. The request may already have been sent.
            job.reply = (
                Failure(FailureReason.CUT_OFF)
                if job.dispatched
                else Refusal(RefusalReason.EXPIRED)
            )
        finally:
            job.ended_at = read_clock()
            # Only the reply is needed from now on.
            job.offer = dataclasses.replace(job.offer, body=b"")
            # The observer of an entry node in this process holds the reply too.
            job.observer = None
            await job.done.set()
            self._keep(job)

    def _keep(self, job: Job) -> None:
        """Keep a reply, and drop old ones that take too much memory."""
        assert job.ended_at is not None  # set at the end
        if isinstance(job.reply, Answer):
            self._kept.append(job)
            self._count_kept(len(job.reply.body))
        while self._kept and self._kept_bytes > self._most_kept_bytes:
            oldest = self._kept[0]
            assert oldest.ended_at is not None  # set before it is kept
            full = self._kept_bytes > 2 * self._most_kept_bytes
            retention = _MIN_FULL_RETENTION if full else _MIN_REPLY_RETENTION
            if job.ended_at - oldest.ended_at < retention:
                break
            self._release(self._kept.popleft())

    def _count_kept(self, size: int) -> None:
        self._kept_bytes += size
        self._kept_answers.count(size)

    def _release(self, job: Job) -> None:
        """Drop the answer of a job; that it has run is still known."""
        if isinstance(job.reply, Answer):
            self._count_kept(-len(job.reply.body))
            job.reply = Failure(FailureReason.CUT_OFF)

    async def withdraw(self, job: Job) -> None:
        """Cancel a job whose client has disconnected.

        A request that is not idempotent runs to its end once it was sent to
        the server: a half-executed order is of no use to anyone.
        """
        if job.ended_at is not None:
            return
        if job.dispatched and not job.offer.idempotent:
            _LOG.debug(
                "Request %s continues without its client.", job.offer.request_id
            )
            return
        await job.task.cancel(blocking=False)

    async def detach(self, job: Job, owner: object) -> None:
        """Record the loss of a connection that waited for a job's reply."""
        if job.owner is owner:
            job.detached_at = read_clock()
            await self._has_detached.set()

    def list_running(self) -> list[Job]:
        """List the jobs without a reply."""
        return [job for job in self._jobs.values() if job.ended_at is None]

    def count_running(self) -> int:
        """Count the jobs without a reply."""
        return len(self.list_running())

    async def expire_forever(self) -> None:
        """Withdraw detached jobs, and drop old replies and fences."""
        while True:
            await curio.ignore_after(
                _RETENTION_CHECK_INTERVAL, self._has_detached.wait()
            )
            self._has_detached.clear()
            while await self._withdraw_detached(read_clock()):
                await curio.sleep(_DETACHED_CHECK_INTERVAL)
            self._expire(read_clock())

    async def _withdraw_detached(self, now: Seconds) -> bool:
        """Withdraw detached jobs in time; false when none may be resumed."""
        waiting = False
        for job in list(self._jobs.values()):
            if job.ended_at is not None or job.detached_at is None:
                continue
            if now - job.detached_at <= _REATTACH_TIMEOUT:
                waiting = True
            else:
                await self.withdraw(job)
        return waiting

    def _expire(self, now: Seconds) -> None:
        for job in list(self._jobs.values()):
            if job.ended_at is None:
                continue
            needed_until = job.ended_at
            if not job.offer.idempotent:
                needed_until = max(needed_until, job.deadline)
            if now - needed_until > _REPLY_RETENTION:
                del self._jobs[job.offer.request_id]
                self._release(job)
        while self._kept and not isinstance(self._kept[0].reply, Answer):
            self._kept.popleft()
        self._fences = {
            request_id: at
            for request_id, at in self._fences.items()
            if now - at < _REPLY_RETENTION
        }
