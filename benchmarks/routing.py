"""Subset changes, load balance, cost and memory at the design size."""

import collections
import gc
import math
import random
import time
import tracemalloc

from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.admission import ServicePolicy, make_admission
from egretlever.core import (
    AttemptResult,
    Seconds,
    Server,
    ServerId,
    ServiceName,
)
from egretlever.routing import (
    LiveNodes,
    Placement,
    choose_subset_size,
    make_router,
    order_servers,
)
from egretlever.testing import builders

_NODES = 1000
_SERVICES = 380
_SERVERS = 14_000
_REQUESTS_PER_S = 90_000
_NOW = Seconds(1000.0)

# Service time at which the peak of the design size fills half of the slots.
_SERVICE_TIME_S = 0.5 * _SERVERS * 4 / _REQUESTS_PER_S


def build_services() -> dict[ServiceName, list[Server]]:
    """Build services of 10 to 64 servers, 14,000 servers in total."""
    services: dict[ServiceName, list[Server]] = {}
    remaining = _SERVERS
    for number in range(_SERVICES):
        name = ServiceName(f"service-{number}")
        if number == _SERVICES - 1:
            size = remaining
        else:
            size = 10 + number * 54 // (_SERVICES - 1)
        services[name] = [
            builders.build_server(at, id=ServerId(f"{name}-{at}"), service=name)
            for at in range(size)
        ]
        remaining -= size
    return services


def find_subset(
    number: int, servers: list[Server], nodes: int = _NODES // 2
) -> list[Server]:
    """Return the subset that a node uses of the servers of its region."""
    slots, connections = servers[0].slots, servers[0].connections
    size = choose_subset_size(len(servers), 0.0, slots, connections, nodes)
    return order_servers(f"node-{number}", servers)[:size]


def list_local(servers: list[Server], number: int) -> list[Server]:
    """Return the servers in the region of a node."""
    region = builders.build_location(number).region
    return [server for server in servers if server.region == region]


def measure_balance(
    services: dict[ServiceName, list[Server]],
) -> list[Measure]:
    """Measure subset sizes and the number of nodes that use each server."""
    worst_nodes = 0.0
    worst_connections = 0
    sizes = []
    for servers in services.values():
        regions = [list_local(servers, number) for number in (0, 2)]
        counts: collections.Counter[ServerId] = collections.Counter()
        for number in range(_NODES):
            local = regions[0 if number % 4 < 2 else 1]
            subset = find_subset(number, local)
            sizes.append(len(subset))
            counts.update(server.id for server in subset)
        for local in regions:
            region = [counts[server.id] for server in local]
            mean = sum(region) / len(region)
            worst_nodes = max(worst_nodes, max(region) / mean)
        worst_connections = max(worst_connections, *counts.values())
    return [
        Measure("subset size, mean", sum(sizes) / len(sizes), "servers"),
        Measure(
            "nodes of the most used server, part of its service's mean",
            worst_nodes,
            "",
        ),
        Measure(
            "nodes of the most used server",
            worst_connections,
            "connections",
            330,
            Bound.AT_MOST,
        ),
    ]


def measure_movement(
    services: dict[ServiceName, list[Server]], rng: random.Random
) -> list[Measure]:
    """Measure the share of subset entries that change when a server leaves."""
    places = changed = expected = 0.0
    for servers in rng.sample(list(services.values()), 20):
        local = list_local(servers, 0)
        removed = rng.choice(local)
        remaining = [server for server in local if server is not removed]
        for number in range(0, _NODES, 8):
            before = {server.id for server in find_subset(number, local)}
            after = {server.id for server in find_subset(number, remaining)}
            places += len(before)
            changed += len(before - after)
            expected += len(before) / len(local)
    return [
        Measure(
            "places moved when one server leaves",
            changed / places,
            "",
            2.0 * expected / places,
            Bound.AT_MOST,
        ),
        Measure("one in n of the same services", expected / places, ""),
    ]


