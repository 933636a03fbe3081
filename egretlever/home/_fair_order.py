"""Order in which the waiting requests of customers share one server."""

import bisect
import dataclasses
import operator

from egretlever.core import CustomerId, Seconds

# Customers with a virtual time from which those that are idle are removed.
_MIN_FLOWS_TO_SWEEP = 64
_read_first_at = operator.attrgetter("share.first_at")
_read_order = operator.attrgetter("share.first_at", "arrival")


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerShare:
    """What gives a request its place among those of all customers.

    Parameters
    ----------
    customer : CustomerId
        Customer of the request, empty for none.
    weight : float
        Weight of the customer.
    first_at : Seconds
        Clock time of the first attempt of the request.
    """

    customer: CustomerId
    weight: float
    first_at: Seconds


@dataclasses.dataclass(slots=True)
class FairPlace:
    """Place of a waiting request.

    Parameters
    ----------
    share : CustomerShare
        What gives the request its place.
    arrival : int
        Number of its arrival.
    start : float
        Virtual start time; it changes with other requests of the customer.
    """

    share: CustomerShare
    arrival: int
    start: float = 0.0


@dataclasses.dataclass(slots=True)
class _Flow:
    """Requests of one customer.

    Parameters
    ----------
    weight : float
        Weight of the customer.
    end : float
        Virtual end of the latest request that has started.
    waiting : list of FairPlace
        Waiting requests, those with the oldest first attempts first.
    """

    weight: float
    end: float
    waiting: list[FairPlace] = dataclasses.field(default_factory=list)

    def assign_starts(self, start: float) -> None:
        """Assign virtual start times from a time on."""
        for place in self.waiting:
            place.start = start
            start += 1 / self.weight


class FairOrder:
    """Weighted fair queueing over customers (start-time fair queueing).

    It handles a flood of one customer's requests at a full server. Each request
    that starts moves its customer forward by 1 / weight in virtual time, and
    the request with the least virtual start time is next. A customer that asks
    for less than its share does not wait behind the flood. Within a customer,
    requests whose first attempts are older go first.

    Attributes
    ----------
    virtual_time_ : float
        Virtual start time of the request that has started last.

    Examples
    --------
    >>> def place(customer, arrival):
    ...     share = CustomerShare(customer, 1.0, Seconds(0.0))
    ...     return FairPlace(share, arrival)
    >>> order, places = FairOrder(), [place("a", 1), place("a", 2)]
    >>> [order.add(found) for found in places]
    [False, False]
    >>> other = place("b", 3)
    >>> order.add(other)
    False
    >>> [found.start for found in (*places, other)]
    [0.0, 1.0, 0.0]
    """

    __slots__ = ("_flows", "_sweep_at", "virtual_time_")

    def __init__(self) -> None:
        self.virtual_time_ = 0.0
        self._flows: dict[CustomerId, _Flow] = {}
        self._sweep_at = _MIN_FLOWS_TO_SWEEP

    def __len__(self) -> int:
        """Return the number of customers with state."""
        return len(self._flows)

    def forecast_start(
        self, share: CustomerShare
    ) -> tuple[float, FairPlace | None]:
        """Forecast the virtual start time of one more request.

        Returns
        -------
        tuple of float and FairPlace or None
            The start time, and the request that would have to leave it.
        """
        flow = self._flows.get(share.customer)
        if flow is None:
            return self.virtual_time_, None
        ahead = bisect.bisect_right(
            flow.waiting, share.first_at, key=_read_first_at
        )
        start = self._find_first_start(flow) + ahead / share.weight
        moved = flow.waiting[ahead] if ahead < len(flow.waiting) else None
        return start if moved is None else moved.start, moved

    def _find_first_start(self, flow: _Flow) -> float:
        if flow.waiting:
            return flow.waiting[0].start
        return max(self.virtual_time_, flow.end)

    def add(self, place: FairPlace) -> bool:
        """Add a waiting request, and assign its virtual start time.

        Returns
        -------
        bool
            Whether the start times of others have changed.
        """
        share = place.share
        flow = self._flows.get(share.customer)
        if flow is None:
            flow = _Flow(share.weight, self.virtual_time_)
            self._flows[share.customer] = flow
        start = self._find_first_start(flow)
        flow.weight = share.weight
        bisect.insort(flow.waiting, place, key=_read_order)
        flow.assign_starts(start)
        return flow.waiting[-1] is not place

    def start(self, place: FairPlace) -> bool:
        """Remove a request that starts; its customer moves forward.

        Returns
        -------
        bool
            Whether the start times of others have changed.
        """
        flow = self._flows[place.share.customer]
        first = flow.waiting[0]
        start = first.start
        flow.waiting.remove(place)
        flow.end = start + 1 / flow.weight
        self.virtual_time_ = max(self.virtual_time_, start)
        if place is not first:
            flow.assign_starts(flow.end)
        self._sweep()
        return place is not first

    def remove(self, place: FairPlace) -> bool:
        """Remove a waiting request that does not start here.

        Returns
        -------
        bool
            Whether the start times of others have changed.
        """
        flow = self._flows[place.share.customer]
        start = flow.waiting[0].start
        flow.waiting.remove(place)
        flow.assign_starts(start)
        return bool(flow.waiting)

    def _sweep(self) -> None:
        """Remove customers that are not ahead of the virtual time."""
        if len(self._flows) < self._sweep_at:
            return
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiting or flow.end > self.virtual_time_
        }
        self._sweep_at = max(_MIN_FLOWS_TO_SWEEP, 2 * len(self._flows))
