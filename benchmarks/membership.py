"""Dissemination time, bytes, processor time and memory of membership.

Messages go through a queue in virtual time. Processor times include the queue
and are upper bounds.
"""

import collections
import concurrent.futures
import dataclasses
import functools
import time
import tracemalloc
from collections.abc import Callable, Iterable

from benchmarks._membership_fleet import DELTA, Fleet
from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.core import (
    Address,
    Digest,
    Incarnation,
    Server,
    ServerState,
    Version,
)
from egretlever.membership import (
    CatalogueHead,
    CatalogueUpdate,
    make_membership,
)
from egretlever.testing import (
    builders,
)

SIZES = (50, 100, 250, 500, 1000)
JOINERS = 250
START_LIMIT_S = 60
START_FLEET_SIZE = 1000
# Leaves half of the cores and of the memory free for other work.
PROCESSES = 4
LINK_TARGET_BYTES_PER_S = 0.05 * 30e6 / 8


@dataclasses.dataclass
class Traffic:
    """Bytes per second of a node, and of the region link, during a run."""

    mean: float
    peak: float
    link: float


def run_traffic(fleet: Fleet, seconds: int) -> Traffic:
    """Run the fleet and measure the bytes sent in each second."""
    total = peak = link = 0.0
    for _ in range(seconds):
        fleet.network.sent.clear()
        fleet.network.link.clear()
        fleet.network.run(1.0)
        total += sum(fleet.network.sent.values())
        peak = max(peak, *fleet.network.sent.values())
        link = max(link, *fleet.network.link.values(), 0)
    return Traffic(total / seconds / len(fleet.members()), peak, link)


def measure_departure(fleet: Fleet, number: int) -> float:
    """Drain a server; return the seconds until the last node knows of it."""
    announcement = builders.build_announcement(
        3, number, state=ServerState.DRAINING
    )
    start = fleet.network.now
    seen: dict[object, float] = {}
    fleet.change_times.servers[announcement.id] = seen
    fleet.member(number).announce(announcement, start)
    fleet.network.reschedule(fleet.headers[number].gossip)
    others = len(fleet.members()) - 1
    fleet.run_until(lambda: len(seen) >= others, 20)
    complete = len(seen) >= others
    return max(seen.values()) - start if complete else float("inf")


def measure_catalogue_update(fleet: Fleet, number: int) -> float:
    """Publish an update; return the seconds until the last node has it."""
    header = fleet.headers[number]
    copy = fleet.copies[header.node]
    base = copy.head()
    length = len(copy.content()) + len(DELTA)
    head = CatalogueHead(Version(base.version + 1), Digest(str(length)))
    update = CatalogueUpdate(head, base.version, DELTA)
    start = fleet.network.now
    copy.apply_update(update, start)
    fleet.change_times.catalogue.clear()
    fleet.network.send(
        header.gossip, fleet.member(number).publish_catalogue(update, start)
    )
    others = len(fleet.members()) - 1

    def is_done() -> bool:
        return len(fleet.change_times.catalogue) >= others

    fleet.run_until(is_done, 20)
    if not is_done():
        return float("inf")
    return max(fleet.change_times.catalogue.values()) - start


def restart(fleet: Fleet, number: int) -> None:
    """Drain a host's servers and restart its node with a new incarnation."""
    fleet.announce(number, ServerState.DRAINING, Incarnation(1))
    fleet.network.run(2.0)
    address = fleet.headers[number].gossip
    fleet.network.send(address, fleet.member(number).leave(fleet.network.now))
    fleet.network.run(1.0)
    fleet.network.remove(address)
    fleet.network.run(1.0)
    fleet.start(number, Incarnation(2))


def measure_memory(fleet: Fleet) -> float:
    """Measure the memory that one node needs for its view of the fleet.

    Returns
    -------
    float
        Bytes of a member whose records all come from decoded messages, so
        that it shares no memory with other members.
    """
    from egretlever.membership._codec import decode_message, encode_message
    from egretlever.membership._messages import Message

    now = fleet.network.now
    encoded = [
        encode_message(
            Message(
                member.describe().node,
                Incarnation(1),
                deltas=(member.own_delta(now),),
            )
        )
        for member in fleet.members()
    ]
    tracemalloc.start()
    header = builders.build_node_header(len(fleet.headers) + 1)
    member = make_membership(header, Incarnation(1))
    member.restore(
        (
            delta
            for data in encoded
            for delta in decode_message(data).unwrap().deltas
        ),
        now,
    )
    servers: list[Server] = member.servers()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(servers) >= len(encoded)
    return float(used)


