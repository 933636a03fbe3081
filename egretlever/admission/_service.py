"""Queues, limit and estimates of one service."""

from collections.abc import Sequence

from egretlever.admission._estimates import DecayingRate, LatencyEstimate
from egretlever.admission._flows import RankQueue, Waiting
from egretlever.admission._interface import (
    Answer,
    Departures,
    Queued,
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

# Memory of the dispatch rates and of the share of attempts that run.
_RATE_MEMORY_S = 2.0
_RUN_SHARE_WEIGHT = 0.02
_SHORTEST_RETRY_AFTER_S = 0.05


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
        self._dispatched = [DecayingRate(_RATE_MEMORY_S) for _ in ranks]
        self._latency = LatencyEstimate()
        self._run_share = 1.0
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

    def knows(self, ticket: Ticket) -> bool:
        """Whether the ticket's rank exists."""
        return ticket.rank in self._positions

    def dispatch(self, ticket: Ticket, now: Seconds) -> None:
        """Count a ticket as in flight."""
        self.in_flight += 1
        position = self._positions[ticket.rank]
        self._schedule.record(position)
        self._dispatched[position].add(now)
        require(
            "in-flight-within-limit",
            self.in_flight <= self.limit.allowed,
            f"{self.policy.name}: {self.in_flight} over {self.limit.allowed}",
        )

    def judge(self, ticket: Ticket, now: Seconds) -> Answer:
        """Return whether a ticket that can't be dispatched now may wait."""
        wait = self._expect_wait(ticket, now)
        need = self._latency.read(now, deviations=2.0)
        if now + wait + need > ticket.deadline:
            return self._refuse(RefusalReason.WAIT_EXCEEDS_DEADLINE, wait)
        return Queued(Seconds(wait))

    def make_room(self, ticket: Ticket) -> Waiting | None:
        """Return the ticket to be dropped for an arrival, None for itself.

        The least urgent rank gives way first. A rank within the part of the
        queue that its minimum share reserves gives way to its own rank only;
        without this a flood of the most urgent rank would leave the others
        no backlog, and so no minimum share.
        """
        position = self._positions[ticket.rank]
        own = self._queues[position]
        limit = self.policy.queue_limit
        keeps = len(own) < self._schedule.reserved(position, limit)
        for other in range(len(self._queues) - 1, -1, -1):
            queue = self._queues[other]
            if other == position:
                if own and not own.is_longest(own.find_flow(ticket)):
                    return own.find_least_urgent()
                if not keeps:
                    return None
            elif len(queue) > self._schedule.reserved(other, limit):
                return queue.find_least_urgent()
        return None

    def find_excess(self) -> Waiting | None:
        """Return a ticket to be dropped while the queue exceeds its limit."""
        if self.waiting <= self.policy.queue_limit:
            return None
        for position in range(len(self._queues) - 1, -1, -1):
            queue = self._queues[position]
            limit = self.policy.queue_limit
            if len(queue) > self._schedule.reserved(position, limit):
                return queue.find_least_urgent()
        return None

    def refuse_full(self, reason: RefusalReason, now: Seconds) -> Refused:
        """Return a refusal whose wait is the time to drain the queue."""
        return self._refuse(reason, self.waiting / self._read_throughput(now))

    def pop(self, now: Seconds, departures: Departures) -> Waiting | None:
        """Remove and return the ticket to be dispatched next.

        Tickets that can no longer be answered in time are refused.
        """
        need = self._latency.read(now)
        while (position := self._schedule.choose()) is not None:
            waiting = self._queues[position].pop()
            if now + need <= waiting.ticket.deadline:
                return waiting
            departures.refused.append(
                (waiting.ticket, self._refuse(RefusalReason.INFEASIBLE, 0.0))
            )
        return None

    def finish(
        self,
        ticket: Ticket,
        result: AttemptResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Take in the end of an attempt."""
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
            run = 1.0 if result is AttemptResult.OK else 0.0
            self._run_share += _RUN_SHARE_WEIGHT * (run - self._run_share)
        self.limit.observe(result, latency, self.in_flight + 1, now)

    def set_capacity(self, slots: int) -> None:
        """Keep the limit within the slots that routing can offer."""
        self.limit.set_ceiling(min(slots, self.policy.concurrency_limit))

    def void_before(self, now: Seconds) -> None:
        """Ignore results of attempts dispatched before a time."""
        self._valid_from = now

    def change_policy(self, policy: ServicePolicy) -> None:
        """Replace the service's limits and keep what was learned."""
        self.policy = policy
        self.limit.set_ceiling(policy.concurrency_limit)

    def change_ranks(self, ranks: Sequence[RankPolicy]) -> None:
        """Replace the ranks; those that stay keep queue, credit and rate.

        No ticket may wait in a rank that is removed.
        """
        kept = [self._positions.get(rank.name) for rank in ranks]
        self._ranks = ranks
        self._positions = {rank.name: at for at, rank in enumerate(ranks)}
        self._queues = [
            RankQueue(self._flows, self._salt)
            if at is None
            else self._queues[at]
            for at in kept
        ]
        self._dispatched = [
            DecayingRate(_RATE_MEMORY_S) if at is None else self._dispatched[at]
            for at in kept
        ]
        self._schedule = self._schedule.change(ranks, self._queues, kept)

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
        return self.limit.allowed * max(self._run_share, 0.05) / latency

    def _expect_wait(self, ticket: Ticket, now: Seconds) -> float:
        position = self._positions[ticket.rank]
        queue = self._queues[position]
        throughput = self._read_throughput(now)
        own = queue.count_ahead(queue.find_flow(ticket)) + 1
        urgent = sum(map(len, self._queues[:position]))
        rate = sum(rate.read(now) for rate in self._dispatched[:position])
        # Shed attempts are dispatched again, so rates count attempts.
        attempts = throughput / max(self._run_share, 0.05)
        left, kept = self._schedule.find_shares(position, rate / attempts)
        return min(
            (own + urgent) / (throughput * left), own / (throughput * kept)
        )

    def _refuse(self, reason: RefusalReason, wait: float) -> Refused:
        return Refused(reason, Seconds(max(wait, _SHORTEST_RETRY_AFTER_S)))
