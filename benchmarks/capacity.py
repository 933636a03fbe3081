"""Growth of memory and processor time, extrapolated to the design size.

Each component is measured at four sizes. A line fitted to the points gives the
value at the design size, also where that size itself is not measured.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

from benchmarks._fits import fit_line
from benchmarks._report import Bound, Measure, run_benchmark
from benchmarks.membership import Fleet, measure_memory, run_traffic
from egretlever.admission import ServicePolicy, make_admission
from egretlever.catalogue import make_catalogue_state, make_snapshot
from egretlever.core import (
    AttemptResult,
    NodeId,
    RegionName,
    Seconds,
    Server,
    ServerId,
    ServiceName,
)
from egretlever.detection import Member, make_detector
from egretlever.routing import make_router
from egretlever.testing import builders

_DESIGN_SERVERS = 14_000
_DESIGN_NODES = 1_000
_DESIGN_SERVICES = 380
_DESIGN_ROUTES = 5_100
_SERVERS_PER_SERVICE = 37
_SERVER_SIZES = (1_750, 3_500, 7_000, 14_000)
_NODE_SIZES = (50, 100, 200, 400)
_SERVICE_SIZES = (50, 100, 200, 380)
_ROUTE_SIZES = (640, 1_275, 2_550, 5_100)
_TRAFFIC_SECONDS = 20
_NOW = Seconds(1000.0)
_MIB = 1 << 20


def build_servers_of_services(count: int) -> list[Server]:
    """Build servers for services of 37 servers each."""
    return [
        builders.build_server(
            number,
            id=ServerId(f"server-{number}"),
            service=ServiceName(f"service-{number // _SERVERS_PER_SERVICE}"),
        )
        for number in range(count)
    ]


def measure_memory_of(build: Callable[[], object]) -> float:
    """Measure the memory of an object, in MiB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return used / _MIB


def measure_seconds(work: Callable[[], object]) -> float:
    """Measure the processor time of a call, in seconds."""
    gc.collect()
    began = time.process_time()
    work()
    return time.process_time() - began


def build_router(servers: Sequence[Server]) -> object:
    """Create a router that knows the servers."""
    router = make_router(builders.build_location(), random.Random(1))
    router.update(servers, _NOW)
    for service in {server.service for server in servers}:
        router.count_slots(service, None, _NOW)
    return router


def build_detector(servers: Sequence[Server]) -> object:
    """Create a detector that has observed one outcome of each server."""
    detector = make_detector(NodeId("node-1"), RegionName("punjab"))
    detector.update_members(
        [Member(NodeId(f"node-{n}"), RegionName("punjab")) for n in range(500)],
        _NOW,
    )
    detector.update_servers(servers, _NOW)
    for server in servers:
        detector.observe(builders.build_attempt(server), _NOW)
    return detector


def measure_detector_advance(servers: Sequence[Server]) -> float:
    """Measure `advance` in ms, with a bad outcome of one server in 100."""
    detector = make_detector(NodeId("node-1"), RegionName("punjab"))
    detector.update_servers(servers, _NOW)
    for server in servers:
        detector.observe(builders.build_attempt(server), _NOW)
    for server in servers[::100]:
        detector.observe(
            builders.build_attempt(server, AttemptResult.ERROR), _NOW
        )
    steps = 200
    seconds = measure_seconds(
        lambda: [
            detector.advance(Seconds(_NOW + 0.05 * step))
            for step in range(steps)
        ]
    )
    return seconds / steps * 1000


def build_admission(services: int) -> object:
    """Create an admission with one ticket per service."""
    names = [ServiceName(f"service-{number}") for number in range(services)]
    admission = make_admission(
        [ServicePolicy(name) for name in names],
        builders.build_ranks(),
        random.Random(1),
    )
    for name in names:
        ticket = builders.build_ticket(service=name, deadline=Seconds(1e6))
        admission.offer(ticket, _NOW)
    return admission


def build_catalogue_state(routes: int) -> object:
    """Create a node's copy of a catalogue."""
    state = make_catalogue_state()
    state.apply_update(
        make_snapshot(builders.build_large_catalogue(routes)), _NOW
    )
    return state


def report_slope(
    name: str,
    unit: str,
    sizes: Sequence[int],
    values: Sequence[float],
    per: str,
    design: int,
    target: float | None = None,
) -> list[Measure]:
    """Return the slope, its residual and the value at the design size."""
    fit = fit_line(sizes, values)
    bound = Bound.NONE if target is None else Bound.AT_MOST
    return [
        Measure(f"{name}, slope", fit.slope * 1000, f"{unit} per 1,000 {per}"),
        Measure(f"{name}, residual", fit.residual * 100, "%"),
        Measure(
            f"{name} at {design:,} {per}",
            fit.extrapolate(design),
            unit,
            target,
            bound,
        ),
    ]


def _measure_servers() -> list[Measure]:
    fleets = [build_servers_of_services(size) for size in _SERVER_SIZES]
    measures = []
    for name, build in (
        ("routing memory", build_router),
        ("detection memory", build_detector),
    ):
        values = [
            measure_memory_of(lambda b=build, f=fleet: b(f))  # type: ignore[misc]
            for fleet in fleets
        ]
        measures += report_slope(
            name, "MiB", _SERVER_SIZES, values, "servers", _DESIGN_SERVERS
        )
    values = [measure_detector_advance(fleet) for fleet in fleets]
    return measures + report_slope(
        "detection turn", "ms", _SERVER_SIZES, values, "servers",
        _DESIGN_SERVERS,
    )  # fmt: skip


def _measure_members(seed: int) -> list[Measure]:
    memory, sent, processor = [], [], []
    for size in _NODE_SIZES:
        fleet = Fleet(size, seed)
        fleet.network.run(10.0)
        began = time.process_time()
        traffic = run_traffic(fleet, _TRAFFIC_SECONDS)
        used = time.process_time() - began
        processor.append(used / _TRAFFIC_SECONDS / size * 100)
        sent.append(traffic.mean)
        memory.append(measure_memory(fleet) / 1e6)
    rows = (
        ("membership memory", "MB", memory, None),
        ("gossip sent by a node", "byte/s", sent, 15_000.0),
        ("gossip processor time", "% of a core", processor, 2.3),
    )
    measures = []
    for name, unit, values, target in rows:
        measures += report_slope(
            name, unit, _NODE_SIZES, values, "nodes", _DESIGN_NODES, target
        )
    return measures


def run(seed: int) -> list[Measure]:
    """Measure the slopes of all components.

    Parameters
    ----------
    seed : int
        Seed of the gossip network.

    Returns
    -------
    list of Measure
        Slopes, residuals and values at the design size.
    """
    admission = [
        measure_memory_of(lambda s=size: build_admission(s))  # type: ignore[misc]
        for size in _SERVICE_SIZES
    ]
    catalogue = [
        measure_memory_of(lambda s=size: build_catalogue_state(s))  # type: ignore[misc]
        for size in _ROUTE_SIZES
    ]
    return [
        *_measure_servers(),
        *report_slope(
            "admission memory", "MiB", _SERVICE_SIZES, admission, "services",
            _DESIGN_SERVICES,
        ),
        *report_slope(
            "catalogue memory", "MiB", _ROUTE_SIZES, catalogue, "routes",
            _DESIGN_ROUTES,
        ),
        *_measure_members(seed),
    ]  # fmt: skip


if __name__ == "__main__":
    run_benchmark("capacity", run)
