"""Guards the fleet-wide bound on retries that each home node enforces alone."""

import itertools
import math

import hypothesis
import hypothesis.strategies as st
import pytest

from egretlever.core import Seconds
from egretlever.home import RetryKind, WindowRetryBudget

RATIO, SLACK, WINDOW = 0.2, 60.0, Seconds(10.0)
LONG_AGO = Seconds(-20.0)


def build_budget(slack=SLACK, started_at=LONG_AGO):
    return WindowRetryBudget(RATIO, slack, WINDOW, started_at)


def build_budgets(home_count, slack=SLACK, started_at=LONG_AGO):
    """Build the budgets of all home nodes, with roundings spread evenly."""
    budgets = []
    for home in range(home_count):
        budgets.append(build_budget(slack, started_at))
        budgets[-1].rounding = home / home_count
    return budgets


def exhaust(budget, now, home_count=1):
    """Take retries until the budget has no room, and return their number."""
    count = 0
    while budget.take(Seconds(now), home_count):
        count += 1
    return count


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 2), st.integers(0, 4), st.booleans()),
        min_size=1,
        max_size=300,
    )
)
def test_home_nodes_together_keep_the_bound_in_every_window(events):
    home_count = 5
    budgets = [build_budget() for _ in range(home_count)]
    now = 0.0
    requests, retries = [], []
    for wait, home, fails in events:
        now += wait
        budgets[home].observe(Seconds(now))
        requests.append(now)
        if fails and budgets[home].take(Seconds(now), home_count):
            retries.append(now)
        recent = sum(at > now - WINDOW for at in requests)
        used = sum(at > now - WINDOW for at in retries)
        assert used <= RATIO * recent + SLACK


@st.composite
def draw_events(draw):
    """Draw a number of home nodes and what happens to them by steps."""
    home_count = draw(st.sampled_from([1, 3, 8, 40]))
    homes = st.integers(0, home_count - 1)
    event = st.tuples(
        st.sampled_from(["restart", "restart-all", "lose", "find"]),
        homes,
    )
    steps = st.dictionaries(st.integers(0, 119), event, max_size=12)
    return home_count, draw(steps)


@hypothesis.settings(max_examples=30)
@hypothesis.given(draw_events())
@hypothesis.example((8, {60: ("restart-all", 0), 68: ("restart-all", 0)}))
@hypothesis.example((40, {50: ("lose", 0), 60: ("restart-all", 0)}))
def test_no_order_of_events_exceeds_the_bound(case):
    # Retries, grants and calls are wanted without end, while processes restart
    # and directories are lost and found again.
    home_count, events = case
    budgets = build_budgets(home_count)
    sizes = [home_count] * home_count
    arrivals = []
    for step in range(120):
        now = Seconds(step / 4)
        what, home = events.get(step, ("", 0))
        for place in range(home_count):
            if what == "restart-all" or (what == "restart" and place == home):
                rounding = budgets[place].rounding
                budgets[place] = build_budget(started_at=now)
                budgets[place].rounding = rounding
            if what == "lose":
                sizes[place] = None
            elif what == "find":
                sizes[place] = home_count
            budgets[place].observe(now, from_client=True)
            for kind in RetryKind:
                while budgets[place].take(now, sizes[place], kind=kind):
                    arrivals.append(now)
        requests = 4 * home_count * WINDOW
        used = sum(at > now - WINDOW for at in arrivals)
        assert used <= RATIO * requests + SLACK


def test_retries_are_allowed_again_after_the_window():
    budget = build_budget(slack=2.0)
    assert budget.take(Seconds(0.0), home_count=1)
    assert not budget.has_room(Seconds(9.9), home_count=1)
    assert budget.take(Seconds(10.1), home_count=1)


def test_calls_of_retried_requests_use_the_budget():
    # They arrive like first requests but must count as retries.
    budget = build_budget(slack=20.0)
    for number in range(9):
        assert budget.take(
            Seconds(number / 10), home_count=1, kind=RetryKind.CALL
        )
    unused = exhaust(build_budget(slack=20.0), 1.0)
    assert exhaust(budget, 1.0) == unused - 9


def test_a_restart_of_all_processes_keeps_the_bound():
    # A new process does not know the retries of its predecessor, so the whole
    # budget could be used twice in one window.
    for killed_at in (0.5, 3.0, 6.0, 9.5):
        before = exhaust(build_budget(), 0.0)
        after = build_budget(started_at=Seconds(killed_at))
        times = [0.0] * before
        for step in range(200):
            now = killed_at + step * 0.1
            times += [now] * exhaust(after, now)
            assert sum(at > now - WINDOW for at in times) <= SLACK


