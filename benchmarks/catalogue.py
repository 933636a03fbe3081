"""Cost of the catalogue at current sizes and at the design size."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.catalogue import (
    CatalogueReader,
    CatalogueState,
    HeadRead,
    PeerHead,
    ReadHead,
    Snapshot,
    VersionReceived,
    check_catalogue,
    compute_delta,
    decode_delta,
    decode_snapshot,
    encode_delta,
    make_catalogue_reader,
    make_catalogue_state,
    make_snapshot,
)
from egretlever.core import NodeId, Seconds
from egretlever.schema import catalogue_pb2
from egretlever.testing import builders

_ROUTES = (500, 1000, 2000, 5100)
_NODES = 1000
_REGIONS = 2
_READERS_PER_REGION = 3
_POLL_INTERVAL_S = 0.5
# Reads per second that the store sustains in total, for all purposes.
_STORE_READ_TARGET_PER_S = 2000
_EXPECTED_READS_PER_S = 12
_REPETITIONS = 5
_MATCH_COUNT = 20_000


def _measure_ms(function: Callable[[], object]) -> float:
    """Return the shortest of 5 runs, the least disturbed by other processes."""
    times = []
    for _ in range(_REPETITIONS):
        start = time.perf_counter()
        function()
        times.append(time.perf_counter() - start)
    return min(times) * 1000


def _change_route(
    catalogue: catalogue_pb2.Catalogue, version: int
) -> catalogue_pb2.Catalogue:
    changed = catalogue_pb2.Catalogue()
    changed.CopyFrom(catalogue)
    changed.version = version
    changed.edit_id = f"edit-{version}"
    changed.routes[len(changed.routes) // 2].timeout_s = version
    return changed


def _make_state(snapshot: Snapshot) -> CatalogueState:
    state = make_catalogue_state()
    state.apply_update(snapshot, Seconds(0.0))
    return state


def _measure_deltas(catalogue: catalogue_pb2.Catalogue) -> float:
    """Return the mean time in ms to apply a delta of one changed route."""
    snapshots = [
        make_snapshot(_change_route(catalogue, version))
        for version in range(2, 2 + _REPETITIONS * 2)
    ]
    deltas = [
        encode_delta(compute_delta(base, target))
        for base, target in zip(snapshots, snapshots[1:], strict=False)
    ]
    state = _make_state(snapshots[0])
    start = time.perf_counter()
    for body in deltas:
        state.apply_update(decode_delta(body).unwrap(), Seconds(0.0))
    elapsed = time.perf_counter() - start
    assert state.head == snapshots[-1].head
    return elapsed / len(deltas) * 1000


def _measure_match(
    state: CatalogueState, catalogue: catalogue_pb2.Catalogue, seed: int
) -> float:
    """Return the mean time in us to match a request, hits and misses mixed."""
    generator = random.Random(seed)
    requests = []
    for _ in range(_MATCH_COUNT):
        route = generator.choice(catalogue.routes)
        host = "a.example:80" if route.host == "*" else route.host
        path = route.path + generator.choice(["", "/x", "/x/y/z", "x"])
        requests.append((generator.choice(["GET", "POST"]), host, path))
    match = state.match
    start = time.perf_counter()
    for method, host, path in requests:
        match(method, host, path)
    return (time.perf_counter() - start) / _MATCH_COUNT * 1e6


def _measure_memory(body: bytes, snapshot: Snapshot) -> float:
    """Return the memory in MB of one decoded copy with its index."""
    gc.collect()
    tracemalloc.start()
    copy = decode_snapshot(body, snapshot.head.digest).unwrap()
    state = _make_state(copy)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state.version == snapshot.head.version
    return size / 1e6


def _make_fleet(snapshot: Snapshot, seed: int) -> list[CatalogueReader]:
    """Create the readers of all nodes, each past its start-up."""
    fleet = []
    now = Seconds(0.0)
    for number in range(_NODES):
        reader = make_catalogue_reader(
            make_catalogue_state(),
            random.Random(seed * _NODES + number),
            poll_interval=_POLL_INTERVAL_S,
        )
        reader.advance(now)
        reader.observe(PeerHead(NodeId("peer"), snapshot.head), now)
        reader.observe(VersionReceived(snapshot), now)
        reader.observe(HeadRead(snapshot.head), now)
        assert reader.ready
        polls_store = number < _READERS_PER_REGION * _REGIONS
        reader.set_polling(polls_store, now)
        fleet.append(reader)
    return fleet


def _simulate_reads(snapshot: Snapshot, seed: int) -> float:
    """Return the mean reads of the head per second in a simulated minute."""
    duration = 60.0
    reads = 0
    for reader in _make_fleet(snapshot, seed):
        now = Seconds(0.0)
        while (now := reader.due()) < duration:
            if ReadHead() in reader.advance(now):
                reads += 1
                reader.observe(HeadRead(snapshot.head), now)
    return reads / duration


def _run_size(routes: int, seed: int) -> list[Measure]:
    catalogue = builders.build_large_catalogue(routes)
    snapshot = make_snapshot(catalogue)
    body = snapshot.to_bytes()
    changed = make_snapshot(_change_route(catalogue, 2))
    delta = encode_delta(compute_delta(snapshot, changed))
    state = _make_state(snapshot)
    digest = snapshot.head.digest
    findings = check_catalogue(catalogue, "benchmark")
    assert findings == (), findings[:3]
    values = [
        (
            "check",
            _measure_ms(lambda: check_catalogue(catalogue, "benchmark")),
            "ms",
        ),
        (
            "decode snapshot",
            _measure_ms(lambda: decode_snapshot(body, digest)),
            "ms",
        ),
        ("apply delta", _measure_deltas(catalogue), "ms"),
        ("snapshot", len(body), "byte"),
        ("delta", len(delta), "byte"),
        ("match", _measure_match(state, catalogue, seed), "us"),
        ("memory", _measure_memory(body, snapshot), "MB"),
    ]
    return [
        Measure(f"{name}, {routes} routes", value, unit)
        for name, value, unit in values
    ]


def run(seed: int) -> list[Measure]:
    """Measure the catalogue at four sizes, and reads of the store."""
    measures = []
    for routes in _ROUTES:
        measures.extend(_run_size(routes, seed))
    computed = _READERS_PER_REGION * _REGIONS / _POLL_INTERVAL_S
    assert computed == _EXPECTED_READS_PER_S
    snapshot = make_snapshot(builders.build_catalogue())
    measures += [
        Measure(
            f"store reads computed, {_NODES} nodes",
            computed,
            "1/s",
            _STORE_READ_TARGET_PER_S,
            Bound.AT_MOST,
        ),
        Measure(
            f"store reads simulated, {_NODES} nodes",
            _simulate_reads(snapshot, seed),
            "1/s",
            _STORE_READ_TARGET_PER_S,
            Bound.AT_MOST,
        ),
    ]
    return measures


if __name__ == "__main__":
    run_benchmark("catalogue", run)
