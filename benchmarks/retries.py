"""Load amplification by retries in an overload and in a brownout.

Simulates idempotent requests to a service of 4 servers with 4 slots each and
20 ms per request, in virtual time. A server queues up to 12 requests, sheds
the others with Retry-After, and completes requests whose timeout has passed.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from benchmarks._report import Bound, Measure, run_benchmark
from egretlever.core import (
    Attempt,
    AttemptResult,
    Incarnation,
    Seconds,
    ServerId,
    ServiceName,
)
from egretlever.retry import (
    FirstAttempt,
    RequestHistory,
    Retry,
    RetryPolicy,
    make_retry_policy,
    make_single_attempt_policy,
    make_unbudgeted_policy,
)

SERVICE = ServiceName("ordering")
SERVERS = 4
SLOTS = 4
SERVICE_TIME_S = 0.02
CAPACITY_PER_S = SERVERS * SLOTS / SERVICE_TIME_S
QUEUE_LIMIT = 12
TIMEOUT_S = 0.06
DEADLINE_S = 1.0
RETRY_AFTER_S = Seconds(0.2)
DURATION_S = 15.0
# Between these times the load exceeds the capacity, or servers are slow.
FAULT_START_S, FAULT_END_S = 5.0, 10.0


class NoJitter(random.Random):
    """Random source that always returns the upper end of an interval."""

    def uniform(self, a: float, b: float) -> float:
        """Return the upper end of the interval."""
        return b


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller with its attempts."""

    deadline: float
    attempts: tuple[Attempt, ...] = ()
    attempt_id: int = 0
    done: bool = False


@dataclasses.dataclass(slots=True)
class SimulatedServer:
    """Busy slots and queue of one server."""

    busy: int = 0
    queue: collections.deque[Callable[[], None]] = dataclasses.field(
        default_factory=collections.deque
    )


class Simulation:
    """Simulation of one retry policy under one load.

    Parameters
    ----------
    policy : RetryPolicy
        Policy under test.
    seed : int
        Seed of arrivals, service times and choices.
    normal_load, fault_load : float
        Offered load outside and during the fault, as a share of the capacity.
    slow_servers : int
        Number of servers that are 8 times slower during the fault.
    """

    def __init__(
        self,
        policy: RetryPolicy,
        seed: int,
        normal_load: float,
        fault_load: float,
        slow_servers: int,
    ) -> None:
        self._policy = policy
        self._randomness = random.Random(seed)
        self._loads = (normal_load, fault_load)
        self._slow_servers = slow_servers
        self._servers = [SimulatedServer() for _ in range(SERVERS)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0
        self.first_attempts = 0
        self.attempts = 0
        self.on_time = 0
        self.retry_times: list[float] = []

    def run(self) -> None:
        """Run to the end of the load."""
        self._schedule(0.0, self._arrive)
        while self._events and self._events[0][0] < DURATION_S:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self._order), action)
        heapq.heappush(self._events, entry)

    def _in_fault(self) -> bool:
        return FAULT_START_S <= self.now < FAULT_END_S

    def _arrive(self) -> None:
        request = Request(self.now + DEADLINE_S)
        self.first_attempts += 1
        self._policy.observe(FirstAttempt(SERVICE), Seconds(self.now))
        self._send(request, frozenset())
        rate = self._loads[self._in_fault()] * CAPACITY_PER_S
        self._schedule(self._randomness.expovariate(rate), self._arrive)

    def _send(self, request: Request, exclude: frozenset[ServerId]) -> None:
        choices = [
            number
            for number in range(SERVERS)
            if ServerId(str(number)) not in exclude
        ]
        number = self._randomness.choice(choices or range(SERVERS))
        self.attempts += 1
        request.attempt_id += 1
        attempt_id, sent_at = request.attempt_id, self.now

        def end(result: AttemptResult) -> None:
            if request.attempt_id == attempt_id and not request.done:
                self._finish(request, number, result, self.now - sent_at)

        server = self._servers[number]
        if server.busy >= SLOTS and len(server.queue) >= QUEUE_LIMIT:
            end(AttemptResult.SHED)
            return
        self._schedule(TIMEOUT_S, lambda: end(AttemptResult.TIMEOUT))
        server.queue.append(lambda: end(AttemptResult.OK))
        self._serve(number)

    def _serve(self, number: int) -> None:
        server = self._servers[number]
        while server.queue and server.busy < SLOTS:
            server.busy += 1
            reply = server.queue.popleft()
            slow = self._in_fault() and number < self._slow_servers
            duration = self._randomness.expovariate(1 / SERVICE_TIME_S)
            self._schedule(
                duration * (8 if slow else 1),
                lambda reply=reply: self._release(number, reply),  # type: ignore[misc]
            )

    def _release(self, number: int, reply: Callable[[], None]) -> None:
        self._servers[number].busy -= 1
        reply()
        self._serve(number)

    def _finish(
        self,
        request: Request,
        number: int,
        result: AttemptResult,
        latency: float,
    ) -> None:
        shed = result is AttemptResult.SHED
        attempt = Attempt(
            ServerId(str(number)),
            Incarnation(1),
            SERVICE,
            result,
            Seconds(latency),
            status=200 if result is AttemptResult.OK else 0,
            retry_after=RETRY_AFTER_S if shed else None,
        )
        request.attempts += (attempt,)
        # A late reply to an ended attempt is ignored.
        request.attempt_id += 1
        self._policy.observe(attempt, Seconds(self.now))
        if result is AttemptResult.OK:
            request.done = True
            self.on_time += self.now <= request.deadline
            return
        history = RequestHistory(
            SERVICE, True, Seconds(request.deadline), request.attempts
        )
        decision = self._policy.decide(history, Seconds(self.now))
        if isinstance(decision, Retry):
            self.retry_times.append(self.now + decision.after)
            self._schedule(
                decision.after, lambda: self._send(request, decision.exclude)
            )


