"""Suspends the task of an attempt until admission dispatches its ticket."""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

import curio

from egretlever.admission import (
    Admission,
    Admitted,
    Capacity,
    LoopPause,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    Ticket,
)
from egretlever.core import AttemptResult, Seconds, ServiceName, require
from egretlever.transport import read_clock

# Seconds between checks whether the caller has disconnected.
_DISCONNECT_CHECK_INTERVAL = 0.25


class AbandonedError(Exception):
    """The caller of a queued attempt has disconnected."""


class RefusedError(Exception):
    """Admission did not dispatch the ticket, so its attempt was not run.

    Parameters
    ----------
    reason : RefusalReason
        Why the ticket was refused.
    retry_after : Seconds
        Time after which a retry may be admitted.
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


class AdmissionWaiter:
    """Suspends tasks until admission dispatches their tickets.

    Parameters
    ----------
    admission : Admission
        Decides which tickets are dispatched and when.
    """

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._waiters: dict[Ticket, _Waiter] = {}
        self._dispatched_count = 0

    def configure(
        self,
        services: Iterable[ServicePolicy],
        ranks: Sequence[RankPolicy],
        now: Seconds,
    ) -> None:
        """Pass the services and ranks of a new catalogue to admission."""
        self._admission.configure(services, now, ranks)

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Report to admission that the event loop was blocked."""
        self._admission.observe(LoopPause(duration), now)

    @property
    def waiting_count(self) -> int:
        """Number of queued tickets."""
        return len(self._waiters)

    @property
    def dispatched_count(self) -> int:
        """Number of dispatched tickets that have not finished."""
        return self._dispatched_count

    def report_capacity(
        self, service: ServiceName, slots: int, now: Seconds
    ) -> None:
        """Report to admission how many slots routing has for a service."""
        self._admission.observe(Capacity(service, slots), now)

    async def wait_for_dispatch(
        self, ticket: Ticket, is_caller_disconnected: Callable[[], bool]
    ) -> None:
        """Wait until a ticket is dispatched.

        Parameters
        ----------
        ticket : Ticket
            Ticket that admission has not seen before.
        is_caller_disconnected : callable
            Returns without blocking whether the caller has disconnected.

        Raises
        ------
        AbandonedError
            When the caller disconnected while the ticket was queued.
        RefusedError
            When the ticket was refused, or expired in the queue.
        """
        decision = self._admission.offer(ticket, read_clock())
        if isinstance(decision, Admitted):
            self._dispatched_count += 1
            await self.advance()
            return
        if isinstance(decision, Refused):
            raise RefusedError(decision.reason, decision.retry_after)
        waiter = self._waiters[ticket] = _Waiter(curio.Event())
        try:
            await self.advance()
            await self._wait(ticket, waiter, is_caller_disconnected)
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
        is_caller_disconnected: Callable[[], bool],
    ) -> None:
        while not waiter.event.is_set():
            left = max(0.0, ticket.deadline - read_clock())
            wait = min(left + 0.001, _DISCONNECT_CHECK_INTERVAL)
            if await curio.ignore_after(wait, waiter.event.wait()):
                continue
            if is_caller_disconnected():
                raise AbandonedError
            if left <= wait:
                await self.advance()

    async def _abandon(self, ticket: Ticket, waiter: _Waiter) -> None:
        self._waiters.pop(ticket, None)
        now = read_clock()
        if waiter.dispatched:
            await self.finish(ticket, AttemptResult.CANCELLED, Seconds(0.0))
        else:
            self._admission.cancel(ticket, now)

    async def finish(
        self, ticket: Ticket, result: AttemptResult, latency: Seconds
    ) -> None:
        """Report to admission that a dispatched ticket has finished."""
        self._dispatched_count -= 1
        require("gate-count-not-negative", self._dispatched_count >= 0)
        self._admission.finish(ticket, result, latency, read_clock())
        await self.advance()

    async def advance(self) -> None:
        """Advance admission and resume tasks whose tickets left the queue."""
        departures = self._admission.advance(read_clock())
        for ticket in departures.dispatched:
            await self._resolve(ticket, None)
        for ticket in departures.expired:
            refused = Refused(RefusalReason.DEADLINE_PASSED)
            await self._resolve(ticket, refused)
        for ticket, refused in departures.refused:
            await self._resolve(ticket, refused)

    async def _resolve(self, ticket: Ticket, refused: Refused | None) -> None:
        waiter = self._waiters.pop(ticket, None)
        if waiter is None:
            return
        waiter.refused = refused
        waiter.dispatched = refused is None
        if waiter.dispatched:
            self._dispatched_count += 1
        await waiter.event.set()
