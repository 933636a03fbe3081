"""Cost and safety of order claims.

Measures the store calls per order, the orders per second at a limited rate of
store writes, and the latency of a claim over loopback. Compares duplicated and
lost orders with two other retry schemes when answers arrive after timeouts.
"""

import dataclasses
import random
import time

import curio
from returns.result import Result

from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.core import (
    Address,
    Digest,
    NodeId,
    OrderKey,
    OrderMode,
    Outcome,
    Seconds,
    ServiceName,
    Version,
)
from egretlever.orders import (
    AlreadyCompleted,
    Claimed,
    OrderLedger,
    OrderRequest,
    RecordedAnswer,
    TableOrderLedger,
    make_order_ledger,
)
from egretlever.platform import StoreError, TableStore, make_table_store
from egretlever.standins import (
    listen_platform,
    make_platform_stand_in,
    serve_platform,
)
from egretlever.testing import FakeTableStore, run_steps, run_virtual

WRITES_PER_S = 300.0
ANSWER = RecordedAnswer(201, "text/plain", b"accepted")
NOW = Seconds(0.0)


class RateLimitedTableStore(FakeTableStore):
    """Store with a limited rate of writes.

    Parameters
    ----------
    rate : float
        Writes per second, including refused ones; 0 for no limit.
    """

    def __init__(self, rate: float = 0.0) -> None:
        super().__init__()
        self.write_calls = 0
        self._rate = rate
        self._lock = curio.Lock()

    async def write(
        self, rows: dict[str, bytes], conditions: dict[str, Version]
    ) -> Result[None, StoreError]:
        """Write rows once the limited rate allows it."""
        self.write_calls += 1
        if self._rate:
            async with self._lock:
                await curio.sleep(1 / self._rate)
        return await super().write(rows, conditions)


def make_ledger(
    store: TableStore, number: int, mode: OrderMode = OrderMode.STRICT
) -> TableOrderLedger:
    """Create the order ledger of one node."""
    return make_order_ledger(
        store,
        NodeId(f"node-{number}"),
        lambda service: mode,
        random.Random(number),
        lambda: 0.0,
    )


def make_request(key: str, attempt: int = 1) -> OrderRequest:
    """Create a request with an order key."""
    return OrderRequest(
        OrderKey(key), ServiceName("ordering"), Digest("d"), attempt
    )


async def run_order(ledger: OrderLedger, key: str, outcome: Outcome) -> None:
    """Claim an order and record its outcome."""
    result = await ledger.claim(make_request(key), NOW)
    if isinstance(result, Claimed):
        await ledger.record(result.claim, outcome, ANSWER)


def measure_calls() -> list[Measure]:
    """Count the store calls per order in each case."""
    store = RateLimitedTableStore()
    first, second = make_ledger(store, 1), make_ledger(store, 2)
    relaxed = make_ledger(store, 3, OrderMode.FIRST_ATTEMPT)
    measures = []

    async def completed() -> None:
        await run_order(first, "a", Outcome.COMPLETED)
        await first.flush()

    async def batched() -> None:
        for number in range(32):
            await run_order(first, f"b{number}", Outcome.COMPLETED)
        await first.flush()

    async def lost() -> None:
        store.lost_answers_left = 1
        await run_order(first, "c", Outcome.COMPLETED)
        await first.flush()

    async def outage() -> None:
        store.unavailable = True
        await run_order(relaxed, "e", Outcome.COMPLETED)
        store.unavailable = False
        store.write_calls = 0
        await relaxed.flush()

    cases = {
        "completed": (completed, 1),
        "completed, outcomes in batches of 32": (batched, 32),
        "claim's answer lost": (lost, 1),
        "replayed by the same node": (
            lambda: first.claim(make_request("a", 2), NOW),
            1,
        ),
        "replayed by another node": (
            lambda: second.claim(make_request("a", 2), NOW),
            1,
        ),
        "released": (lambda: run_order(first, "d", Outcome.NOT_RUN), 1),
        "claimed after the store is back": (outage, 1),
    }
    for name, (case, orders) in cases.items():
        store.write_calls = store.reads = 0
        run_steps(case())  # type: ignore[operator]
        measures += [
            Measure(f"writes, {name}", store.write_calls / orders, "per order"),
            Measure(f"reads, {name}", store.reads / orders, "per order"),
        ]
    return measures


