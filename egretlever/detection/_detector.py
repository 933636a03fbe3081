"""Detector of a node: own evidence, pooled evidence and ejection."""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from egretlever.core import (
    Attempt,
    Health,
    Interval,
    NodeId,
    RegionName,
    Seconds,
    Server,
    ServerId,
    check_parameters,
)
from egretlever.detection._ejection_states import EjectionState
from egretlever.detection._ejections import Ejections
from egretlever.detection._interfaces import Detector
from egretlever.detection._known_servers import KnownServers
from egretlever.detection._own_evaluation import OwnEvidenceEvaluator
from egretlever.detection._own_evidence import Attribution, OwnEvidence
from egretlever.detection._pool import EvidencePool
from egretlever.detection._recovery import ProbeLimiter, finish_probe
from egretlever.detection._reports import Reporter
from egretlever.detection._types import (
    Cause,
    DetectorAction,
    DetectorState,
    EvidenceKind,
    EvidenceReport,
    Member,
    PooledEvidence,
    PooledServerEvidence,
    ProbeServer,
    Selection,
    Sender,
    SendPooled,
    SendReport,
    Verdict,
)

_EVIDENCE_LIFETIME_S = 10.0
_ANNOUNCE_INTERVAL_S = 5.0
_EJECTION_EXTENSION_S = 1.0
# Good outcomes after pooled evidence contradict it only when the last bad one
# of this node is older than the evidence by more than this.
_CONTRADICTION_WINDOW_S = 3.0
# Pauses of the event loop from this length on invalidate the evidence that was
# collected during them.
_MIN_PAUSE_S = 0.25


