"""Requests of a home node that wait for a slot of its server."""

from collections.abc import Awaitable, Callable

import curio

from egretlever.core import RequestId, Seconds
from egretlever.home import SlotQueue, SlotTicket
from egretlever.transport import read_clock

_EXPIRY_INTERVAL = 0.05  # seconds between checks for expired requests


class SlotWaiter:
    """Lets requests wait until the queue starts or expires them.

    Parameters
    ----------
    report_change : callable
        Coroutine function that is called when requests may have started.

    Attributes
    ----------
    queue : SlotQueue
        Decides which requests wait and which start.
    """

    def __init__(self, report_change: Callable[[], Awaitable[None]]) -> None:
        self.queue = SlotQueue(1)
        self._report_change = report_change
        self._slot_events: dict[RequestId, curio.Event] = {}
        self._expired: set[RequestId] = set()
        self._has_waiting = curio.Event()

    async def wait(self, ticket: SlotTicket) -> bool:
        """Wait for a slot; false when the request expired while it waited.

        Parameters
        ----------
        ticket : SlotTicket
            The request, which the queue has accepted.
        """
        slot_event = self._slot_events[ticket.request_id] = curio.Event()
        try:
            await self._start_ready()
            if not slot_event.is_set():
                await self._has_waiting.set()
            await slot_event.wait()
        except curio.CancelledError:
            if slot_event.is_set() and ticket.request_id not in self._expired:
                await self.finish(ticket.request_id, answered=False)
            else:
                self.queue.cancel(ticket.request_id)
            raise
        finally:
            del self._slot_events[ticket.request_id]
        expired = ticket.request_id in self._expired
        self._expired.discard(ticket.request_id)
        return not expired

    async def finish(
        self,
        request_id: RequestId,
        answered: bool = True,
        unanswered: bool = False,
    ) -> None:
        """Free the slot of a running request, and start the next ones.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.
        answered, unanswered : bool
            As for `SlotQueue.finish`.
        """
        self.queue.finish(request_id, read_clock(), answered, unanswered)
        await self._start_ready()

    async def _start_ready(self) -> None:
        now = read_clock()
        if self.queue.shared:
            # A request that has become useless must not take a slot.
            await self._expire(now)
        for ticket in self.queue.start_ready(now):
            await self._slot_events[ticket.request_id].set()
        await self._report_change()

    async def expire_forever(self) -> None:
        """Refuse queued requests that could no longer finish in time.

        Those whose turn comes by the limit of the server are started.
        """
        while True:
            await self._has_waiting.wait()
            self._has_waiting.clear()
            while self.queue.count_waiting():
                await curio.sleep(_EXPIRY_INTERVAL)
                await self._expire(read_clock())
                if self.queue.limited:
                    await self._start_ready()

    async def _expire(self, now: Seconds) -> None:
        for ticket in self.queue.expire(now):
            self._expired.add(ticket.request_id)
            await self._slot_events[ticket.request_id].set()
