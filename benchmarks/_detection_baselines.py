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
    Action,
    DetectorState,
    EvidenceReport,
    Member,
    PooledEvidence,
    Selection,
    Sender,
)

_FIXED_TIMEOUT = Seconds(2.0)
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
    """Baseline (a): round robin with a fixed timeout detects nothing."""

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

    def observe_hint(self, server_id: ServerId, now: Seconds) -> None:
        """Ignore a suspicion."""

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Ignore pooled evidence."""

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Ignore a report."""

    def advance(self, now: Seconds) -> list[Action]:
        """Return no action."""
        return []

    def health(self, server_id: ServerId) -> Health:
        """Return that the server is healthy."""
        return Health.HEALTHY

    def overdue_after(self, server_id: ServerId) -> Seconds:
        """Return the fixed timeout."""
        return _FIXED_TIMEOUT

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
    stay : float, default=30.0
        Duration of an ejection in seconds.
    """

    def __init__(self, errors: int = 5, stay: float = 30.0) -> None:
        self._errors = errors
        self._stay = stay
        self._run: dict[ServerId, int] = {}
        self._until: dict[ServerId, float] = {}

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Count errors in a row."""
        if attempt.result is AttemptResult.OK:
            self._run[attempt.server] = 0
        elif attempt.result in _BAD:
            run = self._run.get(attempt.server, 0) + 1
            self._run[attempt.server] = run
            if run >= self._errors:
                self._until[attempt.server] = now + self._stay
                self._run[attempt.server] = 0

    def select(
        self, servers: Sequence[Server], floor_slots: int, now: Seconds
    ) -> Selection:
        """Leave out ejected servers while the floor allows it."""
        eligible = {}
        ejected = []
        left = sum(server.slots for server in servers)
        for server in servers:
            out = self._until.get(server.id, 0.0) > now
            if out and left - server.slots >= floor_slots:
                left -= server.slots
                ejected.append(server.id)
            else:
                eligible[server.id] = 1.0
        return Selection(eligible, tuple(ejected))
