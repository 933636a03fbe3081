"""Slots of one server and the queue of requests that wait for them."""

import bisect

from egretlever.core import (
    Interval,
    RequestId,
    RouteId,
    Seconds,
    check_parameters,
    require,
)
from egretlever.home._fair_order import CustomerShare
from egretlever.home._rate_limit import RateLimit
from egretlever.home._waiting import SlotTicket, WaitingList, WaitingRequest
from egretlever.placement import ServiceTime

# Estimated service time before the first answer.
INITIAL_SERVICE_TIME = Seconds(0.2)
# Weight of a new answer in the moving average of its route's service time. With
# 0.2 the average reflects a server that has become slow after five answers.
_SERVICE_TIME_SMOOTHING = 0.2
# One slot is reserved from long requests when a more urgent rank has requests
# that are shorter by this factor and make up this share of recent arrivals.
# Without the reservation a short urgent request may wait for a running long one
# for longer than its own latency objective. When urgent requests are rarer, the
# idle slot costs more than it saves.
_LONG_FACTOR = 2.0
_URGENT_SHARE = 0.15
_ARRIVAL_SMOOTHING = 0.03  # smoothing of the arrival share of each rank
# Wait forecasts are too low when service times fall into their long tail, so a
# request is dropped only after this factor times its longest acceptable wait,
# plus this many seconds.
_WAIT_TOLERANCE_FACTOR = 1.5
_WAIT_TOLERANCE_S = 0.05
# Least remaining time of a running request, as a share of the mean: a request
# that exceeds its mean is in the long tail of service times.
_MIN_REMAINING_SHARE = 0.3


