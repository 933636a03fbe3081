"""Nodes that call fake servers of one service in virtual time."""

import dataclasses
import heapq
import math
import random
from collections.abc import Callable

from benchmarks._detection_cases import SLOWNESS, Fault, Size
from egretlever.core import (
    Attempt,
    AttemptResult,
    NodeId,
    RegionName,
    Seconds,
    Server,
    ServerId,
)
from egretlever.detection import (
    Detector,
    GrayDetector,
    LogChange,
    Member,
    ProbeServer,
    Sender,
    SendPooled,
    SendReport,
    choose_evidence_nodes,
)
from egretlever.testing.builders import build_servers

OWN = RegionName("punjab")
OTHER = RegionName("sindh")
_MEDIAN = 0.02
_SPREAD = 0.5
_TIMEOUT = 2.0
_HOP = 0.005
_PROBE_TIME = 0.025
_IDLE = 20.0
_TICK = 0.1
# A node without bad outcomes, messages and standings has nothing to do at its
# ticks but to renew its registration each 30 s.
_IDLE_TICK = 1.0
_BUSY = 1.0


@dataclasses.dataclass(slots=True)
class FakeNode:
    """One node with its detector and what its loop holds back."""

    id: NodeId
    number: int
    detector: Detector
    used: dict[ServerId, float] = dataclasses.field(default_factory=dict)
    paused_until: float = 0.0
    next_tick: float = 0.0
    busy_until: float = 0.0
    # Without standings every routable server has the weight 1.
    calm: bool = False


