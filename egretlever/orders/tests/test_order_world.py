"""Guards at-most-once execution under combined faults and interleavings."""

import hypothesis
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from egretlever.core import OrderMode
from egretlever.testing import OrderFixture, run_steps

DAY = 86400.0


class OrderMachine(RuleBasedStateMachine):
    @initialize(mode=st.sampled_from(OrderMode), seed=st.integers(0, 10**6))
    def start(self, mode, seed):
        self.world = OrderFixture(mode, seed)

    @rule()
    def place(self):
        self.world.place()

    @rule()
    def repeat(self):
        self.world.repeat()

    @rule(count=st.integers(1, 12))
    def step(self, count):
        for _ in range(count):
            self.world.step()

    @rule(away=st.booleans())
    def change_store(self, away):
        self.world.rows.away = away

    @rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def lose_answers(self, share):
        self.world.store.fault_share = share

    @rule(share=st.sampled_from([0.0, 0.5]))
    def serve_stale_reads(self, share):
        self.world.store.stale_share = share

    @rule()
    def land(self):
        self.world.land()

    @rule()
    def flush(self):
        self.world.flush()

    @rule()
    def sweep(self):
        self.world.sweep()

    @rule()
    def kill(self):
        self.world.kill()

    @rule()
    def cancel(self):
        self.world.cancel()

    @rule(duration=st.sampled_from([1.0, 1800.0, 4000.0, 8 * DAY]))
    def pass_time(self, duration):
        self.world.pass_time(duration)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()


TestOrderMachine = OrderMachine.TestCase
TestOrderMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60
)


def run_long(mode, seed, steps):
    """Run random actions, most of them steps of coroutines."""
    world = OrderFixture(mode, seed)
    choose = world.randomness
    actions = [
        (world.step, 60),
        (world.place, 4),
        (world.repeat, 4),
        (world.flush, 4),
        (world.land, 1),
        (world.sweep, 1),
        (world.kill, 0.3),
        (world.cancel, 0.5),
        (lambda: world.pass_time(choose.choice([1, 600, 4000])), 0.5),
        (lambda: world.pass_time(8 * DAY), 0.02),
        (lambda: setattr(world.rows, "away", choose.random() < 0.3), 0.5),
        (lambda: setattr(world.store, "fault_share", choose.random() / 2), 0.5),
        (lambda: setattr(world.store, "stale_share", choose.random() / 2), 0.5),
    ]
    kinds, weights = zip(*actions, strict=True)
    for action in choose.choices(kinds, weights, k=steps):
        action()
    world.settle()
    return world


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("mode", OrderMode)
def test_no_order_runs_twice_in_long_runs(mode, seed):
    world = run_long(mode, seed, 20_000)
    ran = sum(order.runs for order in world.orders)
    assert ran > len(world.orders) / 10, "too few orders ran to show anything"
    assert all(world.answers.get(name) for name in ("completed", "not-run"))


def test_expired_claims_leave_no_rows():
    world = run_long(OrderMode.STRICT, 1, 5000)
    for _ in range(len(world.orders)):
        world.land()
    world.pass_time(8 * DAY)
    for _ in range(len(world.orders)):
        run_steps(world.sweeps[0].expire()).unwrap()
    assert run_steps(world.store.scan("order/")).unwrap() == ()
