"""Cost and safety of order claims.

Store calls of each case, orders per second within a limit of store writes,
latency of a claim over loopback, and duplicated and lost orders under
timeouts whose answers come late, compared with two retry schemes.
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
    Claimed,
    Known,
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

WRITES_PER_SECOND = 300.0
ANSWER = RecordedAnswer(201, "text/plain", b"accepted")
NOW = Seconds(0.0)


class PacedTableStore(FakeTableStore):
    """Store that carries a limited number of writes a second.

    Parameters
    ----------
    rate : float
        Writes a second, refused ones included; 0 for no limit.
    """

    def __init__(self, rate: float = 0.0) -> None:
        super().__init__()
        self.write_calls = 0
        self._rate = rate
        self._lock = curio.Lock()

    async def write(
        self, rows: dict[str, bytes], conditions: dict[str, Version]
    ) -> Result[None, StoreError]:
        """Write rows after the writes before them."""
        self.write_calls += 1
        if self._rate:
            async with self._lock:
                await curio.sleep(1 / self._rate)
        return await super().write(rows, conditions)


def make_ledger(
    store: TableStore, number: int, mode: OrderMode = OrderMode.STRICT
) -> TableOrderLedger:
    """Make the ledger of one node."""
    return make_order_ledger(
        store,
        NodeId(f"node-{number}"),
        lambda service: mode,
        random.Random(number),
        lambda: 0.0,
    )


def make_request(key: str, attempt: int = 1) -> OrderRequest:
    """Make an order."""
    return OrderRequest(
        OrderKey(key), ServiceName("ordering"), Digest("d"), attempt
    )


async def run_order(ledger: OrderLedger, key: str, outcome: Outcome) -> None:
    """Claim an order and record an outcome."""
    result = await ledger.claim(make_request(key), NOW)
    if isinstance(result, Claimed):
        await ledger.record(result.claim, outcome, ANSWER)


def measure_calls() -> list[Measure]:
    """Count the store calls of one order in each case."""
    store = PacedTableStore()
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
        store.lose_answers = 1
        await run_order(first, "c", Outcome.COMPLETED)
        await first.flush()

    async def outage() -> None:
        store.away = True
        await run_order(relaxed, "e", Outcome.COMPLETED)
        store.away = False
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
    """Count the orders of 64 busy callers, and outcomes still unwritten."""
    store = PacedTableStore(WRITES_PER_SECOND)
    ledger = make_ledger(store, 1)
    done = 0

    async def call(worker: int) -> None:
        nonlocal done
        number = 0
        while True:
            number += 1
            await run_order(ledger, f"{worker}-{number}", Outcome.COMPLETED)
            if not flush_interval:
                await ledger.flush()
            done += 1

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
    return done, ledger.describe().deferred


async def time_claims(count: int, latency: float) -> list[float]:
    """Time claims over loopback, sorted."""
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
class Tally:
    """Runs of one order and what its caller was told."""

    runs: int = 0
    told: Outcome = Outcome.UNKNOWN


class LateServers:
    """Backend servers whose answers are late or missing at times.

    Of all dispatches 70% answer in 50 ms, 15% run at once and answer late,
    10% run late, and 5% are never received.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness

    async def run(self, tally: Tally) -> None:
        """Run an order; cancelling the wait does not stop the run."""
        draw = self._randomness.random()
        late = self._randomness.uniform(0.3, 2.0)
        if draw >= 0.95:
            await curio.sleep(10.0)
            raise ConnectionError
        await curio.sleep(0.05 if draw < 0.85 else late)
        tally.runs += 1
        if 0.7 <= draw < 0.85:
            await curio.sleep(late)


async def call_once(
    servers: LateServers, tally: Tally, on_answer: object = None
) -> bool:
    """Dispatch an order and wait 0.2 s; a late answer is still noticed."""

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
    scheme: str, ledgers: list[OrderLedger], servers: LateServers, key: str
) -> Tally:
    """Let a caller try an order 4 times under one scheme."""
    tally = Tally()
    recorded: set[str] = set()
    for attempt in range(1, 5):
        if scheme == "ledger":
            ledger = ledgers[attempt % len(ledgers)]
            result = await ledger.claim(make_request(key, attempt), NOW)
            if isinstance(result, Known):
                tally.told = Outcome.COMPLETED
            elif isinstance(result, Claimed):
                claim = result.claim

                async def record(
                    ledger: OrderLedger = ledger, claim: object = claim
                ) -> None:
                    await ledger.record(claim, Outcome.COMPLETED, ANSWER)  # type: ignore[arg-type]
                    await ledger.flush()

                if await call_once(servers, tally, record):
                    tally.told = Outcome.COMPLETED
        elif scheme == "reconcile" and key in recorded:
            tally.told = Outcome.COMPLETED
        else:

            async def remember() -> None:
                recorded.add(key)

            if await call_once(servers, tally, remember):
                tally.told = Outcome.COMPLETED
        if tally.told is Outcome.COMPLETED:
            break
        await curio.sleep(0.5)
    return tally


async def compare(scheme: str, seed: int, count: int) -> list[Tally]:
    """Place orders under one scheme and wait for late runs."""
    store = FakeTableStore()
    ledgers = [make_ledger(store, number) for number in range(3)]
    servers = LateServers(random.Random(seed))
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
    """Compare blind retry, reconcile-then-retry and the ledger."""
    measures = []
    count = 1000
    for scheme in ("blind", "reconcile", "ledger"):
        tallies = run_virtual(compare(scheme, seed, count))
        ours = scheme == "ledger"
        duplicated = sum(tally.runs > 1 for tally in tallies)
        unresolved = sum(t.told is Outcome.UNKNOWN for t in tallies)
        missing = sum(t.runs == 0 for t in tallies)
        wrong = sum(
            t.told is Outcome.COMPLETED and t.runs == 0 for t in tallies
        )
        measures += [
            Measure(
                f"duplicated of {count} orders, {scheme}",
                duplicated,
                "orders",
                0 if ours else None,
                Bound.AT_MOST if ours else Bound.NONE,
            ),
            Measure(
                f"told completed but not run, {scheme}",
                wrong,
                "orders",
                0 if ours else None,
                Bound.AT_MOST if ours else Bound.NONE,
            ),
            Measure(f"never run, {scheme}", missing, "orders"),
            Measure(f"told unknown, {scheme}", unresolved, "orders"),
        ]
    return measures


def run(seed: int) -> list[Measure]:
    """Measure costs, throughput, latency and safety of orders."""
    measures = measure_calls()
    for name, interval in (("each", 0.0), ("batched every 50 ms", 0.05)):
        done, waiting = run_virtual(count_orders(interval, 20.0))
        measures += [
            Measure(
                f"orders at 300 writes/s, outcomes {name}", done / 20, "1/s"
            ),
            Measure(
                f"outcomes unwritten after 20 s, {name}", waiting, "orders"
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
