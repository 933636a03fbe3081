"""The detector of a node: own evidence, pooled evidence and ejection."""

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
from egretlever.detection._directory import Directory
from egretlever.detection._ejections import Ejections
from egretlever.detection._interfaces import Detector
from egretlever.detection._judging import PairJudge
from egretlever.detection._own_evidence import Judgement, OwnEvidence
from egretlever.detection._pool import EvidencePool
from egretlever.detection._recovery import ProbePacer, finish_probe
from egretlever.detection._reports import Reporter
from egretlever.detection._standings import Standing
from egretlever.detection._types import (
    Action,
    Cause,
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

_EVIDENCE_LIFETIME = 10.0
_ANNOUNCE_INTERVAL = 5.0
_EXTENSION = 1.0
# Good outcomes contradict pooled evidence when no bad one came in this time.
_UNDISPUTED = 3.0
# Loop lag above which the evidence of the time is void.
_PAUSE = 0.25


class GrayDetector:
    """Detects gray failures and ejects servers above the floor.

    Parameters
    ----------
    node : NodeId
        This node.
    region : RegionName
        Region of this node.
    pair_threshold : float, default=8.0
        Score of the node's own evidence that ejects a server. Three attempts
        in a row without answer reach it.
    pool_threshold : float, default=12.0
        Score of pooled evidence that ejects a server.
    min_reporters : int, default=2
        Distinct reporters that pooled evidence needs.
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
        self._directory = Directory(region)
        self._pool = EvidencePool(
            self._directory, pool_threshold, min_reporters
        )
        self._reporter = Reporter(self._directory)
        self._own = OwnEvidence(self._directory, self._reporter)
        self._probes = ProbePacer()
        self._ejections = Ejections(self._own.clear)
        self._pair_judge = PairJudge(
            self._directory, self._own, self._ejections, pair_threshold
        )
        self._announced: dict[ServerId, float] = {}
        self._due: list[Action] = []
        self._dropped: collections.Counter[str] = collections.Counter()
        self._now = Seconds(0.0)

    def update_servers(self, changed: Iterable[Server], now: Seconds) -> None:
        """Take in new and changed server records; stopped ones are dropped."""
        for server in changed:
            if self._directory.update_server(server):
                self._own.forget(server.id)
                self._ejections.forget(server.id)
                self._announced.pop(server.id, None)
                self._pool.forget(server.id)

    def update_members(self, members: Iterable[Member], now: Seconds) -> None:
        """Replace the live nodes."""
        self._directory.update_members(members)

    def overdue_after(self, server_id: ServerId) -> Seconds:
        """Return the wait after which an attempt is reported as overdue.

        The threshold belongs to the servers of the service in one region; it
        is 1 s until 20 responses have been seen.
        """
        return self._own.overdue_after(self._directory.servers.get(server_id))

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Take in the result of an attempt, or that it is overdue."""
        judgement = self._own.observe(attempt, now)
        if judgement is not None:
            server = self._directory.servers[attempt.server]
            self._judge(server, judgement, now)

    def _judge(
        self, server: Server, judgement: Judgement, now: Seconds
    ) -> None:
        self._pair_judge.observe(server, judgement, now)
        if (
            judgement.probe
            and not self._ejections.find_bad(server.id)
            and self._probes.start_suspicion(server.id, now)
        ):
            self._due.append(self._make_probe(server.id))

    def _make_probe(self, server_id: ServerId) -> ProbeServer:
        timeout = min(max(self.overdue_after(server_id), 0.1), 0.25)
        return ProbeServer(server_id, Seconds(timeout))

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Void the evidence of a pause of this node's loop that ends now."""
        if duration >= _PAUSE:
            self._own.observe_pause(duration, now)

    def observe_hint(self, server_id: ServerId, now: Seconds) -> None:
        """Take in a suspicion, which lowers the evidence needed."""
        server = self._directory.servers.get(server_id)
        if server is not None:
            pair = self._own.find_pair(server)
            pair.suspected_until = now + _EVIDENCE_LIFETIME
            self._pool.observe_hint(server, now)

    def observe_probe(
        self, server_id: ServerId, passed: bool, now: Seconds
    ) -> None:
        """Take in the result of a probe that was asked for.

        A passed probe clears a doubted connection and readmits an ejected
        server. It never outweighs outcomes, because health endpoints lie.
        """
        self._probes.finish(server_id)
        server = self._directory.servers.get(server_id)
        if server is None:
            return
        standing = self._ejections.find_bad(server_id)
        if standing is not None:
            self._finish_probe(server, standing, passed, now)
        elif passed:
            self._own.find_pair(server).clear_doubt()
        else:
            waited = self._make_probe(server_id).timeout
            judgement = self._own.add_bad(
                server, EvidenceKind.UNREACHABLE, waited, now
            )
            self._judge(server, judgement, now)

    def _finish_probe(
        self, server: Server, standing: Standing, passed: bool, now: Seconds
    ) -> None:
        pooled = standing.cause is Cause.SERVER
        if finish_probe(standing, passed, now):
            self._ejections.readmit(standing, now)
            if pooled:
                self._announced.pop(server.id, None)
                self._announce(server, standing, Verdict.RECOVERED, now)
        elif pooled and not passed:
            self._announce(server, standing, Verdict.BAD, now)

    def _announce(
        self, server: Server, standing: Standing, verdict: Verdict, now: Seconds
    ) -> None:
        last = self._announced.get(server.id, -_ANNOUNCE_INTERVAL)
        if now - last < _ANNOUNCE_INTERVAL or not self._pools(standing):
            return
        self._announced[server.id] = now
        pooled = PooledServerEvidence(
            server.id,
            server.incarnation,
            standing.reporters,
            standing.badness,
            Seconds(0.0),
            standing.kind,
            verdict,
        )
        self._pool.announce(server.service, pooled, now)

    def _pools(self, standing: Standing) -> bool:
        nodes = self._directory.find_evidence_nodes(standing.service)
        return self._node in nodes

    def _probes_itself(self, standing: Standing) -> bool:
        return standing.cause is Cause.PAIR or self._pools(standing)

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Take in a report, as an evidence node of its service."""
        if self._directory.accepts(sender):
            self._pool.receive(report, sender.node, now)
        else:
            self._dropped["report-of-unknown-sender"] += 1

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Take in pooled evidence from an evidence node."""
        if not self._directory.accepts_pooled(pooled.service, sender):
            self._dropped["pooled-of-unknown-sender"] += 1
            return
        for item in pooled.servers:
            self._receive_server(item, now)

    def _receive_server(self, item: PooledServerEvidence, now: Seconds) -> None:
        server = self._directory.servers.get(item.server)
        if server is None or server.incarnation != item.incarnation:
            self._dropped["pooled-of-other-incarnation"] += 1
        elif not 0 <= item.age < _EVIDENCE_LIFETIME:
            self._dropped["pooled-expired"] += 1
        elif item.verdict is Verdict.RECOVERED:
            self._receive_recovered(server, now)
        elif item.reporters < self._min_reporters:
            self.observe_hint(server.id, now)
        else:
            self._receive_bad(server, item, now)

    def _receive_recovered(self, server: Server, now: Seconds) -> None:
        self._pool.forget(server.id)
        standing = self._ejections.find_bad(server.id)
        if standing is not None and standing.cause is Cause.SERVER:
            self._ejections.readmit(standing, now)

    def _receive_bad(
        self, server: Server, item: PooledServerEvidence, now: Seconds
    ) -> None:
        seen_at = now - item.age
        standing = self._ejections.standings.get(server.id)
        readmitted = standing is not None and not standing.is_bad
        if standing is not None and readmitted and seen_at <= standing.since:
            self._dropped["pooled-before-readmission"] += 1
            return
        if self._is_contradicted(item, seen_at):
            self.observe_hint(server.id, now)
            return
        standing = self._ejections.mark_bad(
            server, Cause.SERVER, item.kind, item.badness, item.reporters, now
        )
        standing.until = max(standing.until, now + _EXTENSION)

    def _is_contradicted(
        self, item: PooledServerEvidence, seen_at: float
    ) -> bool:
        """Tell whether own good outcomes are later than the evidence."""
        pair = self._own.pairs.get(item.server)
        if pair is None or item.kind is not EvidenceKind.UNREACHABLE:
            return False
        return (
            pair.last_good > seen_at and seen_at - pair.last_bad > _UNDISPUTED
        )

    def advance(self, now: Seconds) -> list[Action]:
        """Move time forward and return the actions that are due."""
        self._now = now
        self._probes.expire(now)
        self._pair_judge.advance(now)
        for standing in self._ejections.advance(self._probes_itself, now):
            if self._probes.start(standing.server, now):
                self._due.append(self._make_probe(standing.server))
        for report in self._reporter.advance(now):
            self._deliver(report, now)
        for pooled in self._pool.advance(now):
            self._deliver(pooled, now)
        due, self._due = self._due, []
        return [*due, *self._ejections.take_changes()]

    def _deliver(self, action: SendReport | SendPooled, now: Seconds) -> None:
        """Hand a message to this node itself and send it to the others."""
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
        known = self._ejections.health(server_id, self._now)
        if known is not None and known is not Health.HEALTHY:
            return known
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
            Slots that ejection has to leave in service.
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
            When ejection would leave less than the floor.
        """

        def is_blameless(server: Server, standing: Standing) -> bool:
            own = standing.cause is Cause.PAIR
            return own and self._own.causes.is_link_blamed(server.region, now)

        def success_share(server_id: ServerId) -> float:
            pair = self._own.pairs.get(server_id)
            return 1.0 if pair is None else pair.success_share(now)

        return self._ejections.select(
            servers, floor_slots, is_blameless, success_share, now
        )

    def describe(self) -> DetectorState:
        """Return a snapshot for operators."""
        return DetectorState(
            self._ejections.describe(self._now),
            self._own.causes.blamed(self._now),
            len(self._own.pairs),
            self._pool.services,
            dict(self._dropped + self._own.dropped),
        )


def make_detector(
    node: NodeId,
    region: RegionName,
    pair_threshold: float = 8.0,
    pool_threshold: float = 12.0,
    min_reporters: int = 2,
) -> Detector:
    """Make the detector of a node, with the parameters of `GrayDetector`.

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
