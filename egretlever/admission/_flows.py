"""Stochastic fair queue of one rank, with callers hashed into flows."""

import collections
import heapq
import zlib

from egretlever.admission._interface import Ticket

_HeapItem = tuple[float, float, int, "QueuedTicket"]


class QueuedTicket:
    """A ticket in a queue, with what is needed to remove it.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    number : int
        Sequence number, which breaks ties in favour of the older ticket.
    flow : int
        Flow that the caller is hashed to.
    queue : RankQueue
        Queue that holds the ticket.
    """

    __slots__ = ("flow", "removed", "number", "queue", "ticket")

    def __init__(
        self, ticket: Ticket, number: int, flow: int, queue: "RankQueue"
    ) -> None:
        self.ticket = ticket
        self.number = number
        self.flow = flow
        self.queue = queue
        self.removed = False

    def make_heap_item(self) -> _HeapItem:
        """Return the heap entry: earliest deadline, then highest worth."""
        ticket = self.ticket
        return (ticket.deadline, -ticket.worth, self.number, self)


class _Flow:
    """Heap of one flow with lazy deletion.

    Removed entries stay in the heap until they reach its top, or until they
    outnumber the waiting ones.
    """

    __slots__ = ("heap", "length")

    def __init__(self) -> None:
        self.heap: list[_HeapItem] = []
        self.length = 0

    def discard_removed(self) -> None:
        while self.heap and self.heap[0][3].removed:
            heapq.heappop(self.heap)
        if len(self.heap) > 2 * self.length + 16:
            self.heap = [item for item in self.heap if not item[3].removed]
            heapq.heapify(self.heap)


class RankQueue:
    """Waiting tickets of one rank of one service.

    Callers are hashed into a bounded number of flows, which are served round
    robin. Within a flow the earliest deadline comes first, then the highest
    worth.

    Parameters
    ----------
    flows : int, default=64
        Number of flows.
    salt : int, default=0
        Changes which callers share a flow.

    Examples
    --------
    >>> len(RankQueue())
    0
    """

    __slots__ = ("_flow_count", "_flows", "_length", "_salt", "_round_robin")

    def __init__(self, flows: int = 64, salt: int = 0) -> None:
        self._flow_count = flows
        self._salt = salt
        self._flows: dict[int, _Flow] = {}
        self._round_robin: collections.deque[int] = collections.deque()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def hash_caller(self, ticket: Ticket) -> int:
        """Return the flow that the ticket's caller is hashed to."""
        caller = ticket.caller.encode()
        return zlib.crc32(caller, self._salt) % self._flow_count

    def count_ahead(self, flow: int) -> int:
        """Return how many tickets would be dispatched before a new one."""
        own = self._flows.get(flow)
        if own is None:
            return min(self._length, len(self._flows))
        return min(self._length, (own.length + 1) * len(self._flows))

    def push(self, queued: QueuedTicket) -> None:
        """Add a ticket."""
        flow = self._flows.get(queued.flow)
        if flow is None:
            flow = self._flows[queued.flow] = _Flow()
            self._round_robin.append(queued.flow)
        heapq.heappush(flow.heap, queued.make_heap_item())
        flow.length += 1
        self._length += 1

    def pop(self) -> QueuedTicket:
        """Remove and return the first ticket of the next flow."""
        number = self._round_robin[0]
        queued = self._flows[number].heap[0][3]
        self._round_robin.rotate(-1)
        self.discard(queued)
        return queued

    def discard(self, queued: QueuedTicket) -> None:
        """Remove a ticket from any position."""
        queued.removed = True
        flow = self._flows[queued.flow]
        flow.length -= 1
        self._length -= 1
        if flow.length == 0:
            del self._flows[queued.flow]
            self._round_robin.remove(queued.flow)
        else:
            flow.discard_removed()

    def find_least_urgent(self) -> QueuedTicket:
        """Return the last ticket of the longest flow."""
        flow = max(self._flows.values(), key=lambda flow: flow.length)
        return max(item for item in flow.heap if not item[3].removed)[3]

    def is_longest(self, flow: int) -> bool:
        """Whether no other flow has more waiting tickets."""
        own = self._flows.get(flow)
        length = 0 if own is None else own.length
        return all(other.length <= length for other in self._flows.values())