def measure_load(rng: random.Random) -> list[Measure]:
    """Measure the load balance of 36 servers under 1,000 nodes at peak."""
    servers = builders.build_servers(36)
    slots = sum(server.slots for server in servers)
    routers = []
    for number in range(_NODES):
        router = make_router(
            builders.build_location(number), random.Random(rng.random())
        )
        router.update(servers, _NOW)
        router.observe(LiveNodes(_NODES // 2), _NOW)
        routers.append(router)
    request = builders.build_placement_request()
    counts: collections.Counter[ServerId] = collections.Counter()
    open_placements: collections.deque[tuple[int, Placement]] = (
        collections.deque()
    )
    refused = 0
    total = 50 * len(servers) * 4
    for _ in range(total):
        number = rng.randrange(_NODES)
        answer = routers[number].decide(request, _NOW)
        if not isinstance(answer, Placement):
            refused += 1
            continue
        counts[answer.server.id] += 1
        open_placements.append((number, answer))
        if len(open_placements) > slots // 2:
            at, placement = open_placements.popleft()
            routers[at].release(placement, _NOW)
    mean = total / len(servers)
    return [
        Measure(
            "requests of the most used of 36 servers, part of the mean",
            max(counts.values()) / mean,
            "",
        ),
        Measure(
            "the same of random choice, 3 deviations",
            1.0 + 3.0 / math.sqrt(mean),
            "",
        ),
        Measure("requests without a server", refused / total, ""),
    ]


def measure_router_cost(
    services: dict[ServiceName, list[Server]], rng: random.Random
) -> list[Measure]:
    """Measure decisions and memory of a router that knows all servers."""
    gc.collect()
    servers = [one for members in services.values() for one in members]
    tracemalloc.start()
    router = make_router(builders.build_location(), rng)
    router.update(servers, _NOW)
    router.observe(LiveNodes(_NODES // 2), _NOW)
    names = list(services)
    weights = {server.id: 1.0 for server in servers}
    for name in names:
        router.decide(
            builders.build_placement_request(service=name, weights=weights),
            _NOW,
        )
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    requests = [
        builders.build_placement_request(service=name, weights=weights)
        for name in names
    ]
    costs = []
    for step in range(20_000):
        now = Seconds(_NOW + step * 0.001)
        request = requests[step % _SERVICES]
        start = time.perf_counter()
        answer = router.decide(request, now)
        costs.append(time.perf_counter() - start)
        if isinstance(answer, Placement):
            router.observe(
                builders.build_attempt(answer.server, latency=_SERVICE_TIME_S),
                now,
            )
            router.release(answer, now)
    costs.sort()
    return [
        Measure("decide, median", costs[len(costs) // 2] * 1e6, "us"),
        Measure(
            "decide, 99th percentile",
            costs[len(costs) * 99 // 100] * 1e6,
            "us",
            100.0,
            Bound.AT_MOST,
        ),
        Measure(
            "memory of routing for 14,000 servers",
            memory / 1e6,
            "MB",
            64.0,
            Bound.AT_MOST,
        ),
    ]


def measure_admission_cost(
    services: dict[ServiceName, list[Server]], rng: random.Random
) -> list[Measure]:
    """Measure offer and finish, each with advance, under a backlog."""
    gc.collect()
    tracemalloc.start()
    policies = [ServicePolicy(name, 512, 4) for name in services]
    admission = make_admission(policies, builders.build_ranks(), rng)
    names = list(services)
    running = []
    number = 0
    for name in names:
        for _ in range(12):
            number += 1
            ticket = builders.build_ticket(
                number, service=name, deadline=9000.0
            )
            admission.offer(ticket, _NOW)
            running.append(ticket)
    running = [ticket for at, ticket in enumerate(running) if at % 12 < 4]
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    offers, finishes = [], []
    for step in range(20_000):
        now = Seconds(_NOW + step * 0.001)
        number += 1
        name = names[step % _SERVICES]
        ticket = builders.build_ticket(number, service=name, deadline=9000.0)
        start = time.perf_counter()
        admission.offer(ticket, now)
        departed = admission.advance(now).dispatched
        offers.append(time.perf_counter() - start)
        start = time.perf_counter()
        admission.finish(
            running.pop(0), AttemptResult.OK, Seconds(_SERVICE_TIME_S), now
        )
        departed += admission.advance(now).dispatched
        finishes.append(time.perf_counter() - start)
        running += departed
    offers.sort()
    finishes.sort()
    return [
        Measure("offer and advance, median", offers[10_000] * 1e6, "us"),
        Measure(
            "offer and advance, 99th percentile",
            offers[19_800] * 1e6,
            "us",
            100.0,
            Bound.AT_MOST,
        ),
        Measure("finish and advance, median", finishes[10_000] * 1e6, "us"),
        Measure(
            "finish and advance, 99th percentile",
            finishes[19_800] * 1e6,
            "us",
            100.0,
            Bound.AT_MOST,
        ),
        Measure(
            "memory of admission, 380 services with 12 tickets",
            memory / 1e6,
            "MB",
            64.0,
            Bound.AT_MOST,
        ),
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
        Subset changes, balance, cost and memory. Bounds of cost are a tenth
        of the target for added latency; bounds of memory are a quarter of
        the target for a node.
    """
    rng = random.Random(seed)
    services = build_services()
    return [
        *measure_movement(services, rng),
        *measure_balance(services),
        *measure_load(rng),
        *measure_router_cost(services, rng),
        *measure_admission_cost(services, rng),
    ]


if __name__ == "__main__":
    run_benchmark("routing", run)