def measure_size(size: int, seed: int) -> Iterable[Measure]:
    """Measure a fleet of one size."""
    label = f"{size} nodes"
    fleet = Fleet(size, seed)
    fleet.network.run(3.0)
    started = time.process_time()
    steady = run_traffic(fleet, 5)
    cpu = (time.process_time() - started) / 5 / size
    at_most = Bound.AT_MOST
    yield Measure(
        f"steady bytes, mean, {label}", steady.mean, "B/s", 15000, at_most
    )
    yield Measure(
        f"steady bytes, peak second, {label}",
        steady.peak,
        "B/s",
        15000,
        at_most,
    )
    yield Measure(
        f"region link, one direction, {label}",
        steady.link,
        "B/s",
        LINK_TARGET_BYTES_PER_S,
        at_most,
    )
    yield Measure(f"processor time, {label}", 100 * cpu, "% core", 2.3, at_most)
    memory = measure_memory(fleet) / 1e6
    yield Measure(f"memory, {label}", memory, "MB", 256, at_most)
    fleet.break_links()
    departures = [measure_departure(fleet, size // 3 + n) for n in range(3)]
    yield Measure(
        f"departure known, worst of 3, {label}",
        max(departures),
        "s",
        3,
        at_most,
    )
    updates = [measure_catalogue_update(fleet, n) for n in range(3)]
    yield Measure(
        f"catalogue known, worst of 3, {label}", max(updates), "s", 4, at_most
    )


def measure_restarts(size: int, seed: int) -> Iterable[Measure]:
    """Measure one restart in 20 s; 980 restarts per day are one in 88 s."""
    fleet = Fleet(size, seed)
    fleet.network.run(3.0)
    fleet.network.sent.clear()
    fleet.network.link.clear()
    start = fleet.network.now
    restart(fleet, size // 2)
    fleet.network.run(start + 20 - fleet.network.now)
    mean = sum(fleet.network.sent.values()) / 20 / size
    link = max(fleet.network.link.values()) / 20
    yield Measure(
        f"one restart in 20 s, mean bytes, {size} nodes",
        mean,
        "B/s",
        15000,
        Bound.AT_MOST,
    )
    yield Measure(
        f"one restart in 20 s, region link, {size} nodes",
        link,
        "B/s",
        LINK_TARGET_BYTES_PER_S,
        Bound.AT_MOST,
    )


def measure_start(size: int, joiners: int, seed: int) -> Iterable[Measure]:
    """Measure the simultaneous start of many nodes."""
    fleet = Fleet(size - joiners, seed)
    fleet.network.run(2.0)
    start = fleet.network.now
    joining_numbers = range(size - joiners, size)
    for number in joining_numbers:
        fleet.start(number, Incarnation(1))
    peak = link = total = 0.0
    sent: collections.Counter[Address] = collections.Counter()
    seconds = 0
    while seconds < START_LIMIT_S:
        traffic = run_traffic(fleet, 1)
        seconds += 1
        peak, link = max(peak, traffic.peak), max(link, traffic.link)
        total += traffic.mean
        sent.update(fleet.network.sent)
        now = fleet.network.now
        if all(
            fleet.member(number).is_ready(now) for number in joining_numbers
        ):
            break
    label = f"start of {joiners} among {size} nodes"
    at_most = Bound.AT_MOST
    now = fleet.network.now
    ready = sum(
        fleet.member(number).is_ready(now) for number in joining_numbers
    )
    yield Measure(f"{label}, time run", now - start, "s", 60, at_most)
    yield Measure(f"{label}, ready by then", 100 * ready / joiners, "%")
    yield Measure(
        f"{label}, mean bytes", total / seconds, "B/s", 15000, at_most
    )
    # The mean covers at most a minute. A shorter run covers only the start
    # itself, in which nodes send more.
    yield Measure(
        f"{label}, busiest node's mean",
        max(sent.values()) / seconds,
        "B/s",
        15000,
        at_most,
    )
    yield Measure(f"{label}, peak second", peak, "B/s", 15000, at_most)
    yield Measure(
        f"{label}, region link", link, "B/s", LINK_TARGET_BYTES_PER_S, at_most
    )


def measure_single_start(size: int, seed: int) -> Iterable[Measure]:
    """Measure the start of one node in a steady fleet."""
    fleet = Fleet(size - 1, seed)
    fleet.network.run(3.0)
    start = fleet.network.now
    fleet.start(size - 1, Incarnation(1))
    member = fleet.member(size - 1)
    fleet.run_until(lambda: member.is_ready(fleet.network.now), 30)
    ready = member.is_ready(fleet.network.now)
    yield Measure(
        f"single node ready, {size} nodes",
        fleet.network.now - start if ready else float("inf"),
        "s",
        5,
        Bound.AT_MOST,
    )


CASES: tuple[Callable[[int], Iterable[Measure]], ...] = (
    functools.partial(measure_start, START_FLEET_SIZE, JOINERS),
    *(functools.partial(measure_size, size) for size in reversed(SIZES)),
    functools.partial(measure_single_start, START_FLEET_SIZE),
    functools.partial(measure_restarts, START_FLEET_SIZE),
)


def run_case(number: int, seed: int) -> list[Measure]:
    """Measure one case."""
    return list(CASES[number](seed))


def run(seed: int) -> list[Measure]:
    """Measure all sizes, restarts, and starts, in several processes."""
    measures: list[Measure] = []
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        numbers = range(len(CASES))
        for found in pool.map(run_case, numbers, [seed] * len(CASES)):
            measures += found
    values = {measure.name: measure.value for measure in measures}
    for name, unit in (
        ("steady bytes, mean", "B/s"),
        ("processor time", "% core"),
        ("memory", "MB"),
    ):
        rise = values[f"{name}, 1000 nodes"] - values[f"{name}, 250 nodes"]
        measures.append(
            Measure(f"{name}, slope per 100 nodes", rise / 7.5, unit)
        )
    return measures


if __name__ == "__main__":
    run_benchmark("membership", run)
