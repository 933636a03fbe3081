"""Guards the fleet's bound of repeated attempts, with every home node alone."""

import hypothesis
import hypothesis.strategies as st

from egretlever.core import Seconds
from egretlever.home import RepeatBudget

RATIO, SLACK, WINDOW = 0.2, 60.0, Seconds(10.0)


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 2), st.integers(0, 4), st.booleans()),
        min_size=1,
        max_size=300,
    )
)
def test_all_homes_together_keep_the_bound_in_every_window(events):
    homes = 5
    budgets = [RepeatBudget(RATIO, SLACK, WINDOW) for _ in range(homes)]
    now = 0.0
    requests, repeats = [], []
    for wait, home, fails in events:
        now += wait
        budgets[home].observe(Seconds(now))
        requests.append(now)
        if fails and budgets[home].take(Seconds(now), homes):
            repeats.append(now)
        recent = sum(at > now - WINDOW for at in requests)
        used = sum(at > now - WINDOW for at in repeats)
        assert used <= RATIO * recent + SLACK


def test_room_returns_when_the_window_has_passed():
    budget = RepeatBudget(0.0, 2.0, WINDOW)
    assert budget.take(Seconds(0.0), homes=1)
    assert not budget.has_room(Seconds(9.9), homes=1)
    assert budget.take(Seconds(10.1), homes=1)
