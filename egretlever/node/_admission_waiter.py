"""Waiting for admission: the tasks behind the tickets of `Admission`."""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

import curio

from egretlever.admission import (
    Admission,
    Admitted,
    Capacity,
    Pause,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    Ticket,
)
from egretlever.core import AttemptResult, Seconds, ServiceName, require
from egretlever.transport import read_clock

_GONE_CHECK = 0.25  # seconds between looks for a caller that went away


class AbandonedError(Exception):
    """The caller of a waiting ticket went away."""


class RefusedError(Exception):
    """A ticket was not dispatched, so its attempt was not run.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    retry_after : Seconds
        Wait after which another try makes sense.
    """

    def __init__(self, reason: RefusalReason, retry_after: Seconds) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after = retry_after


@dataclasses.dataclass(slots=True)
class _Waiter:
    event: curio.Event
    refused: Refused | None = None
    dispatched: bool = False


class Gate:
    """Lets tasks wait until admission dispatches their tickets.

    Parameters
    ----------
    admission : Admission
        Decides which tickets are dispatched.
    """

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._waiters: dict[Ticket, _Waiter] = {}
        self._entered = 0

    def configure(
        self,
        services: Iterable[ServicePolicy],
        ranks: Sequence[RankPolicy],
        now: Seconds,
    ) -> None:
        """Give admission the services and ranks of a new catalogue."""
        self._admission.configure(services, now, ranks)

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Tell admission that the loop stood still."""
        self._admission.observe(Pause(duration), now)

    @property
    def waiting(self) -> int:
        """Number of waiting tickets."""
        return len(self._waiters)

    @property
    def entered(self) -> int:
        """Number of dispatched tickets that have not left."""
        return self._entered

    def offer_capacity(
        self, service: ServiceName, slots: int, now: Seconds
    ) -> None:
        """Tell admission how many slots routing can offer."""
        self._admission.observe(Capacity(service, slots), now)

    async def enter(
        self, ticket: Ticket, is_abandoned: Callable[[], bool]
    ) -> None:
        """Wait until a ticket is dispatched.

        Parameters
        ----------
        ticket : Ticket
            Ticket that is offered for the first time.
        is_abandoned : callable
            Tells without waiting whether the caller went away.

        Raises
        ------
        AbandonedError
            When the caller went away while the ticket waited.
        RefusedError
            When the ticket was refused or expired.
        """
        answer = self._admission.offer(ticket, read_clock())
        if isinstance(answer, Admitted):
            self._entered += 1
            await self.advance()
            return
        if isinstance(answer, Refused):
            raise RefusedError(answer.reason, answer.retry_after)
        waiter = self._waiters[ticket] = _Waiter(curio.Event())
        try:
            await self.advance()
            await self._wait(ticket, waiter, is_abandoned)
        except (curio.CancelledError, AbandonedError):
            await self._abandon(ticket, waiter)
            raise
        if waiter.refused is not None:
            refused = waiter.refused
            raise RefusedError(refused.reason, refused.retry_after)

    async def _wait(
        self,
        ticket: Ticket,
        waiter: _Waiter,
        is_abandoned: Callable[[], bool],
    ) -> None:
        while not waiter.event.is_set():
            left = max(0.0, ticket.deadline - read_clock())
            pause = min(left + 0.001, _GONE_CHECK)
            if await curio.ignore_after(pause, waiter.event.wait()):
                continue
            if is_abandoned():
                raise AbandonedError
            if left <= pause:
                await self.advance()

    async def _abandon(self, ticket: Ticket, waiter: _Waiter) -> None:
        self._waiters.pop(ticket, None)
        now = read_clock()
        if waiter.dispatched:
            await self.leave(ticket, AttemptResult.CANCELLED, Seconds(0.0))
        else:
            self._admission.withdraw(ticket, now)

    async def leave(
        self, ticket: Ticket, result: AttemptResult, latency: Seconds
    ) -> None:
        """Report the end of a dispatched ticket."""
        self._entered -= 1
        require("gate-count-not-negative", self._entered >= 0)
        self._admission.finish(ticket, result, latency, read_clock())
        await self.advance()

    async def advance(self) -> None:
        """Move admission forward and wake the tasks whose tickets left."""
        departures = self._admission.advance(read_clock())
        for ticket in departures.dispatched:
            await self._wake(ticket, None)
        for ticket in departures.expired:
            refused = Refused(RefusalReason.DEADLINE_PASSED)
            await self._wake(ticket, refused)
        for ticket, refused in departures.refused:
            await self._wake(ticket, refused)

    async def _wake(self, ticket: Ticket, refused: Refused | None) -> None:
        waiter = self._waiters.pop(ticket, None)
        if waiter is None:
            return
        waiter.refused = refused
        waiter.dispatched = refused is None
        if waiter.dispatched:
            self._entered += 1
        await waiter.event.set()