def count_peak_retries(times: Iterable[float]) -> float:
    """Return the largest number of retries within 5 ms."""
    counts = collections.Counter(int(time / 0.005) for time in times)
    return float(max(counts.values(), default=0))


def simulate_synchronized_retries(randomness: random.Random) -> float:
    """Return the peak of retries after 500 requests shed at the same time."""
    policy = make_retry_policy(randomness)
    shed = Attempt(
        ServerId("0"),
        Incarnation(1),
        SERVICE,
        AttemptResult.SHED,
        Seconds(0.001),
        retry_after=RETRY_AFTER_S,
    )
    times = []
    for _ in range(500):
        for _ in range(10):
            policy.observe(FirstAttempt(SERVICE), Seconds(0.0))
        history = RequestHistory(SERVICE, True, Seconds(DEADLINE_S), (shed,))
        decision = policy.decide(history, Seconds(0.0))
        if isinstance(decision, Retry):
            times.append(decision.after)
    return count_peak_retries(times)


def run(seed: int) -> list[Measure]:
    """Measure each policy during each fault."""
    policies: dict[str, Callable[[], RetryPolicy]] = {
        "budget": lambda: make_retry_policy(random.Random(seed)),
        "budget, no jitter": lambda: make_retry_policy(NoJitter(seed)),
        "blind": make_unbudgeted_policy,
        "none": make_single_attempt_policy,
    }
    faults = {"overload 1.5x": (0.7, 1.5, 0), "brownout": (0.6, 0.6, 2)}
    measures = []
    for fault, load in faults.items():
        for name, make_policy in policies.items():
            simulation = Simulation(make_policy(), seed, *load)
            simulation.run()
            first_attempts = simulation.first_attempts
            has_budget = name.startswith("budget")
            measures += [
                Measure(
                    f"attempts per request, {fault}, {name}",
                    simulation.attempts / first_attempts,
                    "",
                    1.1 if has_budget else None,
                    Bound.AT_MOST if has_budget else Bound.NONE,
                ),
                Measure(
                    f"on-time share, {fault}, {name}",
                    simulation.on_time / first_attempts,
                    "",
                ),
                Measure(
                    f"retries in the fullest 5 ms, {fault}, {name}",
                    count_peak_retries(simulation.retry_times),
                    "requests",
                ),
            ]
    for name, randomness in (
        ("full jitter", random.Random(seed)),
        ("no jitter", NoJitter(seed)),
    ):
        measures.append(
            Measure(
                f"peak of 500 retries shed in one moment, {name}",
                simulate_synchronized_retries(randomness),
                "requests in 5 ms",
            )
        )
    return measures


if __name__ == "__main__":
    run_benchmark("retries", run)
