"""Guards the invariants of admission over long random runs."""

import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from egretlever.admission import (
    Admitted,
    Capacity,
    LoopPause,
    Queued,
    RankPolicy,
    ServicePolicy,
    make_admission,
)
from egretlever.core import AttemptResult
from egretlever.testing.builders import build_ranks, build_ticket

SERVICES = ("ordering", "catalogue")
RANKS = ("urgent", "normal", "background")
QUEUE_LIMIT = 20
RESULTS = (
    AttemptResult.OK,
    AttemptResult.SHED,
    AttemptResult.TIMEOUT,
    AttemptResult.ERROR,
)


class AdmissionMachine(RuleBasedStateMachine):
    """Performs random operations and tracks where each ticket is."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.admission = make_admission(
            [ServicePolicy(name, QUEUE_LIMIT, 8) for name in SERVICES],
            build_ranks(),
            random.Random(1),
            flows=4,
        )
        self.number = 0
        self.waiting = set()
        self.running = []
        self.ended = set()
        # For each backlogged (service, rank): dispatches of the service since
        # the rank got its backlog, and those of the rank itself.
        self.backlogs = {}

    def remove_waiting(self, ticket):
        assert ticket in self.waiting
        assert ticket not in self.ended
        self.waiting.remove(ticket)

    def record_dispatch(self, ticket):
        for (service, rank), counts in self.backlogs.items():
            if service == ticket.service:
                counts[0] += 1
                counts[1] += rank == ticket.rank

    def advance(self):
        departed = self.admission.advance(self.now)
        for ticket in departed.expired:
            assert ticket.deadline <= self.now
            self.remove_waiting(ticket)
            self.ended.add(ticket)
        for ticket, _ in departed.refused:
            self.remove_waiting(ticket)
            self.ended.add(ticket)
        for ticket in departed.dispatched:
            assert ticket.deadline > self.now
            self.remove_waiting(ticket)
            self.running.append(ticket)
            self.record_dispatch(ticket)
        self.update_backlogs()

    def update_backlogs(self):
        backlogged = {(t.service, t.rank) for t in self.waiting}
        for key in backlogged - set(self.backlogs):
            self.backlogs[key] = [0, 0]
        for key in set(self.backlogs) - backlogged:
            del self.backlogs[key]

    @rule(
        service=st.sampled_from(SERVICES),
        rank=st.sampled_from(RANKS),
        callers=st.lists(st.integers(0, 30), min_size=1, max_size=12),
        left=st.floats(0.001, 60.0),
    )
    def offer(self, service, rank, callers, left):
        for caller in callers:
            self.offer_one(service, rank, caller, left)

    def offer_one(self, service, rank, caller, left):
        self.number += 1
        ticket = build_ticket(
            self.number,
            service=service,
            rank=rank,
            caller=f"caller-{caller}",
            deadline=self.now + left,
        )
        answer = self.admission.offer(ticket, self.now)
        if isinstance(answer, Admitted):
            self.running.append(ticket)
            self.record_dispatch(ticket)
        elif isinstance(answer, Queued):
            self.waiting.add(ticket)
        else:
            assert answer.retry_after >= 0.0
            self.ended.add(ticket)
        self.advance()

    def finish_one(self, ticket, result, latency):
        self.running.remove(ticket)
        self.ended.add(ticket)
        self.now += 0.001
        self.admission.finish(ticket, result, latency, self.now)
        self.advance()

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        result=st.sampled_from(RESULTS),
        latency=st.floats(0.001, 2.0),
        count=st.integers(1, 8),
    )
    def finish(self, data, result, latency, count):
        for _ in range(min(count, len(self.running))):
            at = data.draw(st.integers(0, len(self.running) - 1))
            self.finish_one(self.running[at], result, latency)

    @rule(rank=st.sampled_from(["normal", "background"]))
    def flood(self, rank):
        """Finish 150 attempts while the urgent rank and another one flood."""
        for turn in range(150):
            for other in ("urgent", rank):
                if turn % 3 == 0 or other == "urgent":
                    self.offer_one(SERVICES[0], other, turn % 31, 60.0)
            running = [t for t in self.running if t.service == SERVICES[0]]
            self.finish_one(running[0], AttemptResult.OK, 0.01)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        waiting = sorted(self.waiting, key=lambda ticket: ticket.request)
        ticket = data.draw(st.sampled_from(waiting))
        assert self.admission.cancel(ticket, self.now)
        self.advance()
        assert ticket not in self.waiting

    @rule(duration=st.floats(0.0, 5.0))
    def wait(self, duration):
        self.now += duration
        self.advance()

    @rule(duration=st.floats(10.0, 100.0))
    def pause(self, duration):
        self.now += duration
        self.admission.observe(LoopPause(duration), self.now)
        self.advance()

    @rule(service=st.sampled_from(SERVICES), slots=st.integers(0, 12))
    def change_capacity(self, service, slots):
        self.admission.observe(Capacity(service, slots), self.now)
        self.advance()

    @rule(limit=st.integers(0, QUEUE_LIMIT))
    def configure(self, limit):
        policies = [ServicePolicy(name, limit, 8) for name in SERVICES]
        self.admission.configure(policies, self.now)
        self.advance()
        policies = [ServicePolicy(name, QUEUE_LIMIT, 8) for name in SERVICES]
        self.admission.configure(policies, self.now)

    @rule(rank=st.sampled_from(RANKS), priority=st.integers(3, 9))
    def change_ranks(self, rank, priority):
        policies = [ServicePolicy(name, QUEUE_LIMIT, 8) for name in SERVICES]
        others = [one for one in build_ranks() if one.name != rank]
        changed = [*others, RankPolicy("other", priority, 0.0)]
        self.admission.configure(policies, self.now, changed)
        self.advance()
        assert all(ticket.rank != rank for ticket in self.waiting)
        self.admission.configure(policies, self.now, build_ranks())

    @invariant()
    def snapshots_agree(self):
        for snapshot in self.admission.describe():
            running = [t for t in self.running if t.service == snapshot.service]
            assert snapshot.in_flight == len(running)
            assert 1 <= snapshot.limit <= 8
            total = 0
            for rank, count in snapshot.waiting.items():
                waiting = [
                    t
                    for t in self.waiting
                    if (t.service, t.rank) == (snapshot.service, rank)
                ]
                assert count == len(waiting)
                total += count
            assert total <= QUEUE_LIMIT
            assert total == 0 or len(running) >= snapshot.limit

    @invariant()
    def minimum_shares_are_kept(self):
        shares = {rank.name: rank.minimum_share for rank in build_ranks()}
        for (_, rank), (seen, own) in self.backlogs.items():
            # Each other rank with a credit of 1 or more may be dispatched once
            # before, and a rank's credit may start a whole dispatch short.
            allowed = 4 + len(RANKS)
            assert own >= math.floor(shares[rank] * seen) - allowed

    def teardown(self):
        self.now += 100.0
        self.advance()
        assert not self.waiting


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=60, stateful_step_count=60
)