async def count_orders(
    flush_interval: float, seconds: float
) -> tuple[int, int]:
    """Count completed orders of 64 callers, and outcomes not yet written."""
    store = RateLimitedTableStore(WRITES_PER_S)
    ledger = make_ledger(store, 1)
    completed_count = 0

    async def call(worker: int) -> None:
        nonlocal completed_count
        number = 0
        while True:
            number += 1
            await run_order(ledger, f"{worker}-{number}", Outcome.COMPLETED)
            if not flush_interval:
                await ledger.flush()
            completed_count += 1

    async def flush() -> None:
        while True:
            await curio.sleep(flush_interval)
            await ledger.flush()

    async with curio.TaskGroup(wait=None) as group:
        for worker in range(64):
            await group.spawn(call, worker)
        if flush_interval:
            await group.spawn(flush)
        await curio.sleep(seconds)
    return completed_count, ledger.describe().deferred


async def time_claims(count: int, latency: float) -> list[float]:
    """Return the times of claims over loopback in seconds, sorted."""
    listener = await listen_platform(Address("127.0.0.1", 0))
    port = listener.getsockname()[1]
    stand_in = make_platform_stand_in(Seconds(latency))
    server = await curio.spawn(serve_platform, listener, stand_in)
    store = make_table_store(Address("127.0.0.1", port), Seconds(5.0))
    ledger = make_ledger(store, 1)
    times = []
    for number in range(count):
        start = time.perf_counter()
        await ledger.claim(make_request(f"k{number}"), NOW)
        times.append(time.perf_counter() - start)
    await store.close()
    await server.cancel()
    return sorted(times)


@dataclasses.dataclass(slots=True)
class OrderTally:
    """Runs of one order, and the outcome reported to its caller."""

    runs: int = 0
    reported_outcome: Outcome = Outcome.UNKNOWN


class UnreliableServers:
    """Backend servers whose answers may be late or missing.

    Of all dispatches, 70% are answered in 50 ms, 15% run in 50 ms and are
    answered late, 10% run late, and 5% are never received.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness

    async def run(self, tally: OrderTally) -> None:
        """Run an order; the caller's timeout does not stop the run."""
        draw = self._randomness.random()
        late = self._randomness.uniform(0.3, 2.0)
        if draw >= 0.95:
            await curio.sleep(10.0)
            raise ConnectionError
        await curio.sleep(0.05 if draw < 0.85 else late)
        tally.runs += 1
        if 0.7 <= draw < 0.85:
            await curio.sleep(late)


async def dispatch_once(
    servers: UnreliableServers, tally: OrderTally, on_answer: object = None
) -> bool:
    """Dispatch an order and wait up to 0.2 s for the answer.

    A later answer still calls `on_answer`.
    """

    async def dispatch() -> bool:
        try:
            await servers.run(tally)
        except ConnectionError:
            return False
        if callable(on_answer):
            await on_answer()
        return True

    task = await curio.spawn(dispatch, daemon=True)
    event = curio.Event()

    async def watch() -> None:
        if await task.join():
            await event.set()

    await curio.spawn(watch, daemon=True)
    await curio.ignore_after(0.2, event.wait)
    return event.is_set()


