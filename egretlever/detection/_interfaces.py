"""Interface of detectors, including the baselines of benchmarks."""

from collections.abc import Iterable, Sequence
from typing import Protocol

from egretlever.core import Attempt, Health, Seconds, Server, ServerId
from egretlever.detection._types import (
    DetectorAction,
    DetectorState,
    EvidenceReport,
    Member,
    PooledEvidence,
    Selection,
    Sender,
)


class Detector(Protocol):
    """Detects gray failures of the servers that one node uses.

    Every method takes ``now``, a reading of the monotonic clock. No method
    performs I/O: ``advance`` returns the messages, probes and log lines that
    are due.
    """

    def update_servers(self, changed: Iterable[Server], now: Seconds) -> None:
        """Apply new and changed server records and remove stopped servers."""

    def update_members(self, members: Iterable[Member], now: Seconds) -> None:
        """Replace the set of live nodes."""

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Record the result of an attempt, or that it is overdue."""

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Record a pause of the event loop that ends now."""

    def observe_probe(
        self, server_id: ServerId, passed: bool, now: Seconds
    ) -> None:
        """Record the result of a requested probe."""

    def observe_suspicion(self, server_id: ServerId, now: Seconds) -> None:
        """Record a suspicion, which lowers the score needed for ejection."""

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Process pooled evidence from an evidence node."""

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Process a report as an evidence node of its service."""

    def advance(self, now: Seconds) -> list[DetectorAction]:
        """Advance the clock and return the actions that are due."""

    def health(self, server_id: ServerId) -> Health:
        """Return the health of a server."""

    def overdue_after(self, server_id: ServerId) -> Seconds:
        """Return the wait after which an attempt is reported as overdue."""

    def select(
        self, servers: Sequence[Server], floor_slots: int, now: Seconds
    ) -> Selection:
        """Decide which servers of one service may receive requests."""

    def describe(self) -> DetectorState:
        """Return a snapshot for operators."""
