"""Runs a small fleet under faults and prints the outcomes of its requests.

Starts the platform stand-in, four nodes and twelve backend servers on
loopback, publishes a catalogue and plays recorded requests. Meanwhile it kills
one server, slows a second and drains a third. Exits with 1 when a promise
was broken.
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
from egretlever.testing import SmallFleet, check_load_run

_FOLDER = pathlib.Path(__file__).parent
_CATALOGUE = _FOLDER / "demo.ini"
_MIX = _FOLDER / "demo-mix.jsonl"
_NODE_COUNT = 4
_SERVERS = {"ordering": 4, "fabrics": 4, "classroom": 4}
_REMOVED_WEIGHT = 0.05  # a server with a lower weight counts as removed
_DRAIN_LIMIT_S = 3.0  # until the last new request of a draining server
_DETECTION_LIMIT_S = 10.0  # target for the 99th percentile of detection times


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault and the time until the nodes reacted to it.

    Parameters
    ----------
    name : str
        Fault and server.
    seconds : float or None
        Seconds until every node had removed the server, None for never.
    limit : float
        Longest allowed time in seconds.
    """

    name: str
    seconds: float | None
    limit: float

    @property
    def is_detected_in_time(self) -> bool:
        """Whether the nodes reacted to the fault within the limit."""
        return self.seconds is not None and self.seconds <= self.limit


def record_mix() -> None:
    """Record the requests that the demonstration plays."""
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
    fleet.start_nodes(_NODE_COUNT)
    total = 0
    for service, count in _SERVERS.items():
        for number in range(count):
            node = f"node-{number % _NODE_COUNT}"
            fleet.start_server(f"{service}-{number}", service, node)
            total += 1
    fleet.apply_catalogue(_CATALOGUE)
    if not fleet.wait_ready(total):
        raise RuntimeError("the fleet did not become ready")


def start_load(fleet: SmallFleet) -> "subprocess.Popen[bytes]":
    """Start the load generator as a separate process."""
    nodes = ", ".join(str(node.traffic) for node in fleet.nodes.values())
    settings = fleet.write_settings("load", {"load": {"nodes": nodes}})
    results = fleet.path / "results.jsonl"
    running = fleet.start(
        "load", "load", "play", settings, _MIX, "--results", results
    )
    return running.process


def measure_removal_time(
    fleet: SmallFleet, server: str, limit: float
) -> float | None:
    """Measure the time until the server has almost no weight on any node."""
    began = time.monotonic()
    while (elapsed := time.monotonic() - began) < limit:
        weights = [read_weight(fleet, node, server) for node in fleet.nodes]
        if all(weight < _REMOVED_WEIGHT for weight in weights):
            return elapsed
        time.sleep(0.05)
    return None


def read_weight(fleet: SmallFleet, node: str, server: str) -> float:
    """Read the weight that a node gives to a server of its region.

    The weight is 0 for a server of the other region: the node doesn't use it
    while its own region has capacity, and so has no evidence about it.
    """
    status = fleet.read_status(node)
    if status is None:
        return 1.0
    regions = {item.node: item.region for item in status.nodes}
    for item in status.servers:
        if item.server == server and item.region == regions[node]:
            return item.weight
    return 0.0


def inject_faults(fleet: SmallFleet) -> list[Fault]:
    """Inject three faults, one after another."""
    time.sleep(3)
    faults = [
        _measure_fault(
            fleet,
            "kill fabrics-0",
            "fabrics-0",
            lambda: fleet.programs["fabrics-0"].signal(signal.SIGKILL),
        )
    ]
    time.sleep(1)
    faults.append(
        _measure_fault(
            fleet,
            "slow classroom-0 10x",
            "classroom-0",
            lambda: fleet.set_faults("classroom-0", slow_factor=10.0),
        )
    )
    time.sleep(1)
    drained_at = time.time()
    fleet.drain("ordering-0")
    time.sleep(_DRAIN_LIMIT_S + 1)
    records = fleet.read_records()["ordering-0"]
    last = max((record.at_unix_s for record in records), default=0.0)
    faults.append(
        Fault("drain ordering-0", max(0.0, last - drained_at), _DRAIN_LIMIT_S)
    )
    return faults


def _measure_fault(
    fleet: SmallFleet, name: str, server: str, inject: Callable[[], None]
) -> Fault:
    inject()
    seconds = measure_removal_time(fleet, server, _DETECTION_LIMIT_S)
    return Fault(name, seconds, _DETECTION_LIMIT_S)


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
        faults = inject_faults(fleet)
        load.wait()
        results = read_results(fleet.path / "results.jsonl")
        check = check_load_run(results, fleet.read_records())
    print_report(results, faults)
    print(
        f"doubled = {len(check.duplicate_orders)}, "
        f"lost = {len(check.lost_orders)}, "
        f"told not run but ran = {len(check.not_run_but_ran)}, "
        f"foreign or cut answers = {check.wrong_answers}"
    )
    succeeded = check.is_clean and all(
        fault.is_detected_in_time for fault in faults
    )
    print("all promises kept" if succeeded else "A PROMISE WAS BROKEN")
    return 0 if succeeded else 1


if __name__ == "__main__":
    if sys.argv[1:] == ["record"]:
        record_mix()
    else:
        sys.exit(main())