async def place_order(
    scheme: str,
    ledgers: list[OrderLedger],
    servers: UnreliableServers,
    key: str,
) -> OrderTally:
    """Send an order up to 4 times under one scheme."""
    tally = OrderTally()
    completed_keys: set[str] = set()
    for attempt in range(1, 5):
        if scheme == "ledger":
            ledger = ledgers[attempt % len(ledgers)]
            result = await ledger.claim(make_request(key, attempt), NOW)
            if isinstance(result, AlreadyCompleted):
                tally.reported_outcome = Outcome.COMPLETED
            elif isinstance(result, Claimed):
                claim = result.claim

                async def record(
                    ledger: OrderLedger = ledger, claim: object = claim
                ) -> None:
                    await ledger.record(claim, Outcome.COMPLETED, ANSWER)  # type: ignore[arg-type]
                    await ledger.flush()

                if await dispatch_once(servers, tally, record):
                    tally.reported_outcome = Outcome.COMPLETED
        elif scheme == "reconcile" and key in completed_keys:
            tally.reported_outcome = Outcome.COMPLETED
        else:

            async def remember_completed() -> None:
                completed_keys.add(key)

            if await dispatch_once(servers, tally, remember_completed):
                tally.reported_outcome = Outcome.COMPLETED
        if tally.reported_outcome is Outcome.COMPLETED:
            break
        await curio.sleep(0.5)
    return tally


async def compare(scheme: str, seed: int, count: int) -> list[OrderTally]:
    """Place orders under one scheme and wait for late runs to end."""
    store = FakeTableStore()
    ledgers = [make_ledger(store, number) for number in range(3)]
    servers = UnreliableServers(random.Random(seed))
    tallies = []
    async with curio.TaskGroup() as group:
        for number in range(count):
            await group.spawn(
                place_order, scheme, ledgers, servers, f"k{number}"
            )
    tallies = list(group.results)
    await curio.sleep(20)
    return tallies


def measure_schemes(seed: int) -> list[Measure]:
    """Compare unconditional retry, reconcile-then-retry and the ledger."""
    measures = []
    count = 1000
    for scheme in ("blind", "reconcile", "ledger"):
        tallies = run_virtual(compare(scheme, seed, count))
        is_ledger = scheme == "ledger"
        duplicated = sum(tally.runs > 1 for tally in tallies)
        unresolved = sum(t.reported_outcome is Outcome.UNKNOWN for t in tallies)
        missing = sum(t.runs == 0 for t in tallies)
        not_run = sum(
            t.reported_outcome is Outcome.COMPLETED and t.runs == 0
            for t in tallies
        )
        measures += [
            Measure(
                f"duplicated of {count} orders, {scheme}",
                duplicated,
                "orders",
                0 if is_ledger else None,
                Bound.AT_MOST if is_ledger else Bound.NONE,
            ),
            Measure(
                f"told completed but not run, {scheme}",
                not_run,
                "orders",
                0 if is_ledger else None,
                Bound.AT_MOST if is_ledger else Bound.NONE,
            ),
            Measure(f"never run, {scheme}", missing, "orders"),
            Measure(f"told unknown, {scheme}", unresolved, "orders"),
        ]
    return measures


def run(seed: int) -> list[Measure]:
    """Measure costs, throughput, latency and safety of orders."""
    measures = measure_calls()
    for name, interval in (("each", 0.0), ("batched every 50 ms", 0.05)):
        completed_count, unwritten = run_virtual(count_orders(interval, 20.0))
        measures += [
            Measure(
                f"orders at 300 writes/s, outcomes {name}",
                completed_count / 20,
                "1/s",
            ),
            Measure(
                f"outcomes unwritten after 20 s, {name}", unwritten, "orders"
            ),
        ]
    times = curio.run(time_claims, 1000, 0.002)
    for name, share in (("median", 0.5), ("99th percentile", 0.99)):
        value = times[int(share * len(times))] * 1000
        measures.append(
            Measure(f"claim at store latency 2 ms, {name}", value, "ms")
        )
    return measures + measure_schemes(seed)


if __name__ == "__main__":
    run_benchmark("orders", run)