class GrayDetector:
    """Detects gray failures and ejects servers within the capacity floor.

    Parameters
    ----------
    node : NodeId
        This node.
    region : RegionName
        Region of this node.
    pair_threshold : float, default=8.0
        Score of the node's own evidence that ejects a server. Three attempts
        in a row without response reach it.
    pool_threshold : float, default=12.0
        Score of pooled evidence that ejects a server.
    min_reporters : int, default=2
        Number of distinct reporters that pooled evidence needs.
    """

    def __init__(
        self,
        node: NodeId,
        region: RegionName,
        pair_threshold: float = 8.0,
        pool_threshold: float = 12.0,
        min_reporters: int = 2,
    ) -> None:
        values = {
            "pair_threshold": pair_threshold,
            "pool_threshold": pool_threshold,
            "min_reporters": min_reporters,
        }
        allowed = Interval(1, 100)
        check_parameters("GrayDetector", values, dict.fromkeys(values, allowed))
        self._node = node
        self._min_reporters = min_reporters
        self._known_servers = KnownServers(region)
        self._pool = EvidencePool(
            self._known_servers, pool_threshold, min_reporters
        )
        self._reporter = Reporter(self._known_servers)
        self._own = OwnEvidence(self._known_servers, self._reporter)
        self._probe_limiter = ProbeLimiter()
        self._ejections = Ejections(self._own.clear)
        self._own_evaluator = OwnEvidenceEvaluator(
            self._known_servers, self._own, self._ejections, pair_threshold
        )
        self._announced: dict[ServerId, float] = {}
        self._due: list[DetectorAction] = []
        self._dropped: collections.Counter[str] = collections.Counter()
        self._now = Seconds(0.0)

    def update_servers(self, changed: Iterable[Server], now: Seconds) -> None:
        """Apply new and changed server records and remove stopped servers."""
        for server in changed:
            if self._known_servers.update_server(server):
                self._own.forget(server.id)
                self._ejections.forget(server.id)
                self._announced.pop(server.id, None)
                self._pool.forget(server.id)

    def update_members(self, members: Iterable[Member], now: Seconds) -> None:
        """Replace the set of live nodes."""
        self._known_servers.update_members(members)

    def overdue_after(self, server_id: ServerId) -> Seconds:
        """Return the wait after which an attempt is reported as overdue.

        The threshold is shared by the servers of a service in one region; it
        is 1 s until 20 responses have been observed.
        """
        return self._own.overdue_after(
            self._known_servers.servers.get(server_id)
        )

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Record the result of an attempt, or that it is overdue."""
        attribution = self._own.observe(attempt, now)
        if attribution is not None:
            server = self._known_servers.servers[attempt.server]
            self._handle_attribution(server, attribution, now)

    def _handle_attribution(
        self, server: Server, attribution: Attribution, now: Seconds
    ) -> None:
        self._own_evaluator.observe(server, attribution, now)
        if (
            attribution.probe
            and not self._ejections.find_bad(server.id)
            and self._probe_limiter.start_suspicion_probe(server.id, now)
        ):
            self._due.append(self._make_probe(server.id))

    def _make_probe(self, server_id: ServerId) -> ProbeServer:
        timeout = min(max(self.overdue_after(server_id), 0.1), 0.25)
        return ProbeServer(server_id, Seconds(timeout))

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Discard the evidence of an event loop pause that ends now."""
        if duration >= _MIN_PAUSE_S:
            self._own.observe_pause(duration, now)

    def observe_suspicion(self, server_id: ServerId, now: Seconds) -> None:
        """Record a suspicion, which lowers the score needed for ejection."""
        server = self._known_servers.servers.get(server_id)
        if server is not None:
            pair = self._own.find_pair(server)
            pair.suspected_until = now + _EVIDENCE_LIFETIME_S
            self._pool.observe_suspicion(server, now)

    def observe_probe(
        self, server_id: ServerId, passed: bool, now: Seconds
    ) -> None:
        """Record the result of a requested probe.

        A passed probe ends the suspicion of a connection and counts towards
        the readmission of an ejected server. It never outweighs the outcomes
        of requests, because a health endpoint may report a faulty server as
        healthy.
        """
        self._probe_limiter.finish(server_id)
        server = self._known_servers.servers.get(server_id)
        if server is None:
            return
        ejection = self._ejections.find_bad(server_id)
        if ejection is not None:
            self._finish_probe(server, ejection, passed, now)
        elif passed:
            self._own.find_pair(server).clear_connection_suspicion()
        else:
            waited = self._make_probe(server_id).timeout
            attribution = self._own.add_bad(
                server, EvidenceKind.UNREACHABLE, waited, now
            )
            self._handle_attribution(server, attribution, now)

    def _finish_probe(
        self,
        server: Server,
        ejection: EjectionState,
        passed: bool,
        now: Seconds,
    ) -> None:
        is_pooled = ejection.cause is Cause.SERVER
        if finish_probe(ejection, passed, now):
            self._ejections.readmit(ejection, now)
            if is_pooled:
                self._announced.pop(server.id, None)
                self._announce(server, ejection, Verdict.RECOVERED, now)
        elif is_pooled and not passed:
            self._announce(server, ejection, Verdict.BAD, now)

    def _announce(
        self,
        server: Server,
        ejection: EjectionState,
        verdict: Verdict,
        now: Seconds,
    ) -> None:
        last = self._announced.get(server.id, -_ANNOUNCE_INTERVAL_S)
        if now - last < _ANNOUNCE_INTERVAL_S or not self._is_evidence_node(
            ejection
        ):
            return
        self._announced[server.id] = now
        pooled = PooledServerEvidence(
            server.id,
            server.incarnation,
            ejection.reporters,
            ejection.badness,
            Seconds(0.0),
            ejection.kind,
            verdict,
        )
        self._pool.announce(server.service, pooled, now)

    def _is_evidence_node(self, ejection: EjectionState) -> bool:
        nodes = self._known_servers.find_evidence_nodes(ejection.service)
        return self._node in nodes

    def _is_prober(self, ejection: EjectionState) -> bool:
        return ejection.cause is Cause.PAIR or self._is_evidence_node(ejection)

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Process a report as an evidence node of its service."""
        if self._known_servers.is_current_sender(sender):
            self._pool.receive(report, sender.node, now)
        else:
            self._dropped["report-of-unknown-sender"] += 1

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Process pooled evidence from an evidence node."""
        if not self._known_servers.is_accepted_evidence_node(
            pooled.service, sender
        ):
            self._dropped["pooled-of-unknown-sender"] += 1
            return
        for item in pooled.servers:
            self._receive_server(item, now)

    def _receive_server(self, item: PooledServerEvidence, now: Seconds) -> None:
        server = self._known_servers.servers.get(item.server)
        if server is None or server.incarnation != item.incarnation:
            self._dropped["pooled-of-other-incarnation"] += 1
        elif not 0 <= item.age < _EVIDENCE_LIFETIME_S:
            self._dropped["pooled-expired"] += 1
        elif item.verdict is Verdict.RECOVERED:
            self._receive_recovered(server, now)
        elif item.reporters < self._min_reporters:
            self.observe_suspicion(server.id, now)
        else:
            self._receive_bad(server, item, now)

    def _receive_recovered(self, server: Server, now: Seconds) -> None:
        self._pool.forget(server.id)
        ejection = self._ejections.find_bad(server.id)
        if ejection is not None and ejection.cause is Cause.SERVER:
            self._ejections.readmit(ejection, now)

    def _receive_bad(
        self, server: Server, item: PooledServerEvidence, now: Seconds
    ) -> None:
        seen_at = now - item.age
        ejection = self._ejections.by_server.get(server.id)
        readmitted = ejection is not None and not ejection.is_bad
        if (
            ejection is not None
            and readmitted
            and seen_at <= ejection.stage_since
        ):
            self._dropped["pooled-before-readmission"] += 1
            return
        if self._is_contradicted(item, seen_at):
            self.observe_suspicion(server.id, now)
            return
        ejection = self._ejections.mark_bad(
            server, Cause.SERVER, item.kind, item.badness, item.reporters, now
        )
        ejection.ejected_until = max(
            ejection.ejected_until, now + _EJECTION_EXTENSION_S
        )

    def _is_contradicted(
        self, item: PooledServerEvidence, seen_at: float
    ) -> bool:
        """Return whether own good outcomes contradict the evidence."""
        pair = self._own.pairs.get(item.server)
        if pair is None or item.kind is not EvidenceKind.UNREACHABLE:
            return False
        return (
            pair.last_good > seen_at
            and seen_at - pair.last_bad > _CONTRADICTION_WINDOW_S
        )

    def advance(self, now: Seconds) -> list[DetectorAction]:
        """Advance the clock and return the actions that are due."""
        self._now = now
        self._probe_limiter.expire(now)
        self._own_evaluator.advance(now)
        for ejection in self._ejections.advance(self._is_prober, now):
            if self._probe_limiter.start(ejection.server, now):
                self._due.append(self._make_probe(ejection.server))
        for report in self._reporter.advance(now):
            self._deliver(report, now)
        for pooled in self._pool.advance(now):
            self._deliver(pooled, now)
        due, self._due = self._due, []
        return [*due, *self._ejections.take_changes()]

    def _deliver(self, action: SendReport | SendPooled, now: Seconds) -> None:
        """Process a message locally if addressed, and send it to the others."""
        others = tuple(node for node in action.to if node != self._node)
        if others:
            self._due.append(dataclasses.replace(action, to=others))
        if self._node not in action.to:
            return
        if isinstance(action, SendReport):
            self._pool.receive(action.report, self._node, now)
        else:
            for item in action.pooled.servers:
                self._receive_server(item, now)

    def health(self, server_id: ServerId) -> Health:
        """Return the health of a server at the last call of ``advance``."""
        health = self._ejections.health(server_id, self._now)
        if health is not None and health is not Health.HEALTHY:
            return health
        pair = self._own.pairs.get(server_id)
        if pair is not None and self._now < pair.suspected_until:
            return Health.SUSPECT
        return Health.HEALTHY

    def select(
        self, servers: Sequence[Server], floor_slots: int, now: Seconds
    ) -> Selection:
        """Decide which servers of one service may receive requests.

        Parameters
        ----------
        servers : sequence of Server
            All known servers of the service, in any state.
        floor_slots : int
            Slots that ejection must leave in service.
        now : Seconds
            Reading of the clock.

        Returns
        -------
        Selection
            Weights of eligible servers, ejected servers and those held by
            the floor. Draining and stopped servers appear in none of them.

        Raises
        ------
        InvariantError
            If ejection would leave fewer slots than the floor.
        """

        def is_link_fault(server: Server, ejection: EjectionState) -> bool:
            own = ejection.cause is Cause.PAIR
            return own and self._own.causes.is_link_blamed(server.region, now)

        def success_share(server_id: ServerId) -> float:
            pair = self._own.pairs.get(server_id)
            return 1.0 if pair is None else pair.success_share(now)

        return self._ejections.select(
            servers, floor_slots, is_link_fault, success_share, now
        )

    def describe(self) -> DetectorState:
        """Return a snapshot for operators."""
        return DetectorState(
            self._ejections.describe(self._now),
            self._own.causes.find_blamed_regions(self._now),
            len(self._own.pairs),
            self._pool.service_count,
            dict(self._dropped + self._own.dropped),
        )


def make_detector(
    node: NodeId,
    region: RegionName,
    pair_threshold: float = 8.0,
    pool_threshold: float = 12.0,
    min_reporters: int = 2,
) -> Detector:
    """Build the detector of a node, with the parameters of `GrayDetector`.

    Examples
    --------
    >>> from egretlever.testing.builders import build_servers
    >>> detector = make_detector(NodeId("node-1"), RegionName("punjab"))
    >>> servers = build_servers(3)
    >>> detector.update_servers(servers, Seconds(0.0))
    >>> selection = detector.select(servers, 7, Seconds(0.0))
    >>> sorted(selection.eligible.values())
    [1.0, 1.0, 1.0]
    """
    return GrayDetector(
        node, region, pair_threshold, pool_threshold, min_reporters
    )
