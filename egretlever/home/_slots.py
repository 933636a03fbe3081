"""Slots of one server, and the requests that wait for them."""

import bisect
import dataclasses

from egretlever.core import (
    Interval,
    RequestId,
    RouteId,
    Seconds,
    check_parameters,
    require,
)

# Time of a request whose route has no answers yet; the next answers replace it.
FIRST_ESTIMATE = Seconds(0.2)
# Weight of a new answer in the mean time of its route. With 0.2 a server that
# turns slow shows after five answers.
_NEW_WEIGHT = 0.2
# Long requests leave one slot to more urgent ones that are this many times
# shorter and make up this share of recent arrivals. Without it a short urgent
# request waits for the rest of a long one, which can be more than its own
# objective; for a few urgent requests the idle slot would cost more.
_LONG_FACTOR = 2.0
_URGENT_SHARE = 0.15
_ARRIVAL_WEIGHT = 0.03  # weight of one arrival in the share of its rank
# A forecast errs by the tail of work times, so a request may wait for this
# many times its longest wait, and this many seconds, before it is dropped.
_PATIENCE = 1.5
_MIN_PATIENCE = 0.05
# A request that has run for its mean time still needs a part of it: work times
# have a long tail.
_REST_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTicket:
    """A request that wants a slot.

    Parameters
    ----------
    request_id : RequestId
        Id of the request.
    route : RouteId
        Route, whose mean time forecasts the request's.
    rank : int
        Priority, 0 for the most urgent.
    deadline : Seconds
        Reading of the clock after which the answer is useless.
    max_wait : Seconds
        Longest acceptable wait.
    late : bool
        Its answer can't be on time any more.
    """

    request_id: RequestId
    route: RouteId
    rank: int
    deadline: Seconds
    max_wait: Seconds
    late: bool = False


@dataclasses.dataclass(order=True, frozen=True, slots=True)
class _Waiting:
    """A waiting request, in the order in which slots are given."""

    late: bool
    rank: int
    arrival: int
    ticket: SlotTicket = dataclasses.field(compare=False)
    since: Seconds = dataclasses.field(compare=False)


