"""Reporting side of pooled evidence: what a node sends to evidence nodes."""

from egretlever.core import Seconds, ServiceName
from egretlever.detection._directory import Directory
from egretlever.detection._pairs import Pair
from egretlever.detection._types import EvidenceReport, SendReport

_INTERVAL = 0.2
_RATE = 20.0
_BURST = 40.0
_RENEWAL = 30.0
_SERVERS_PER_REPORT = 64
_UNUSED = 60.0


class Reporter:
    """Collects bad outcomes and paces the reports about them.

    Reports are limited to one per service in 0.2 s and to 20 per second in
    total. A service in use is registered with its evidence nodes each 30 s,
    so that they know whom to send pooled evidence to.

    Parameters
    ----------
    directory : Directory
        Known servers and nodes.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._tokens = _BURST
        self._at = 0.0
        self._dirty: dict[ServiceName, dict[str, Pair]] = {}
        self._sent: dict[ServiceName, float] = {}
        self._used: dict[ServiceName, float] = {}

    def use(self, service: ServiceName, now: float) -> None:
        """Note that a service is in use."""
        self._used[service] = now

    def add(self, service: ServiceName, pair: Pair) -> None:
        """Note that a pair has a bad outcome to report."""
        pairs = self._dirty.setdefault(service, {})
        if len(pairs) < _SERVERS_PER_REPORT:
            pairs[pair.server_id] = pair

    def clear(self) -> None:
        """Drop what was not yet reported."""
        for pairs in self._dirty.values():
            for pair in pairs.values():
                pair.since_report = [0, 0, 0, 0]
        self._dirty.clear()

    def advance(self, now: Seconds) -> list[SendReport]:
        """Return the reports that are due, bad outcomes before renewals."""
        self._tokens = min(
            _BURST, self._tokens + _RATE * max(0.0, now - self._at)
        )
        self._at = now
        due: list[SendReport] = []
        for service in list(self._dirty):
            if now - self._sent.get(service, -_INTERVAL) >= _INTERVAL:
                if self._tokens < 1:
                    return due
                due.append(self._make(service, self._dirty.pop(service), now))
        for service, at in list(self._used.items()):
            if now - at > _UNUSED:
                del self._used[service]
                self._sent.pop(service, None)
            elif now - self._sent.get(service, -_RENEWAL) >= _RENEWAL:
                if self._tokens < 1:
                    return due
                due.append(self._make(service, {}, now))
        return due

    def _make(
        self, service: ServiceName, pairs: dict[str, Pair], now: Seconds
    ) -> SendReport:
        self._tokens -= 1
        self._sent[service] = now
        servers = tuple(pair.take_report(now) for pair in pairs.values())
        return SendReport(
            self._directory.find_evidence_nodes(service),
            EvidenceReport(service, servers),
        )
