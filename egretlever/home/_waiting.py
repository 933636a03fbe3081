"""Waiting requests of one server in the order of service."""

import bisect
import dataclasses
import math
import operator
from collections.abc import Iterator

from egretlever.core import RequestId, RouteId, Seconds
from egretlever.home._fair_order import CustomerShare, FairOrder, FairPlace


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTicket:
    """A request for a slot.

    Parameters
    ----------
    request_id : RequestId
        Id of the request.
    route : RouteId
        Route of the request, whose mean service time is its forecast.
    rank : int
        Priority, 0 for the most urgent.
    deadline : Seconds
        Time after which the answer is of no use.
    max_wait : Seconds
        Longest acceptable wait for a slot.
    late : bool
        Whether its answer can no longer meet the latency objective.
    share : CustomerShare, optional
        Place of the request among customers; none if there are no customers.
    """

    request_id: RequestId
    route: RouteId
    rank: int
    deadline: Seconds
    max_wait: Seconds
    late: bool = False
    share: CustomerShare | None = None


class WaitingRequest:
    """A waiting request; keys sort in the order of service.

    Parameters
    ----------
    ticket : SlotTicket
        The request.
    arrival : int
        Number of its arrival.
    since : Seconds
        Time of its arrival.

    Attributes
    ----------
    key : tuple
        Lateness, rank, virtual start time and arrival.
    place : FairPlace or None
        Its place among customers.
    """

    __slots__ = ("key", "place", "since", "ticket")

    def __init__(
        self, ticket: SlotTicket, arrival: int, since: Seconds
    ) -> None:
        self.ticket = ticket
        self.since = since
        self.place: FairPlace | None = None
        if ticket.share is not None:
            self.place = FairPlace(ticket.share, arrival)
        self.key = (ticket.late, ticket.rank, 0.0, arrival)

    def update_key(self) -> None:
        """Take over the virtual start time of the place."""
        if self.place is not None:
            late, rank, _, arrival = self.key
            self.key = (late, rank, self.place.start, arrival)


_read_key = operator.attrgetter("key")


class WaitingList:
    """Waiting requests by lateness, rank, share of the customer and arrival.

    Where tickets name customers, those of the same lateness and rank share the
    server by weight, so that a flood of one customer waits behind the others.
    Otherwise the order is that of arrival.
    """

    def __init__(self) -> None:
        self._requests: list[WaitingRequest] = []
        # By lateness and rank; empty while no ticket names a customer.
        self._orders: dict[tuple[bool, int], FairOrder] = {}
        self._arrivals = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate over the waiting requests in the order of service."""
        return iter(self._requests)

    @property
    def shared(self) -> bool:
        """Whether requests of customers share the server by weight."""
        return bool(self._orders)

    def list_ahead(
        self, late: bool, rank: int, share: CustomerShare | None
    ) -> list[WaitingRequest]:
        """List the requests that would be served before a further one.

        Parameters
        ----------
        late : bool
            Whether its answer can no longer meet the latency objective.
        rank : int
            Priority, 0 for the most urgent.
        share : CustomerShare or None
            Its place among customers, None for that of a customer without
            recent requests.
        """
        if not self._requests:
            return []
        start, moved = 0.0, None
        order = self._orders.get((late, rank))
        if order is not None and share is not None:
            start, moved = order.forecast_start(share)
        elif order is not None:
            start = order.virtual_time_
        end = bisect.bisect_right(
            self._requests, (late, rank, start, math.inf), key=_read_key
        )
        ahead = self._requests[:end]
        if moved is not None:
            ahead = [one for one in ahead if one.place is not moved]
        return ahead

    def add(self, ticket: SlotTicket, now: Seconds) -> None:
        """Add a request."""
        self._arrivals += 1
        waiting = WaitingRequest(ticket, self._arrivals, now)
        if waiting.place is not None and self._place(waiting, waiting.place):
            self._requests.append(waiting)
            self._reorder()
        else:
            bisect.insort(self._requests, waiting, key=_read_key)

    def _place(self, waiting: WaitingRequest, place: FairPlace) -> bool:
        """Place a request among customers; true when others have moved."""
        order = self._orders.get(waiting.key[:2])
        if order is None:
            order = self._orders[waiting.key[:2]] = FairOrder()
        moved = order.add(place)
        waiting.update_key()
        return moved

    def _reorder(self) -> None:
        for waiting in self._requests:
            waiting.update_key()
        self._requests.sort(key=_read_key)

    def start(self, waiting: WaitingRequest) -> None:
        """Remove a request that starts."""
        self._requests.remove(waiting)
        if waiting.place is not None and self._orders[waiting.key[:2]].start(
            waiting.place
        ):
            self._reorder()

    def cancel(self, request_id: RequestId) -> None:
        """Remove a request that does not start here, if it is waiting."""
        kept, moved = [], False
        for waiting in self._requests:
            if waiting.ticket.request_id != request_id:
                kept.append(waiting)
            elif waiting.place is not None:
                order = self._orders[waiting.key[:2]]
                moved |= order.remove(waiting.place)
        self._requests = kept
        if moved:
            self._reorder()

    def observe_idle_slot(self) -> None:
        """Forget who has been served if nobody waits for the idle slot."""
        if not self._requests:
            self._orders.clear()
