"""Requests at a home node, from their offer until their reply is forgotten."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from egretlever.core import RequestId, Seconds, make_log
from egretlever.placement import (
    Failure,
    FailureReason,
    Offer,
    Refusal,
    RefusalReason,
    Reply,
)
from egretlever.transport import read_clock

_LOG = make_log("home")
# An entry node whose connection was lost returns within this time, or its
# client has gone. Clients expect their work to be cancelled within 0.5 s.
_DETACHED_TIME = Seconds(0.4)
# Replies and fences are kept for this time, so that a request that was sent
# again is answered and not run again. Connections fail within seconds.
_KEPT_TIME = Seconds(10.0)
_CHECK_INTERVAL = 0.1  # seconds


@dataclasses.dataclass(slots=True)
class Job:
    """One request at a home node.

    Parameters
    ----------
    offer : Offer
        The request.
    deadline : Seconds
        Reading of the clock at which the client or the route gives up.

    Attributes
    ----------
    dispatched : bool
        Whether it was sent to the server.
    reply : Answer, Refusal or Failure
        Set when `done` is.
    done : curio.Event
        Set at the end.
    detached_at : Seconds or None
        When the connection of its entry node was lost.
    ended_at : Seconds or None
        When the reply was known.
    task : curio.Task
        Runs the job.
    owner : object
        Connection that takes the reply; the latest one that offered it.
    """

    offer: Offer
    deadline: Seconds
    dispatched: bool = False
    reply: Reply | None = None
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    detached_at: Seconds | None = None
    ended_at: Seconds | None = None
    task: Any = None
    owner: object = None


class JobTable:
    """Runs each request id once, whoever offers it and how often.

    Parameters
    ----------
    run : callable
        Coroutine function that runs a job and returns its reply.
    """

    def __init__(self, run: Callable[[Job], Awaitable[Reply]]) -> None:
        self._run = run
        self._jobs: dict[RequestId, Job] = {}
        self._fences: dict[RequestId, Seconds] = {}

    async def submit(self, offer: Offer, owner: object = None) -> Job:
        """Start the job of an offer, or find the one that runs already.

        An offer that was sent again and is not known here was lost on its
        way. It is fenced: its first copy is not run if it still arrives.
        An offer that was refused may be made anew, with other conditions.
        """
        job = self._jobs.get(offer.request_id)
        if job is not None and (
            offer.resumed or not isinstance(job.reply, Refusal)
        ):
            job.detached_at = None
            job.owner = owner
            return job
        now = read_clock()
        job = Job(offer, Seconds(now + offer.time_left))
        if offer.resumed or offer.request_id in self._fences:
            self._fences[offer.request_id] = now
            job.reply = Refusal(RefusalReason.FENCED)
            job.ended_at = now
            await job.done.set()
            return job
        self._jobs[offer.request_id] = job
        job.owner = owner
        job.task = await curio.spawn(self._work, job, daemon=True)
        return job

    async def _work(self, job: Job) -> None:
        try:
            job.reply = await self._run(job)
        except curio.CancelledError:
            # Its entry node withdrew it, or was lost and may ask again. The
            # cancellation may have come after the request was sent.
            job.reply = (
                Failure(FailureReason.CUT_OFF)
                if job.dispatched
                else Refusal(RefusalReason.EXPIRED)
            )
        finally:
            job.ended_at = read_clock()
            await job.done.set()

    async def withdraw(self, job: Job) -> None:
        """Give a job up whose client has gone.

        A request that may not be repeated runs to its end once it was sent to
        the server: an order that is broken off helps nobody.
        """
        if job.ended_at is not None:
            return
        if job.dispatched and not job.offer.idempotent:
            _LOG.debug("%s goes on without its client.", job.offer.request_id)
            return
        await job.task.cancel(blocking=False)

    def detach(self, job: Job, owner: object) -> None:
        """Note that a connection was lost that waited for a job's reply."""
        if job.owner is owner:
            job.detached_at = read_clock()

    def count_running(self) -> int:
        """Count the jobs without a reply."""
        return sum(job.ended_at is None for job in self._jobs.values())

    async def expire_forever(self) -> None:
        """Withdraw detached jobs, and forget old replies and fences."""
        while True:
            await curio.sleep(_CHECK_INTERVAL)
            now = read_clock()
            for job in list(self._jobs.values()):
                if job.ended_at is not None:
                    if now - job.ended_at > _KEPT_TIME:
                        del self._jobs[job.offer.request_id]
                elif (
                    job.detached_at is not None
                    and now - job.detached_at > _DETACHED_TIME
                ):
                    await self.withdraw(job)
            self._fences = {
                request_id: at
                for request_id, at in self._fences.items()
                if now - at < _KEPT_TIME
            }
