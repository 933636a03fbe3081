"""On-time share by rank and worth under floods, against baselines."""

import random
from collections.abc import Sequence

from benchmarks._floods_model import (
    SERVICE,
    Fleet,
    RankCounts,
    RetryMode,
    run_model,
)
from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.admission import (
    Admission,
    RankPolicy,
    ServicePolicy,
    make_admission,
    make_fifo_admission,
)
from egretlever.core import FailureDomain, NodeId, RankName, RegionName
from egretlever.routing import (
    Location,
    Router,
    make_least_outstanding_router,
    make_round_robin_router,
    make_router,
)
from egretlever.schema import catalogue_pb2
from egretlever.testing import builders

# Mean time per request; the design page gives slots but no service time.
_SERVICE_TIME_S = 0.05
_ENTRY_NODES = 4
_FLOOD_LOAD = 3.0

# Load without a flood, as a share of the capacity.
_BASE_LOAD = {"urgent": 0.3, "normal": 0.3, "background": 0.2}


def build_fleets() -> list[Fleet]:
    """Build the fleets of the main services of Kapra and Sablat."""
    locations = [
        Location(
            NodeId(f"node-{number}"),
            FailureDomain(f"domain-{number % 4}"),
            RegionName("punjab" if number % 4 < 2 else "sindh"),
        )
        for number in range(_ENTRY_NODES)
    ]
    return [
        Fleet(
            "kapra",
            builders.build_servers(11, slots=4),
            locations,
            0.0005,
            0.008,
            _SERVICE_TIME_S,
        ),
        Fleet(
            "sablat",
            builders.build_servers(14, slots=3),
            locations,
            0.0014,
            0.008,
            _SERVICE_TIME_S,
        ),
    ]


def make_egretlever(
    location: Location, rng: random.Random
) -> tuple[Admission, Router, RetryMode]:
    """Create the components of an egretlever node."""
    ranks = [
        RankPolicy(RankName(rank.name), rank.priority, rank.minimum_share)
        for rank in builders.build_catalogue().ranks
    ]
    return (
        make_admission([ServicePolicy(SERVICE)], ranks, rng),
        make_router(location, rng),
        RetryMode.BUDGETED,
    )


def make_round_robin_baseline(
    location: Location, rng: random.Random
) -> tuple[Admission, Router, RetryMode]:
    """Create baseline (a): no queue, round robin, retries without a budget."""
    policy = ServicePolicy(SERVICE, 0, concurrency_limit=1_000_000)
    return (
        make_fifo_admission([policy]),
        make_round_robin_router(),
        RetryMode.UNBUDGETED,
    )


def make_least_outstanding_baseline(
    location: Location, rng: random.Random
) -> tuple[Admission, Router, RetryMode]:
    """Create baseline (b): two random choices, FIFO, equal limit per node."""
    policy = ServicePolicy(SERVICE, 512, concurrency_limit=11)
    return (
        make_fifo_admission([policy]),
        make_least_outstanding_router(rng),
        RetryMode.UNBUDGETED,
    )


def sum_worth(
    ranks: Sequence[catalogue_pb2.Rank], counts: dict[str, RankCounts]
) -> float:
    """Return the total worth of the requests answered on time."""
    return sum(rank.worth * counts[rank.name].on_time for rank in ranks)


def compute_worth_bound(
    fleet: Fleet,
    ranks: Sequence[catalogue_pb2.Rank],
    counts: dict[str, RankCounts],
    duration: float,
) -> float:
    """Return the upper bound of the worth: all capacity to the worthiest."""
    remaining = fleet.capacity * duration
    worth = 0.0
    for rank in sorted(ranks, key=lambda rank: -rank.worth):
        served = min(remaining, counts[rank.name].offered)
        worth += served * rank.worth
        remaining -= served
    return worth


def share_on_time(count: RankCounts) -> float:
    """Return the share of a rank's requests answered on time."""
    return count.on_time / max(count.offered, 1)


_POLICIES = {
    "egretlever": make_egretlever,
    "(a) round robin": make_round_robin_baseline,
    "(b) least outstanding": make_least_outstanding_baseline,
}


def measure_fleet(fleet: Fleet, seed: int) -> list[Measure]:
    """Measure one fleet with each policy, without a flood and with two."""
    ranks = list(builders.build_catalogue().ranks)
    base = {name: part * fleet.capacity for name, part in _BASE_LOAD.items()}
    loads = {
        "no flood": base,
        "lowest": base | {"background": _FLOOD_LOAD * fleet.capacity},
        "highest": base | {"urgent": _FLOOD_LOAD * fleet.capacity},
    }
    measures = []
    for policy, make_node in _POLICIES.items():
        is_egretlever = policy == "egretlever"
        urgent_without_flood = 1.0
        for flood, rates in loads.items():
            duration = 12.0 if is_egretlever else 4.0
            counts = run_model(
                fleet, make_node, ranks, rates, seed, window=duration
            )
            title = f"{fleet.name}, {flood}, {policy}"
            urgent = share_on_time(counts["urgent"])
            if flood == "no flood":
                urgent_without_flood = urgent
            bound = compute_worth_bound(fleet, ranks, counts, duration)
            measures.append(
                Measure(
                    f"{title}: worth on time, part of bound (c)",
                    sum_worth(ranks, counts) / bound,
                    "",
                    0.95 if is_egretlever and flood == "lowest" else None,
                    Bound.AT_LEAST,
                )
            )
            if flood == "lowest":
                measures.append(
                    Measure(
                        f"{title}: urgent, part of its share without flood",
                        urgent / max(urgent_without_flood, 1e-9),
                        "",
                        0.999 if is_egretlever else None,
                        Bound.AT_LEAST,
                    )
                )
            measures += measure_ranks(
                title, ranks, counts, is_egretlever, flood
            )
    return measures


def measure_ranks(
    title: str,
    ranks: Sequence[catalogue_pb2.Rank],
    counts: dict[str, RankCounts],
    is_egretlever: bool,
    flood: str,
) -> list[Measure]:
    """Return shares on time and shares of the completed work by rank."""
    completed = max(1, sum(count.completed for count in counts.values()))
    measures = []
    for rank in ranks:
        count = counts[rank.name]
        measures.append(
            Measure(f"{title}: {rank.name} on time", share_on_time(count), "")
        )
        if flood == "highest" and rank.priority > 0:
            measures.append(
                Measure(
                    f"{title}: {rank.name} on time, part of completed work",
                    count.on_time / completed,
                    "",
                    rank.minimum_share if is_egretlever else None,
                    Bound.AT_LEAST,
                )
            )
    sheds = sum(count.sheds for count in counts.values())
    measures.append(
        Measure(f"{title}: shed replies per completion", sheds / completed, "")
    )
    return measures


def run(seed: int) -> list[Measure]:
    """Run the benchmark.

    Parameters
    ----------
    seed : int
        Seed of arrivals, service times and choices.

    Returns
    -------
    list of Measure
        Shares, with the targets of section 1.3 of the design page.
    """
    return [
        measure
        for fleet in build_fleets()
        for measure in measure_fleet(fleet, seed)
    ]


if __name__ == "__main__":
    run_benchmark("floods", run)
