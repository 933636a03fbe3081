"""Simulated callers, nodes and backend servers that use order ledgers."""

import dataclasses
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from egretlever.core import (
    Digest,
    NodeId,
    OrderKey,
    OrderMode,
    Outcome,
    Seconds,
    ServiceName,
)
from egretlever.orders import (
    AlreadyCompleted,
    Claimed,
    OrderRequest,
    RecordedAnswer,
    Unavailable,
    make_claim_sweep,
    make_order_ledger,
)
from egretlever.testing._fakes import FakeTableStore
from egretlever.testing._flaky_store import FlakyTableStore, pause_step
from egretlever.testing._stepped_stores import run_steps

DAY = 86400.0


@dataclasses.dataclass
class SimulatedOrder:
    """State of an order at its caller and at the backend servers."""

    key: OrderKey
    placed_at: float
    # Attempts not answered with "not run", unanswered ones included.
    counted_attempts: int = 0
    # Dispatches not proved "not run", and actual runs.
    dispatches: int = 0
    runs: int = 0
    answer: RecordedAnswer | None = None
    reported_completed: bool = False


@dataclasses.dataclass
class SimulatedTask:
    """A coroutine that is advanced step by step, and its node."""

    node: int
    coroutine: Coroutine[Any, Any, None]


class OrderFixture:
    """Order ledgers of several nodes over one store, with injected faults.

    A dispatch counts from the time it is sent, and no longer once the attempt
    is proved not to have run. Each method checks the invariants that it may
    violate.

    Parameters
    ----------
    mode : OrderMode
        Order mode of the only service.
    seed : int
        Seed of the faults and of the results of attempts.
    node_count : int, default=3
        Number of nodes.
    """

    def __init__(self, mode: OrderMode, seed: int, node_count: int = 3) -> None:
        self.mode = mode
        self.randomness = random.Random(seed)
        self.rows = FakeTableStore()
        self.store = FlakyTableStore(self.rows, self.randomness)
        self.now = 1000.0
        self.orders: list[SimulatedOrder] = []
        self.tasks: list[SimulatedTask] = []
        self.outcome_counts: dict[str, int] = {}
        self._ledger_count = 0
        self.ledgers = [self._make_ledger() for _ in range(node_count)]
        self.sweeps = [
            make_claim_sweep(
                self.store,
                NodeId(f"sweeper-{number}"),
                page_size=3,
                read_unix_time=lambda: self.now,
            )
            for number in range(2)
        ]

    def _make_ledger(self) -> Any:
        self._ledger_count += 1
        return make_order_ledger(
            self.store,
            NodeId(f"node-{self._ledger_count}"),
            lambda service: self.mode,
            random.Random(self._ledger_count),
            lambda: self.now,
            recent_capacity=4,
            backlog_capacity=8,
        )

    def place_order(self) -> None:
        """Place a new order through a random node."""
        key = OrderKey(f"key-{len(self.orders):06d}")
        self.orders.append(SimulatedOrder(key, self.now))
        self.send_attempt(self.orders[-1])

    def retry_order(self) -> None:
        """Retry a random recent order, placed within the last day."""
        recent = [
            order
            for order in self.orders[-8:]
            if self.now - order.placed_at < DAY
        ]
        if recent:
            self.send_attempt(self.randomness.choice(recent))

    def send_attempt(self, order: SimulatedOrder) -> None:
        """Send the next attempt of an order to a random node."""
        node = self.randomness.randrange(len(self.ledgers))
        request = OrderRequest(
            order.key,
            ServiceName("ordering"),
            Digest("digest"),
            1 + order.counted_attempts,
        )
        order.counted_attempts += 1
        self.tasks.append(
            SimulatedTask(node, self._serve(node, order, request))
        )

    async def _serve(
        self, node: int, order: SimulatedOrder, request: OrderRequest
    ) -> None:
        ledger = self.ledgers[node]
        result = await ledger.claim(request, Seconds(self.now))
        if not isinstance(result, Claimed):
            answer = (
                result.answer if isinstance(result, AlreadyCompleted) else None
            )
            if isinstance(result, Unavailable) and request.attempt > 1:
                # The outcome of an earlier attempt couldn't be looked up, so
                # "not run" would have no proof.
                not_run = result.outcome is Outcome.NOT_RUN
                assert not not_run or order.dispatches == 0
            self._finish_request(order, request, result.outcome, answer)
            return
        outcome = Outcome.NOT_RUN
        own_answer = None
        for _ in range(2):
            await pause_step()
            if not ledger.may_dispatch(result.claim, Seconds(self.now)):
                break
            outcome, own_answer = await self._dispatch(order)
            if outcome is not Outcome.NOT_RUN:
                break
        await ledger.record(result.claim, outcome, own_answer)
        await pause_step()
        self._finish_request(order, request, outcome, own_answer)

    async def _dispatch(
        self, order: SimulatedOrder
    ) -> tuple[Outcome, RecordedAnswer | None]:
        order.dispatches += 1
        assert order.dispatches == 1, f"{order.key} is dispatched again"
        await pause_step()
        result = self.randomness.choice(
            ["done", "done", "late", "lost", "shed"]
        )
        if result == "shed":
            order.dispatches -= 1
            return Outcome.NOT_RUN, None
        if result == "lost":
            return Outcome.UNKNOWN, None
        order.runs += 1
        order.answer = RecordedAnswer(
            201, "text/plain", f"{order.key} {order.runs}".encode()
        )
        await pause_step()
        if result == "late":
            return Outcome.UNKNOWN, None
        return Outcome.COMPLETED, order.answer

    def _finish_request(
        self,
        order: SimulatedOrder,
        request: OrderRequest,
        outcome: Outcome,
        answer: RecordedAnswer | None,
    ) -> None:
        self.outcome_counts[outcome.value] = (
            self.outcome_counts.get(outcome.value, 0) + 1
        )
        if outcome is Outcome.COMPLETED:
            assert order.runs == 1
            assert answer == order.answer, f"{order.key} has another answer"
            order.reported_completed = True
        elif outcome is Outcome.NOT_RUN:
            order.counted_attempts -= 1
            if request.attempt == 1 and order.counted_attempts == 0:
                assert order.dispatches == 0, f"{order.key} may have run"

    def step(self) -> None:
        """Advance a random coroutine to its next pause."""
        if not self.tasks:
            return
        task = self.randomness.choice(self.tasks)
        try:
            task.coroutine.send(None)
        except StopIteration:
            self.tasks.remove(task)

    def restart_node(self) -> None:
        """Crash a random node and restart it without its state."""
        node = self.randomness.randrange(len(self.ledgers))
        for task in [task for task in self.tasks if task.node == node]:
            self.tasks.remove(task)
            task.coroutine.close()
        self.ledgers[node] = self._make_ledger()

    def cancel_request(self) -> None:
        """Cancel a random request, as if its caller had disconnected."""
        requests = [task for task in self.tasks if task.node >= 0]
        if requests:
            task = self.randomness.choice(requests)
            self.tasks.remove(task)
            task.coroutine.close()

    def start_flush(self) -> None:
        """Start a flush on a random node."""
        node = self.randomness.randrange(len(self.ledgers))
        self.tasks.append(
            SimulatedTask(node, self._call(self.ledgers[node].flush))
        )

    def start_sweep(self) -> None:
        """Start one page of a sweep by a random one of the two sweepers."""
        sweep = self.randomness.choice(self.sweeps)
        self.tasks.append(SimulatedTask(-1, self._call(sweep.expire)))

    async def _call(self, function: Callable[[], Awaitable[Any]]) -> None:
        await function()

    def apply_delayed_write(self) -> None:
        """Apply a delayed write to the store."""
        run_steps(self.store.apply_delayed_write())

    def advance_clock(self, duration: float) -> None:
        """Advance the clock while every coroutine is paused."""
        self.now += duration

    def finish_all(self) -> None:
        """Stop all faults, finish all tasks and write all deferred rows."""
        self.rows.unavailable = False
        self.store.fault_share = self.store.stale_share = 0.0
        while self.tasks:
            self.step()
        for ledger in self.ledgers:
            for _ in range(8):
                run_steps(ledger.flush())
            assert ledger.describe().deferred == 0
