"""Pooling of reports on an evidence node."""

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
    EVIDENCE_LIFETIME_S,
    KINDS,
    PRIOR_RATES_PER_S,
    WINDOWS_S,
    Counts,
    ServerEvents,
    count_evidence,
    find_strongest_evidence,
)
from egretlever.detection._known_servers import KnownServers
from egretlever.detection._scores import estimate_typical
from egretlever.detection._types import (
    EvidenceKind,
    EvidenceReport,
    PooledEvidence,
    PooledServerEvidence,
    SendPooled,
    Verdict,
)

_MAX_SERVERS_PER_SERVICE = 1024
_MAX_USERS_PER_SERVICE = 1024
_MAX_SERVICES = 64
_USER_LIFETIME_S = 90.0
_RESEND_INTERVAL_S = 2.0
_BASE_SMOOTHING = 1 / 30
# A comparison of 40 servers takes about 1 ms with little evidence, and several
# with the large amount of evidence in a flood.
_EVALUATION_INTERVAL_S = 0.05
_HEAVY_EVALUATION_INTERVAL_S = 0.5
_HEAVY_EVENT_COUNT = 500
# Time for which the score must stay above the threshold. At the onset of a
# flood the first reports name few servers; their peers follow within this time.
_CONFIRMATION_TIME_S = 0.15
# Servers of other regions receive few requests, so a lost link takes longer to
# show on most of them. Meanwhile requests do not depend on these servers.
_REMOTE_CONFIRMATION_TIME_S = 0.6
# Errors and slow responses are far more frequent on healthy servers than
# unreachability, so chance produces high scores more often.
_FREQUENT_KIND_FACTOR = 14.0 / 12.0


class _ServiceEvidence:
    __slots__ = (
        "base_rates_",
        "evidence",
        "evaluated_at",
        "reported",
        "base_updated_at",
        "base_updates",
        "users",
    )

    def __init__(self) -> None:
        self.evidence: dict[ServerId, ServerEvents] = {}
        self.reported: set[ServerId] = set()
        self.evaluated_at = -math.inf
        self.users: dict[NodeId, float] = {}
        self.base_rates_: dict[str, list[float]] = {}
        self.base_updated_at = -math.inf
        self.base_updates = 0