class SlotQueue:
    """Gives the slots of one server to requests by rank, then by arrival.

    It answers the load pattern of a server that gets more work than it can
    run: work waits here, where the count of busy slots is exact, and a request
    that would wait too long is refused at once, so that its entry node can
    place it elsewhere. Urgent requests overtake waiting ones of lower ranks,
    and find a slot that a flood of long requests of lower ranks leaves free.
    Requests that can't be on time any more take slots that no other wants: in
    a lasting overload of first come, first served, all answers would be late.

    Parameters
    ----------
    slots : int
        Requests that the server runs at the same time.

    Attributes
    ----------
    service_time_ : Seconds
        Mean time of all recent requests at the server.

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
        self._times: dict[RouteId, Seconds] = {}
        self._running: dict[RequestId, tuple[SlotTicket, Seconds]] = {}
        self._waiting: list[_Waiting] = []
        self._shares: dict[int, float] = {}
        self._latest: dict[int, RouteId] = {}
        self._arrivals = 0
        self.service_time_ = FIRST_ESTIMATE

    @property
    def slots(self) -> int:
        """Requests that the server runs at the same time."""
        return self._slots

    def resize(self, slots: int) -> None:
        """Change the number of slots; running requests keep theirs."""
        check_parameters("SlotQueue", {"slots": slots}, {"slots": Interval(1)})
        self._slots = slots

    def count_free(self) -> int:
        """Count the slots that neither run nor are waited for."""
        taken = len(self._running) + len(self._waiting)
        return max(0, self._slots - taken)

    def count_waiting(self) -> int:
        """Count the requests that wait."""
        return len(self._waiting)

    def find_time(self, route: RouteId) -> Seconds:
        """Return the mean time of a route, 0 before its first answer."""
        return self._times.get(route, Seconds(0.0))

    def estimate(self, route: RouteId) -> Seconds:
        """Estimate the time of a request of a route at the server."""
        return self._times.get(route, self.service_time_)

    def _count_usable(self, route: RouteId, rank: int) -> int:
        """Count the slots that requests of a route and rank may take."""
        if self._slots == 1:
            return 1
        limit = self.estimate(route) / _LONG_FACTOR
        for other, share in self._shares.items():
            if (
                other < rank
                and share > _URGENT_SHARE
                and self.estimate(self._latest[other]) < limit
            ):
                return self._slots - 1
        return self._slots

    def forecast_wait(
        self, route: RouteId, rank: int, now: Seconds, late: bool = False
    ) -> Seconds:
        """Forecast how long a request would wait for a slot."""
        ends = sorted(self._forecast_ends(now))
        usable = self._count_usable(route, rank)
        while len(ends) < usable:
            ends.insert(0, 0.0)
        ends = ends[-usable:]
        for other in self._waiting:
            if (other.late, other.rank) > (late, rank):
                break
            first = ends.pop(0)
            bisect.insort(ends, first + self.estimate(other.ticket.route))
        return Seconds(ends[0])

    def _forecast_ends(self, now: Seconds) -> list[float]:
        ends = []
        for ticket, started in self._running.values():
            mean = self.estimate(ticket.route)
            ends.append(max(mean - (now - started), _REST_SHARE * mean))
        return ends

    def offer(self, ticket: SlotTicket, now: Seconds) -> bool:
        """Queue a request; false when it would wait too long.

        A request is also refused when the forecast answer would come after
        its deadline, since a slot spent on it would serve nobody.
        """
        self._observe_arrival(ticket)
        wait = self.forecast_wait(ticket.route, ticket.rank, now, ticket.late)
        useless = now + wait + self.estimate(ticket.route) > ticket.deadline
        if wait > 0 and (wait > ticket.max_wait or useless):
            return False
        self._arrivals += 1
        waiting = _Waiting(
            ticket.late, ticket.rank, self._arrivals, ticket, now
        )
        bisect.insort(self._waiting, waiting)
        return True

    def _observe_arrival(self, ticket: SlotTicket) -> None:
        for rank in self._shares:
            self._shares[rank] *= 1 - _ARRIVAL_WEIGHT
        share = self._shares.get(ticket.rank, 0.0)
        self._shares[ticket.rank] = share + _ARRIVAL_WEIGHT
        self._latest[ticket.rank] = ticket.route

    def start_ready(self, now: Seconds) -> list[SlotTicket]:
        """Give free slots to waiting requests and return these."""
        started = []
        for entry in list(self._waiting):
            if len(self._running) >= self._slots:
                break
            ticket = entry.ticket
            usable = self._count_usable(ticket.route, ticket.rank)
            if len(self._running) < usable:
                self._waiting.remove(entry)
                self._running[ticket.request_id] = (ticket, now)
                started.append(ticket)
        return started

    def expire(self, now: Seconds) -> list[SlotTicket]:
        """Drop and return the requests that have waited long enough.

        A request is dropped when less than half of its mean time is left,
        since few answers take less than that, and when it has waited for much
        longer than it may: others have overtaken it, and its client can still
        be served elsewhere or told.
        """
        expired = [
            waiting.ticket
            for waiting in self._waiting
            if self._is_expired(waiting, now)
        ]
        for ticket in expired:
            self.withdraw(ticket.request_id)
        return expired

    def _is_expired(self, waiting: _Waiting, now: Seconds) -> bool:
        ticket = waiting.ticket
        if now + 0.5 * self.estimate(ticket.route) > ticket.deadline:
            return True
        patience = _PATIENCE * ticket.max_wait + _MIN_PATIENCE
        return now - waiting.since > patience

    def withdraw(self, request_id: RequestId) -> None:
        """Forget a waiting request."""
        self._waiting = [
            waiting
            for waiting in self._waiting
            if waiting.ticket.request_id != request_id
        ]

    def finish(
        self, request_id: RequestId, now: Seconds, answered: bool = True
    ) -> None:
        """Free the slot of a running request.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.
        now : Seconds
            Reading of the clock.
        answered : bool, default=True
            Whether its time speaks for the time of later requests.
        """
        found = self._running.pop(request_id, None)
        require("finished-request-was-running", found is not None, request_id)
        assert found is not None
        ticket, started = found
        if answered:
            self._learn(ticket.route, Seconds(now - started))

    def _learn(self, route: RouteId, time: Seconds) -> None:
        old = self._times.get(route, time)
        self._times[route] = Seconds(old + _NEW_WEIGHT * (time - old))
        mean = self.service_time_
        self.service_time_ = Seconds(mean + _NEW_WEIGHT * (time - mean))
