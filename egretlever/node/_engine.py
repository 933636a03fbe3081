"""Runs the attempts of one request until it has an outcome."""

import dataclasses

import curio

from egretlever.admission import RefusalReason, Ticket
from egretlever.catalogue import CatalogueState
from egretlever.core import (
    AttemptResult,
    Outcome,
    Seconds,
    ServerId,
    make_log,
)
from egretlever.detection import Detector, Selection
from egretlever.node import _metrics as metrics
from egretlever.node._answers import OwnAnswer
from egretlever.node._attempts import (
    AttemptLimits,
    AttemptOutcome,
    AttemptRunner,
)
from egretlever.node._context import RequestContext
from egretlever.node._gate import Gate, RefusedError
from egretlever.node._orders import OrderDesk, Replay
from egretlever.node._requests import Request
from egretlever.node._selections import Selections
from egretlever.orders import Claim
from egretlever.retry import (
    FirstAttempt,
    RequestHistory,
    Retry,
    RetryPolicy,
    Stop,
    StopReason,
)
from egretlever.routing import (
    LoadHint,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementRequest,
    Router,
)
from egretlever.transport import headers, read_clock

_LOG = make_log("request")
_ANSWER_BYTES = 2048  # expected size of an answer, for the region link
_PLACEMENT_PAUSE = 0.005  # seconds between tries while all servers are busy
_WAITING_REASONS = frozenset(
    {NoPlacementReason.SATURATED, NoPlacementReason.LINK_BUDGET_SPENT}
)


