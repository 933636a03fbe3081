"""Baselines of the detection benchmark."""

from collections.abc import Iterable, Sequence

from egretlever.core import (
    Attempt,
    AttemptResult,
    Health,
    Seconds,
    Server,
    ServerId,
    ServerState,
)
from egretlever.detection import (
    DetectorAction,
    DetectorState,
    EvidenceReport,
    Member,
    PooledEvidence,
    Selection,
    Sender,
)

_FIXED_TIMEOUT_S = Seconds(2.0)
_BAD = frozenset(
    {
        AttemptResult.ERROR,
        AttemptResult.REFUSED,
        AttemptResult.CONNECT_TIMEOUT,
        AttemptResult.TIMEOUT,
        AttemptResult.CUT,
    }
)


class NoDetector:
    """Baseline (a): round robin with a fixed timeout and no detection."""

    def update_servers(self, changed: Iterable[Server], now: Seconds) -> None:
        """Ignore server records."""

    def update_members(self, members: Iterable[Member], now: Seconds) -> None:
        """Ignore the nodes."""

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Ignore an attempt."""

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Ignore a pause."""

    def observe_probe(
        self, server_id: ServerId, passed: bool, now: Seconds
    ) -> None:
        """Ignore a probe."""

    def observe_suspicion(self, server_id: ServerId, now: Seconds) -> None:
        """Ignore a suspicion."""

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Ignore pooled evidence."""

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Ignore a report."""

    def advance(self, now: Seconds) -> list[DetectorAction]:
        """Return no action."""
        return []

    def health(self, server_id: ServerId) -> Health:
        """Return that the server is healthy."""
        return Health.HEALTHY

    def overdue_after(self, server_id: ServerId) -> Seconds:
        """Return the fixed timeout."""
        return _FIXED_TIMEOUT_S

    def select(
        self, servers: Sequence[Server], floor_slots: int, now: Seconds
    ) -> Selection:
        """Return all serving servers with full weight."""
        return Selection(
            {s.id: 1.0 for s in servers if s.state is ServerState.SERVING}
        )

    def describe(self) -> DetectorState:
        """Return an empty snapshot."""
        return DetectorState((), (), 0, 0, {})


class ConsecutiveErrorDetector(NoDetector):
    """Baseline (b): ejects after consecutive errors of one node.

    Parameters
    ----------
    errors : int, default=5
        Errors in a row that eject a server.
    ejection_time : float, default=30.0
        Duration of an ejection in seconds.
    """

    def __init__(self, errors: int = 5, ejection_time: float = 30.0) -> None:
        self._errors = errors
        self._ejection_time = ejection_time
        self._consecutive_errors: dict[ServerId, int] = {}
        self._ejected_until: dict[ServerId, float] = {}

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Count errors in a row."""
        if attempt.result is AttemptResult.OK:
            self._consecutive_errors[attempt.server] = 0
        elif attempt.result in _BAD:
            errors = self._consecutive_errors.get(attempt.server, 0) + 1
            self._consecutive_errors[attempt.server] = errors
            if errors >= self._errors:
                self._ejected_until[attempt.server] = now + self._ejection_time
                self._consecutive_errors[attempt.server] = 0

    def select(
        self, servers: Sequence[Server], floor_slots: int, now: Seconds
    ) -> Selection:
        """Exclude ejected servers as far as the floor allows."""
        eligible = {}
        ejected = []
        remaining_slots = sum(server.slots for server in servers)
        for server in servers:
            ejected_now = self._ejected_until.get(server.id, 0.0) > now
            if ejected_now and remaining_slots - server.slots >= floor_slots:
                remaining_slots -= server.slots
                ejected.append(server.id)
            else:
                eligible[server.id] = 1.0
        return Selection(eligible, tuple(ejected))
