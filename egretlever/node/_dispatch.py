"""Places attempts on servers and reports how they ended."""

import dataclasses
import math
import re

import curio

from egretlever.admission import Ticket
from egretlever.catalogue import CatalogueState
from egretlever.core import Attempt, AttemptResult, Seconds, ServerId
from egretlever.detection import Detector, Selection
from egretlever.node import _metrics as metrics
from egretlever.node._attempts import AttemptRunner
from egretlever.node._context import RequestContext
from egretlever.node._exchange import (
    AttemptLimits,
    AttemptOutcome,
    Exchange,
    make_attempt,
)
from egretlever.node._gate import AbandonedError, Gate
from egretlever.node._requests import Request
from egretlever.node._selections import Selections
from egretlever.node._served import Served
from egretlever.retry import FirstAttempt, RetryPolicy, RunningAttempt
from egretlever.routing import (
    LoadHint,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementRequest,
    Router,
)
from egretlever.transport import headers, read_clock

_ANSWER_BYTES = 2048  # expected size of an answer, for the region link
_PLACEMENT_PAUSE = 0.005  # seconds between tries while all servers are busy
_LOAD = re.compile("([0-9]{1,6})/([0-9]{1,6})")  # busy slots of all slots
_WAITING_REASONS = frozenset(
    {NoPlacementReason.SATURATED, NoPlacementReason.LINK_BUDGET_SPENT}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Decision parts that the request path asks.

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


def _never() -> bool:
    return False


class DispatchedAttempt:
    """A dispatched attempt, alone or beside another of the same request.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gets the end of the attempt.
    request : Request
        The request.
    placement : Placement
        Slot of the attempt.
    ticket : Ticket
        Admission of the attempt.
    fresh : bool
        Whether to use a new connection.
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
        self._lost = False
        self._running = RunningAttempt(placement.server.id, read_clock())
        request.running.append(self._running)

    @property
    def server(self) -> ServerId:
        """Server that is tried."""
        return self._running.server

    @property
    def is_silent(self) -> bool:
        """Whether a kept connection has been silent for too long."""
        return self._exchange is not None and self._exchange.is_silent

    def keep_waiting(self) -> None:
        """Wait on a silent connection until the deadline."""
        if self._exchange is not None:
            self._exchange.keep_waiting()

    def preview(self) -> Attempt:
        """Make the record that giving up now would leave."""
        return self._give_up().attempt

    async def wait(self, until: float = math.inf) -> Served | None:
        """Run the attempt to its end, or until a reading of the clock.

        A cancelled attempt is reported and its connection closed.

        Returns
        -------
        Served or None
            None when there is no answer yet; another call waits on.
        """
        try:
            outcome = await self._run(until)
        except curio.CancelledError:
            if self._lost and self._exchange is not None:
                await curio.spawn(self._run_lost, daemon=True)
            else:
                await self._end(self._give_up())
            raise
        except BaseException:
            await self._end(self._give_up())
            raise
        return None if outcome is None else await self._end(outcome)

    def lose(self) -> None:
        """Let the coming cancellation wait for a slow answer for some time.

        Without that wait, hedges would hide a slow server: its answers would
        never be measured, and none of its attempts would become overdue.
        """
        self._lost = True
        self._request.is_caller_gone = _never

    async def _run_lost(self) -> None:
        assert self._exchange is not None
        self._lost = False
        served = await self.wait(self._exchange.lost_until)
        if served is None:
            served = await self._end(self._give_up())
        await self._dispatcher.abandon(served)

    async def _run(self, until: float) -> AttemptOutcome | None:
        if self._exchange is None:
            started = await self._dispatcher.start(
                self._request, self._placement, self._fresh
            )
            if isinstance(started, AttemptOutcome):
                return started
            self._exchange = started
        return await self._exchange.run(until)

    def _give_up(self) -> AttemptOutcome:
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

    async def _end(self, outcome: AttemptOutcome) -> Served:
        self._request.running.remove(self._running)
        self._request.attempts.append(outcome.attempt)
        served = Served(outcome, self._placement, self._ticket)
        if outcome.whole or not served.is_answer:
            await self._dispatcher.finish(served)
        return served


class Dispatcher:
    """Takes attempts through admission to a server and back.

    Parameters
    ----------
    parts : Parts
        Decision parts.
    runner : AttemptRunner
        Connections to servers.
    """

    def __init__(self, parts: Parts, runner: AttemptRunner) -> None:
        self._parts = parts
        self._runner = runner
        self._offered: dict[str, Selection] = {}

    async def enter(self, request: Request) -> Ticket:
        """Wait for admission of the next attempt.

        Raises
        ------
        RefusedError
            When admission refused the attempt or its deadline passed.
        AbandonedError
            When the caller went away.
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
        self._offer_capacity(context)
        await self._parts.gate.enter(ticket, request.is_caller_gone)
        return ticket

    async def leave_unused(self, ticket: Ticket) -> None:
        """Give back an admission that no attempt used."""
        await self._parts.gate.leave(
            ticket, AttemptResult.CANCELLED, Seconds(0.0)
        )

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

    async def place(self, request: Request) -> Placement | NoPlacement:
        """Wait until a server has a slot for the next attempt.

        Raises
        ------
        AbandonedError
            When the caller went away.
        """
        context = request.context
        while True:
            placement = self.choose(context, request.exclude)
            if isinstance(placement, NoPlacement) and request.exclude:
                placement = self.choose(context, frozenset())
            if (
                isinstance(placement, Placement)
                or placement.reason not in _WAITING_REASONS
                or read_clock() + _PLACEMENT_PAUSE >= context.deadline
            ):
                return placement
            await curio.sleep(_PLACEMENT_PAUSE)
            if request.is_caller_gone():
                raise AbandonedError

    def choose(
        self, context: RequestContext, exclude: frozenset[ServerId]
    ) -> Placement | NoPlacement:
        """Choose a server outside of a set, without waiting."""
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

    def release(self, placement: Placement) -> None:
        """Give back a slot that no attempt used."""
        self._parts.router.release(placement, read_clock())

    def dispatch(
        self,
        request: Request,
        ticket: Ticket,
        placement: Placement,
        fresh: bool,
    ) -> DispatchedAttempt:
        """Begin an attempt; `DispatchedAttempt.wait` runs it."""
        if not request.attempts and not request.running:
            event = FirstAttempt(request.context.choice.service)
            self._parts.retry.observe(event, read_clock())
        return DispatchedAttempt(self, request, placement, ticket, fresh)

    async def start(
        self, request: Request, placement: Placement, fresh: bool
    ) -> Exchange | AttemptOutcome:
        """Take a connection for an attempt."""
        limits = AttemptLimits(
            request.context.deadline,
            self._parts.detector.overdue_after(placement.server.id),
        )
        return await self._runner.start(
            placement.server, request, limits, fresh
        )

    async def finish(self, served: Served) -> None:
        """Report the end of an attempt and give back its slot, once."""
        if served.finished:
            return
        served.finished = True
        parts = self._parts
        attempt = served.outcome.attempt
        await self._runner.settle(served.placement.server, served.outcome)
        now = read_clock()
        parts.router.release(served.placement, now)
        parts.router.observe(attempt, now)
        self._observe_load(served, now)
        parts.detector.observe(attempt, now)
        parts.retry.observe(attempt, now)
        metrics.find_child(
            metrics.ATTEMPTS, attempt.service, attempt.result.value
        ).inc()
        await parts.gate.leave(served.ticket, attempt.result, attempt.latency)

    async def abandon(self, served: Served) -> None:
        """Close the connection of an answer that nobody gets."""
        if not served.finished:
            served.outcome.whole = False
            await self.finish(served)

    def _observe_load(self, served: Served, now: Seconds) -> None:
        response = served.outcome.response
        load = response.find(headers.LOAD) if response is not None else None
        if load is None:
            return
        found = _LOAD.fullmatch(load)
        if found is not None and int(found[2]) > 0:
            hint = LoadHint(
                served.placement.server.id, int(found[1]), int(found[2])
            )
            self._parts.router.observe(hint, now)
