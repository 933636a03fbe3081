"""Reports of bad outcomes that a node sends to evidence nodes."""

from egretlever.core import Seconds, ServiceName
from egretlever.detection._known_servers import KnownServers
from egretlever.detection._pairs import Pair
from egretlever.detection._types import EvidenceReport, SendReport

_REPORT_INTERVAL_S = 0.2
_REPORTS_PER_S = 20.0
_REPORT_BURST = 40.0
_REGISTRATION_INTERVAL_S = 30.0
_MAX_SERVERS_PER_REPORT = 64
_SERVICE_IDLE_TIMEOUT_S = 60.0


class Reporter:
    """Collects bad outcomes and sends rate-limited reports about them.

    Reports are limited to one per service in 0.2 s and to 20 per second in
    total. This node registers with the evidence nodes of a service in use
    every 30 s, so that they send it pooled evidence.

    Parameters
    ----------
    known_servers : KnownServers
        Known servers and nodes.
    """

    def __init__(self, known_servers: KnownServers) -> None:
        self._known_servers = known_servers
        self._tokens = _REPORT_BURST
        self._refilled_at = 0.0
        self._unreported: dict[ServiceName, dict[str, Pair]] = {}
        self._sent_at: dict[ServiceName, float] = {}
        self._used_at: dict[ServiceName, float] = {}

    def register_use(self, service: ServiceName, now: float) -> None:
        """Record that a service is in use."""
        self._used_at[service] = now

    def add(self, service: ServiceName, pair: Pair) -> None:
        """Record that a server has bad outcomes to report."""
        pairs = self._unreported.setdefault(service, {})
        if len(pairs) < _MAX_SERVERS_PER_REPORT:
            pairs[pair.server_id] = pair

    def clear(self) -> None:
        """Discard outcomes that are not yet reported."""
        for pairs in self._unreported.values():
            for pair in pairs.values():
                pair.since_report = [0, 0, 0, 0]
        self._unreported.clear()

    def advance(self, now: Seconds) -> list[SendReport]:
        """Return the reports that are due, those with bad outcomes first."""
        self._tokens = min(
            _REPORT_BURST,
            self._tokens + _REPORTS_PER_S * max(0.0, now - self._refilled_at),
        )
        self._refilled_at = now
        due: list[SendReport] = []
        for service in list(self._unreported):
            if (
                now - self._sent_at.get(service, -_REPORT_INTERVAL_S)
                >= _REPORT_INTERVAL_S
            ):
                if self._tokens < 1:
                    return due
                due.append(
                    self._make_report(
                        service, self._unreported.pop(service), now
                    )
                )
        for service, at in list(self._used_at.items()):
            if now - at > _SERVICE_IDLE_TIMEOUT_S:
                del self._used_at[service]
                self._sent_at.pop(service, None)
            elif (
                now - self._sent_at.get(service, -_REGISTRATION_INTERVAL_S)
                >= _REGISTRATION_INTERVAL_S
            ):
                if self._tokens < 1:
                    return due
                due.append(self._make_report(service, {}, now))
        return due

    def _make_report(
        self, service: ServiceName, pairs: dict[str, Pair], now: Seconds
    ) -> SendReport:
        self._tokens -= 1
        self._sent_at[service] = now
        servers = tuple(pair.take_report(now) for pair in pairs.values())
        return SendReport(
            self._known_servers.find_evidence_nodes(service),
            EvidenceReport(service, servers),
        )