class Model:
    """Requests of many nodes to the servers of one service.

    Parameters
    ----------
    size : Size
        Size of the service.
    seed : int
        Seed of all random choices.
    make : callable
        Makes the detector of a node.
    noise : float, default=0.005
        Share of requests that a healthy server answers with an error.
    remote_share : float, default=0
        Share of requests that go to the other region.
    """

    def __init__(
        self,
        size: Size,
        seed: int,
        make: Callable[[NodeId, RegionName], Detector],
        noise: float = 0.005,
        remote_share: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.size = size
        self.now = 0.0
        self.fault = Fault.NONE
        self.fault_at = math.inf
        self._noise = noise
        self._remote_share = remote_share
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.ejections: list[tuple[float, LogChange]] = []
        self.requests = 0
        self.victim_requests: list[float] = []
        self.reports = 0
        self.pooled = 0
        self.probes = 0
        own = build_servers(size.servers, region=OWN, slots=size.slots)
        count = size.servers + size.remote
        rest = build_servers(count, region=OTHER, slots=size.slots)
        self.servers: list[Server] = own + rest[size.servers :]
        self._remote = {s.id for s in self.servers if s.region == OTHER}
        self.victim = self.servers[0].id
        self.floor = int(0.6 * sum(s.slots for s in self.servers))
        self.nodes = [
            FakeNode(NodeId(f"node-{n}"), n, make(NodeId(f"node-{n}"), OWN))
            for n in range(size.nodes)
        ]
        self._by_id = {node.id: node for node in self.nodes}
        members = [Member(node.id, OWN) for node in self.nodes]
        for node in self.nodes:
            node.detector.update_members(members, Seconds(0.0))
            node.detector.update_servers(self.servers, Seconds(0.0))
            self._schedule_tick(node, self.random.random() * _TICK)
        for name in choose_evidence_nodes(self.servers[0].service, members):
            self._by_id[name].busy_until = math.inf
        self._routable = {
            remote: [
                s.id for s in self.servers if (s.region == OTHER) == remote
            ]
            for remote in (False, True)
        }
        self._at(0.0, self._arrive)

    def _at(self, time: float, act: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (time, self._sequence, act))

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = end

    def _schedule_tick(self, node: FakeNode, time: float) -> None:
        node.next_tick = time
        self._at(time, lambda: self._tick(node, time))

    def _tick(self, node: FakeNode, time: float) -> None:
        if node.next_tick != time:
            return
        self.advance(node)
        busy = not node.calm or node.busy_until > self.now
        interval = _TICK if busy else _IDLE_TICK
        self._schedule_tick(node, time + interval)

    def _wake(self, node: FakeNode) -> None:
        """Let a node tick often for a while, after an event of it."""
        node.busy_until = max(node.busy_until, self.now + _BUSY)
        if node.next_tick > self.now + _TICK:
            self._schedule_tick(node, self.now + _TICK)

    def advance(self, node: FakeNode) -> None:
        """Carry out the actions of a node's detector."""
        if node.paused_until > self.now:
            return
        for action in node.detector.advance(Seconds(self.now)):
            if isinstance(action, ProbeServer):
                self._probe(node, action)
            elif isinstance(action, SendReport | SendPooled):
                self._send(node, action)
            else:
                self.ejections.append((self.now, action))
        if isinstance(node.detector, GrayDetector):
            node.calm = not node.detector.describe().standings

    def _send(self, node: FakeNode, action: SendReport | SendPooled) -> None:
        sender = Sender(node.id, Member(node.id, OWN).incarnation)

        def make_delivery(target: FakeNode) -> Callable[[], None]:
            return lambda: deliver(target)

        def deliver(target: FakeNode) -> None:
            now = Seconds(self.now)
            if isinstance(action, SendReport):
                target.detector.receive_report(action.report, sender, now)
            else:
                target.detector.receive(action.pooled, sender, now)
            self._wake(target)
            self.advance(target)

        for name in action.to:
            target = self._by_id[name]
            if isinstance(action, SendReport):
                self.reports += 1
            else:
                self.pooled += 1
            self._call(target, self.now + _HOP, make_delivery(target))

    def _call(
        self, node: FakeNode, time: float, act: Callable[[], None]
    ) -> None:
        """Run an event of a node, after its pause when it is paused."""

        def run() -> None:
            if node.paused_until > self.now:
                self._at(node.paused_until + 1e-6, act)
            else:
                act()

        self._at(time, run)

    def pause(self, node: FakeNode, duration: float) -> None:
        """Stop a node's loop for a time."""
        node.paused_until = self.now + duration

        def resume() -> None:
            node.detector.observe_pause(Seconds(duration), Seconds(self.now))
            self._wake(node)

        self._at(node.paused_until, resume)

    def _arrive(self) -> None:
        rate = self.size.rate * self.size.servers
        self._at(self.now + self.random.expovariate(rate), self._arrive)
        node = self.random.choice(self.nodes)
        if node.paused_until > self.now:
            return
        remote = self._remote_share > 0
        remote = remote and self.random.random() < self._remote_share
        server = self.choose(node, remote)
        if server is not None:
            self.requests += 1
            if server == self.victim:
                self.victim_requests.append(self.now)
            self._attempt(node, server, False)

    def choose(self, node: FakeNode, remote: bool) -> ServerId | None:
        """Choose a server of one region by the weights of the detector."""
        if node.calm:
            names = self._routable[remote]
            return names[int(self.random.random() * len(names))]
        selection = node.detector.select(
            self.servers, self.floor, Seconds(self.now)
        )
        weights = {
            server: weight
            for server, weight in selection.eligible.items()
            if (server in self._remote) == remote
        }
        if not weights:
            return None
        names = list(weights)
        return self.random.choices(names, list(weights.values()))[0]

    def finish(self, node: FakeNode, attempt: Attempt) -> None:
        """Take in the result of an attempt, for models that route by load."""

    def is_active(self) -> bool:
        """Tell whether the fault is present now."""
        since = self.now - self.fault_at
        if self.fault is Fault.FLAPPING:
            return since >= 0 and since % 4.0 < 2.0
        return since >= 0

    def _draw(
        self, node: FakeNode, server: ServerId, probe: bool
    ) -> tuple[AttemptResult, float]:
        """Draw the result of a call; a call without answer takes forever."""
        latency = self.random.lognormvariate(math.log(_MEDIAN), _SPREAD)
        if probe:
            latency = _PROBE_TIME
        if server in self._remote:
            latency += 0.016
        result = AttemptResult.OK
        if not probe and self.random.random() < self._noise:
            result = AttemptResult.ERROR
        if not self.is_active():
            return result, latency
        return self._apply_fault(node, server, probe, result, latency)

    def _apply_fault(
        self,
        node: FakeNode,
        server: ServerId,
        probe: bool,
        result: AttemptResult,
        latency: float,
    ) -> tuple[AttemptResult, float]:
        fault = self.fault
        if fault is Fault.FLOOD:
            # Every server queues: all calls take eight times as long.
            return result, 8 * latency
        if fault is Fault.LOST_LINK and server in self._remote:
            return AttemptResult.TIMEOUT, math.inf
        if server != self.victim:
            return result, latency
        dead = fault in (Fault.BLACK_HOLE, Fault.FLAPPING)
        if dead or (fault is Fault.ONE_WAY_PART and node.number % 4 == 0):
            return AttemptResult.TIMEOUT, math.inf
        if fault is Fault.REFUSED:
            return AttemptResult.REFUSED, 0.001
        if fault in SLOWNESS and not probe:
            return result, SLOWNESS[fault] * latency
        if fault is Fault.ERRORS and not probe and self.random.random() < 0.3:
            return AttemptResult.ERROR, latency
        if fault is Fault.LYING and not probe and self.random.random() < 0.6:
            return AttemptResult.TIMEOUT, math.inf
        return result, latency

    def _attempt(self, node: FakeNode, server: ServerId, fresh: bool) -> None:
        fresh = fresh or self.now - node.used.get(server, -_IDLE) >= _IDLE
        result, latency = self._draw(node, server, False)
        node.used[server] = self.now
        started = self.now
        overdue = node.detector.overdue_after(server)

        def observe(observed: AttemptResult) -> None:
            waited = Seconds(self.now - started)
            attempt = Attempt(
                server,
                self.servers[0].incarnation,
                self.servers[0].service,
                observed,
                waited,
                fresh_connection=fresh,
            )
            node.detector.observe(attempt, Seconds(self.now))
            self.finish(node, attempt)
            if observed is not AttemptResult.OK:
                self._wake(node)
                self.advance(node)

        def be_overdue() -> None:
            observe(AttemptResult.OVERDUE)
            if not fresh:
                # The proxy tries once more on a fresh connection.
                self._attempt(node, server, True)

        if overdue < min(latency, _TIMEOUT):
            self._call(node, started + overdue, be_overdue)
        end = result if latency < _TIMEOUT else AttemptResult.TIMEOUT
        # The first attempt is given up once a fresh one replaces it.
        if fresh or latency < _TIMEOUT or overdue >= _TIMEOUT:
            finish = started + min(latency, _TIMEOUT)
            self._call(node, finish, lambda: observe(end))

    def _probe(self, node: FakeNode, action: ProbeServer) -> None:
        self.probes += 1
        result, latency = self._draw(node, action.server, True)
        passed = result is AttemptResult.OK and latency <= action.timeout
        waited = min(latency, action.timeout)

        def finish() -> None:
            now = Seconds(self.now)
            node.detector.observe_probe(action.server, passed, now)
            self._wake(node)
            self.advance(node)

        self._call(node, self.now + waited, finish)

    def share(self) -> float:
        """Return the victim's share of its fair share, on affected nodes."""
        nodes = self.nodes
        if self.fault is Fault.ONE_WAY_PART:
            nodes = [node for node in nodes if node.number % 4 == 0]
        total = 0.0
        for node in nodes:
            now = Seconds(self.now)
            chosen = node.detector.select(self.servers, self.floor, now)
            weights = chosen.eligible
            total += weights.get(self.victim, 0.0) / (
                sum(weights.values()) / len(self.servers)
            )
        return total / len(nodes)
