"""Store operations per second of the address sample and the claim sweep.

Simulates one hour of 1,000 nodes in two regions, in which the sweep never
reaches its last page, and the start of 250 nodes that can't reach any seed. A
sweep step costs two reads, and a write if a claim of its page has expired; the
count assumes that every page has an expired claim.
"""

import collections
import random

from benchmarks._report import Measure, run_benchmark
from egretlever.core import Address, Incarnation, Seconds
from egretlever.membership import Collaborators, make_membership
from egretlever.node import MaintenanceTask, TaskSchedule
from egretlever.orders import SweepReport
from egretlever.testing.builders import build_node_header

NODES = 1000
WRITERS = 2  # one reader node per region
STARTING = 250
_HOUR = 3600
_START_TIME = 60.0  # seconds without a seed
_STEP = 0.5  # seconds, the gossip interval
_READS = {
    MaintenanceTask.READ_SAMPLE: 1,
    MaintenanceTask.SWEEP: 2,
    MaintenanceTask.WRITE_SAMPLE: 0,
}
_WRITES = {
    MaintenanceTask.READ_SAMPLE: 0,
    MaintenanceTask.SWEEP: 1,
    MaintenanceTask.WRITE_SAMPLE: 1,
}
_FULL_PAGE = SweepReport(100, 1, False)


def measure_hour(seed: int) -> list[Measure]:
    """Count the operations in one hour with all nodes joined."""
    schedules = []
    for number in range(NODES):
        schedule = TaskSchedule(random.Random(f"{seed}/{number}"))
        schedule.set_roles(number < WRITERS, number == 0, Seconds(0.0))
        schedules.append(schedule)
    counts: collections.Counter[MaintenanceTask] = collections.Counter()
    for second in range(_HOUR):
        now = Seconds(float(second))
        for schedule in schedules:
            due = schedule.advance(now)
            counts.update(due)
            if MaintenanceTask.SWEEP in due:
                schedule.observe_sweep(_FULL_PAGE, now)
    measures = []
    for task in (MaintenanceTask.WRITE_SAMPLE, MaintenanceTask.SWEEP):
        name = f"{NODES} nodes, {task.value}"
        reads = counts[task] * _READS[task] / _HOUR
        writes = counts[task] * _WRITES[task] / _HOUR
        measures.append(Measure(f"{name}: reads", reads, "1/s"))
        measures.append(Measure(f"{name}: writes", writes, "1/s"))
    return measures


def measure_start(seed: int) -> list[Measure]:
    """Count the reads by nodes that start while no seed answers."""
    reads: collections.Counter[int] = collections.Counter()
    for number in range(STARTING):
        generator = random.Random(f"{seed}/start/{number}")
        schedule = TaskSchedule(generator)
        member = make_membership(
            build_node_header(number),
            Incarnation(1),
            [Address("127.0.0.1", 9)],
            collaborators=Collaborators(sample=schedule),
            rng=generator,
        )
        for tick in range(int(_START_TIME / _STEP)):
            now = Seconds(tick * _STEP)
            member.advance(now)
            reads[int(now)] += MaintenanceTask.READ_SAMPLE in schedule.advance(
                now
            )
    name = f"start of {STARTING} nodes without a seed"
    mean = reads.total() / _START_TIME
    return [
        Measure(f"{name}: most reads in a second", max(reads.values()), "1/s"),
        Measure(f"{name}: mean of {_START_TIME:g} s", mean, "1/s"),
    ]


def run(seed: int) -> list[Measure]:
    """Count the store operations of all maintenance tasks."""
    return [*measure_hour(seed), *measure_start(seed)]


if __name__ == "__main__":
    run_benchmark("maintenance", run)