@dataclasses.dataclass(slots=True)
class Served:
    """A request with a backend server's answer.

    Parameters
    ----------
    outcome : AttemptOutcome
        The answer; its connection holds the rest of a long body.
    placement : Placement
        Slot that the answer occupies until it is whole.
    ticket : Ticket
        Admission of the attempt.
    """

    outcome: AttemptOutcome
    placement: Placement
    ticket: Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Decision parts that the engine asks.

    Parameters
    ----------
    catalogue : CatalogueState
        Limits of services and ranks.
    gate : Gate
        Admission.
    selections : Selections
        Eligible servers.
    router : Router
        Choice among them.
    detector : Detector
        Judgement of outcomes.
    retry : RetryPolicy
        What follows an attempt.
    """

    catalogue: CatalogueState
    gate: Gate
    selections: Selections
    router: Router
    detector: Detector
    retry: RetryPolicy


class Engine:
    """Runs attempts by the decisions of the parts.

    Parameters
    ----------
    parts : Parts
        Decision parts.
    runner : AttemptRunner
        Runs single attempts.
    desk : OrderDesk
        Claims orders before their dispatch.
    """

    def __init__(
        self, parts: Parts, runner: AttemptRunner, desk: OrderDesk
    ) -> None:
        self._parts = parts
        self._runner = runner
        self._desk = desk
        self._offered: dict[str, Selection] = {}

    async def run(self, request: Request) -> Served | OwnAnswer | Replay:
        """Run a request.

        Parameters
        ----------
        request : Request
            The request; its attempts are filled in.

        Returns
        -------
        Served or OwnAnswer or Replay
            The server's answer, or why there is none.
        """
        try:
            result = await self._run_attempts(request)
        except BaseException:
            if request.claim is not None:
                await self._desk.close(request.claim, request.combine())
            raise
        if request.claim is not None:
            await self._close_order(request.claim, result)
        return result

    async def _close_order(
        self, claim: Claim, result: Served | OwnAnswer | Replay
    ) -> None:
        if isinstance(result, Served):
            await self._desk.close(claim, Outcome.COMPLETED, result.outcome)
        elif isinstance(result, OwnAnswer):
            await self._desk.close(claim, result.outcome)

    async def _run_attempts(
        self, request: Request
    ) -> Served | OwnAnswer | Replay:
        while True:
            served = await self._run_attempt(request)
            if not isinstance(served, Served):
                return served
            decision = self._decide(request)
            if isinstance(decision, Stop):
                return await self._end(served, decision)
            await self._abandon(served)
            request.exclude = decision.exclude
            if decision.after > 0:
                await curio.sleep(decision.after)
            if request.is_caller_gone():
                return OwnAnswer(499, request.combine(), "the caller went away")

    def _decide(self, request: Request) -> Retry | Stop:
        context = request.context
        history = RequestHistory(
            context.choice.service,
            context.idempotent,
            context.deadline,
            tuple(request.attempts),
        )
        decision = self._parts.retry.decide(history, read_clock())
        if isinstance(decision, Stop):
            return decision
        if not isinstance(decision, Retry) or not request.body.repeatable:
            return Stop(request.combine(), StopReason.NO_RETRIES)
        _LOG.info(
            "Request %s is tried again in %.0f ms after %s.",
            context.id,
            decision.after * 1000,
            request.attempts[-1].result.value,
        )
        return decision

    async def _run_attempt(
        self, request: Request
    ) -> Served | OwnAnswer | Replay:
        ticket = _make_ticket(request.context, len(request.attempts) + 1)
        self._offer_capacity(request.context)
        try:
            await self._parts.gate.enter(ticket)
        except RefusedError as refused:
            return _refuse(refused, request)
        try:
            refusal = await self._prepare_first(request)
            if refusal is None:
                placement = await self._place(request)
                if isinstance(placement, Placement):
                    return await self._dispatch(request, ticket, placement)
                refusal = OwnAnswer(
                    503,
                    request.combine(),
                    placement.reason.value,
                    placement.retry_after,
                )
        except BaseException:
            await self._leave_unused(ticket)
            raise
        await self._leave_unused(ticket)
        return refusal

    async def _leave_unused(self, ticket: Ticket) -> None:
        await self._parts.gate.leave(
            ticket, AttemptResult.CANCELLED, Seconds(0.0)
        )

    async def _prepare_first(
        self, request: Request
    ) -> OwnAnswer | Replay | None:
        if request.attempts:
            return None
        if not request.body.filled:
            await request.body.fill()
        if request.context.order_key is None:
            return None
        claim = await self._desk.open(request.context, request.head)
        if not isinstance(claim, Claim):
            return claim
        request.claim = claim
        return None

    async def _dispatch(
        self, request: Request, ticket: Ticket, placement: Placement
    ) -> Served | OwnAnswer:
        parts = self._parts
        attempts = request.attempts
        now = read_clock()
        refusal = self._refuse_late(request)
        if refusal is not None:
            parts.router.release(placement, now)
            await self._leave_unused(ticket)
            return refusal
        if not attempts:
            parts.retry.observe(
                FirstAttempt(request.context.choice.service), now
            )
        limits = AttemptLimits(
            request.context.deadline,
            parts.detector.overdue_after(placement.server.id),
        )
        # After a stale connection a new one has to prove the server.
        fresh = bool(attempts) and (
            attempts[-1].result is AttemptResult.STALE_CONNECTION
        )
        try:
            outcome = await self._runner.run(
                placement.server, request, limits, fresh
            )
        except BaseException:
            parts.router.release(placement, read_clock())
            raise
        served = Served(outcome, placement, ticket)
        attempts.append(outcome.attempt)
        if outcome.connection is None:
            await self.finish(served)
        return served

    def _refuse_late(self, request: Request) -> OwnAnswer | None:
        if read_clock() >= request.context.deadline:
            return OwnAnswer(504, request.combine(), "deadline-passed")
        claim = request.claim
        if claim is not None and not self._desk.may_dispatch(claim):
            return OwnAnswer(503, request.combine(), "claim-outdated")
        return None

    def _offer_capacity(self, context: RequestContext) -> None:
        service = context.choice.service
        now = read_clock()
        selection = self._parts.selections.find(service, now)
        if self._offered.get(service) is not selection:
            self._offered[service] = selection
            slots = self._parts.router.count_slots(
                service, selection.eligible, now
            )
            self._parts.gate.offer_capacity(service, slots, now)

    async def _place(self, request: Request) -> Placement | NoPlacement:
        context = request.context
        while True:
            placement = self._choose(context, request.exclude)
            if isinstance(placement, NoPlacement) and request.exclude:
                placement = self._choose(context, frozenset())
            if (
                isinstance(placement, Placement)
                or placement.reason not in _WAITING_REASONS
                or read_clock() + _PLACEMENT_PAUSE >= context.deadline
            ):
                return placement
            await curio.sleep(_PLACEMENT_PAUSE)

    def _choose(
        self, context: RequestContext, exclude: frozenset[ServerId]
    ) -> Placement | NoPlacement:
        parts = self._parts
        now = read_clock()
        service = context.choice.service
        rank = parts.catalogue.rank(context.rank)
        request = PlacementRequest(
            service,
            context.deadline,
            rank.priority if rank else 0,
            rank.cross_region if rank else False,
            _ANSWER_BYTES,
            Seconds(0.0),
            exclude,
            parts.selections.find(service, now).eligible,
        )
        return parts.router.decide(request, now)

    async def finish(self, served: Served) -> None:
        """Report the end of an attempt and give back its slot."""
        parts = self._parts
        now = read_clock()
        attempt = served.outcome.attempt
        parts.router.release(served.placement, now)
        parts.router.observe(attempt, now)
        self._observe_load(served, now)
        parts.detector.observe(attempt, now)
        parts.retry.observe(attempt, now)
        metrics.ATTEMPTS.labels(attempt.service, attempt.result.value).inc()
        await parts.gate.leave(served.ticket, attempt.result, attempt.latency)

    async def finish_stream(self, served: Served) -> None:
        """Finish an attempt whose answer was passed on part by part."""
        if served.outcome.connection is None:
            return
        await self._runner.settle(served.placement.server, served.outcome)
        await self.finish(served)

    def _observe_load(self, served: Served, now: Seconds) -> None:
        response = served.outcome.response
        load = response.find(headers.LOAD) if response is not None else None
        if load is None:
            return
        busy, _, slots = load.partition("/")
        if busy.isdecimal() and slots.isdecimal() and int(slots) > 0:
            hint = LoadHint(served.placement.server.id, int(busy), int(slots))
            self._parts.router.observe(hint, now)

    async def _abandon(self, served: Served) -> None:
        connection = served.outcome.connection
        if connection is not None:
            await connection.close()
            served.outcome.connection = None
            await self.finish(served)

    async def _end(self, served: Served, stop: Stop) -> Served | OwnAnswer:
        attempt = served.outcome.attempt
        if attempt.result in (AttemptResult.OK, AttemptResult.ERROR):
            return served
        await self._abandon(served)
        status = 504 if attempt.result is AttemptResult.TIMEOUT else 502
        if stop.outcome is Outcome.NOT_RUN:
            status = 503
        return OwnAnswer(
            status,
            stop.outcome,
            f"{attempt.result.value}, {stop.reason.value}",
            attempt.retry_after,
        )


def _make_ticket(context: RequestContext, number: int) -> Ticket:
    return Ticket(
        context.id,
        context.choice.service,
        context.rank,
        context.caller,
        context.deadline,
        context.choice.worth,
        number,
    )


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
