"""Queue of one rank, fair among callers."""

import collections
import heapq
import zlib

from egretlever.admission._interface import Ticket

_Item = tuple[float, float, int, "Waiting"]


class Waiting:
    """A waiting ticket with its place in the queues.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    number : int
        Grows with each ticket; breaks ties.
    flow : int
        Flow that the caller hashes to.
    queue : RankQueue
        Queue that holds the ticket.
    """

    __slots__ = ("flow", "left", "number", "queue", "ticket")

    def __init__(
        self, ticket: Ticket, number: int, flow: int, queue: "RankQueue"
    ) -> None:
        self.ticket = ticket
        self.number = number
        self.flow = flow
        self.queue = queue
        self.left = False

    def make_item(self) -> _Item:
        """Return the entry of a heap: earliest deadline, then most worth."""
        ticket = self.ticket
        return (ticket.deadline, -ticket.worth, self.number, self)


class _Flow:
    """Heap of one flow. Entries that left stay until they are popped."""

    __slots__ = ("heap", "length")

    def __init__(self) -> None:
        self.heap: list[_Item] = []
        self.length = 0

    def drop_left(self) -> None:
        while self.heap and self.heap[0][3].left:
            heapq.heappop(self.heap)
        if len(self.heap) > 2 * self.length + 16:
            self.heap = [item for item in self.heap if not item[3].left]
            heapq.heapify(self.heap)


class RankQueue:
    """Waiting tickets of one rank of one service.

    Callers hash into a bounded number of flows, which take turns. Within a
    flow the earliest deadline comes first, then the most worth.

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

    __slots__ = ("_flow_count", "_flows", "_length", "_salt", "_turns")

    def __init__(self, flows: int = 64, salt: int = 0) -> None:
        self._flow_count = flows
        self._salt = salt
        self._flows: dict[int, _Flow] = {}
        self._turns: collections.deque[int] = collections.deque()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def find_flow(self, ticket: Ticket) -> int:
        """Return the flow of the ticket's caller."""
        caller = ticket.caller.encode()
        return zlib.crc32(caller, self._salt) % self._flow_count

    def count_ahead(self, flow: int) -> int:
        """Return the dispatches before a new ticket of a flow."""
        own = self._flows.get(flow)
        if own is None:
            return min(self._length, len(self._flows))
        return min(self._length, (own.length + 1) * len(self._flows))

    def push(self, waiting: Waiting) -> None:
        """Add a ticket."""
        flow = self._flows.get(waiting.flow)
        if flow is None:
            flow = self._flows[waiting.flow] = _Flow()
            self._turns.append(waiting.flow)
        heapq.heappush(flow.heap, waiting.make_item())
        flow.length += 1
        self._length += 1

    def pop(self) -> Waiting:
        """Remove and return the next ticket of the flow whose turn it is."""
        number = self._turns[0]
        waiting = self._flows[number].heap[0][3]
        self._turns.rotate(-1)
        self.discard(waiting)
        return waiting

    def discard(self, waiting: Waiting) -> None:
        """Remove a ticket wherever it stands."""
        waiting.left = True
        flow = self._flows[waiting.flow]
        flow.length -= 1
        self._length -= 1
        if flow.length == 0:
            del self._flows[waiting.flow]
            self._turns.remove(waiting.flow)
        else:
            flow.drop_left()

    def find_least_urgent(self) -> Waiting:
        """Return the last ticket of the longest flow."""
        flow = max(self._flows.values(), key=lambda flow: flow.length)
        return max(item for item in flow.heap if not item[3].left)[3]

    def is_longest(self, flow: int) -> bool:
        """Whether no other flow holds more tickets."""
        own = self._flows.get(flow)
        length = 0 if own is None else own.length
        return all(other.length <= length for other in self._flows.values())
