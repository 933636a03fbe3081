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
        self.fixture = OrderFixture(mode, seed)

    @rule()
    def place_order(self):
        self.fixture.place_order()

    @rule()
    def retry_order(self):
        self.fixture.retry_order()

    @rule(count=st.integers(1, 12))
    def step(self, count):
        for _ in range(count):
            self.fixture.step()

    @rule(unavailable=st.booleans())
    def change_availability(self, unavailable):
        self.fixture.rows.unavailable = unavailable

    @rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def lose_responses(self, share):
        self.fixture.store.fault_share = share

    @rule(share=st.sampled_from([0.0, 0.5]))
    def serve_stale_reads(self, share):
        self.fixture.store.stale_share = share

    @rule()
    def apply_delayed_write(self):
        self.fixture.apply_delayed_write()

    @rule()
    def start_flush(self):
        self.fixture.start_flush()

    @rule()
    def start_sweep(self):
        self.fixture.start_sweep()

    @rule()
    def restart_node(self):
        self.fixture.restart_node()

    @rule()
    def cancel_request(self):
        self.fixture.cancel_request()

    @rule(duration=st.sampled_from([1.0, 1800.0, 4000.0, 8 * DAY]))
    def advance_clock(self, duration):
        self.fixture.advance_clock(duration)

    def teardown(self):
        if hasattr(self, "fixture"):
            self.fixture.finish_all()


TestOrderMachine = OrderMachine.TestCase
TestOrderMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60
)


def run_long(mode, seed, steps):
    """Run random actions, mostly steps of coroutines, then finish all tasks."""
    fixture = OrderFixture(mode, seed)
    randomness = fixture.randomness
    actions = [
        (fixture.step, 60),
        (fixture.place_order, 4),
        (fixture.retry_order, 4),
        (fixture.start_flush, 4),
        (fixture.apply_delayed_write, 1),
        (fixture.start_sweep, 1),
        (fixture.restart_node, 0.3),
        (fixture.cancel_request, 0.5),
        (lambda: fixture.advance_clock(randomness.choice([1, 600, 4000])), 0.5),
        (lambda: fixture.advance_clock(8 * DAY), 0.02),
        (
            lambda: setattr(
                fixture.rows, "unavailable", randomness.random() < 0.3
            ),
            0.5,
        ),
        (
            lambda: setattr(
                fixture.store, "fault_share", randomness.random() / 2
            ),
            0.5,
        ),
        (
            lambda: setattr(
                fixture.store, "stale_share", randomness.random() / 2
            ),
            0.5,
        ),
    ]
    functions, weights = zip(*actions, strict=True)
    for action in randomness.choices(functions, weights, k=steps):
        action()
    fixture.finish_all()
    return fixture


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("mode", OrderMode)
def test_no_order_runs_twice_in_long_runs(mode, seed):
    fixture = run_long(mode, seed, 20_000)
    run_count = sum(order.runs for order in fixture.orders)
    assert run_count > len(fixture.orders) / 10, (
        "too few orders ran to show anything"
    )
    assert all(
        fixture.outcome_counts.get(name) for name in ("completed", "not-run")
    )


def test_expired_claims_leave_no_rows():
    fixture = run_long(OrderMode.STRICT, 1, 5000)
    for _ in range(len(fixture.orders)):
        fixture.apply_delayed_write()
    fixture.advance_clock(8 * DAY)
    for _ in range(len(fixture.orders)):
        run_steps(fixture.sweeps[0].expire()).unwrap()
    assert run_steps(fixture.store.scan("order/")).unwrap() == ()
