"""Runs the attempts of a request until it has an outcome."""

import dataclasses

import curio

from egretlever.admission import RefusalReason
from egretlever.catalogue import CatalogueState
from egretlever.core import AttemptResult, Outcome, ServerId, make_log
from egretlever.node._admission_waiter import AbandonedError, RefusedError
from egretlever.node._dispatch import DispatchedAttempt, Dispatcher
from egretlever.node._ended_attempt import EndedAttempt
from egretlever.node._orders import OrderHandler, Replay
from egretlever.node._requests import Request
from egretlever.node._responses import LocalResponse
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
_CALLER_DISCONNECTED_REASON = "the caller went away"


@dataclasses.dataclass(frozen=True, slots=True)
class _SecondAttempt:
    """A decision to run a second attempt in parallel with the first one."""

    exclude: frozenset[ServerId]
    fresh: bool


class Engine:
    """Runs attempts as the retry policy decides.

    Parameters
    ----------
    catalogue : CatalogueState
        Settings of services, hedging included.
    retry : RetryPolicy
        Decides about retries and hedges.
    dispatcher : Dispatcher
        Runs single attempts.
    handler : OrderHandler
        Claims orders before they are dispatched.
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

    async def run(
        self, request: Request
    ) -> EndedAttempt | LocalResponse | Replay:
        """Run a request.

        Parameters
        ----------
        request : Request
            The request; its attempts are added to it.

        Returns
        -------
        EndedAttempt or LocalResponse or Replay
            The server's response, or the reason that there is none. After a
            server's response the caller has to call `finish`.
        """
        try:
            result = await self._run_attempts(request)
        except BaseException:
            if request.claim is not None:
                await self._handler.record_outcome(
                    request.claim, request.combine()
                )
            raise
        if request.claim is None:
            return result
        if isinstance(result, LocalResponse):
            await self._handler.record_outcome(request.claim, result.outcome)
        elif isinstance(result, EndedAttempt) and result.outcome.complete:
            await self._record_outcome(request.claim, result)
        return result

    async def finish(self, request: Request, ended: EndedAttempt) -> None:
        """Finish a request whose response was forwarded or truncated."""
        if ended.finished:
            return
        await self._dispatcher.finish(ended)
        if request.claim is not None:
            await self._record_outcome(request.claim, ended)

    async def _record_outcome(self, claim: Claim, ended: EndedAttempt) -> None:
        if ended.outcome.complete:
            await self._handler.record_outcome(
                claim, Outcome.COMPLETED, ended.outcome
            )
        else:
            await self._handler.record_outcome(claim, Outcome.UNKNOWN)

    async def _run_attempts(
        self, request: Request
    ) -> EndedAttempt | LocalResponse | Replay:
        error: EndedAttempt | None = None
        while True:
            ended = await self._run_attempt(request)
            if not isinstance(ended, EndedAttempt):
                return error or ended
            if ended.outcome.attempt.result is AttemptResult.CANCELLED:
                return _make_cancel_response(request)
            decision = self._decide(request)
            if isinstance(decision, Stop):
                return await self._make_final_response(
                    request, ended, decision, error
                )
            await self._dispatcher.abandon(ended)
            if ended.has_response and ended.outcome.complete:
                error = ended
            request.exclude = decision.exclude
            if decision.after > 0:
                await curio.sleep(decision.after)
            if request.is_caller_disconnected():
                return LocalResponse(
                    499, request.combine(), _CALLER_DISCONNECTED_REASON
                )

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
        if not isinstance(decision, Retry) or not request.body.can_resend:
            return Stop(request.combine(), StopReason.NO_RETRIES)
        _LOG.info(
            "Retrying request %s in %.0f ms after result %s.",
            request.context.id,
            decision.after * 1000,
            request.attempts[-1].result.value,
        )
        return decision

    async def _run_attempt(
        self, request: Request
    ) -> EndedAttempt | LocalResponse | Replay:
        try:
            ticket = await self._dispatcher.wait_for_admission(request)
        except RefusedError as refused:
            return _make_refusal(refused, request)
        except AbandonedError:
            return LocalResponse(
                499, request.combine(), _CALLER_DISCONNECTED_REASON
            )
        try:
            placement = await self._prepare(request)
        except AbandonedError:
            await self._dispatcher.release_ticket(ticket)
            return LocalResponse(
                499, request.combine(), _CALLER_DISCONNECTED_REASON
            )
        except BaseException:
            await self._dispatcher.release_ticket(ticket)
            raise
        if not isinstance(placement, Placement):
            await self._dispatcher.release_ticket(ticket)
            return placement
        # After a stale connection, only a new one shows whether the server is
        # reachable.
        fresh = bool(request.attempts) and (
            request.attempts[-1].result is AttemptResult.STALE_CONNECTION
        )
        attempt = self._dispatcher.dispatch(request, ticket, placement, fresh)
        return await self._await_attempt(request, attempt)

    async def _prepare(
        self, request: Request
    ) -> Placement | LocalResponse | Replay:
        refusal = await self._prepare_first(request)
        if refusal is not None:
            return refusal
        placement = await self._dispatcher.place(request)
        if not isinstance(placement, Placement):
            return LocalResponse(
                503,
                request.combine(),
                placement.reason.value,
                placement.retry_after,
            )
        refusal = self._check_still_dispatchable(request)
        if refusal is not None:
            self._dispatcher.release(placement)
            return refusal
        return placement

    async def _prepare_first(
        self, request: Request
    ) -> LocalResponse | Replay | None:
        if request.attempts:
            return None
        if not request.body.filled:
            await request.body.fill()
        if request.context.order_key is None:
            return None
        claim = await self._handler.claim(request.context, request.head)
        if not isinstance(claim, Claim):
            return claim
        request.claim = claim
        return None

    def _check_still_dispatchable(
        self, request: Request
    ) -> LocalResponse | None:
        if read_clock() >= request.context.deadline:
            return LocalResponse(504, request.combine(), "deadline-passed")
        claim = request.claim
        if claim is not None and not self._handler.may_dispatch(claim):
            return LocalResponse(503, request.combine(), "claim-outdated")
        return None

    async def _await_attempt(
        self, request: Request, attempt: DispatchedAttempt
    ) -> EndedAttempt:
        if not request.allows_parallel_attempts():
            ended = await attempt.wait()
            assert ended is not None
            return ended
        entry = self._catalogue.service(request.context.choice.service)
        hedged = entry is not None and entry.hedge
        while True:
            until = float("inf")
            second: _SecondAttempt | None = None
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
                    second = _SecondAttempt(decision.exclude, fresh=False)
            if second is not None:
                return await self._race(request, attempt, second)
            ended = await attempt.wait(until)
            if ended is not None:
                return ended

    def _replace_silent(
        self, request: Request, attempt: DispatchedAttempt
    ) -> _SecondAttempt | None:
        attempt.keep_waiting()
        history = dataclasses.replace(
            self._make_history(request),
            attempts=(*request.attempts, attempt.preview_outcome()),
            running=(),
        )
        if isinstance(self._retry.decide(history, read_clock()), Retry):
            return _SecondAttempt(frozenset(), fresh=True)
        return None

    async def _race(
        self,
        request: Request,
        attempt: DispatchedAttempt,
        second: _SecondAttempt,
    ) -> EndedAttempt:
        """Run a second attempt in parallel; the first success wins."""
        _LOG.info(
            "Second attempt of request %s in parallel with server %s: %s.",
            request.context.id,
            attempt.server,
            "its connection is silent" if second.fresh else "it is slow",
        )
        attempt.keep_waiting()
        best: EndedAttempt | None = None
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(attempt.wait),
                await group.spawn(self._run_second_attempt, request, second),
            ]
            while (task := await group.next_done()) is not None:
                best = await self._choose_better(best, task.result)
                if best is not None and best.is_success:
                    attempt.finish_in_background()
                    await group.cancel_remaining()
                    await self._abandon_others(tasks, best)
                    break
        assert best is not None
        return best

    async def _abandon_others(
        self, tasks: list[curio.Task], best: EndedAttempt
    ) -> None:
        for task in tasks:
            if task.exception is None and task.result not in (None, best):
                await self._dispatcher.abandon(task.result)

    async def _choose_better(
        self, best: EndedAttempt | None, ended: EndedAttempt | None
    ) -> EndedAttempt | None:
        if best is None or ended is None:
            return best or ended
        if best.is_success or (best.has_response and not ended.has_response):
            best, ended = ended, best
        await self._dispatcher.abandon(best)
        return ended

    async def _run_second_attempt(
        self, request: Request, second: _SecondAttempt
    ) -> EndedAttempt | None:
        try:
            ticket = await self._dispatcher.wait_for_admission(request)
        except (RefusedError, AbandonedError):
            return None
        placement = self._dispatcher.choose(request.context, second.exclude)
        if not isinstance(placement, Placement):
            await self._dispatcher.release_ticket(ticket)
            return None
        attempt = self._dispatcher.dispatch(
            request, ticket, placement, second.fresh
        )
        return await attempt.wait()

    async def _make_final_response(
        self,
        request: Request,
        ended: EndedAttempt,
        stop: Stop,
        error: EndedAttempt | None,
    ) -> EndedAttempt | LocalResponse:
        if ended.has_response:
            return ended
        if error is not None:
            return error
        attempt = ended.outcome.attempt
        outcome = request.combine()
        status = 504 if attempt.result is AttemptResult.TIMEOUT else 502
        if outcome is Outcome.NOT_RUN:
            status = 503
        return LocalResponse(
            status,
            outcome,
            f"{attempt.result.value}, {stop.reason.value}",
            attempt.retry_after,
        )


def _make_cancel_response(request: Request) -> LocalResponse:
    error = request.upload_error
    if isinstance(error, RequestError):
        return LocalResponse(error.status, request.combine(), str(error))
    return LocalResponse(499, request.combine(), _CALLER_DISCONNECTED_REASON)


def _make_refusal(refused: RefusedError, request: Request) -> LocalResponse:
    expired = refused.reason in (
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.WAIT_EXCEEDS_DEADLINE,
        RefusalReason.INFEASIBLE,
    )
    return LocalResponse(
        504 if expired else 503,
        request.combine(),
        refused.reason.value,
        refused.retry_after,
    )
