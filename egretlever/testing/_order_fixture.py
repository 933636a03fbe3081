"""Simulated callers, nodes and backend servers around order ledgers."""

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
    Claimed,
    Known,
    OrderRequest,
    RecordedAnswer,
    Unavailable,
    make_claim_sweep,
    make_order_ledger,
)
from egretlever.testing._fakes import FakeTableStore
from egretlever.testing._faults import run_steps
from egretlever.testing._stepped_store import FlakyTableStore, pause

DAY = 86400.0


@dataclasses.dataclass
class SimulatedOrder:
    """An order as its caller and the backend servers know it."""

    key: OrderKey
    placed_at: float
    # Attempts that were not answered "not run", the unanswered included.
    counted: int = 0
    # Dispatches that were not proved "not run", and actual runs.
    dispatches: int = 0
    runs: int = 0
    answer: RecordedAnswer | None = None
    was_told_completed: bool = False


@dataclasses.dataclass
class SimulatedTask:
    """A coroutine that is stepped, and the node that it runs on."""

    node: int
    coroutine: Coroutine[Any, Any, None]


class OrderFixture:
    """Several ledgers over one store; every fault is chosen from outside.

    A dispatch is counted when it is sent and no longer when the attempt is
    proved not run. Each method checks the invariants that it may break.

    Parameters
    ----------
    mode : OrderMode
        Mode of the only service.
    seed : int
        Seed of the faults and fates.
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
        self.answers: dict[str, int] = {}
        self._births = 0
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
        self._births += 1
        return make_order_ledger(
            self.store,
            NodeId(f"node-{self._births}"),
            lambda service: self.mode,
            random.Random(self._births),
            lambda: self.now,
            recent_capacity=4,
            backlog_capacity=8,
        )

    def place(self) -> None:
        """Let a caller place a new order through some node."""
        key = OrderKey(f"key-{len(self.orders):06d}")
        self.orders.append(SimulatedOrder(key, self.now))
        self.send(self.orders[-1])

    def repeat(self) -> None:
        """Let a caller repeat the key of an order of the last day."""
        recent = [
            order
            for order in self.orders[-8:]
            if self.now - order.placed_at < DAY
        ]
        if recent:
            self.send(self.randomness.choice(recent))

    def send(self, order: SimulatedOrder) -> None:
        """Send an order to some node."""
        node = self.randomness.randrange(len(self.ledgers))
        request = OrderRequest(
            order.key,
            ServiceName("ordering"),
            Digest("digest"),
            1 + order.counted,
        )
        order.counted += 1
        self.tasks.append(
            SimulatedTask(node, self._serve(node, order, request))
        )

    async def _serve(
        self, node: int, order: SimulatedOrder, request: OrderRequest
    ) -> None:
        ledger = self.ledgers[node]
        result = await ledger.claim(request, Seconds(self.now))
        if not isinstance(result, Claimed):
            answer = result.answer if isinstance(result, Known) else None
            if isinstance(result, Unavailable) and request.attempt > 1:
                # Nothing could be looked up, so "not run" would be a guess.
                not_run = result.outcome is Outcome.NOT_RUN
                assert not not_run or order.dispatches == 0
            self._tell(order, request, result.outcome, answer)
            return
        outcome = Outcome.NOT_RUN
        own_answer = None
        for _ in range(2):
            await pause()
            if not ledger.may_dispatch(result.claim, Seconds(self.now)):
                break
            outcome, own_answer = await self._dispatch(order)
            if outcome is not Outcome.NOT_RUN:
                break
        await ledger.record(result.claim, outcome, own_answer)
        await pause()
        self._tell(order, request, outcome, own_answer)

    async def _dispatch(
        self, order: SimulatedOrder
    ) -> tuple[Outcome, RecordedAnswer | None]:
        order.dispatches += 1
        assert order.dispatches == 1, f"{order.key} is dispatched again"
        await pause()
        fate = self.randomness.choice(["done", "done", "late", "lost", "shed"])
        if fate == "shed":
            order.dispatches -= 1
            return Outcome.NOT_RUN, None
        if fate == "lost":
            return Outcome.UNKNOWN, None
        order.runs += 1
        order.answer = RecordedAnswer(
            201, "text/plain", f"{order.key} {order.runs}".encode()
        )
        await pause()
        if fate == "late":
            return Outcome.UNKNOWN, None
        return Outcome.COMPLETED, order.answer

    def _tell(
        self,
        order: SimulatedOrder,
        request: OrderRequest,
        outcome: Outcome,
        answer: RecordedAnswer | None,
    ) -> None:
        self.answers[outcome.value] = self.answers.get(outcome.value, 0) + 1
        if outcome is Outcome.COMPLETED:
            assert order.runs == 1
            assert answer == order.answer, f"{order.key} has another answer"
            order.was_told_completed = True
        elif outcome is Outcome.NOT_RUN:
            order.counted -= 1
            if request.attempt == 1 and order.counted == 0:
                assert order.dispatches == 0, f"{order.key} may have run"

    def step(self) -> None:
        """Advance some coroutine up to its next pause."""
        if not self.tasks:
            return
        task = self.randomness.choice(self.tasks)
        try:
            task.coroutine.send(None)
        except StopIteration:
            self.tasks.remove(task)

    def kill(self) -> None:
        """Let a node die and start again without memory."""
        node = self.randomness.randrange(len(self.ledgers))
        for task in [task for task in self.tasks if task.node == node]:
            self.tasks.remove(task)
            task.coroutine.close()
        self.ledgers[node] = self._make_ledger()

    def cancel(self) -> None:
        """Let a caller leave: its request is cancelled at some step."""
        requests = [task for task in self.tasks if task.node >= 0]
        if requests:
            task = self.randomness.choice(requests)
            self.tasks.remove(task)
            task.coroutine.close()

    def flush(self) -> None:
        """Start a flush on some node."""
        node = self.randomness.randrange(len(self.ledgers))
        self.tasks.append(
            SimulatedTask(node, self._call(self.ledgers[node].flush))
        )

    def sweep(self) -> None:
        """Start one page of a sweep by one of two sweepers."""
        sweep = self.randomness.choice(self.sweeps)
        self.tasks.append(SimulatedTask(-1, self._call(sweep.expire)))

    async def _call(self, function: Callable[[], Awaitable[Any]]) -> None:
        await function()

    def land(self) -> None:
        """Let a delayed write take effect."""
        run_steps(self.store.land())

    def pass_time(self, duration: float) -> None:
        """Move the clock while every coroutine is paused."""
        self.now += duration

    def settle(self) -> None:
        """End all faults, finish all work and write all deferred rows."""
        self.rows.away = False
        self.store.fault_share = self.store.stale_share = 0.0
        while self.tasks:
            self.step()
        for ledger in self.ledgers:
            for _ in range(8):
                run_steps(ledger.flush())
            assert ledger.describe().deferred == 0
