"""Guards the queue of a home node against late answers and blocked slots."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from egretlever.core import Seconds
from egretlever.home import SlotQueue
from egretlever.testing.relay_builders import build_slot_ticket

NOW = Seconds(0.0)


def fill(queue, count, now=NOW, **changes):
    for number in range(count):
        assert queue.offer(build_slot_ticket(f"busy-{number}", **changes), now)
    queue.start_ready(now)


def test_a_request_that_would_wait_too_long_is_refused_at_once():
    queue = SlotQueue(2)
    fill(queue, 2)
    assert not queue.offer(build_slot_ticket(max_wait=Seconds(0.05)), NOW)
    assert queue.offer(build_slot_ticket(max_wait=Seconds(0.5)), NOW)


def test_a_request_whose_answer_would_come_too_late_is_refused():
    queue = SlotQueue(1)
    fill(queue, 1)
    assert not queue.offer(build_slot_ticket(deadline=Seconds(0.3)), NOW)


def test_urgent_requests_overtake_waiting_ones_of_lower_rank():
    queue = SlotQueue(1)
    fill(queue, 1)
    for number in range(5):
        queue.offer(build_slot_ticket(f"low-{number}", rank=2), NOW)
    assert queue.forecast_wait("a", 0, NOW) < queue.forecast_wait("a", 2, NOW)
    queue.offer(build_slot_ticket("urgent", rank=0), NOW)
    queue.finish("busy-0", Seconds(0.1))
    started = queue.start_ready(Seconds(0.1))
    assert [ticket.request_id for ticket in started] == ["urgent"]


def test_expired_requests_are_removed_without_being_started():
    queue = SlotQueue(1)
    fill(queue, 1)
    queue.offer(build_slot_ticket("soon", deadline=Seconds(0.5)), NOW)
    queue.offer(build_slot_ticket("later"), NOW)
    expired = queue.expire(Seconds(0.45))
    assert [ticket.request_id for ticket in expired] == ["soon"]
    queue.finish("busy-0", Seconds(0.5))
    started = queue.start_ready(Seconds(0.5))
    assert [ticket.request_id for ticket in started] == ["later"]


def test_the_estimate_follows_a_server_that_becomes_slow():
    queue = SlotQueue(1)
    before = queue.estimate_service_time("orders")
    for number in range(8):
        start = Seconds(float(number * 2))
        queue.offer(build_slot_ticket(f"r-{number}"), start)
        queue.start_ready(start)
        queue.finish(f"r-{number}", Seconds(start + 1.0))
    assert queue.estimate_service_time("orders") > 3 * before
    assert queue.service_time_ > 3 * before


def test_late_requests_only_get_slots_that_no_other_request_waits_for():
    queue = SlotQueue(1)
    fill(queue, 1)
    queue.offer(build_slot_ticket("late", rank=0, late=True), NOW)
    queue.offer(build_slot_ticket("on-time", rank=1), NOW)
    queue.finish("busy-0", Seconds(0.1))
    started = queue.start_ready(Seconds(0.1))
    assert [ticket.request_id for ticket in started] == ["on-time"]


def test_a_request_that_was_overtaken_for_too_long_expires():
    queue = SlotQueue(1)
    fill(queue, 1)
    queue.offer(build_slot_ticket("r", max_wait=Seconds(0.3)), NOW)
    assert queue.expire(Seconds(0.4)) == []
    assert len(queue.expire(Seconds(0.6))) == 1


def run_requests(queue, route, rank, time):
    for number in range(20):
        ticket = build_slot_ticket(f"{route}-{number}", route=route, rank=rank)
        queue.offer(ticket, NOW)
        queue.start_ready(NOW)
        queue.finish(ticket.request_id, Seconds(NOW + time))


def test_one_slot_is_reserved_from_long_requests_for_short_urgent_ones():
    queue = SlotQueue(3)
    run_requests(queue, "long", 2, 0.5)
    run_requests(queue, "short", 0, 0.05)
    for number in range(6):
        queue.offer(
            build_slot_ticket(f"flood-{number}", route="long", rank=2), NOW
        )
    assert len(queue.start_ready(NOW)) == 2
    queue.offer(build_slot_ticket("urgent", route="short", rank=0), NOW)
    started = queue.start_ready(NOW)
    assert [ticket.request_id for ticket in started] == ["urgent"]


def test_no_slot_is_reserved_for_a_few_urgent_requests():
    queue = SlotQueue(3)
    run_requests(queue, "short", 0, 0.05)
    for number in range(5):
        run_requests(queue, f"long-{number}", 2, 0.5)
    for number in range(3):
        ticket = build_slot_ticket(f"flood-{number}", route="long-1", rank=2)
        queue.offer(ticket, NOW)
    assert len(queue.start_ready(NOW)) == 3


class SlotQueueMachine(RuleBasedStateMachine):
    """Checks that free slots are used and that no request is lost."""

    def __init__(self):
        super().__init__()
        self.queue = SlotQueue(3)
        self.now = Seconds(0.0)
        self.count = 0
        self.waiting = set()
        self.running = set()

    @rule(rank=st.integers(0, 2), left=st.floats(0.01, 5), wait=st.floats(0, 5))
    def offer(self, rank, left, wait):
        self.count += 1
        ticket = build_slot_ticket(
            f"r-{self.count}",
            rank=rank,
            deadline=Seconds(self.now + left),
            max_wait=Seconds(wait),
        )
        if self.queue.offer(ticket, self.now):
            self.waiting.add(ticket.request_id)
        self.start()

    def start(self):
        for ticket in self.queue.start_ready(self.now):
            self.waiting.remove(ticket.request_id)
            self.running.add(ticket.request_id)

    @rule(data=st.data(), answered=st.booleans())
    def finish(self, data, answered):
        if self.running:
            name = data.draw(st.sampled_from(sorted(self.running)))
            self.running.remove(name)
            self.queue.finish(name, self.now, answered)
            self.start()

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            name = data.draw(st.sampled_from(sorted(self.waiting)))
            self.waiting.remove(name)
            self.queue.cancel(name)

    @rule(duration=st.floats(0.001, 1))
    def wait(self, duration):
        self.now = Seconds(self.now + duration)
        for ticket in self.queue.expire(self.now):
            self.waiting.remove(ticket.request_id)

    @rule(slots=st.integers(1, 6))
    def resize(self, slots):
        self.queue.resize(slots)
        self.start()

    @invariant()
    def slots_are_used_and_nothing_is_lost(self):
        assert self.queue.count_waiting() == len(self.waiting)
        assert not self.waiting or len(self.running) >= self.queue.slots
        assert self.queue.forecast_wait("orders", 2, self.now) >= 0


TestSlotQueueMachine = SlotQueueMachine.TestCase
