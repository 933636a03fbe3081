"""Simulates nodes that call servers of one service, in virtual time."""

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

OWN_REGION = RegionName("punjab")
OTHER_REGION = RegionName("sindh")
_MEDIAN_LATENCY_S = 0.02
_LATENCY_SIGMA = 0.5
_TIMEOUT_S = 2.0
_MESSAGE_DELAY_S = 0.005
_PROBE_LATENCY_S = 0.025
_IDLE_TIMEOUT_S = 20.0
_TICK_S = 0.1
# A node without bad outcomes, messages and ejections only renews its
# registration every 30 s, so it ticks less often.
_IDLE_TICK_S = 1.0
_ACTIVE_TIME_S = 1.0  # frequent ticks after an event of the node


@dataclasses.dataclass(slots=True)
class FakeNode:
    """One node with its detector and the state of its event loop."""

    id: NodeId
    number: int
    detector: Detector
    last_used: dict[ServerId, float] = dataclasses.field(default_factory=dict)
    paused_until: float = 0.0
    next_tick: float = 0.0
    active_until: float = 0.0
    # Without ejections every routable server has the weight 1.
    uniform_weights: bool = False


class Model:
    """Requests of many nodes to the servers of one service.

    Parameters
    ----------
    size : Size
        Size of the service.
    seed : int
        Seed of all random choices.
    detector_factory : callable
        Creates the detector of a node.
    noise : float, default=0.005
        Share of requests that a healthy server answers with an error.
    remote_share : float, default=0
        Share of requests that go to the other region.
    """

    def __init__(
        self,
        size: Size,
        seed: int,
        detector_factory: Callable[[NodeId, RegionName], Detector],
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
        self.faulty_server_requests: list[float] = []
        self.reports = 0
        self.pooled = 0
        self.probes = 0
        own = build_servers(size.servers, region=OWN_REGION, slots=size.slots)
        count = size.servers + size.remote
        rest = build_servers(count, region=OTHER_REGION, slots=size.slots)
        self.servers: list[Server] = own + rest[size.servers :]
        self._remote = {s.id for s in self.servers if s.region == OTHER_REGION}
        self.faulty_server = self.servers[0].id
        self.floor = int(0.6 * sum(s.slots for s in self.servers))
        self.nodes = [
            FakeNode(
                NodeId(f"node-{n}"),
                n,
                detector_factory(NodeId(f"node-{n}"), OWN_REGION),
            )
            for n in range(size.nodes)
        ]
        self._by_id = {node.id: node for node in self.nodes}
        members = [Member(node.id, OWN_REGION) for node in self.nodes]
        for node in self.nodes:
            node.detector.update_members(members, Seconds(0.0))
            node.detector.update_servers(self.servers, Seconds(0.0))
            self._schedule_tick(node, self.random.random() * _TICK_S)
        for name in choose_evidence_nodes(self.servers[0].service, members):
            self._by_id[name].active_until = math.inf
        self._routable = {
            remote: [
                s.id
                for s in self.servers
                if (s.region == OTHER_REGION) == remote
            ]
            for remote in (False, True)
        }
        self._schedule(0.0, self._arrive)

    def _schedule(self, time: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (time, self._sequence, callback))

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def _schedule_tick(self, node: FakeNode, time: float) -> None:
        node.next_tick = time
        self._schedule(time, lambda: self._tick(node, time))

    def _tick(self, node: FakeNode, time: float) -> None:
        if node.next_tick != time:
            return
        self.advance(node)
        active = not node.uniform_weights or node.active_until > self.now
        interval = _TICK_S if active else _IDLE_TICK_S
        self._schedule_tick(node, time + interval)

    def _start_frequent_ticks(self, node: FakeNode) -> None:
        """Tick at the short interval for a while after an event of a node."""
        node.active_until = max(node.active_until, self.now + _ACTIVE_TIME_S)
        if node.next_tick > self.now + _TICK_S:
            self._schedule_tick(node, self.now + _TICK_S)

    def advance(self, node: FakeNode) -> None:
        """Advance a node's detector and execute its actions."""
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
            node.uniform_weights = not node.detector.describe().ejections

    def _send(self, node: FakeNode, action: SendReport | SendPooled) -> None:
        sender = Sender(node.id, Member(node.id, OWN_REGION).incarnation)

        def make_delivery(target: FakeNode) -> Callable[[], None]:
            return lambda: deliver(target)

        def deliver(target: FakeNode) -> None:
            now = Seconds(self.now)
            if isinstance(action, SendReport):
                target.detector.receive_report(action.report, sender, now)
            else:
                target.detector.receive(action.pooled, sender, now)
            self._start_frequent_ticks(target)
            self.advance(target)

        for name in action.to:
            target = self._by_id[name]
            if isinstance(action, SendReport):
                self.reports += 1
            else:
                self.pooled += 1
            self._schedule_for_node(
                target, self.now + _MESSAGE_DELAY_S, make_delivery(target)
            )

    def _schedule_for_node(
        self, node: FakeNode, time: float, callback: Callable[[], None]
    ) -> None:
        """Schedule an event of a node, deferred while the node is paused."""

        def run() -> None:
            if node.paused_until > self.now:
                self._schedule(node.paused_until + 1e-6, callback)
            else:
                callback()

        self._schedule(time, run)

    def pause(self, node: FakeNode, duration: float) -> None:
        """Pause a node's event loop for a duration."""
        node.paused_until = self.now + duration

        def resume() -> None:
            node.detector.observe_pause(Seconds(duration), Seconds(self.now))
            self._start_frequent_ticks(node)

        self._schedule(node.paused_until, resume)

    def _arrive(self) -> None:
        rate = self.size.rate * self.size.servers
        self._schedule(self.now + self.random.expovariate(rate), self._arrive)
        node = self.random.choice(self.nodes)
        if node.paused_until > self.now:
            return
        remote = self._remote_share > 0
        remote = remote and self.random.random() < self._remote_share
        server = self.choose(node, remote)
        if server is not None:
            self.requests += 1
            if server == self.faulty_server:
                self.faulty_server_requests.append(self.now)
            self._attempt(node, server, False)

    def choose(self, node: FakeNode, remote: bool) -> ServerId | None:
        """Choose a server of one region by the weights of the detector."""
        if node.uniform_weights:
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
        """Observe the result of an attempt, for models that route by load."""

    def is_active(self) -> bool:
        """Return whether the fault is active now."""
        since = self.now - self.fault_at
        if self.fault is Fault.FLAPPING:
            return since >= 0 and since % 4.0 < 2.0
        return since >= 0

    def _draw(
        self, node: FakeNode, server: ServerId, probe: bool
    ) -> tuple[AttemptResult, float]:
        """Draw the result and latency of a call, infinite without an answer."""
        latency = self.random.lognormvariate(
            math.log(_MEDIAN_LATENCY_S), _LATENCY_SIGMA
        )
        if probe:
            latency = _PROBE_LATENCY_S
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
            # Requests queue at every server: all calls take 8 times as long.
            return result, 8 * latency
        if fault is Fault.LOST_LINK and server in self._remote:
            return AttemptResult.TIMEOUT, math.inf
        if server != self.faulty_server:
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
        fresh = (
            fresh
            or self.now - node.last_used.get(server, -_IDLE_TIMEOUT_S)
            >= _IDLE_TIMEOUT_S
        )
        result, latency = self._draw(node, server, False)
        node.last_used[server] = self.now
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
                self._start_frequent_ticks(node)
                self.advance(node)

        def handle_overdue() -> None:
            observe(AttemptResult.OVERDUE)
            if not fresh:
                # The proxy retries once on a new connection.
                self._attempt(node, server, True)

        if overdue < min(latency, _TIMEOUT_S):
            self._schedule_for_node(node, started + overdue, handle_overdue)
        end = result if latency < _TIMEOUT_S else AttemptResult.TIMEOUT
        # The first attempt is abandoned once the retry replaces it.
        if fresh or latency < _TIMEOUT_S or overdue >= _TIMEOUT_S:
            finish = started + min(latency, _TIMEOUT_S)
            self._schedule_for_node(node, finish, lambda: observe(end))

    def _probe(self, node: FakeNode, action: ProbeServer) -> None:
        self.probes += 1
        result, latency = self._draw(node, action.server, True)
        passed = result is AttemptResult.OK and latency <= action.timeout
        waited = min(latency, action.timeout)

        def finish() -> None:
            now = Seconds(self.now)
            node.detector.observe_probe(action.server, passed, now)
            self._start_frequent_ticks(node)
            self.advance(node)

        self._schedule_for_node(node, self.now + waited, finish)

    def measure_relative_weight(self) -> float:
        """Return the faulty server's weight relative to an equal share.

        The mean covers the nodes that the fault affects.
        """
        nodes = self.nodes
        if self.fault is Fault.ONE_WAY_PART:
            nodes = [node for node in nodes if node.number % 4 == 0]
        total = 0.0
        for node in nodes:
            now = Seconds(self.now)
            chosen = node.detector.select(self.servers, self.floor, now)
            weights = chosen.eligible
            total += weights.get(self.faulty_server, 0.0) / (
                sum(weights.values()) / len(self.servers)
            )
        return total / len(nodes)