class EvidencePool:
    """Pools the reports about the servers of some services.

    Parameters
    ----------
    known_servers : KnownServers
        Known servers and nodes.
    threshold : float, default=12.0
        Score from which an unreachable server gets the verdict bad. Errors and
        slow responses need a score higher by one sixth.
    min_reporters : int, default=2
        Number of distinct nodes that must have reported.
    min_ratio : float, default=2.5
        Minimum ratio to the count of the typical peer. In a flood the load of
        servers differs by less than this.
    """

    def __init__(
        self,
        known_servers: KnownServers,
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
        self._known_servers = known_servers
        self._threshold = threshold
        self._min_reporters = min_reporters
        self._min_ratio = min_ratio
        self._services: dict[ServiceName, _ServiceEvidence] = {}
        self._due: list[SendPooled] = []

    @property
    def service_count(self) -> int:
        """Number of services with pooled state."""
        return len(self._services)

    def _find_state(self, service: ServiceName) -> _ServiceEvidence:
        state = self._services.get(service)
        if state is None:
            if len(self._services) >= _MAX_SERVICES:
                del self._services[next(iter(self._services))]
            state = self._services[service] = _ServiceEvidence()
        return state

    def receive(
        self, report: EvidenceReport, reporter: NodeId, now: Seconds
    ) -> None:
        """Pool a report and evaluate the servers that it names."""
        state = self._find_state(report.service)
        state.users.pop(reporter, None)
        state.users[reporter] = now
        if len(state.users) > _MAX_USERS_PER_SERVICE:
            del state.users[next(iter(state.users))]
        known = self._known_servers.find_servers(report.service)
        for item in report.servers:
            server = known.get(item.server)
            if server is None or server.incarnation != item.incarnation:
                continue
            evidence = self._find_evidence(state, server)
            numbers = (item.failed, item.slow, item.unreachable)
            for kind, number in enumerate(numbers):
                if number > 0:
                    evidence.events.append((now, reporter, kind, number))
            state.reported.add(server.id)
        self._evaluate(report.service, state, now)

    def _find_evidence(
        self, state: _ServiceEvidence, server: Server
    ) -> ServerEvents:
        evidence = state.evidence.get(server.id)
        if evidence is None or evidence.incarnation != server.incarnation:
            if len(state.evidence) >= _MAX_SERVERS_PER_SERVICE:
                del state.evidence[next(iter(state.evidence))]
            evidence = state.evidence[server.id] = ServerEvents(
                server.incarnation
            )
        return evidence

    def observe_suspicion(self, server: Server, now: Seconds) -> None:
        """Lower the threshold for a suspected server for 10 s."""
        state = self._services.get(server.service)
        if state is not None:
            evidence = self._find_evidence(state, server)
            evidence.suspected_until = now + EVIDENCE_LIFETIME_S

    def forget(self, server_id: ServerId) -> None:
        """Discard the evidence about a server."""
        for state in self._services.values():
            state.evidence.pop(server_id, None)

    def announce(
        self,
        service: ServiceName,
        pooled: PooledServerEvidence,
        now: Seconds,
    ) -> None:
        """Send a verdict that results from probing to all users."""
        state = self._find_state(service)
        if pooled.verdict is Verdict.RECOVERED:
            state.evidence.pop(pooled.server, None)
        self._send(service, state, [pooled], now)

    def advance(self, now: Seconds) -> list[SendPooled]:
        """Expire evidence and users, and return the messages that are due."""
        for service, state in self._services.items():
            if now - state.base_updated_at >= 1.0:
                state.base_updated_at = now
                self._expire(service, state, now)
            self._evaluate(service, state, now)
        due, self._due = self._due, []
        return due

    def _expire(
        self, service: ServiceName, state: _ServiceEvidence, now: float
    ) -> None:
        for user, at in list(state.users.items()):
            if now - at <= _USER_LIFETIME_S:
                break
            del state.users[user]
        for server_id, evidence in list(state.evidence.items()):
            while (
                evidence.events
                and now - evidence.events[0][0] > EVIDENCE_LIFETIME_S
            ):
                evidence.events.popleft()
            if not evidence.events and evidence.suspected_until < now:
                del state.evidence[server_id]
        self._update_base_rates(service, state, now)

    def _update_base_rates(
        self, service: ServiceName, state: _ServiceEvidence, now: float
    ) -> None:
        state.base_updates += 1
        smoothing = max(_BASE_SMOOTHING, 1.0 / state.base_updates)
        for region, servers in self._find_groups(service).items():
            base_rates = state.base_rates_.setdefault(
                region, list(PRIOR_RATES_PER_S)
            )
            counts = count_evidence(
                state.evidence,
                servers,
                now,
                self._known_servers.region_node_count,
            )
            for kind in range(len(KINDS)):
                column = kind * len(WINDOWS_S) + len(WINDOWS_S) - 1
                values = [row[column][0] for row in counts.values()]
                rate = estimate_typical(values) / EVIDENCE_LIFETIME_S
                base_rates[kind] += smoothing * (rate - base_rates[kind])

    def _find_groups(self, service: ServiceName) -> dict[str, list[ServerId]]:
        groups: dict[str, list[ServerId]] = {}
        for server in self._known_servers.find_servers(service).values():
            groups.setdefault(server.region, []).append(server.id)
        return groups

    def _evaluate(
        self, service: ServiceName, state: _ServiceEvidence, now: Seconds
    ) -> None:
        if not state.reported:
            return
        is_heavy = (
            sum(len(item.events) for item in state.evidence.values())
            > _HEAVY_EVENT_COUNT
        )
        interval = (
            _HEAVY_EVALUATION_INTERVAL_S if is_heavy else _EVALUATION_INTERVAL_S
        )
        if now - state.evaluated_at < interval:
            return
        state.evaluated_at = now
        reported, state.reported = state.reported, set()
        verdicts: list[PooledServerEvidence] = []
        groups = self._find_groups(service)
        for region, servers in groups.items():
            if reported.isdisjoint(servers):
                continue
            # One peer with the same callers is a better reference than servers
            # of another region, which get no requests and look healthy in a
            # flood.
            peers = servers
            if len(servers) < 2:
                peers = [item for group in groups.values() for item in group]
            judged = sorted(reported.intersection(servers))
            verdicts += self._compare(state, judged, peers, region, now)
        if verdicts:
            self._send(service, state, verdicts, now)

    def _compare(
        self,
        state: _ServiceEvidence,
        judged: Sequence[ServerId],
        peers: Sequence[ServerId],
        region: str,
        now: Seconds,
    ) -> list[PooledServerEvidence]:
        base_rates = state.base_rates_.get(region, PRIOR_RATES_PER_S)
        counts = count_evidence(
            state.evidence, peers, now, self._known_servers.region_node_count
        )
        link_lost = self._is_link_lost(counts)
        confirmation_time = (
            _CONFIRMATION_TIME_S
            if region == self._known_servers.region
            else _REMOTE_CONFIRMATION_TIME_S
        )
        verdicts = []
        for server_id in judged:
            evidence = state.evidence.get(server_id)
            if evidence is None or now - evidence.sent_at < _RESEND_INTERVAL_S:
                continue
            others = [row for peer, row in counts.items() if peer != server_id]
            score, reporters, kind = find_strongest_evidence(
                counts[server_id],
                others,
                base_rates,
                self._min_reporters,
                self._min_ratio,
            )
            is_link_fault = link_lost and kind is EvidenceKind.UNREACHABLE
            if is_link_fault or score < self._find_threshold(
                kind, evidence, now
            ):
                evidence.conclusive_since = math.inf
                continue
            evidence.conclusive_since = min(evidence.conclusive_since, now)
            if now - evidence.conclusive_since < confirmation_time:
                state.reported.add(server_id)
            else:
                evidence.sent_at = now
                evidence.conclusive_since = math.inf
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
        """Return whether most servers of other regions are unreachable."""
        column = KINDS.index(EvidenceKind.UNREACHABLE) * len(WINDOWS_S) + 1
        servers = self._known_servers.servers
        remote = [
            row[column][0] > 0
            for server_id, row in counts.items()
            if servers[server_id].region != self._known_servers.region
        ]
        return sum(remote) >= 2 and sum(remote) > len(remote) / 2

    def _find_threshold(
        self, kind: EvidenceKind, evidence: ServerEvents, now: float
    ) -> float:
        needed = self._threshold
        if kind is not EvidenceKind.UNREACHABLE:
            needed *= _FREQUENT_KIND_FACTOR
        return needed * (0.75 if evidence.suspected_until > now else 1.0)

    def _send(
        self,
        service: ServiceName,
        state: _ServiceEvidence,
        verdicts: list[PooledServerEvidence],
        now: float,
    ) -> None:
        users = [
            user
            for user, at in state.users.items()
            if now - at < _USER_LIFETIME_S
        ]
        users += self._known_servers.find_evidence_nodes(service)
        self._due.append(
            SendPooled(
                tuple(dict.fromkeys(users)),
                PooledEvidence(service, tuple(verdicts)),
            )
        )
