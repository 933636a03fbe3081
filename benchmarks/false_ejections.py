"""Ejections of healthy servers per 100 simulated server-hours.

Run ``python -m benchmarks.false_ejections --hours 100`` to check the target.
"""

import concurrent.futures
import pathlib
import time
from typing import Annotated

import typer

from benchmarks._detection_cases import SIZES, Fault, Size
from benchmarks._detection_model import Model
from benchmarks._report import Bound, Measure, print_table, write_json
from egretlever.detection import EjectionChange, make_detector

FAULTS_AROUND_HEALTHY_SERVERS = (
    Fault.FLOOD,
    Fault.LOST_LINK,
    Fault.PAUSED_NODE,
    Fault.NONE,
)
# The target is stated per 100 server-hours; a shorter run can't show that it
# is met.
TARGET_SERVER_HOURS = 100.0
_MAX_RUN_S = 1000.0

Case = tuple[Size, Fault, int, float]


def count_false_ejections(
    size: Size, fault: Fault, seed: int, duration: float
) -> tuple[int, float]:
    """Return ejections of healthy servers and the server-hours of the run."""
    remote_share = 0.1 if fault is Fault.LOST_LINK else 0.0
    model = Model(size, seed, make_detector, remote_share=remote_share)
    model.fault = fault
    while model.now < duration:
        start = model.now
        model.run_until(start + 10.0)
        if fault is Fault.PAUSED_NODE:
            model.pause(model.random.choice(model.nodes), 1.0)
        elif fault is not Fault.NONE:
            model.fault_at = model.now
        model.run_until(start + 25.0)
        model.fault_at = float("inf")
        model.run_until(start + 40.0)
    false = {
        (change.server, int(at / 10))
        for at, change in model.ejections
        if change.change is EjectionChange.EJECTED
    }
    hours = size.servers * model.now / 3600
    return len(false), hours


def _plan_runs(seed: int, hours: float) -> list[Case]:
    """Return the runs of all cases, interleaved.

    A time limit then shortens all cases by about the same share.
    """
    plan: list[tuple[int, Case]] = []
    for size in SIZES:
        wanted = hours * 3600 / size.servers
        runs = max(1, -(-int(wanted) // int(_MAX_RUN_S)))
        duration = min(_MAX_RUN_S, wanted)
        for fault in FAULTS_AROUND_HEALTHY_SERVERS:
            for run in range(runs):
                case = (size, fault, seed * 1000 + run, duration)
                plan.append((run * 1000 // runs, case))
    return [case for _, case in sorted(plan, key=lambda item: item[0])]


def _run_case(case: Case) -> tuple[Case, int, float]:
    return case, *count_false_ejections(*case)


def _run_cases(
    plan: list[Case], processes: int, limit: float
) -> list[tuple[Case, int, float]]:
    end = time.monotonic() + limit
    results = []
    if processes <= 1:
        for case in plan:
            if time.monotonic() < end:
                results.append(_run_case(case))
        return results
    with concurrent.futures.ProcessPoolExecutor(processes) as executor:
        futures = [executor.submit(_run_case, case) for case in plan]
        try:
            for future in concurrent.futures.as_completed(futures, limit):
                results.append(future.result())
        except TimeoutError:
            executor.shutdown(wait=True, cancel_futures=True)
    return results


def measure_false(
    seed: int, hours: float, processes: int, limit: float
) -> list[Measure]:
    """Count false ejections for each size and fault.

    Parameters
    ----------
    seed : int
        Seed; run N of a case uses 1000 times this seed, plus N.
    hours : float
        Server-hours of each case.
    processes : int
        Number of worker processes.
    limit : float
        Seconds after which no further run starts.

    Returns
    -------
    list of Measure
        Rates of false ejections. A measure that covers less than 100
        server-hours has no target, unless it already misses it.
    """
    results = _run_cases(_plan_runs(seed, hours), processes, limit)
    measures = []
    for size in SIZES:
        for fault in FAULTS_AROUND_HEALTHY_SERVERS:
            runs = [r for r in results if r[0][:2] == (size, fault)]
            false = sum(run[1] for run in runs)
            covered = sum(run[2] for run in runs)
            conclusive = false > 0 or covered >= TARGET_SERVER_HOURS - 0.01
            for case, number, _ in runs:
                if number:
                    print(f"{size.name}, {fault.value}: seed {case[2]}")
            measures.append(
                Measure(
                    f"{size.name}, false ejections, {fault.value}, "
                    f"{covered:.1f} server-hours",
                    100 * false / covered if covered else 0.0,
                    "per 100 server-hours",
                    0.0 if conclusive else None,
                    Bound.AT_MOST if conclusive else Bound.NONE,
                )
            )
    return measures


def run(seed: int) -> list[Measure]:
    """Run one server-hour of each case, too few to check the target."""
    return measure_false(seed, 1.0, 1, 600.0)


def main(
    seed: Annotated[int, typer.Option(help="Seed of the run.")] = 1,
    hours: Annotated[
        float, typer.Option(help="Hours of a case.")
    ] = TARGET_SERVER_HOURS,
    processes: Annotated[int, typer.Option(help="Side by side.")] = 3,
    limit: Annotated[float, typer.Option(help="Seconds to run.")] = 1200.0,
    json_path: Annotated[
        pathlib.Path | None, typer.Option("--json", help="JSON file.")
    ] = None,
) -> None:
    """Count false ejections, within a bounded time."""
    measures = measure_false(seed, hours, processes, limit)
    print_table("false_ejections", seed, measures)
    if json_path is not None:
        write_json(json_path, "false_ejections", seed, measures)


if __name__ == "__main__":
    typer.run(main)
