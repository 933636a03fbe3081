"""Interfaces that detectors implement, baselines included."""

from collections.abc import Iterable, Sequence
from typing import Protocol

from egretlever.core import Attempt, Health, Seconds, Server, ServerId
from egretlever.detection._types import (
    Action,
    DetectorState,
    EvidenceReport,
    Member,
    PooledEvidence,
    Selection,
    Sender,
)


class Detector(Protocol):
    """Judges the servers that one node uses.

    Every method takes ``now``, a reading of the monotonic clock. No method
    performs I/O; what has to be sent, probed or logged is returned by
    ``advance``.
    """

    def update_servers(self, changed: Iterable[Server], now: Seconds) -> None:
        """Take in new and changed server records; stopped ones are dropped."""

    def update_members(self, members: Iterable[Member], now: Seconds) -> None:
        """Replace the live nodes."""

    def observe(self, attempt: Attempt, now: Seconds) -> None:
        """Take in the result of an attempt, or that it is overdue."""

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Take in that the loop stood still for a time that ends now."""

    def observe_probe(
        self, server_id: ServerId, passed: bool, now: Seconds
    ) -> None:
        """Take in the result of a probe that was asked for."""

    def observe_hint(self, server_id: ServerId, now: Seconds) -> None:
        """Take in a suspicion, which lowers the evidence needed."""

    def receive(
        self, pooled: PooledEvidence, sender: Sender, now: Seconds
    ) -> None:
        """Take in pooled evidence from an evidence node."""

    def receive_report(
        self, report: EvidenceReport, sender: Sender, now: Seconds
    ) -> None:
        """Take in a report, as an evidence node of its service."""

    def advance(self, now: Seconds) -> list[Action]:
        """Move time forward and return the actions that are due."""

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
