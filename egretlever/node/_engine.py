"""Runs the attempts of one request until it has an outcome."""

import dataclasses

import curio

from egretlever.admission import RefusalReason
from egretlever.catalogue import CatalogueState
from egretlever.core import AttemptResult, Outcome, ServerId, make_log
from egretlever.node._answers import OwnAnswer
from egretlever.node._dispatch import DispatchedAttempt, Dispatcher
from egretlever.node._gate import AbandonedError, RefusedError
from egretlever.node._orders import OrderHandler, Replay
from egretlever.node._requests import Request
from egretlever.node._served import Served
from egretlever.orders import Claim
from egretlever.retry import (
    Hedge,
    RequestHistory,
    Retry,
    RetryPolicy,
    Stop,
    StopReason,
)
from egretlever.routing import Placement
from egretlever.transport import RequestError, read_clock

_LOG = make_log("request")
_GONE = "the caller went away"


@dataclasses.dataclass(frozen=True, slots=True)
class _Second:
    """A decision to run an attempt beside the first one."""

    exclude: frozenset[ServerId]
    fresh: bool


class Engine:
    """Runs attempts by the decisions of the retry policy.

    Parameters
    ----------
    catalogue : CatalogueState
        Tells which services are hedged.
    retry : RetryPolicy
        What follows an attempt.
    dispatcher : Dispatcher
        Runs single attempts.
    handler : OrderHandler
        Claims orders before their dispatch.
    """

    def __init__(
        self,
        catalogue: CatalogueState,
        retry: RetryPolicy,
        dispatcher: Dispatcher,
        handler: OrderHandler,
    ) -> None:
        self._catalogue = catalogue
        self._retry = retry
        self._dispatcher = dispatcher
        self._handler = handler

    async def run(self, request: Request) -> Served | OwnAnswer | Replay:
        """Run a request.

        Parameters
        ----------
        request : Request
            The request; its attempts are filled in.

        Returns
        -------
        Served or OwnAnswer or Replay
            The server's answer, or why there is none. `finish` has to follow
            an answer of a server.
        """
        try:
            result = await self._run_attempts(request)
        except BaseException:
            if request.claim is not None:
                await self._handler.close(request.claim, request.combine())
            raise
        if request.claim is None:
            return result
        if isinstance(result, OwnAnswer):
            await self._handler.close(request.claim, result.outcome)
        elif isinstance(result, Served) and result.outcome.whole:
            await self._close_served(request.claim, result)
        return result

    async def finish(self, request: Request, served: Served) -> None:
        """Finish a request whose answer was passed on, or was cut."""
        if served.finished:
            return
        await self._dispatcher.finish(served)
        if request.claim is not None:
            await self._close_served(request.claim, served)

    async def _close_served(self, claim: Claim, served: Served) -> None:
        if served.outcome.whole:
            await self._handler.close(claim, Outcome.COMPLETED, served.outcome)
        else:
            await self._handler.close(claim, Outcome.UNKNOWN)

    async def _run_attempts(
        self, request: Request
    ) -> Served | OwnAnswer | Replay:
        error: Served | None = None
        while True:
            served = await self._run_attempt(request)
            if not isinstance(served, Served):
                return error or served
            if served.outcome.attempt.result is AttemptResult.CANCELLED:
                return _explain_cancel(request)
            decision = self._decide(request)
            if isinstance(decision, Stop):
                return await self._end(request, served, decision, error)
            await self._dispatcher.abandon(served)
            if served.is_answer and served.outcome.whole:
                error = served
            request.exclude = decision.exclude
            if decision.after > 0:
                await curio.sleep(decision.after)
            if request.is_caller_gone():
                return OwnAnswer(499, request.combine(), _GONE)

    def _make_history(self, request: Request) -> RequestHistory:
        context = request.context
        return RequestHistory(
            context.choice.service,
            context.idempotent,
            context.deadline,
            tuple(request.attempts),
            tuple(request.running),
        )

    def _decide(self, request: Request) -> Retry | Stop:
        history = self._make_history(request)
        decision = self._retry.decide(history, read_clock())
        if isinstance(decision, Stop):
            return decision
        if not isinstance(decision, Retry) or not request.body.repeatable:
            return Stop(request.combine(), StopReason.NO_RETRIES)
        _LOG.info(
            "Request %s is tried again in %.0f ms after %s.",
            request.context.id,
            decision.after * 1000,
            request.attempts[-1].result.value,
        )
        return decision

    async def _run_attempt(
        self, request: Request
    ) -> Served | OwnAnswer | Replay:
        try:
            ticket = await self._dispatcher.enter(request)
        except RefusedError as refused:
            return _refuse(refused, request)
        except AbandonedError:
            return OwnAnswer(499, request.combine(), _GONE)
        try:
            placement = await self._prepare(request)
        except AbandonedError:
            await self._dispatcher.leave_unused(ticket)
            return OwnAnswer(499, request.combine(), _GONE)
        except BaseException:
            await self._dispatcher.leave_unused(ticket)
            raise
        if not isinstance(placement, Placement):
            await self._dispatcher.leave_unused(ticket)
            return placement
        # After a stale connection a new one has to prove the server.
        fresh = bool(request.attempts) and (
            request.attempts[-1].result is AttemptResult.STALE_CONNECTION
        )
        attempt = self._dispatcher.dispatch(request, ticket, placement, fresh)
        return await self._await_attempt(request, attempt)

    async def _prepare(
        self, request: Request
    ) -> Placement | OwnAnswer | Replay:
        refusal = await self._prepare_first(request)
        if refusal is not None:
            return refusal
        placement = await self._dispatcher.place(request)
        if not isinstance(placement, Placement):
            return OwnAnswer(
                503,
                request.combine(),
                placement.reason.value,
                placement.retry_after,
            )
        refusal = self._refuse_late(request)
        if refusal is not None:
            self._dispatcher.release(placement)
            return refusal
        return placement

    async def _prepare_first(
        self, request: Request
    ) -> OwnAnswer | Replay | None:
        if request.attempts:
            return None
        if not request.body.filled:
            await request.body.fill()
        if request.context.order_key is None:
            return None
        claim = await self._handler.open(request.context, request.head)
        if not isinstance(claim, Claim):
            return claim
        request.claim = claim
        return None

    def _refuse_late(self, request: Request) -> OwnAnswer | None:
        if read_clock() >= request.context.deadline:
            return OwnAnswer(504, request.combine(), "deadline-passed")
        claim = request.claim
        if claim is not None and not self._handler.may_dispatch(claim):
            return OwnAnswer(503, request.combine(), "claim-outdated")
        return None

    async def _await_attempt(
        self, request: Request, attempt: DispatchedAttempt
    ) -> Served:
        if not request.is_repeatable():
            served = await attempt.wait()
            assert served is not None
            return served
        entry = self._catalogue.service(request.context.choice.service)
        hedged = entry is not None and entry.hedge
        while True:
            until = float("inf")
            second: _Second | None = None
            if attempt.is_silent:
                second = self._replace_silent(request, attempt)
            elif hedged:
                decision = self._retry.decide(
                    self._make_history(request), read_clock()
                )
                if not isinstance(decision, Hedge):
                    hedged = False
                elif decision.after > 0:
                    until = read_clock() + decision.after
                else:
                    second = _Second(decision.exclude, fresh=False)
            if second is not None:
                return await self._race(request, attempt, second)
            served = await attempt.wait(until)
            if served is not None:
                return served

    def _replace_silent(
        self, request: Request, attempt: DispatchedAttempt
    ) -> _Second | None:
        attempt.keep_waiting()
        history = dataclasses.replace(
            self._make_history(request),
            attempts=(*request.attempts, attempt.preview()),
            running=(),
        )
        if isinstance(self._retry.decide(history, read_clock()), Retry):
            return _Second(frozenset(), fresh=True)
        return None

    async def _race(
        self, request: Request, attempt: DispatchedAttempt, second: _Second
    ) -> Served:
        """Run an attempt beside the first; the first good answer wins."""
        _LOG.info(
            "Request %s is tried beside %s: %s.",
            request.context.id,
            attempt.server,
            "its connection is silent" if second.fresh else "it is slow",
        )
        attempt.keep_waiting()
        best: Served | None = None
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(attempt.wait),
                await group.spawn(self._run_second, request, second),
            ]
            while (task := await group.next_done()) is not None:
                best = await self._choose_better(best, task.result)
                if best is not None and best.is_good:
                    attempt.lose()
                    await group.cancel_remaining()
                    await self._abandon_others(tasks, best)
                    break
        assert best is not None
        return best

    async def _abandon_others(
        self, tasks: list[curio.Task], best: Served
    ) -> None:
        for task in tasks:
            if task.exception is None and task.result not in (None, best):
                await self._dispatcher.abandon(task.result)

    async def _choose_better(
        self, best: Served | None, ended: Served | None
    ) -> Served | None:
        if best is None or ended is None:
            return best or ended
        if best.is_good or (best.is_answer and not ended.is_answer):
            best, ended = ended, best
        await self._dispatcher.abandon(best)
        return ended

    async def _run_second(
        self, request: Request, second: _Second
    ) -> Served | None:
        try:
            ticket = await self._dispatcher.enter(request)
        except (RefusedError, AbandonedError):
            return None
        placement = self._dispatcher.choose(request.context, second.exclude)
        if not isinstance(placement, Placement):
            await self._dispatcher.leave_unused(ticket)
            return None
        attempt = self._dispatcher.dispatch(
            request, ticket, placement, second.fresh
        )
        return await attempt.wait()

    async def _end(
        self,
        request: Request,
        served: Served,
        stop: Stop,
        error: Served | None,
    ) -> Served | OwnAnswer:
        if served.is_answer:
            return served
        if error is not None:
            return error
        attempt = served.outcome.attempt
        outcome = request.combine()
        status = 504 if attempt.result is AttemptResult.TIMEOUT else 502
        if outcome is Outcome.NOT_RUN:
            status = 503
        return OwnAnswer(
            status,
            outcome,
            f"{attempt.result.value}, {stop.reason.value}",
            attempt.retry_after,
        )


def _explain_cancel(request: Request) -> OwnAnswer:
    error = request.upload_error
    if isinstance(error, RequestError):
        return OwnAnswer(error.status, request.combine(), str(error))
    return OwnAnswer(499, request.combine(), _GONE)


def _refuse(refused: RefusedError, request: Request) -> OwnAnswer:
    expired = refused.reason in (
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.WAIT_EXCEEDS_DEADLINE,
        RefusalReason.INFEASIBLE,
    )
    return OwnAnswer(
        504 if expired else 503,
        request.combine(),
        refused.reason.value,
        refused.retry_after,
    )
