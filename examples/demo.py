"""Runs a small fleet through faults and prints what callers got.

Starts the platform stand-in, four nodes and twelve backend servers on
loopback, publishes a catalogue, plays recorded requests, kills one server,
slows a second and drains a third. Exits with 1 when a promise was broken.
"""

import dataclasses
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable

from google.protobuf import json_format

from egretlever.schema import standins_pb2
from egretlever.standins import (
    make_mix,
    read_mix,
    summarize_results,
    write_mix,
)
from egretlever.testing import SmallFleet, judge_run

_FOLDER = pathlib.Path(__file__).parent
_CATALOGUE = _FOLDER / "demo.ini"
_MIX = _FOLDER / "demo-mix.jsonl"
_NODES = 4
_SERVERS = {"ordering": 4, "fabrics": 4, "classroom": 4}
_GONE_WEIGHT = 0.05  # share of the first weight under which a server is out
_DRAIN_LIMIT = 3.0  # seconds until the last new request of a leaving server
_DETECTION_LIMIT = 10.0  # seconds; the target's 99th percentile


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of the demonstration and how long it took to be seen.

    Parameters
    ----------
    name : str
        What was done.
    seconds : float or None
        Time until every node had taken the server out, None for never.
    limit : float
        Longest allowed time.
    """

    name: str
    seconds: float | None
    limit: float

    @property
    def in_time(self) -> bool:
        """Whether the fault was seen in time."""
        return self.seconds is not None and self.seconds <= self.limit


def record_mix() -> None:
    """Record the mix of requests that the demonstration plays."""
    request = standins_pb2.LoadRequest
    kinds = [
        (
            request(
                method="POST",
                path="/swatches",
                rank="order",
                order=True,
                body_bytes=200,
                answer_bytes=300,
                deadline_s=1,
                worth=20,
            ),
            15.0,
        ),
        (
            request(
                method="GET",
                path="/lessons/1",
                rank="lesson",
                answer_bytes=4000,
                deadline_s=0.5,
                worth=5,
            ),
            40.0,
        ),
        (
            request(
                method="GET",
                path="/fabrics/silk",
                rank="browse",
                answer_bytes=2000,
                deadline_s=1,
                worth=1,
            ),
            40.0,
        ),
    ]
    write_mix(_MIX, make_mix(kinds, 20.0, seed=1))


def start_fleet(fleet: SmallFleet) -> None:
    """Start all processes and publish the catalogue."""
    fleet.start_platform()
    fleet.start_nodes(_NODES)
    total = 0
    for service, count in _SERVERS.items():
        for number in range(count):
            node = f"node-{number % _NODES}"
            fleet.start_server(f"{service}-{number}", service, node)
            total += 1
    fleet.apply_catalogue(_CATALOGUE)
    if not fleet.wait_ready(total):
        raise RuntimeError("the fleet did not become ready")


def start_load(fleet: SmallFleet) -> "subprocess.Popen[bytes]":
    """Start the load generator as a process of its own."""
    nodes = ", ".join(str(node.traffic) for node in fleet.nodes.values())
    settings = fleet.write_settings("load", {"load": {"nodes": nodes}})
    results = fleet.path / "results.jsonl"
    running = fleet.start(
        "load", "load", "play", settings, _MIX, "--results", results
    )
    return running.process


def watch_weight(fleet: SmallFleet, server: str, limit: float) -> float | None:
    """Measure how long each node takes to give a server almost no weight."""
    began = time.monotonic()
    while (passed := time.monotonic() - began) < limit:
        weights = [read_weight(fleet, node, server) for node in fleet.nodes]
        if all(weight < _GONE_WEIGHT for weight in weights):
            return passed
        time.sleep(0.05)
    return None


def read_weight(fleet: SmallFleet, node: str, server: str) -> float:
    """Read the weight that a node gives to a server.

    A node of the other region does not use the server while its own region
    has capacity, so it has no evidence, and its weight does not count.
    """
    status = fleet.read_status(node)
    if status is None:
        return 1.0
    regions = {item.node: item.region for item in status.nodes}
    for item in status.servers:
        if item.server == server and item.region == regions[node]:
            return item.weight
    return 0.0


def make_faults(fleet: SmallFleet) -> list[Fault]:
    """Bring about three faults, one after the other."""
    time.sleep(3)
    faults = [
        _measure(
            fleet,
            "kill fabrics-0",
            "fabrics-0",
            lambda: fleet.programs["fabrics-0"].signal(signal.SIGKILL),
        )
    ]
    time.sleep(1)
    faults.append(
        _measure(
            fleet,
            "slow classroom-0 10x",
            "classroom-0",
            lambda: fleet.set_faults("classroom-0", slow_factor=10.0),
        )
    )
    time.sleep(1)
    drained_at = time.time()
    fleet.drain("ordering-0")
    time.sleep(_DRAIN_LIMIT + 1)
    records = fleet.read_records()["ordering-0"]
    last = max((record.at_unix_s for record in records), default=0.0)
    faults.append(
        Fault("drain ordering-0", max(0.0, last - drained_at), _DRAIN_LIMIT)
    )
    return faults


def _measure(
    fleet: SmallFleet, name: str, server: str, act: Callable[[], None]
) -> Fault:
    act()
    seconds = watch_weight(fleet, server, _DETECTION_LIMIT)
    return Fault(name, seconds, _DETECTION_LIMIT)


def read_results(path: pathlib.Path) -> list[standins_pb2.LoadResult]:
    """Read the results that the load generator wrote."""
    return [
        json_format.Parse(line, standins_pb2.LoadResult())
        for line in path.read_text(encoding="utf-8").splitlines()
    ]


def print_report(
    results: list[standins_pb2.LoadResult], faults: list[Fault]
) -> None:
    """Print a row for each rank and for each fault."""
    print(
        f"{'rank':<8} {'sent':>6} {'on time':>8} {'late':>6} {'not run':>8}"
        f" {'unknown':>8} {'failed':>7}"
    )
    for row in summarize_results(results):
        print(
            f"{row.rank:<8} {row.sent:>6} {row.on_time:>8} {row.late:>6}"
            f" {row.not_run:>8} {row.unknown:>8} {row.failed:>7}"
        )
    for fault in faults:
        shown = "not seen" if fault.seconds is None else f"{fault.seconds:.2f}"
        print(f"{fault.name:<24} {shown:>8} s (at most {fault.limit:g} s)")


def main() -> int:
    """Run the demonstration and return its exit code."""
    print(f"requests: {len(read_mix(_MIX))} recorded in {_MIX.name}, seed 1")
    with SmallFleet() as fleet:
        start_fleet(fleet)
        load = start_load(fleet)
        faults = make_faults(fleet)
        load.wait()
        results = read_results(fleet.path / "results.jsonl")
        verdict = judge_run(results, fleet.read_records())
    print_report(results, faults)
    print(
        f"doubled = {len(verdict.doubled)}, lost = {len(verdict.lost)}, "
        f"told not run but ran = {len(verdict.not_run_but_ran)}, "
        f"foreign or cut answers = {verdict.foreign}"
    )
    sound = verdict.sound and all(fault.in_time for fault in faults)
    print("all promises kept" if sound else "A PROMISE WAS BROKEN")
    return 0 if sound else 1


if __name__ == "__main__":
    if sys.argv[1:] == ["record"]:
        record_mix()
    else:
        sys.exit(main())
