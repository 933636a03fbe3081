"""State of a client request while an entry node serves it."""

import dataclasses
import math
from collections.abc import Awaitable, Callable

import curio

from egretlever.core import RequestId, Seconds, ServiceName
from egretlever.placement import (
    Customer,
    FollowUpSearch,
    HeaderFields,
    HomeChoice,
    OverdueReport,
    Reply,
    Route,
    Search,
)
from egretlever.relay._client_messages import ClientRequest
from egretlever.relay._interfaces import OfferObserver
from egretlever.relay._outcomes import AttemptHistory
from egretlever.transport import read_clock

# An attempt has to end this long before the client's deadline, so that its
# answer still arrives in time.
RETURN_MARGIN = Seconds(0.02)


class RunningOffer:
    """An offer to a home node, from its start to its reply.

    Parameters
    ----------
    choice : HomeChoice
        The home node.
    changed : curio.Event
        Set when the offer has proceeded.

    Attributes
    ----------
    begun_at : Seconds
        Clock time of the start.
    overdue : OverdueReport or None
        Report that the server takes far longer than usual.
    overdue_at : Seconds
        Clock time of this report.
    ended : bool
        Whether no reply is awaited any more.
    reply : Answer, Refusal, Failure or None
        The reply, if there is one.
    """

    def __init__(self, choice: HomeChoice, changed: curio.Event) -> None:
        self.choice = choice
        self.begun_at = read_clock()
        self.overdue: OverdueReport | None = None
        self.overdue_at = Seconds(0.0)
        self.ended = False
        self.reply: Reply | None = None
        self._changed = changed
        self._task: curio.Task | None = None

    async def start(
        self, send: Callable[[OfferObserver], Awaitable[Reply]]
    ) -> None:
        """Send the offer in a task of its own.

        Parameters
        ----------
        send : callable
            Coroutine function that sends the offer and returns the reply. It
            withdraws the offer when it is cancelled.
        """
        self._task = await curio.spawn(self._run, send, daemon=True)

    async def _run(
        self, send: Callable[[OfferObserver], Awaitable[Reply]]
    ) -> None:
        try:
            self.reply = await send(self)
        finally:
            self.ended = True
            await self._changed.set()

    async def observe_overdue(self, report: OverdueReport) -> None:
        """Record that the server takes far longer than usual."""
        self.overdue = report
        self.overdue_at = read_clock()
        await self._changed.set()

    async def get_reply(self) -> Reply:
        """Return the reply of an offer that has ended.

        Raises
        ------
        TaskError
            When sending it has failed.
        """
        assert self._task is not None  # started
        await self._task.join()
        assert self.reply is not None  # ended without an error
        return self.reply

    async def withdraw(self) -> None:
        """Withdraw the offer unless it has ended."""
        if self._task is not None and not self._task.terminated:
            await self._task.cancel()

    def measure_age(self, now: Seconds) -> Seconds:
        """Return the time since the start."""
        return Seconds(now - self.begun_at)

    def measure_run(self, now: Seconds) -> Seconds:
        """Return for how long the server of an overdue offer is at work."""
        assert self.overdue is not None  # checked by the caller
        return Seconds(self.overdue.ran + now - self.overdue_at)


@dataclasses.dataclass(slots=True)
class PlannedEnd:
    """Planned stop of the node, which all its requests see.

    Parameters
    ----------
    begun_at : Seconds or None
        Clock time at which the stop began, None before it.
    rejects_from : Seconds
        Clock time from which new requests are rejected.
    ends_at : Seconds
        Clock time by which every request must have its answer.
    """

    begun_at: Seconds | None = None
    rejects_from: Seconds = Seconds(math.inf)
    ends_at: Seconds = Seconds(math.inf)

    def begin(
        self, now: Seconds, rejects_from: Seconds, ends_at: Seconds
    ) -> None:
        """Begin the stop."""
        self.begun_at = now
        self.rejects_from = rejects_from
        self.ends_at = ends_at

    def measure_age(self, now: Seconds) -> Seconds | None:
        """Return the time since the stop began, None before it."""
        return None if self.begun_at is None else Seconds(now - self.begun_at)


@dataclasses.dataclass(slots=True)
class RequestTask:
    """State of one client request while it is served.

    Parameters
    ----------
    request : ClientRequest
        The request.
    id : RequestId
        Its id.
    route : Route
        Its route.
    service : ServiceName
        Service that runs it.
    deadline : Seconds
        Clock time at which the client or the route ends it.
    search : Search
        Search for home nodes.
    expires_at : Seconds
        Clock time at which the client gives up.
    derived : bool
        Whether it counts as a nested call of a retried request.
    headers : tuple of tuple of bytes
        Headers to forward.
    planned_end : PlannedEnd
        Planned stop of the node, which may end it sooner.
    customer : Customer or None
        Customer that holds the key of the request, None for none.
    age : Seconds
        Time since the first attempt of a client that has returned.

    Attributes
    ----------
    history : AttemptHistory
        Outcomes of the attempts that have ended.
    offers : list of RunningOffer
        Offers without a reply; all but the latest one are overdue.
    changed : curio.Event
        Set when one of them has proceeded.
    follow_ups : FollowUpSearch
        Decides when a server is sought for a further attempt.
    granted_until : Seconds or None
        Clock time until which a home node has paid for the next attempt.
    answered : bool
        Whether a server has answered it.
    unanswered_time : Seconds
        Longest time for which a server was at work without an answer.
    """

    request: ClientRequest
    id: RequestId
    route: Route
    service: ServiceName
    deadline: Seconds
    search: Search
    expires_at: Seconds
    derived: bool
    headers: HeaderFields
    planned_end: PlannedEnd = dataclasses.field(default_factory=PlannedEnd)
    customer: Customer | None = None
    age: Seconds = Seconds(0.0)
    history: AttemptHistory = dataclasses.field(default_factory=AttemptHistory)
    offers: list[RunningOffer] = dataclasses.field(default_factory=list)
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)
    follow_ups: FollowUpSearch = dataclasses.field(
        default_factory=FollowUpSearch
    )
    granted_until: Seconds | None = None
    answered: bool = False
    unanswered_time: Seconds = Seconds(0.0)

    @property
    def ran(self) -> bool:
        """Whether a server has run it, or may have."""
        return self.history.may_have_run or self.answered

    @property
    def answer_by(self) -> Seconds:
        """Clock time by which it has to be answered."""
        return min(self.deadline, self.planned_end.ends_at)

    def count_attempts(self) -> int:
        """Count the attempts that have ended or may be running."""
        return self.history.attempts + len(self.offers)

    def find_overdue(self) -> RunningOffer | None:
        """Return the latest running offer if all of them are overdue."""
        if not self.offers or any(one.overdue is None for one in self.offers):
            return None
        return self.offers[-1]

    def list_overdue(self) -> list[RunningOffer]:
        """List the running offers that are overdue."""
        return [one for one in self.offers if one.overdue is not None]

    def measure_unanswered(self, now: Seconds) -> Seconds:
        """Return the longest time of a server without an answer.

        The latest offer does not count: it may be answered soon.
        """
        running = [
            one.measure_run(now)
            for one in self.offers[:-1]
            if one.overdue is not None
        ]
        return max([self.unanswered_time, *running])

    def take_ended(self) -> list[RunningOffer]:
        """Remove and return the offers that have ended."""
        ended = [offer for offer in self.offers if offer.ended]
        self.offers = [offer for offer in self.offers if not offer.ended]
        return ended
