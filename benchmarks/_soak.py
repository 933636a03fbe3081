"""Runs a fleet of processes under random faults and checks its promises.

Prints the seed first. The same seed gives the same schedule; the timing of the
processes differs between runs. Exits with 1 when a promise was broken.
"""

import pathlib
import random
import re
import resource
import shutil
import time
from typing import Annotated

import curio
import typer

from benchmarks import _soak_checks as checks
from benchmarks._soak_events import Events
from benchmarks._soak_fleet import SoakFleet, find_revision, read_results
from benchmarks._soak_history import History
from benchmarks._soak_monitor import NodeMonitor
from benchmarks._soak_plan import (
    KAPRA_MIX,
    SABLAT_MIX,
    SERVICES,
    Event,
    make_schedule,
)
from egretlever.schema import standins_pb2
from egretlever.standins import make_mix, summarize_results, write_mix

_CATALOGUE = pathlib.Path(__file__).parent / "soak.ini"
_NODES = 12
_LOADS = {
    "kapra-1": KAPRA_MIX,
    "kapra-2": KAPRA_MIX,
    "sablat-1": SABLAT_MIX,
    "sablat-2": SABLAT_MIX,
}
_READY_TIMEOUT = 60.0  # seconds
_LOAD_END_TIMEOUT = 30.0  # seconds after the last request
_RECOVERY_TIME = 6.0  # seconds without faults before the final checks
_RESULT_NUMBER_STEP = 1_000_000  # per generator, so that numbers stay unique


def read_floors() -> dict[str, float]:
    """Read the floor share of each service from the catalogue."""
    text = _CATALOGUE.read_text(encoding="utf-8")
    pattern = r"\[service (\S+)\][^\[]*?floor_share = (\S+)"
    return {name: float(share) for name, share in re.findall(pattern, text)}


class Soak:
    """One randomised run.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet to start and test.
    seed : int
        Seed of the schedule and requests.
    duration : float
        Length of the run in seconds.
    """

    def __init__(self, fleet: SoakFleet, seed: int, duration: float) -> None:
        self.history = History()
        self._fleet = fleet
        self._duration = duration
        self._randomness = random.Random(seed)
        self._events = Events(
            fleet,
            self.history,
            random.Random(seed + 1),
            _CATALOGUE.read_text(encoding="utf-8"),
        )
        self._monitor = NodeMonitor(
            fleet, self.history, self._events, read_floors()
        )

    def start(self) -> list[Event]:
        """Start the fleet and return the schedule."""
        self._fleet.start_all(_NODES)
        self._fleet.apply_catalogue(_CATALOGUE)
        servers = list(self._fleet.homes)
        if not self._fleet.wait_ready(len(servers), _READY_TIMEOUT):
            raise RuntimeError(
                f"the fleet is not ready\n{self._fleet.describe_start()}"
            )
        return make_schedule(
            self._randomness, self._duration, servers, list(self._fleet.nodes)
        )

    async def run(self, schedule: list[Event]) -> None:
        """Run the schedule under load and read the final state."""
        self._start_loads()
        watchers = curio.TaskGroup()
        for node in self._fleet.nodes:
            await watchers.spawn(self._monitor.run, node)
        began = time.monotonic()
        async with curio.TaskGroup() as tasks:
            for event in schedule:
                await curio.sleep(max(0.0, began + event.at - time.monotonic()))
                await tasks.spawn(self._events.perform, event)
        remaining = began + self._duration - time.monotonic()
        await curio.sleep(max(_RECOVERY_TIME, remaining))
        for name in [*_LOADS, *self._events.loads]:
            if not await self._fleet.wait_for_end(name, _LOAD_END_TIMEOUT):
                self.history.report("load generators end", name)
        await watchers.cancel_remaining()
        await self._read_final_state()

    def _start_loads(self) -> None:
        for name, kinds in _LOADS.items():
            seed = self._randomness.getrandbits(31)
            path = self._fleet.path / f"{name}.jsonl"
            write_mix(path, make_mix(kinds, self._duration, seed))
            self._fleet.start_load(name, path, seed)

    async def _read_final_state(self) -> None:
        for node in self._fleet.nodes:
            if not await self._monitor.sample(node):
                self.history.report("every node is ready at the end", node)
            await self._monitor.check_metrics(node)

    def check(self) -> list[standins_pb2.LoadResult]:
        """Run all checks and return the results of all load generators."""
        results = self._read_results()
        runs = self._fleet.read_records()
        nodes = {
            name: str(addresses.traffic)
            for name, addresses in self._fleet.nodes.items()
        }
        checks.check_outcomes(results, runs, self.history)
        checks.check_departures(results, runs, self.history, self._fleet.homes)
        checks.check_node_leaves(results, nodes, self.history)
        checks.check_catalogue(self.history)
        logs = {
            name: (self._fleet.path / f"{name}.log").read_text(errors="replace")
            for name in self._fleet.nodes
        }
        checks.check_logs(logs, self.history)
        return results

    def _read_results(self) -> list[standins_pb2.LoadResult]:
        results = []
        for index, name in enumerate([*_LOADS, *self._events.loads]):
            path = self._fleet.path / f"{name}.results"
            if not path.exists():
                self.history.report("load generators end", name)
                continue
            for result in read_results(path):
                result.number += index * _RESULT_NUMBER_STEP
                results.append(result)
        return results


