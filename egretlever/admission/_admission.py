"""Admission with a queue per rank and adaptive concurrency limits."""

import heapq
import random
from collections.abc import Callable, Iterable, Sequence

from egretlever.admission._flows import QueuedTicket
from egretlever.admission._interface import (
    Admission,
    AdmissionDecision,
    AdmissionEvent,
    Admitted,
    Capacity,
    QueueDepartures,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    ServiceSnapshot,
    Ticket,
)
from egretlever.admission._ranks import check_ranks
from egretlever.admission._service import ServiceQueue
from egretlever.core import (
    AttemptResult,
    Interval,
    Seconds,
    ServiceName,
    check_parameters,
    make_log,
    require,
)

_log = make_log("admission")


class RankedAdmission:
    """Rank queues and adaptive concurrency limits for all services.

    Parameters
    ----------
    services : iterable of ServicePolicy
        Services of the catalogue.
    ranks : sequence of RankPolicy
        Ranks of the catalogue.
    rng : random.Random
        Source of the salt of caller hashes, so that colliding callers differ
        between nodes.
    flows : int, default=64
        Flows per rank and service.
    """

    def __init__(
        self,
        services: Iterable[ServicePolicy],
        ranks: Sequence[RankPolicy],
        rng: random.Random,
        flows: int = 64,
    ) -> None:
        check_parameters("Admission", {"flows": flows}, {"flows": Interval(1)})
        check_ranks(ranks)
        self._ranks = sorted(ranks, key=lambda rank: rank.priority)
        self._flows = flows
        self._salt = rng.getrandbits(32)
        self._policies = {policy.name: policy for policy in services}
        self._services: dict[ServiceName, ServiceQueue] = {}
        self._capacities: dict[ServiceName, int] = {}
        self._tickets: dict[Ticket, QueuedTicket | None] = {}
        self._deadlines: list[tuple[float, int, QueuedTicket]] = []
        # Services that ``advance`` has to look at. A dict keeps the order of
        # insertion, while the order of a set of str differs between runs.
        self._changed_services: dict[ServiceName, None] = {}
        self._departed = QueueDepartures()
        self._number = 0
        self._now = Seconds(float("-inf"))

    def offer(self, ticket: Ticket, now: Seconds) -> AdmissionDecision:
        """Offer a ticket; call ``advance`` afterwards.

        Parameters
        ----------
        ticket : Ticket
            An attempt that was not offered before.
        now : Seconds
            Reading of the local clock.

        Returns
        -------
        Admitted, Queued or Refused
            Whether the ticket is dispatched, waits, or is refused.
        """
        now = self._advance_clock(now)
        require("ticket-offered-once", ticket not in self._tickets)
        policy = self._policies.get(ticket.service)
        if policy is None:
            return self._log_refusal(
                ticket, Refused(RefusalReason.UNKNOWN_SERVICE)
            )
        queue = self._services.get(ticket.service) or self._create_queue(policy)
        if not queue.has_rank(ticket):
            return self._log_refusal(
                ticket, Refused(RefusalReason.UNKNOWN_RANK)
            )
        if ticket.deadline <= now:
            return self._log_refusal(
                ticket, Refused(RefusalReason.DEADLINE_PASSED)
            )
        if queue.has_capacity and not queue.waiting:
            self._tickets[ticket] = None
            queue.dispatch(ticket, now)
            return Admitted()
        return self._enqueue(queue, ticket, now)

    def advance(self, now: Seconds) -> QueueDepartures:
        """Advance the time and return the tickets that leave the queues.

        Parameters
        ----------
        now : Seconds
            Reading of the local clock.

        Returns
        -------
        QueueDepartures
            Tickets that left the queues since the last call.
        """
        now = self._advance_clock(now)
        self._expire(now)
        for name in self._changed_services:
            queue = self._services.get(name)
            while (
                queue is not None
                and queue.has_capacity
                and self._dispatch_next(queue, now)
            ):
                pass
        self._changed_services.clear()
        departed, self._departed = self._departed, QueueDepartures()
        return departed

    def finish(
        self,
        ticket: Ticket,
        result: AttemptResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Record the end of a dispatched ticket; call ``advance`` after.

        Parameters
        ----------
        ticket : Ticket
            A dispatched ticket.
        result : AttemptResult
            How the attempt ended.
        latency : Seconds
            Time from dispatch to the end.
        now : Seconds
            Reading of the local clock.
        """
        now = self._advance_clock(now)
        require(
            "ticket-finished-once",
            self._tickets.get(ticket, ticket) is None,
            f"{ticket.request} attempt {ticket.attempt} is not in flight",
        )
        del self._tickets[ticket]
        queue = self._services[ticket.service]
        queue.finish(ticket, result, latency, now)
        self._changed_services[ticket.service] = None
        if ticket.service not in self._policies and not queue.in_flight:
            del self._services[ticket.service]

    def cancel(self, ticket: Ticket, now: Seconds) -> bool:
        """Refuse a ticket whose caller disconnected; False if not waiting."""
        self._advance_clock(now)
        queued = self._tickets.get(ticket)
        if queued is None:
            return False
        queued.queue.discard(queued)
        self._refuse(queued, Refused(RefusalReason.WITHDRAWN))
        return True

    def observe(self, event: AdmissionEvent, now: Seconds) -> None:
        """Record a change of capacity or a pause of the event loop."""
        now = self._advance_clock(now)
        if isinstance(event, Capacity):
            self._capacities[event.service] = event.slots
            self._changed_services[event.service] = None
            queue = self._services.get(event.service)
            if queue is not None:
                queue.set_capacity(event.slots)
            return
        _log.info(
            "event loop paused for %.3f s; ignoring latencies across it",
            event.duration,
        )
        for queue in self._services.values():
            queue.ignore_started_before(now)

    def configure(
        self,
        services: Iterable[ServicePolicy],
        now: Seconds,
        ranks: Sequence[RankPolicy] | None = None,
    ) -> None:
        """Replace the services, and the ranks if given.

        Waiting tickets of a removed service or rank are refused; its attempts
        in flight end as usual. The other services keep their limits and
        estimates, and their waiting tickets keep their order.
        """
        self._advance_clock(now)
        if ranks is not None:
            self._change_ranks(ranks)
        self._policies = {policy.name: policy for policy in services}
        for name, queue in tuple(self._services.items()):
            policy = self._policies.get(name)
            if policy is None:
                self._remove_service(name, queue)
                continue
            queue.change_policy(policy)
            self._changed_services[name] = None
            while (victim := queue.find_excess_ticket()) is not None:
                self._displace(queue, victim, self._now)
            if name in self._capacities:
                queue.set_capacity(self._capacities[name])

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the state of each service in use."""
        return tuple(queue.describe() for queue in self._services.values())

    def _advance_clock(self, now: Seconds) -> Seconds:
        self._now = max(self._now, now)
        return self._now

    def _create_queue(self, policy: ServicePolicy) -> ServiceQueue:
        queue = ServiceQueue(policy, self._ranks, self._flows, self._salt)
        self._services[policy.name] = queue
        if policy.name in self._capacities:
            queue.set_capacity(self._capacities[policy.name])
        return queue

    def _remove_service(self, name: ServiceName, queue: ServiceQueue) -> None:
        self._refuse_waiting(
            RefusalReason.SERVICE_REMOVED, lambda one: one.service == name
        )
        if not queue.in_flight:
            del self._services[name]

    def _change_ranks(self, ranks: Sequence[RankPolicy]) -> None:
        check_ranks(ranks)
        ordered = sorted(ranks, key=lambda rank: rank.priority)
        if ordered == self._ranks:
            return
        names = {rank.name for rank in ordered}
        self._refuse_waiting(
            RefusalReason.RANK_REMOVED, lambda one: one.rank not in names
        )
        self._ranks = ordered
        for queue in self._services.values():
            queue.change_ranks(ordered)

    def _refuse_waiting(
        self, reason: RefusalReason, matches: Callable[[Ticket], bool]
    ) -> None:
        for ticket, queued in tuple(self._tickets.items()):
            if queued is not None and matches(ticket):
                queued.queue.discard(queued)
                self._refuse(queued, Refused(reason))

    def _enqueue(
        self, queue: ServiceQueue, ticket: Ticket, now: Seconds
    ) -> AdmissionDecision:
        answer = queue.check_deadline(ticket, now)
        if isinstance(answer, Refused):
            return self._log_refusal(ticket, answer)
        if queue.waiting >= queue.policy.queue_limit:
            victim = queue.choose_victim(ticket)
            if victim is None:
                refused = queue.refuse_full(RefusalReason.QUEUE_FULL, now)
                return self._log_refusal(ticket, refused)
            self._displace(queue, victim, now)
        self._push(queue, ticket)
        return answer

    def _push(self, queue: ServiceQueue, ticket: Ticket) -> None:
        self._number += 1
        rank_queue = queue.find_queue(ticket)
        flow = rank_queue.hash_caller(ticket)
        queued = QueuedTicket(ticket, self._number, flow, rank_queue)
        rank_queue.push(queued)
        self._tickets[ticket] = queued
        heapq.heappush(self._deadlines, (ticket.deadline, self._number, queued))
        if len(self._deadlines) > 2 * len(self._tickets) + 64:
            self._deadlines = [
                item for item in self._deadlines if not item[2].removed
            ]
            heapq.heapify(self._deadlines)
        self._changed_services[ticket.service] = None
        require(
            "queue-within-limit",
            queue.waiting <= queue.policy.queue_limit,
            f"{queue.policy.name}: {queue.waiting} waiting",
        )

    def _displace(
        self, queue: ServiceQueue, victim: QueuedTicket, now: Seconds
    ) -> None:
        victim.queue.discard(victim)
        self._refuse(victim, queue.refuse_full(RefusalReason.DISPLACED, now))

    def _expire(self, now: Seconds) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            queued = heapq.heappop(self._deadlines)[2]
            if queued.removed:
                continue
            queued.queue.discard(queued)
            self._remove_ticket(queued.ticket)
            self._departed.expired.append(queued.ticket)
            _log.debug(
                "%s: deadline passed while queued", queued.ticket.request
            )

    def _dispatch_next(self, queue: ServiceQueue, now: Seconds) -> bool:
        refused = len(self._departed.refused)
        queued = queue.pop(now, self._departed)
        for ticket, refusal in self._departed.refused[refused:]:
            self._remove_ticket(ticket)
            self._log_refusal(ticket, refusal)
        if queued is None:
            return False
        queue.dispatch(queued.ticket, now)
        self._remove_ticket(queued.ticket)
        self._tickets[queued.ticket] = None
        self._departed.dispatched.append(queued.ticket)
        return True

    def _refuse(self, queued: QueuedTicket, refused: Refused) -> None:
        self._remove_ticket(queued.ticket)
        self._departed.refused.append((queued.ticket, refused))
        self._log_refusal(queued.ticket, refused)

    def _remove_ticket(self, ticket: Ticket) -> None:
        require(
            "ticket-leaves-once",
            self._tickets.pop(ticket, None) is not None,
            f"{ticket.request} attempt {ticket.attempt} is not waiting",
        )

    def _log_refusal(self, ticket: Ticket, refused: Refused) -> Refused:
        _log.debug(
            "%s of rank %s refused: %s, retry after %.3f s",
            ticket.request,
            ticket.rank,
            refused.reason.value,
            refused.retry_after,
        )
        return refused


def make_admission(
    services: Iterable[ServicePolicy],
    ranks: Sequence[RankPolicy],
    rng: random.Random,
    flows: int = 64,
) -> Admission:
    """Make the admission of a node.

    Parameters
    ----------
    services : iterable of ServicePolicy
        Services of the catalogue.
    ranks : sequence of RankPolicy
        Ranks of the catalogue.
    rng : random.Random
        Source of the salt of caller hashes.
    flows : int, default=64
        Flows per rank and service that callers are hashed into.

    Returns
    -------
    Admission
        Rank queues with adaptive limits.

    Raises
    ------
    FindingsError
        When ranks contradict each other or a parameter is out of its bounds.

    Examples
    --------
    >>> admission = make_admission(
    ...     [ServicePolicy("ordering")],
    ...     [RankPolicy("urgent", 0, 0.1)],
    ...     random.Random(1),
    ... )
    >>> ticket = Ticket("r1", "ordering", "urgent", "mill", Seconds(10.5))
    >>> admission.offer(ticket, Seconds(10.0))
    Admitted()
    >>> admission.finish(
    ...     ticket, AttemptResult.OK, Seconds(0.01), Seconds(10.01)
    ... )
    """
    return RankedAdmission(services, ranks, rng, flows)
