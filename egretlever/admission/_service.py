"""Queues, concurrency limit and latency estimates of one service."""

from collections.abc import Sequence

from egretlever.admission._estimates import DecayingRate, LatencyEstimate
from egretlever.admission._flows import QueuedTicket, RankQueue
from egretlever.admission._interface import (
    AdmissionDecision,
    Queued,
    QueueDepartures,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    ServiceSnapshot,
    Ticket,
)
from egretlever.admission._limit import ConcurrencyLimit
from egretlever.admission._ranks import RankSchedule
from egretlever.core import AttemptResult, Seconds, require

# Time constant of the dispatch rates, and weight of a new sample in the share
# of attempts that servers accept rather than shed.
_RATE_TIME_CONSTANT_S = 2.0
_ACCEPTED_SHARE_WEIGHT = 0.02
_MIN_RETRY_AFTER_S = 0.05


class ServiceQueue:
    """Waiting and running tickets of one service.

    Parameters
    ----------
    policy : ServicePolicy
        The service's limits.
    ranks : sequence of RankPolicy
        All ranks, most urgent first.
    flows : int
        Flows per rank.
    salt : int
        Changes which callers share a flow.
    """

    def __init__(
        self,
        policy: ServicePolicy,
        ranks: Sequence[RankPolicy],
        flows: int,
        salt: int,
    ) -> None:
        self.policy = policy
        self.in_flight = 0
        self._flows = flows
        self._salt = salt
        self._ranks = ranks
        self._positions = {rank.name: at for at, rank in enumerate(ranks)}
        self._queues = [RankQueue(flows, salt) for _ in ranks]
        self._schedule = RankSchedule(ranks, self._queues)
        self._dispatched = [DecayingRate(_RATE_TIME_CONSTANT_S) for _ in ranks]
        self._latency = LatencyEstimate()
        self._accepted_share = 1.0
        self._valid_from = float("-inf")
        self.limit = ConcurrencyLimit(policy.concurrency_limit)

    @property
    def waiting(self) -> int:
        """Number of waiting tickets."""
        return sum(map(len, self._queues))

    @property
    def has_capacity(self) -> bool:
        """Whether another attempt may be dispatched."""
        return self.in_flight < self.limit.allowed

    def find_queue(self, ticket: Ticket) -> RankQueue:
        """Return the queue of the ticket's rank."""
        return self._queues[self._positions[ticket.rank]]

    def has_rank(self, ticket: Ticket) -> bool:
        """Whether the ticket's rank exists."""
        return ticket.rank in self._positions

    def dispatch(self, ticket: Ticket, now: Seconds) -> None:
        """Count a ticket as in flight."""
        self.in_flight += 1
        position = self._positions[ticket.rank]
        self._schedule.record_dispatch(position)
        self._dispatched[position].add(now)
        require(
            "in-flight-within-limit",
            self.in_flight <= self.limit.allowed,
            f"{self.policy.name}: {self.in_flight} over {self.limit.allowed}",
        )

    def check_deadline(self, ticket: Ticket, now: Seconds) -> AdmissionDecision:
        """Queue a ticket, or refuse it if it would miss its deadline.

        Applies to a ticket that can't be dispatched now.
        """
        wait = self._estimate_wait(ticket, now)
        latency = self._latency.read(now, deviations=2.0)
        if now + wait + latency > ticket.deadline:
            return self._refuse(RefusalReason.WAIT_EXCEEDS_DEADLINE, wait)
        return Queued(Seconds(wait))

    def choose_victim(self, ticket: Ticket) -> QueuedTicket | None:
        """Return the ticket to drop when a ticket arrives at a full queue.

        None means that the arriving ticket is dropped. Tickets of the least
        urgent rank are dropped first. The places that a rank's minimum share
        reserves are not given to other ranks: otherwise a flood of the most
        urgent rank would leave the others no backlog, and so no minimum share.
        """
        position = self._positions[ticket.rank]
        own = self._queues[position]
        limit = self.policy.queue_limit
        is_within_reserve = len(own) < self._schedule.count_reserved(
            position, limit
        )
        for other in range(len(self._queues) - 1, -1, -1):
            queue = self._queues[other]
            if other == position:
                if own and not own.is_longest(own.hash_caller(ticket)):
                    return own.find_least_urgent()
                if not is_within_reserve:
                    return None
            elif len(queue) > self._schedule.count_reserved(other, limit):
                return queue.find_least_urgent()
        return None

    def find_excess_ticket(self) -> QueuedTicket | None:
        """Return a ticket to drop, None if the queue is within its limit."""
        if self.waiting <= self.policy.queue_limit:
            return None
        for position in range(len(self._queues) - 1, -1, -1):
            queue = self._queues[position]
            limit = self.policy.queue_limit
            if len(queue) > self._schedule.count_reserved(position, limit):
                return queue.find_least_urgent()
        return None

    def refuse_full(self, reason: RefusalReason, now: Seconds) -> Refused:
        """Return a refusal with the time to drain the queue as its wait."""
        return self._refuse(reason, self.waiting / self._read_throughput(now))

    def pop(
        self, now: Seconds, departures: QueueDepartures
    ) -> QueuedTicket | None:
        """Remove and return the ticket to be dispatched next.

        Tickets that are expected to miss their deadline are refused.
        """
        latency = self._latency.read(now)
        while (position := self._schedule.choose()) is not None:
            queued = self._queues[position].pop()
            if now + latency <= queued.ticket.deadline:
                return queued
            departures.refused.append(
                (queued.ticket, self._refuse(RefusalReason.INFEASIBLE, 0.0))
            )
        return None

    def finish(
        self,
        ticket: Ticket,
        result: AttemptResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Record the end of an attempt."""
        self.in_flight -= 1
        position = self._positions.get(ticket.rank)
        late = result is not AttemptResult.OK or now > ticket.deadline
        if late and position is not None:
            self._schedule.refund(position)
        require("in-flight-not-negative", self.in_flight >= 0)
        if now - latency < self._valid_from:
            return
        if result is AttemptResult.OK:
            self._latency.add(latency, now)
        if result in (AttemptResult.OK, AttemptResult.SHED):
            accepted = 1.0 if result is AttemptResult.OK else 0.0
            self._accepted_share += _ACCEPTED_SHARE_WEIGHT * (
                accepted - self._accepted_share
            )
        self.limit.observe(result, latency, self.in_flight + 1, now)

    def set_capacity(self, slots: int) -> None:
        """Cap the concurrency limit at the slots that routing can offer."""
        self.limit.set_ceiling(min(slots, self.policy.concurrency_limit))

    def ignore_started_before(self, now: Seconds) -> None:
        """Ignore results of attempts dispatched before a time."""
        self._valid_from = now

    def change_policy(self, policy: ServicePolicy) -> None:
        """Replace the service's limits and keep its estimates."""
        self.policy = policy
        self.limit.set_ceiling(policy.concurrency_limit)

    def change_ranks(self, ranks: Sequence[RankPolicy]) -> None:
        """Replace the ranks; those that stay keep queue, credit and rate.

        The queues of removed ranks must be empty.
        """
        old_positions = [self._positions.get(rank.name) for rank in ranks]
        self._ranks = ranks
        self._positions = {rank.name: at for at, rank in enumerate(ranks)}
        self._queues = [
            RankQueue(self._flows, self._salt)
            if old is None
            else self._queues[old]
            for old in old_positions
        ]
        self._dispatched = [
            DecayingRate(_RATE_TIME_CONSTANT_S)
            if old is None
            else self._dispatched[old]
            for old in old_positions
        ]
        self._schedule = self._schedule.rebuild(
            ranks, self._queues, old_positions
        )

    def describe(self) -> ServiceSnapshot:
        """Return the state for operators."""
        return ServiceSnapshot(
            self.policy.name,
            self.in_flight,
            self.limit.allowed,
            {
                rank.name: len(queue)
                for rank, queue in zip(self._ranks, self._queues, strict=True)
            },
            self._latency.mean_,
        )

    def _read_throughput(self, now: Seconds) -> float:
        latency = max(self._latency.read(now), 1e-4)
        return self.limit.allowed * max(self._accepted_share, 0.05) / latency

    def _estimate_wait(self, ticket: Ticket, now: Seconds) -> float:
        position = self._positions[ticket.rank]
        queue = self._queues[position]
        throughput = self._read_throughput(now)
        own = queue.count_ahead(queue.hash_caller(ticket)) + 1
        more_urgent = sum(map(len, self._queues[:position]))
        rate = sum(rate.read(now) for rate in self._dispatched[:position])
        # Dispatch rates include the retries of shed attempts, so they are
        # compared with the throughput of all attempts.
        attempts = throughput / max(self._accepted_share, 0.05)
        available, minimum = self._schedule.estimate_shares(
            position, rate / attempts
        )
        return min(
            (own + more_urgent) / (throughput * available),
            own / (throughput * minimum),
        )

    def _refuse(self, reason: RefusalReason, wait: float) -> Refused:
        return Refused(reason, Seconds(max(wait, _MIN_RETRY_AFTER_S)))