@hypothesis.given(st.lists(st.floats(0.2, 14), max_size=8))
@hypothesis.example([15.0, 3.0])
@hypothesis.example([15.0, 2.0, 2.0, 2.0])
def test_restarts_in_a_row_keep_the_bound(lifetimes):
    # Each process began with a part of the slack and with the whole ratio,
    # although the retries of the processes before it were still in the window.
    home_count, slack, rate = 8, 40.0, 2.0
    budgets = build_budgets(home_count, slack)
    restarts = list(itertools.accumulate(lifetimes))
    times = []
    for step in range(250):
        now = step / 5
        if restarts and now >= restarts[0]:
            restarts.pop(0)
            budgets = build_budgets(home_count, slack, Seconds(now))
        for budget in budgets:
            if step % 5 in (0, 3):
                budget.observe(Seconds(now), from_client=True)
            times += [now] * exhaust(budget, now, home_count)
        used = sum(at > now - WINDOW for at in times)
        assert used <= RATIO * rate * home_count * WINDOW + slack


def test_the_first_process_may_use_the_slack_at_once():
    # Gray servers are found in the first second of a fleet, when most of the
    # slack was held back for an earlier process that had never run.
    first = build_budget(started_at=Seconds(-math.inf))
    assert exhaust(first, 1.0) >= 0.8 * SLACK


def test_a_burst_of_failures_may_use_most_of_the_slack():
    # When half of the slack was reserved for calls of retried requests,
    # requests failed that could have been retried.
    budgets = [build_budget() for _ in range(14)]
    used = sum(exhaust(budget, 1.0, home_count=14) for budget in budgets)
    assert used >= 0.7 * SLACK


@pytest.mark.parametrize("failing", [1, 3, 7, 12, 13])
def test_failures_of_any_servers_may_use_most_of_the_slack(failing):
    # Parts alone were used up where the retries went, or where the failures
    # were, while most of the fleet's budget was not.
    home_count = 14
    budgets = build_budgets(home_count)
    used = 0
    for number in range(10 * home_count):
        failed = budgets[number % failing]
        if failed.take(Seconds(1.0), home_count, kind=RetryKind.GRANT):
            used += 1
            continue
        others = budgets[failing:]
        used += any(other.take(Seconds(1.0), home_count) for other in others)
    assert 0.8 * SLACK <= used <= SLACK


def test_a_home_node_of_an_unknown_service_size_leaves_the_slack_alone():
    # A process that had not read the directory took itself for the only one of
    # its service, and the whole slack for its part.
    assert exhaust(build_budget(), 1.0, home_count=None) == 0


def test_rows_missing_for_a_while_do_not_raise_the_allowance():
    budget = build_budget()
    before = exhaust(budget, 1.0, home_count=12)
    assert before == 4
    assert exhaust(budget, 3.0, home_count=2) == 0
    assert exhaust(budget, 20.0, home_count=2) > before


def test_changed_limits_do_not_forget_what_was_used():
    # The counts were dropped, so that each change of the settings allowed the
    # retries of the window once more.
    budget = build_budget(slack=20.0)
    used = exhaust(budget, 1.0)
    budget.reload(Seconds(2.0), RATIO, 24.0, WINDOW)
    assert used + exhaust(budget, 3.0) <= 24
    # A longer window reaches back to times that were not counted.
    budget.reload(Seconds(4.0), RATIO, 24.0, Seconds(30.0))
    assert exhaust(budget, 16.0) <= 24 * 0.1


@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0, 1),
            st.integers(0, 6),
            st.integers(0, 6),
            st.floats(0, 0.9),
        ),
        max_size=300,
    )
)
def test_home_nodes_that_grant_retries_keep_the_bound(failures):
    # Neighbours that pooled their parts by reports of their usage did not:
    # reports are late or lost.
    home_count = 7
    budgets = build_budgets(home_count)
    now, arrivals = 0.0, []
    for wait, failed, next_home, delay in failures:
        now += wait
        if budgets[failed].take(Seconds(now), home_count, kind=RetryKind.GRANT):
            arrivals.append(now + delay)
        elif budgets[next_home].take(Seconds(now), home_count):
            arrivals.append(now)
    for end in arrivals:
        assert sum(end - WINDOW < at <= end for at in arrivals) <= SLACK


@pytest.mark.parametrize("home_count", [8, 135, 1000])
def test_a_service_without_nested_calls_may_use_most_of_its_allowance(
    home_count,
):
    # Half of the ratio was held back for calls that such a service never gets.
    slack, requests_at_each = 430.0, 28
    host_share = 0.6
    used = 0
    for home in range(home_count):
        budget = build_budget(slack)
        budget.rounding = home / home_count
        for number in range(requests_at_each):
            # Every host sends alike; 0.6 of them have a server of the service.
            from_client = (home + 3 * number) % 5 < 3
            budget.observe(Seconds(0.1), from_client=from_client)
        while budget.take(Seconds(1.0), home_count, host_share=host_share):
            used += 1
    allowed = RATIO * requests_at_each * home_count + slack
    assert 0.8 * allowed <= used <= allowed


def test_nested_calls_do_not_raise_the_allowance():
    # As many calls as requests of clients; only hosts without a server of the
    # service make calls.
    home_count, requests, host_share = 50, 40, 0.5
    used = 0
    for _ in range(home_count):
        budget = build_budget(0.0)
        for number in range(requests):
            budget.observe(Seconds(0.1), from_client=number % 4 == 0)
        while budget.take(Seconds(1.0), home_count, host_share=host_share):
            used += 1
    assert used <= RATIO * requests * home_count / 2
