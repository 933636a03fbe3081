"""Dispatches attempts to servers and reports their results."""

import dataclasses
import math
import re

import curio

from egretlever.admission import Ticket
from egretlever.catalogue import CatalogueState
from egretlever.core import Attempt, AttemptResult, Seconds, ServerId
from egretlever.detection import Detector, Selection
from egretlever.node import _metrics as metrics
from egretlever.node._admission_waiter import AbandonedError, AdmissionWaiter
from egretlever.node._attempts import AttemptRunner
from egretlever.node._context import RequestContext
from egretlever.node._ended_attempt import EndedAttempt
from egretlever.node._exchange import (
    AttemptLimits,
    AttemptOutcome,
    Exchange,
    make_attempt,
)
from egretlever.node._requests import Request
from egretlever.node._selection_cache import SelectionCache
from egretlever.retry import FirstAttempt, RetryPolicy, RunningAttempt
from egretlever.routing import (
    LoadReport,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementRequest,
    Router,
)
from egretlever.transport import headers, read_clock

# Charged to the bandwidth budget of the link to another region.
_EXPECTED_RESPONSE_BYTES = 2048
# Seconds between placement retries while all servers are busy.
_PLACEMENT_RETRY_INTERVAL = 0.005
# Busy slots and total slots in the load header.
_LOAD_PATTERN = re.compile("([0-9]{1,6})/([0-9]{1,6})")
_WAITING_REASONS = frozenset(
    {NoPlacementReason.SATURATED, NoPlacementReason.LINK_BUDGET_SPENT}
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestParts:
    """Decision parts that the request path uses.

    Parameters
    ----------
    catalogue : CatalogueState
        Settings of services and ranks.
    admission_waiter : AdmissionWaiter
        Admits attempts.
    selection_cache : SelectionCache
        Eligible servers of each service.
    router : Router
        Chooses one of the eligible servers.
    detector : Detector
        Evaluates the results of attempts.
    retry : RetryPolicy
        Decides about retries and hedges.
    """

    catalogue: CatalogueState
    admission_waiter: AdmissionWaiter
    selection_cache: SelectionCache
    router: Router
    detector: Detector
    retry: RetryPolicy


def _never() -> bool:
    return False


class DispatchedAttempt:
    """A dispatched attempt; a request may have two that run in parallel.

    Parameters
    ----------
    dispatcher : Dispatcher
        Receives the result of the attempt.
    request : Request
        The request.
    placement : Placement
        Server slot that the attempt occupies.
    ticket : Ticket
        Admission ticket of the attempt.
    fresh : bool
        Whether to use a new connection instead of a pooled one.
    """

    def __init__(
        self,
        dispatcher: "Dispatcher",
        request: Request,
        placement: Placement,
        ticket: Ticket,
        fresh: bool,
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._placement = placement
        self._ticket = ticket
        self._fresh = fresh
        self._exchange: Exchange | None = None
        self._finishes_in_background = False
        self._running = RunningAttempt(placement.server.id, read_clock())
        request.running.append(self._running)

    @property
    def server(self) -> ServerId:
        """Server that the attempt was sent to."""
        return self._running.server

    @property
    def is_silent(self) -> bool:
        """Whether a pooled connection has not responded for too long."""
        return self._exchange is not None and self._exchange.is_silent

    def keep_waiting(self) -> None:
        """Wait until the deadline even if the connection stays silent."""
        if self._exchange is not None:
            self._exchange.keep_waiting()

    def preview_outcome(self) -> Attempt:
        """Return the record that abandoning the attempt now would produce."""
        return self._make_abandoned_outcome().attempt

    async def wait(self, until: float = math.inf) -> EndedAttempt | None:
        """Run the attempt until it ends, or until a time on the local clock.

        When cancelled, it reports the attempt and closes its connection.

        Returns
        -------
        EndedAttempt or None
            None when there is no response yet; call again to go on waiting.
        """
        try:
            outcome = await self._run(until)
        except curio.CancelledError:
            if self._finishes_in_background and self._exchange is not None:
                await curio.spawn(self._run_in_background, daemon=True)
            else:
                await self._end(self._make_abandoned_outcome())
            raise
        except BaseException:
            await self._end(self._make_abandoned_outcome())
            raise
        return None if outcome is None else await self._end(outcome)

    def finish_in_background(self) -> None:
        """Continue for some time in the background once cancelled.

        Otherwise hedges would hide a slow server: the latency of its responses
        would never be measured, and its attempts would never become overdue.
        """
        self._finishes_in_background = True
        self._request.is_caller_disconnected = _never

    async def _run_in_background(self) -> None:
        assert self._exchange is not None
        self._finishes_in_background = False
        ended = await self.wait(self._exchange.background_deadline)
        if ended is None:
            ended = await self._end(self._make_abandoned_outcome())
        await self._dispatcher.abandon(ended)

    async def _run(self, until: float) -> AttemptOutcome | None:
        if self._exchange is None:
            started = await self._dispatcher.start(
                self._request, self._placement, self._fresh
            )
            if isinstance(started, AttemptOutcome):
                return started
            self._exchange = started
        return await self._exchange.run(until)

    def _make_abandoned_outcome(self) -> AttemptOutcome:
        if self._exchange is None:
            return AttemptOutcome(
                make_attempt(
                    self._placement.server,
                    AttemptResult.CANCELLED,
                    self._running.since,
                    sent=False,
                    fresh=True,
                )
            )
        if self._exchange.is_silent:
            return self._exchange.end(AttemptResult.STALE_CONNECTION)
        return self._exchange.end(AttemptResult.CANCELLED)

    async def _end(self, outcome: AttemptOutcome) -> EndedAttempt:
        self._request.running.remove(self._running)
        self._request.attempts.append(outcome.attempt)
        ended = EndedAttempt(outcome, self._placement, self._ticket)
        if outcome.complete or not ended.has_response:
            await self._dispatcher.finish(ended)
        return ended


class Dispatcher:
    """Admits, places, runs and finishes attempts.

    Parameters
    ----------
    parts : RequestParts
        Decision parts of the request path.
    runner : AttemptRunner
        Starts attempts on connections to servers.
    """

    def __init__(self, parts: RequestParts, runner: AttemptRunner) -> None:
        self._parts = parts
        self._runner = runner
        self._reported_selections: dict[str, Selection] = {}

    async def wait_for_admission(self, request: Request) -> Ticket:
        """Wait until the next attempt of a request is admitted.

        Raises
        ------
        RefusedError
            When admission refused the attempt or its deadline passed.
        AbandonedError
            When the caller disconnected.
        """
        context = request.context
        ticket = Ticket(
            context.id,
            context.choice.service,
            context.rank,
            context.caller,
            context.deadline,
            context.choice.worth,
            len(request.attempts) + len(request.running) + 1,
        )
        self._report_capacity(context)
        await self._parts.admission_waiter.wait_for_dispatch(
            ticket, request.is_caller_disconnected
        )
        return ticket

    async def release_ticket(self, ticket: Ticket) -> None:
        """Release a ticket that no attempt has used."""
        await self._parts.admission_waiter.finish(
            ticket, AttemptResult.CANCELLED, Seconds(0.0)
        )

    def _report_capacity(self, context: RequestContext) -> None:
        service = context.choice.service
        now = read_clock()
        selection = self._parts.selection_cache.find(service, now)
        if self._reported_selections.get(service) is not selection:
            self._reported_selections[service] = selection
            slots = self._parts.router.count_slots(
                service, selection.eligible, now
            )
            self._parts.admission_waiter.report_capacity(service, slots, now)

    async def place(self, request: Request) -> Placement | NoPlacement:
        """Wait until a server has a free slot for the next attempt.

        Raises
        ------
        AbandonedError
            When the caller disconnected.
        """
        context = request.context
        while True:
            placement = self.choose(context, request.exclude)
            if isinstance(placement, NoPlacement) and request.exclude:
                placement = self.choose(context, frozenset())
            if (
                isinstance(placement, Placement)
                or placement.reason not in _WAITING_REASONS
                or read_clock() + _PLACEMENT_RETRY_INTERVAL >= context.deadline
            ):
                return placement
            await curio.sleep(_PLACEMENT_RETRY_INTERVAL)
            if request.is_caller_disconnected():
                raise AbandonedError

    def choose(
        self, context: RequestContext, exclude: frozenset[ServerId]
    ) -> Placement | NoPlacement:
        """Choose a server that is not excluded, without waiting."""
        parts = self._parts
        now = read_clock()
        service = context.choice.service
        rank = parts.catalogue.rank(context.rank)
        request = PlacementRequest(
            service,
            context.deadline,
            rank.priority if rank else 0,
            rank.cross_region if rank else False,
            _EXPECTED_RESPONSE_BYTES,
            Seconds(0.0),
            exclude,
            parts.selection_cache.find(service, now).eligible,
        )
        return parts.router.decide(request, now)

    def release(self, placement: Placement) -> None:
        """Release a slot that no attempt has used."""
        self._parts.router.release(placement, read_clock())

    def dispatch(
        self,
        request: Request,
        ticket: Ticket,
        placement: Placement,
        fresh: bool,
    ) -> DispatchedAttempt:
        """Create an attempt; `DispatchedAttempt.wait` runs it."""
        if not request.attempts and not request.running:
            event = FirstAttempt(request.context.choice.service)
            self._parts.retry.observe(event, read_clock())
        return DispatchedAttempt(self, request, placement, ticket, fresh)

    async def start(
        self, request: Request, placement: Placement, fresh: bool
    ) -> Exchange | AttemptOutcome:
        """Acquire a connection for an attempt."""
        limits = AttemptLimits(
            request.context.deadline,
            self._parts.detector.overdue_after(placement.server.id),
        )
        return await self._runner.start(
            placement.server, request, limits, fresh
        )

    async def finish(self, ended: EndedAttempt) -> None:
        """Report the result of an attempt and release its slot, only once."""
        if ended.finished:
            return
        ended.finished = True
        parts = self._parts
        attempt = ended.outcome.attempt
        await self._runner.release_connection(
            ended.placement.server, ended.outcome
        )
        now = read_clock()
        parts.router.release(ended.placement, now)
        parts.router.observe(attempt, now)
        self._observe_load(ended, now)
        parts.detector.observe(attempt, now)
        parts.retry.observe(attempt, now)
        metrics.find_child(
            metrics.ATTEMPTS, attempt.service, attempt.result.value
        ).inc()
        await parts.admission_waiter.finish(
            ended.ticket, attempt.result, attempt.latency
        )

    async def abandon(self, ended: EndedAttempt) -> None:
        """Close the connection of a response that is not forwarded."""
        if not ended.finished:
            ended.outcome.complete = False
            await self.finish(ended)

    def _observe_load(self, ended: EndedAttempt, now: Seconds) -> None:
        response = ended.outcome.response
        load = response.find(headers.LOAD) if response is not None else None
        if load is None:
            return
        found = _LOAD_PATTERN.fullmatch(load)
        if found is not None and int(found[2]) > 0:
            report = LoadReport(
                ended.placement.server.id, int(found[1]), int(found[2])
            )
            self._parts.router.observe(report, now)
