"""Memory and decision time of an entry node as the fleet grows.

Run ``python -m benchmarks.relay_capacity``. Memory is that allocated by Python;
times are processor time of one thread.
"""

import random
import time
import tracemalloc

from egretlever.core import (
    Address,
    FailureDomain,
    RegionName,
    Seconds,
    ServiceName,
    Version,
)
from egretlever.placement import (
    Directory,
    DistanceGroups,
    EvenLoad,
    HomeSelector,
    RouteTable,
)
from egretlever.testing.relay_builders import (
    build_answer,
    build_condition,
    build_configuration,
    build_home_server,
    build_route,
    build_search,
)

_SIZES = (1_400, 7_000, 14_000)  # servers; the last one is the design size
_SERVICE_SIZES = (30, 135, 500)  # servers of one service
_SERVICES = 380
_ROUTES = 5_100
_DECISIONS = 2_000
_OWN_ADDRESS = Address("127.0.0.1", 1)
_REGIONS = {
    FailureDomain(f"domain-{number}"): RegionName(f"region-{number % 2}")
    for number in range(4)
}


def _make_directory(servers: int) -> Directory:
    directory = Directory()
    for number in range(servers):
        server = build_home_server(
            number, service=f"service-{number % _SERVICES}"
        )
        directory.update(server, Version(number + 1))
    return directory


def _measure_memory(servers: int) -> float:
    tracemalloc.start()
    directory = _make_directory(servers)
    selector = _make_selector()
    for number in range(_SERVICES):
        for server in directory.list_servers(ServiceName(f"service-{number}")):
            selector.start_offer(server)
            selector.finish_offer(server, build_answer(), Seconds(0.0))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / 2**20


def _make_selector() -> HomeSelector:
    domain = FailureDomain("domain-1")
    return HomeSelector(domain, _REGIONS, _OWN_ADDRESS, random.Random(1))


def _measure_decision(servers: int) -> float:
    directory = _make_directory(servers)
    selector = _make_selector()
    groups = DistanceGroups(
        directory, selector.measure_distance, random.Random(1)
    )
    start = time.process_time()
    for _ in range(_DECISIONS):
        found = groups.find(ServiceName("service-7"))
        sampled = selector.sample(found, Seconds(0.0))
        selector.decide(build_search(), sampled, Seconds(0.0))
    return (time.process_time() - start) / _DECISIONS * 1e6


def _measure_choice(servers: int, full: bool, even_load: bool) -> float:
    """Measure a choice among the servers of one service, by fresh reports."""
    rng = random.Random(1)
    selector = HomeSelector(
        FailureDomain("domain-1"),
        _REGIONS,
        _OWN_ADDRESS,
        rng,
        EvenLoad(rng) if even_load else None,
    )
    directory = Directory()
    for number in range(servers):
        server = build_home_server(number)
        directory.update(server, Version(number + 1))
        condition = build_condition(
            wait=Seconds(2.0 if full else 0.0),
            free_slots=0 if full else 1 + number % 4,
        )
        selector.observe_condition(server, condition, Seconds(0.0))
    groups = DistanceGroups(directory, selector.measure_distance, rng)
    now = Seconds(0.1)
    searches = [build_search() for _ in range(_DECISIONS)]
    start = time.process_time()
    for search in searches:
        found = groups.find(ServiceName("ordering"))
        selector.decide(search, selector.sample(found, now), now)
    return (time.process_time() - start) / _DECISIONS * 1e6


def _measure_match() -> float:
    routes = [
        build_route(id=f"r-{number}", prefix=f"/p{number}/")
        for number in range(_ROUTES)
    ]
    table = RouteTable(build_configuration(*routes), random.Random(1))
    start = time.process_time()
    for number in range(_DECISIONS):
        table.match("shop.example", f"/p{number}/a/b?c=d")
    return (time.process_time() - start) / _DECISIONS * 1e6


def main() -> None:
    """Print memory and times for three numbers of servers."""
    for servers in _SIZES:
        print(
            f"{servers:6d} servers: {_measure_memory(servers):6.2f} MiB,"
            f" {_measure_decision(servers):7.1f} us a decision"
        )
    for servers in _SERVICE_SIZES:
        for full in (False, True):
            before, after = (
                _measure_choice(servers, full, even_load)
                for even_load in (False, True)
            )
            print(
                f"{servers:6d} {'full' if full else 'idle'} servers of a"
                f" service: {before:6.1f} us a choice, {after:6.1f} us with"
                " even load"
            )
    print(f"{_ROUTES:6d} routes: {_measure_match():6.1f} us a match")


if __name__ == "__main__":
    main()
