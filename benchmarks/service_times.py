"""Requests served while servers are slow, fast again, or hang.

Run ``python -m benchmarks.service_times --seed 1``. Times are virtual.
"""

import random
from collections.abc import Awaitable, Callable

from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.testing import run_virtual
from egretlever.testing._timed_fleet import TimedFleet, TimedOutcome

_COUNTS = (1, 2, 3, 8)  # servers
# Requests of a phase, and those after which the service has to be served.
_REQUESTS = 24
_LEARNING = 4
_RANDOM_CASES = 200
_SHORTEST, _LONGEST = 0.001, 5.95  # seconds; the timeout is 6 s
_PHASES = (0.3, 2.5, 0.3)  # seconds
_USUAL = 0.1  # seconds, before a server hangs
_SERVED_TARGET = 0.9


def _run(
    count: int, script: Callable[[TimedFleet], Awaitable[None]], safe: bool
) -> None:
    async def main() -> None:
        fleet = TimedFleet(count, idempotent=safe)
        await fleet.start()
        await script(fleet)

    run_virtual(main())


def _measure_share(outcomes: list[TimedOutcome]) -> float:
    learned = outcomes[_LEARNING:]
    return sum(outcome.status == 200 for outcome in learned) / len(learned)


def _measure_phases(count: int, safe: bool, works: tuple[float, ...]) -> float:
    """Return the least share of served requests in any phase."""
    shares: list[float] = []

    async def script(fleet: TimedFleet) -> None:
        for work in works:
            shares.append(
                _measure_share(await fleet.send_all(*[work] * _REQUESTS))
            )

    _run(count, script, safe)
    return min(shares)


def _measure_random(seed: int, safe: bool) -> float:
    rng = random.Random(seed)
    shares = []
    for _ in range(_RANDOM_CASES):
        works = tuple(
            rng.uniform(_SHORTEST, _LONGEST) for _ in range(rng.randint(1, 4))
        )
        shares.append(_measure_phases(rng.choice(_COUNTS), safe, works))
    return min(shares)


def _measure_hanging(count: int) -> list[Measure]:
    found: list[float] = []

    async def script(fleet: TimedFleet) -> None:
        await fleet.send_all(*[_USUAL] * _REQUESTS)
        before = fleet.servers[0].arrivals
        fleet.hang(0)
        outcomes = [await fleet.send() for _ in range(_REQUESTS)]
        served = sum(outcome.status == 200 for outcome in outcomes)
        found.extend(
            (
                served / len(outcomes),
                fleet.servers[0].arrivals - before,
                max(outcome.took for outcome in outcomes),
            )
        )

    _run(count, script, safe=True)
    served, arrivals, longest = found
    name = f"1 of {count} hangs"
    return [
        Measure(f"served, {name}", served, "", 1.0, Bound.AT_LEAST),
        Measure(f"requests of the hanging server, {name}", arrivals, ""),
        Measure(f"longest answer, {name}", longest, "s"),
    ]


def run(seed: int) -> list[Measure]:
    """Measure all cases.

    Parameters
    ----------
    seed : int
        Seed of the random service times.
    """
    measures = []
    for safe in (True, False):
        kind = "safe" if safe else "unsafe"
        for count in _COUNTS:
            share = _measure_phases(count, safe, _PHASES)
            name = f"served, fast, slow, fast, {count} servers, {kind}"
            measures.append(
                Measure(name, share, "", _SERVED_TARGET, Bound.AT_LEAST)
            )
        share = _measure_random(seed, safe)
        name = f"served, least of {_RANDOM_CASES} random cases, {kind}"
        measures.append(
            Measure(name, share, "", _SERVED_TARGET, Bound.AT_LEAST)
        )
    for count in _COUNTS[1:]:
        measures += _measure_hanging(count)
    return measures


if __name__ == "__main__":
    run_benchmark("service_times", run)
