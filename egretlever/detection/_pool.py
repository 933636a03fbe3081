"""Pooling of evidence on an evidence node."""

import math
from collections.abc import Mapping, Sequence

from egretlever.core import (
    Interval,
    NodeId,
    Seconds,
    Server,
    ServerId,
    ServiceName,
    check_parameters,
)
from egretlever.detection._comparison import (
    KINDS,
    LIFETIME,
    PRIOR_RATE,
    WINDOWS,
    Counts,
    ServerEvents,
    count_all,
    find_worst,
)
from egretlever.detection._directory import Directory
from egretlever.detection._scores import estimate_typical
from egretlever.detection._types import (
    EvidenceKind,
    EvidenceReport,
    PooledEvidence,
    PooledServerEvidence,
    SendPooled,
    Verdict,
)

_SERVERS_PER_SERVICE = 1024
_USERS_PER_SERVICE = 1024
_SERVICES = 64
_USER_LIFETIME = 90.0
_REFRESH = 2.0
_BASE_SMOOTHING = 1 / 30
# A comparison of 40 servers takes about 1 ms with little evidence and several
# with the much evidence of a flood.
_JUDGE_INTERVAL = 0.05
_JUDGE_INTERVAL_MUCH = 0.5
_MUCH = 500
# Time for which evidence has to stay conclusive. At the onset of a flood the
# first reports name few servers; their peers follow within this time.
_SETTLE = 0.15
# Servers of another region get few requests, so a lost link takes longer to
# show on most of them. Requests do not depend on them meanwhile.
_SETTLE_REMOTE = 0.6
# Errors and slow answers occur on healthy servers far more often than
# unreachability does, so that chance has more opportunities.
_FREQUENT = 14.0 / 12.0


class _Service:
    __slots__ = (
        "base_",
        "evidence",
        "judged",
        "named",
        "updated",
        "updates",
        "users",
    )

    def __init__(self) -> None:
        self.evidence: dict[ServerId, ServerEvents] = {}
        self.named: set[ServerId] = set()
        self.judged = -math.inf
        self.users: dict[NodeId, float] = {}
        self.base_: dict[str, list[float]] = {}
        self.updated = -math.inf
        self.updates = 0