class SlotQueue:
    """Priority queue for the slots of one server, by rank, then by arrival.

    It handles a server that is offered more work than it can run. Requests
    wait at the home node, where the number of busy slots is exact, and a
    request that would wait too long is refused at once, so that its entry node
    can place it elsewhere. Urgent requests overtake waiting ones of lower
    ranks, and one slot is reserved for them from floods of long requests of
    lower ranks. Late requests, whose answers can no longer meet the latency
    objective, only get slots that no other request waits for: in a lasting
    overload, a first-come, first-served queue would make all answers late.

    Where tickets name customers, those of one rank share the server by weight
    (`WaitingList`).

    A server may also limit the requests per second. A request then waits for
    its turn as for a slot, so that the forecast waits tell entry nodes of it.

    Parameters
    ----------
    slots : int
        Number of requests that the server runs concurrently.

    Attributes
    ----------
    service_time_ : Seconds
        Moving average of the service time over all routes.

    Examples
    --------
    >>> queue = SlotQueue(1)
    >>> def ticket(name, rank):
    ...     return SlotTicket(name, "r", rank, Seconds(9.0), Seconds(1.0))
    >>> queue.offer(ticket("a", 1), Seconds(0.0))
    True
    >>> [found.request_id for found in queue.start_ready(Seconds(0.0))]
    ['a']
    >>> queue.offer(ticket("b", 1), Seconds(0.0))
    True
    >>> queue.offer(ticket("c", 0), Seconds(0.0))
    True
    >>> queue.finish("a", Seconds(0.1))
    >>> [found.request_id for found in queue.start_ready(Seconds(0.1))]
    ['c']
    """

    def __init__(self, slots: int) -> None:
        check_parameters("SlotQueue", {"slots": slots}, {"slots": Interval(1)})
        self._slots = slots
        self._route_times: dict[RouteId, ServiceTime] = {}
        self._running: dict[RequestId, tuple[SlotTicket, Seconds]] = {}
        self._waiting = WaitingList()
        self._rank_shares: dict[int, float] = {}
        self._latest_routes: dict[int, RouteId] = {}
        self._limit: RateLimit | None = None
        self.service_time_ = INITIAL_SERVICE_TIME

    @property
    def slots(self) -> int:
        """Number of requests that the server runs concurrently."""
        return self._slots

    def resize(self, slots: int) -> None:
        """Change the number of slots; running requests are not stopped."""
        check_parameters("SlotQueue", {"slots": slots}, {"slots": Interval(1)})
        self._slots = slots

    def limit_rate(self, rate: float | None, now: Seconds) -> None:
        """Limit the requests per second that start; None ends the limit."""
        if rate is None:
            self._limit = None
        elif self._limit is None:
            self._limit = RateLimit(rate, now)
        else:
            self._limit.change(rate, now)

    @property
    def limited(self) -> bool:
        """Whether the requests per second are limited."""
        return self._limit is not None

    def count_free(self, now: Seconds) -> int:
        """Return the number of requests that could start at once."""
        free = self._slots - len(self._running)
        if self._limit is not None:
            free = min(free, self._limit.count_allowed(now))
        return max(0, free - len(self._waiting))

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def find_service_time(self, route: RouteId) -> ServiceTime:
        """Return what is known of a route's service time."""
        return self._route_times.get(route, ServiceTime())

    def find_mean_service_time(self, route: RouteId) -> Seconds:
        """Return a route's mean service time, 0 while it is unknown."""
        return self.find_service_time(route).mean

    def estimate_service_time(self, route: RouteId) -> Seconds:
        """Estimate the service time of a request of a route."""
        return self.find_mean_service_time(route) or self.service_time_

    def _count_usable(self, route: RouteId, rank: int) -> int:
        """Return the number of slots open to a route and rank."""
        if self._slots == 1:
            return 1
        limit = self.estimate_service_time(route) / _LONG_FACTOR
        for other, share in self._rank_shares.items():
            if (
                other < rank
                and share > _URGENT_SHARE
                and self.estimate_service_time(self._latest_routes[other])
                < limit
            ):
                return self._slots - 1
        return self._slots

    @property
    def shared(self) -> bool:
        """Whether requests of customers share the server by weight."""
        return self._waiting.shared

    def forecast_wait(
        self,
        route: RouteId,
        rank: int,
        now: Seconds,
        late: bool = False,
        share: CustomerShare | None = None,
    ) -> Seconds:
        """Forecast how long a request would wait for a slot.

        Parameters
        ----------
        route : RouteId
            Route of the request.
        rank : int
            Priority, 0 for the most urgent.
        now : Seconds
            Current time.
        late : bool, default=False
            Whether its answer can no longer meet the latency objective.
        share : CustomerShare, optional
            Place of the request among customers, by default that of a customer
            without recent requests.
        """
        ends = sorted(self._forecast_remaining(now))
        usable = self._count_usable(route, rank)
        while len(ends) < usable:
            ends.insert(0, 0.0)
        ends = ends[-usable:]
        ahead = self._waiting.list_ahead(late, rank, share)
        for other in ahead:
            first = ends.pop(0)
            bisect.insort(
                ends, first + self.estimate_service_time(other.ticket.route)
            )
        if self._limit is None:
            return Seconds(ends[0])
        return max(Seconds(ends[0]), self._limit.measure_wait(now, len(ahead)))

    def _forecast_remaining(self, now: Seconds) -> list[float]:
        ends = []
        for ticket, started in self._running.values():
            mean = self.estimate_service_time(ticket.route)
            ends.append(
                max(mean - (now - started), _MIN_REMAINING_SHARE * mean)
            )
        return ends

    def offer(self, ticket: SlotTicket, now: Seconds) -> bool:
        """Queue a request; return false when it would wait too long.

        A request that has to wait is also refused when its answer is forecast
        to come after its deadline, which would waste a slot.
        """
        self._observe_arrival(ticket)
        wait = self.forecast_wait(
            ticket.route, ticket.rank, now, ticket.late, ticket.share
        )
        misses_deadline = (
            now + wait + self.estimate_service_time(ticket.route)
            > ticket.deadline
        )
        if wait > 0 and (wait > ticket.max_wait or misses_deadline):
            return False
        self._waiting.add(ticket, now)
        return True

    def _observe_arrival(self, ticket: SlotTicket) -> None:
        for rank in self._rank_shares:
            self._rank_shares[rank] *= 1 - _ARRIVAL_SMOOTHING
        share = self._rank_shares.get(ticket.rank, 0.0)
        self._rank_shares[ticket.rank] = share + _ARRIVAL_SMOOTHING
        self._latest_routes[ticket.rank] = ticket.route

    def start_ready(self, now: Seconds) -> list[SlotTicket]:
        """Start waiting requests in free slots and return them."""
        started = []
        for entry in list(self._waiting):
            if len(self._running) >= self._slots or (
                self._limit is not None and not self._limit.count_allowed(now)
            ):
                break
            ticket = entry.ticket
            usable = self._count_usable(ticket.route, ticket.rank)
            if len(self._running) < usable:
                self._waiting.start(entry)
                self._running[ticket.request_id] = (ticket, now)
                if self._limit is not None:
                    self._limit.take(now)
                started.append(ticket)
        return started

    def expire(self, now: Seconds) -> list[SlotTicket]:
        """Remove and return the requests that have waited too long.

        A request is removed when less than half of its mean service time is
        left until its deadline, since few answers take less than that. It is
        also removed when its wait far exceeds the acceptable one because other
        requests have overtaken it: it can still be placed elsewhere or be
        rejected in time.
        """
        expired = [
            waiting.ticket
            for waiting in self._waiting
            if self._is_expired(waiting, now)
        ]
        for ticket in expired:
            self.cancel(ticket.request_id)
        return expired

    def _is_expired(self, waiting: WaitingRequest, now: Seconds) -> bool:
        ticket = waiting.ticket
        if (
            now + 0.5 * self.estimate_service_time(ticket.route)
            > ticket.deadline
        ):
            return True
        tolerated = _WAIT_TOLERANCE_FACTOR * ticket.max_wait + _WAIT_TOLERANCE_S
        return now - waiting.since > tolerated

    def cancel(self, request_id: RequestId) -> None:
        """Remove a waiting request."""
        self._waiting.cancel(request_id)

    def finish(
        self,
        request_id: RequestId,
        now: Seconds,
        answered: bool = True,
        unanswered: bool = False,
    ) -> None:
        """Free the slot of a running request.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.
        now : Seconds
            Current time.
        answered : bool, default=True
            Whether its service time counts towards the moving averages.
        unanswered : bool, default=False
            Whether the server was still at work on it.
        """
        found = self._running.pop(request_id, None)
        require("finished-request-was-running", found is not None, request_id)
        assert found is not None
        self._waiting.observe_idle_slot()
        ticket, started = found
        took = Seconds(now - started)
        if answered:
            self._observe_service_time(ticket.route, took)
        elif unanswered:
            self._find_or_add(ticket.route).observe_longer(took)

    def _find_or_add(self, route: RouteId) -> ServiceTime:
        return self._route_times.setdefault(route, ServiceTime())

    def _observe_service_time(self, route: RouteId, time: Seconds) -> None:
        self._find_or_add(route).observe(time, time, _SERVICE_TIME_SMOOTHING)
        mean = self.service_time_
        self.service_time_ = Seconds(
            mean + _SERVICE_TIME_SMOOTHING * (time - mean)
        )
