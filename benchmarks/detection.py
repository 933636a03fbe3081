"""Time until faults are detected, and cost of detection."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from benchmarks._detection_baselines import (
    ConsecutiveErrorDetector,
    NoDetector,
)
from benchmarks._detection_cases import (
    DESIGN,
    KAPRA,
    SIZES,
    TWO_NODES,
    Fault,
    Size,
)
from benchmarks._detection_model import OTHER_REGION, OWN_REGION, Model
from benchmarks._detection_routed import measure_routed
from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.core import (
    AttemptResult,
    NodeId,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
)
from egretlever.detection import Detector, Member, make_detector
from egretlever.testing.builders import build_attempt, build_server

# To the nodes that miss the answers, a one-way fault is a black hole. Here they
# are a quarter of the nodes, as many as one failure domain has.
TOTAL = (Fault.BLACK_HOLE, Fault.REFUSED, Fault.ONE_WAY_PART)
PARTIAL = (Fault.SLOW, Fault.ERRORS, Fault.FLAPPING, Fault.LYING)
# At the design size, a node sees about one request per second of a service and
# needs 20 requests for its first latency thresholds.
_WARM_UP_S = 40.0
_DETECTION_LIMIT_S = 30.0
_STEP_S = 0.05

DetectorFactory = Callable[[NodeId, RegionName], Detector]


def make_no_detector(node: NodeId, region: RegionName) -> Detector:
    """Create the detector of baseline (a)."""
    return NoDetector()


def make_consecutive_error_detector(
    node: NodeId, region: RegionName
) -> Detector:
    """Create the detector of baseline (b)."""
    return ConsecutiveErrorDetector()


def measure_detection(
    size: Size,
    fault: Fault,
    seed: int,
    detector_factory: DetectorFactory = make_detector,
) -> float:
    """Return the time until the faulty server's weight is below 5%.

    The weight is relative to an equal share. An undetected fault counts as
    30 s.
    """
    model = Model(size, seed, detector_factory)
    model.run_until(_WARM_UP_S + model.random.random())
    model.fault = fault
    model.fault_at = model.now
    while model.now - model.fault_at < _DETECTION_LIMIT_S:
        model.run_until(model.now + _STEP_S)
        if model.measure_relative_weight() < 0.05:
            break
    return model.now - model.fault_at


def _find_quantiles(values: list[float]) -> tuple[float, float]:
    ordered = sorted(values)
    median = ordered[len(ordered) // 2]
    return median, ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]


def _compare(name: str, fault: Fault, times: list[float]) -> list[Measure]:
    """Compare the median and the 99th percentile with their targets."""
    median, percentile_99 = _find_quantiles(times)
    targets = (1.0, 3.0) if fault in TOTAL else (3.0, 10.0)
    at_most = Bound.AT_MOST
    return [
        Measure(f"{name}, median", median, "s", targets[0], at_most),
        Measure(
            f"{name}, 99th percentile", percentile_99, "s", targets[1], at_most
        ),
    ]


def _measure_faults(seed: int, repetitions: int) -> list[Measure]:
    measures = []
    for size in SIZES:
        for fault in (*TOTAL, *PARTIAL):
            times = [
                measure_detection(size, fault, seed * 1000 + repetition)
                for repetition in range(repetitions)
            ]
            measures += _compare(f"{size.name}, {fault.value}", fault, times)
    return measures


def _measure_routed(seed: int, repetitions: int) -> list[Measure]:
    """Measure the time until the faulty server gets under 5% of its traffic."""
    measures = []
    for size in (TWO_NODES, KAPRA, DESIGN):
        for fault in (Fault.VERY_SLOW, *PARTIAL):
            times = [
                measure_routed(size, fault, seed * 1000 + repetition)[0]
                for repetition in range(repetitions)
            ]
            name = f"{size.name}, routed, {fault.value}"
            measures += _compare(name, fault, times)
    return measures


def _measure_baselines(seed: int) -> list[Measure]:
    measures = []
    baselines = (
        ("(a)", make_no_detector),
        ("(b)", make_consecutive_error_detector),
    )
    for label, detector_factory in baselines:
        for size in (DESIGN, KAPRA):
            for fault in (Fault.BLACK_HOLE, Fault.ERRORS):
                times = [
                    measure_detection(
                        size, fault, seed * 1000 + repetition, detector_factory
                    )
                    for repetition in range(2)
                ]
                name = f"baseline {label}, {size.name}, {fault.value}, median"
                measures.append(Measure(name, _find_quantiles(times)[0], "s"))
    return measures


def _fill(detector: Detector, services: int, servers: int) -> list[ServerId]:
    names = []
    for service in range(services):
        for number in range(servers):
            server = build_server(
                number,
                id=ServerId(f"service-{service}-{number}"),
                service=ServiceName(f"service-{service}"),
                region=OWN_REGION if number % 2 else OTHER_REGION,
            )
            detector.update_servers([server], Seconds(0.0))
            attempt = build_attempt(server)
            detector.observe(attempt, Seconds(1.0))
            names.append(server.id)
    return names


def _measure_cost(seed: int) -> list[Measure]:
    gc.collect()
    tracemalloc.start()
    detector = make_detector(NodeId("node-0"), OWN_REGION)
    detector.update_members(
        [Member(NodeId(f"node-{n}"), OWN_REGION) for n in range(1000)],
        Seconds(0.0),
    )
    _fill(detector, 380, 37)
    memory = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    servers = [
        build_server(n, service=ServiceName("s"), region=OWN_REGION)
        for n in range(37)
    ]
    detector.update_servers(servers, Seconds(1.0))
    chooser = random.Random(seed)
    attempts = [
        build_attempt(
            chooser.choice(servers),
            AttemptResult.ERROR
            if chooser.random() < 0.01
            else AttemptResult.OK,
        )
        for _ in range(20000)
    ]
    start = time.process_time()
    for index, attempt in enumerate(attempts):
        detector.observe(attempt, Seconds(2.0 + index / 90))
    observe = (time.process_time() - start) / len(attempts)
    start = time.process_time()
    for _ in range(5000):
        detector.select(servers, 60, Seconds(300.0))
    select = (time.process_time() - start) / 5000
    start = time.process_time()
    for index in range(1000):
        detector.advance(Seconds(300.0 + index / 10))
    advance = (time.process_time() - start) / 1000
    return [
        Measure("processor time of observe", observe * 1e6, "us"),
        Measure("processor time of select, 37 servers", select * 1e6, "us"),
        Measure("processor time of advance", advance * 1e6, "us"),
        Measure("memory, 14060 servers", memory, "MiB", 256.0, Bound.AT_MOST),
    ]


def run(seed: int) -> list[Measure]:
    """Run the benchmark.

    Parameters
    ----------
    seed : int
        Seed of all random choices.

    Returns
    -------
    list of Measure
        Detection times, baselines and cost.
    """
    return [
        *_measure_faults(seed, 20),
        *_measure_routed(seed, 20),
        *_measure_baselines(seed),
        *_measure_cost(seed),
    ]


if __name__ == "__main__":
    run_benchmark("detection", run)