def print_results(results: list[standins_pb2.LoadResult]) -> None:
    """Print a row for each rank."""
    print(
        f"{'rank':<10} {'sent':>6} {'on time':>8} {'share':>6} {'late':>6}"
        f" {'not run':>8} {'unknown':>8} {'failed':>7}"
    )
    for row in summarize_results(results):
        print(
            f"{row.rank:<10} {row.sent:>6} {row.on_time:>8}"
            f" {row.on_time / row.sent:>6.1%} {row.late:>6} {row.not_run:>8}"
            f" {row.unknown:>8} {row.failed:>7}"
        )


def print_history(history: History) -> None:
    """Print the events by kind and each violation with its records."""
    kinds: dict[str, int] = {}
    for span in history.spans:
        kinds[span.kind.value] = kinds.get(span.kind.value, 0) + 1
    print("events:", ", ".join(f"{n} {kind}" for kind, n in kinds.items()))
    print(f"accepted edits: {len(history.edits)}")
    for violation in history.violations:
        print(f"BROKEN: {violation.promise}")
        for record in violation.records:
            print(f"    {record}")


def _save_logs(fleet: SoakFleet, folder: pathlib.Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(fleet.path, folder)
    print(f"logs and records are in {folder}")


def run(
    seed: Annotated[
        int | None, typer.Option(help="Seed; drawn if absent.")
    ] = None,
    minutes: Annotated[
        float, typer.Option(min=0.5, max=120, help="Length of the run.")
    ] = 5.0,
    show: Annotated[bool, typer.Option(help="Print the schedule.")] = False,
) -> None:
    """Run a fleet of processes under random faults."""
    if seed is None:
        seed = random.SystemRandom().randrange(1, 1_000_000)
    print(
        f"seed {seed}, {minutes:g} minutes, {_NODES} nodes,"
        f" {sum(count for count, _ in SERVICES.values())} servers,"
        f" revision {find_revision()}",
        flush=True,
    )
    began = time.monotonic()
    with SoakFleet() as fleet:
        soak = Soak(fleet, seed, minutes * 60)
        schedule = soak.start()
        if show:
            print(*schedule, sep="\n", flush=True)
        curio.run(soak.run, schedule)
        results = soak.check()
        print_results(results)
        print_history(soak.history)
        if soak.history.violations:
            _save_logs(fleet, pathlib.Path("build/soak") / str(seed))
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    share = (used.ru_utime + used.ru_stime) / (time.monotonic() - began)
    print(f"processor time: {share:.2f} cores on average")
    if soak.history.violations:
        count = len(soak.history.violations)
        print(f"{count} VIOLATIONS (seed {seed})")
        raise typer.Exit(1)
    print(f"all promises kept (seed {seed})")


if __name__ == "__main__":
    typer.run(run)