class EvidencePool:
    """Pools the reports about the servers of some services.

    Parameters
    ----------
    directory : Directory
        Known servers and nodes.
    threshold : float, default=12.0
        Score that convicts a server as unreachable. Errors and slow answers
        need one sixth more.
    min_reporters : int, default=2
        Distinct nodes that must have reported.
    min_ratio : float, default=2.5
        Least ratio to the typical peer. Load differs between servers in a
        flood by less than this.
    """

    def __init__(
        self,
        directory: Directory,
        threshold: float = 12.0,
        min_reporters: int = 2,
        min_ratio: float = 2.5,
    ) -> None:
        check_parameters(
            "EvidencePool",
            {
                "threshold": threshold,
                "min_reporters": min_reporters,
                "min_ratio": min_ratio,
            },
            {
                "threshold": Interval(1, 100),
                "min_reporters": Interval(1, 100),
                "min_ratio": Interval(1, 100),
            },
        )
        self._directory = directory
        self._threshold = threshold
        self._min_reporters = min_reporters
        self._min_ratio = min_ratio
        self._services: dict[ServiceName, _Service] = {}
        self._due: list[SendPooled] = []

    @property
    def services(self) -> int:
        """Number of services with pooled state."""
        return len(self._services)

    def _get(self, service: ServiceName) -> _Service:
        state = self._services.get(service)
        if state is None:
            if len(self._services) >= _SERVICES:
                del self._services[next(iter(self._services))]
            state = self._services[service] = _Service()
        return state

    def receive(
        self, report: EvidenceReport, reporter: NodeId, now: Seconds
    ) -> None:
        """Pool a report and judge the servers that it names."""
        state = self._get(report.service)
        state.users.pop(reporter, None)
        state.users[reporter] = now
        if len(state.users) > _USERS_PER_SERVICE:
            del state.users[next(iter(state.users))]
        known = self._directory.find_servers(report.service)
        for item in report.servers:
            server = known.get(item.server)
            if server is None or server.incarnation != item.incarnation:
                continue
            evidence = self._find_evidence(state, server)
            numbers = (item.failed, item.slow, item.unreachable)
            for kind, number in enumerate(numbers):
                if number > 0:
                    evidence.events.append((now, reporter, kind, number))
            state.named.add(server.id)
        self._judge(report.service, state, now)

    def _find_evidence(self, state: _Service, server: Server) -> ServerEvents:
        evidence = state.evidence.get(server.id)
        if evidence is None or evidence.incarnation != server.incarnation:
            if len(state.evidence) >= _SERVERS_PER_SERVICE:
                del state.evidence[next(iter(state.evidence))]
            evidence = state.evidence[server.id] = ServerEvents(
                server.incarnation
            )
        return evidence

    def observe_hint(self, server: Server, now: Seconds) -> None:
        """Lower the evidence needed against a server for 10 s."""
        state = self._services.get(server.service)
        if state is not None:
            evidence = self._find_evidence(state, server)
            evidence.hinted_until = now + LIFETIME

    def forget(self, server_id: ServerId) -> None:
        """Void the evidence about a server."""
        for state in self._services.values():
            state.evidence.pop(server_id, None)

    def announce(
        self,
        service: ServiceName,
        pooled: PooledServerEvidence,
        now: Seconds,
    ) -> None:
        """Send a verdict that was reached by probing to all users."""
        state = self._get(service)
        if pooled.verdict is Verdict.RECOVERED:
            state.evidence.pop(pooled.server, None)
        self._send(service, state, [pooled], now)

    def advance(self, now: Seconds) -> list[SendPooled]:
        """Expire evidence and users, and return the messages that are due."""
        for service, state in self._services.items():
            if now - state.updated >= 1.0:
                state.updated = now
                self._expire(service, state, now)
            self._judge(service, state, now)
        due, self._due = self._due, []
        return due

    def _expire(
        self, service: ServiceName, state: _Service, now: float
    ) -> None:
        for user, at in list(state.users.items()):
            if now - at <= _USER_LIFETIME:
                break
            del state.users[user]
        for server_id, evidence in list(state.evidence.items()):
            while evidence.events and now - evidence.events[0][0] > LIFETIME:
                evidence.events.popleft()
            if not evidence.events and evidence.hinted_until < now:
                del state.evidence[server_id]
        self._update_base(service, state, now)

    def _update_base(
        self, service: ServiceName, state: _Service, now: float
    ) -> None:
        state.updates += 1
        smoothing = max(_BASE_SMOOTHING, 1.0 / state.updates)
        for region, servers in self._find_groups(service).items():
            base = state.base_.setdefault(region, list(PRIOR_RATE))
            counts = count_all(
                state.evidence, servers, now, self._directory.nodes
            )
            for kind in range(len(KINDS)):
                column = kind * len(WINDOWS) + len(WINDOWS) - 1
                values = [row[column][0] for row in counts.values()]
                rate = estimate_typical(values) / LIFETIME
                base[kind] += smoothing * (rate - base[kind])

    def _find_groups(self, service: ServiceName) -> dict[str, list[ServerId]]:
        groups: dict[str, list[ServerId]] = {}
        for server in self._directory.find_servers(service).values():
            groups.setdefault(server.region, []).append(server.id)
        return groups

    def _judge(
        self, service: ServiceName, state: _Service, now: Seconds
    ) -> None:
        if not state.named:
            return
        much = sum(len(item.events) for item in state.evidence.values()) > _MUCH
        interval = _JUDGE_INTERVAL_MUCH if much else _JUDGE_INTERVAL
        if now - state.judged < interval:
            return
        state.judged = now
        named, state.named = state.named, set()
        verdicts: list[PooledServerEvidence] = []
        groups = self._find_groups(service)
        for region, servers in groups.items():
            if named.isdisjoint(servers):
                continue
            # One peer with the same callers tells more than servers of another
            # region, which get no requests and look well in a flood.
            peers = servers
            if len(servers) < 2:
                peers = [item for group in groups.values() for item in group]
            judged = sorted(named.intersection(servers))
            verdicts += self._compare(state, judged, peers, region, now)
        if verdicts:
            self._send(service, state, verdicts, now)

    def _compare(
        self,
        state: _Service,
        judged: Sequence[ServerId],
        peers: Sequence[ServerId],
        region: str,
        now: Seconds,
    ) -> list[PooledServerEvidence]:
        base = state.base_.get(region, PRIOR_RATE)
        counts = count_all(state.evidence, peers, now, self._directory.nodes)
        lost = self._is_link_lost(counts)
        settle = _SETTLE if region == self._directory.region else _SETTLE_REMOTE
        verdicts = []
        for server_id in judged:
            evidence = state.evidence.get(server_id)
            if evidence is None or now - evidence.sent < _REFRESH:
                continue
            others = [row for peer, row in counts.items() if peer != server_id]
            score, reporters, kind = find_worst(
                counts[server_id],
                others,
                base,
                self._min_reporters,
                self._min_ratio,
            )
            blamed = lost and kind is EvidenceKind.UNREACHABLE
            if blamed or score < self._find_threshold(kind, evidence, now):
                evidence.crossed = math.inf
                continue
            evidence.crossed = min(evidence.crossed, now)
            if now - evidence.crossed < settle:
                state.named.add(server_id)
            else:
                evidence.sent = now
                evidence.crossed = math.inf
                age = Seconds(max(0.0, now - evidence.events[-1][0]))
                verdicts.append(
                    PooledServerEvidence(
                        server_id,
                        evidence.incarnation,
                        reporters,
                        score,
                        age,
                        kind,
                    )
                )
        return verdicts

    def _is_link_lost(self, counts: Mapping[ServerId, Counts]) -> bool:
        """Tell whether most servers of another region are unreachable."""
        column = KINDS.index(EvidenceKind.UNREACHABLE) * len(WINDOWS) + 1
        servers = self._directory.servers
        remote = [
            row[column][0] > 0
            for server_id, row in counts.items()
            if servers[server_id].region != self._directory.region
        ]
        return sum(remote) >= 2 and sum(remote) > len(remote) / 2

    def _find_threshold(
        self, kind: EvidenceKind, evidence: ServerEvents, now: float
    ) -> float:
        needed = self._threshold
        if kind is not EvidenceKind.UNREACHABLE:
            needed *= _FREQUENT
        return needed * (0.75 if evidence.hinted_until > now else 1.0)

    def _send(
        self,
        service: ServiceName,
        state: _Service,
        verdicts: list[PooledServerEvidence],
        now: float,
    ) -> None:
        users = [
            user
            for user, at in state.users.items()
            if now - at < _USER_LIFETIME
        ]
        users += self._directory.find_evidence_nodes(service)
        self._due.append(
            SendPooled(
                tuple(dict.fromkeys(users)),
                PooledEvidence(service, tuple(verdicts)),
            )
        )
