"""Runs the attempts of one request until it has an outcome."""

import dataclasses
from collections.abc import Callable

import curio

from egretlever.admission import RefusalReason, Ticket
from egretlever.catalogue import CatalogueState
from egretlever.core import (
    Attempt,
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
from egretlever.node._bodies import RequestBody
from egretlever.node._context import RequestContext
from egretlever.node._gate import Gate, RefusedError
from egretlever.node._selections import Selections
from egretlever.retry import (
    FirstAttempt,
    RequestHistory,
    Retry,
    RetryPolicy,
    Stop,
    StopReason,
    classify_attempt,
    combine_outcomes,
)
from egretlever.routing import (
    LoadHint,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementRequest,
    Router,
)
from egretlever.transport import RequestHead, headers, read_clock

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
    """

    def __init__(self, parts: Parts, runner: AttemptRunner) -> None:
        self._parts = parts
        self._runner = runner
        self._offered: dict[str, Selection] = {}

    async def run(
        self,
        context: RequestContext,
        head: RequestHead,
        body: RequestBody,
        is_caller_gone: Callable[[], bool],
    ) -> Served | OwnAnswer:
        """Run a request.

        Parameters
        ----------
        context, head, body
            The request.
        is_caller_gone : callable
            Tells without waiting whether the answer has no receiver.

        Returns
        -------
        Served or OwnAnswer
            The server's answer, or why there is none.
        """
        attempts: list[Attempt] = []
        exclude: frozenset[ServerId] = frozenset()
        while True:
            served = await self._run_attempt(
                context, head, body, is_caller_gone, attempts, exclude
            )
            if isinstance(served, OwnAnswer):
                return served
            decision = self._decide(context, attempts, body)
            if isinstance(decision, Stop):
                return await self._end(served, decision)
            await self._abandon(served.outcome)
            exclude = decision.exclude
            if decision.after > 0:
                await curio.sleep(decision.after)
            if is_caller_gone():
                outcome = _combine(attempts)
                return OwnAnswer(499, outcome, "the caller went away")

    def _decide(
        self,
        context: RequestContext,
        attempts: list[Attempt],
        body: RequestBody,
    ) -> Retry | Stop:
        history = RequestHistory(
            context.choice.service,
            context.idempotent,
            context.deadline,
            tuple(attempts),
        )
        decision = self._parts.retry.decide(history, read_clock())
        if isinstance(decision, Retry) and body.repeatable:
            _LOG.info(
                "Request %s is tried again in %.0f ms after %s.",
                context.id,
                decision.after * 1000,
                attempts[-1].result.value,
            )
            return decision
        if isinstance(decision, Stop):
            return decision
        return Stop(_combine(attempts), StopReason.NO_RETRIES)

    async def _run_attempt(
        self,
        context: RequestContext,
        head: RequestHead,
        body: RequestBody,
        is_caller_gone: Callable[[], bool],
        attempts: list[Attempt],
        exclude: frozenset[ServerId],
    ) -> Served | OwnAnswer:
        parts = self._parts
        ticket = _make_ticket(context, len(attempts) + 1)
        self._offer_capacity(context)
        try:
            await parts.gate.enter(ticket)
        except RefusedError as refused:
            return _refuse(refused, attempts)
        placement = await self._place(context, exclude)
        if isinstance(placement, NoPlacement):
            await parts.gate.leave(
                ticket, AttemptResult.CANCELLED, Seconds(0.0)
            )
            return OwnAnswer(
                503,
                _combine(attempts),
                placement.reason.value,
                placement.retry_after,
            )
        if not attempts:
            parts.retry.observe(
                FirstAttempt(context.choice.service), read_clock()
            )
            if not body.whole and not body.start:
                await body.fill()
        limits = AttemptLimits(
            context.deadline,
            parts.detector.overdue_after(placement.server.id),
        )
        stale = bool(attempts) and (
            attempts[-1].result is AttemptResult.STALE_CONNECTION
        )
        try:
            outcome = await self._runner.run(
                placement.server,
                context,
                head,
                body,
                limits,
                is_caller_gone,
                fresh=stale,
            )
        except BaseException:
            parts.router.release(placement, read_clock())
            await parts.gate.leave(
                ticket, AttemptResult.CANCELLED, Seconds(0.0)
            )
            raise
        served = Served(outcome, placement, ticket)
        attempts.append(outcome.attempt)
        if outcome.connection is None:
            await self.finish(served)
        return served

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

    async def _place(
        self, context: RequestContext, exclude: frozenset[ServerId]
    ) -> Placement | NoPlacement:
        while True:
            placement = self._choose(context, exclude)
            if isinstance(placement, NoPlacement) and exclude:
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

    async def _abandon(self, outcome: AttemptOutcome) -> None:
        if outcome.connection is not None:
            await outcome.connection.close()
            outcome.connection = None

    async def _end(self, served: Served, stop: Stop) -> Served | OwnAnswer:
        attempt = served.outcome.attempt
        if attempt.result in (AttemptResult.OK, AttemptResult.ERROR):
            return served
        await self._abandon(served.outcome)
        status = 504 if attempt.result is AttemptResult.TIMEOUT else 502
        if stop.outcome is Outcome.NOT_RUN:
            status = 503
        return OwnAnswer(
            status,
            stop.outcome,
            f"{attempt.result.value}, {stop.reason.value}",
            attempt.retry_after,
        )


def _combine(attempts: list[Attempt]) -> Outcome:
    outcomes = [classify_attempt(attempt) for attempt in attempts]
    return combine_outcomes(outcomes, running=False)


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


def _refuse(refused: RefusedError, attempts: list[Attempt]) -> OwnAnswer:
    expired = refused.reason in (
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.WAIT_EXCEEDS_DEADLINE,
        RefusalReason.INFEASIBLE,
    )
    return OwnAnswer(
        504 if expired else 503,
        _combine(attempts),
        refused.reason.value,
        refused.retry_after,
    )
