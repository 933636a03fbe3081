"""State of a bad server from ejection to readmission."""

import dataclasses
import enum

from egretlever.core import Health, Incarnation, ServerId, ServiceName
from egretlever.detection._types import Cause, EvidenceKind

BASE_EJECTION_TIME_S = 2.0
MAX_EJECTION_TIME_S = 60.0
RAMP_DURATION_S = 6.0
# Ejections are forgotten after this time on probation. It is longer than the
# period of a flapping server whose ejection time has reached its maximum.
EJECTION_HISTORY_S = 120.0
PROBES_NEEDED = 2
PROBE_INTERVAL_S = 0.5
# Wait after the ejection time for a verdict of the evidence nodes, which probe
# the server. Without one the server is readmitted, and the requests of the ramp
# take the place of probes.
RECOVERY_VERDICT_TIMEOUT_S = 10.0


class Stage(enum.Enum):
    """Stage of a bad server.

    ``EJECTION_PENDING`` also covers servers that the floor keeps in service.
    On ``PROBATION`` a server is healthy again, but its ejections still count.
    """

    EJECTION_PENDING = "condemned"
    EJECTED = "out"
    RAMPING = "ramping"
    PROBATION = "watched"


@dataclasses.dataclass(slots=True)
class EjectionState:
    """Ejection state of one server that was found bad.

    Parameters
    ----------
    server : ServerId
        Server that was found bad.
    service : ServiceName
        Service of the server.
    incarnation : Incarnation
        Incarnation that the state belongs to.
    """

    server: ServerId
    service: ServiceName
    incarnation: Incarnation
    stage: Stage = Stage.EJECTION_PENDING
    cause: Cause = Cause.SERVER
    kind: EvidenceKind = EvidenceKind.FAILED
    badness: float = 0.0
    reporters: int = 0
    ejection_count: int = 0
    ejected_until: float = 0.0
    stage_since: float = 0.0
    passed_probes: int = 0
    next_probe: float = 0.0
    is_held: bool = False
    probing: bool = False

    def mark_bad(
        self,
        cause: Cause,
        kind: EvidenceKind,
        badness: float,
        reporters: int,
        now: float,
    ) -> bool:
        """Record conclusive evidence; true if it starts a new ejection."""
        is_new = (
            self.stage in (Stage.RAMPING, Stage.PROBATION)
            or not self.ejection_count
        )
        self.cause = cause
        self.kind = kind
        self.badness = badness if is_new else max(badness, self.badness)
        self.reporters = reporters
        if is_new:
            self.ejection_count += 1
            self.stage = Stage.EJECTION_PENDING
            self.stage_since = now
            self.ejected_until = now + self.ejection_time
            self.next_probe = self.ejected_until
            self.passed_probes = 0
            self.is_held = False
        return is_new

    @property
    def ejection_time(self) -> float:
        """Minimum duration of the ejection, doubled with each ejection."""
        return min(
            BASE_EJECTION_TIME_S * 2.0 ** min(self.ejection_count - 1, 10),
            MAX_EJECTION_TIME_S,
        )

    def start_ramp(self, now: float) -> None:
        """Readmit the server with a small weight that grows."""
        self.stage = Stage.RAMPING
        self.stage_since = now
        self.is_held = False
        self.probing = False

    def weigh(self, now: float) -> float:
        """Return the routing weight of a ramping server."""
        return min(
            1.0,
            0.05 + 0.95 * max(0.0, now - self.stage_since) / RAMP_DURATION_S,
        )

    @property
    def is_bad(self) -> bool:
        """Whether the server is ejected as far as the floor allows."""
        return self.stage in (Stage.EJECTION_PENDING, Stage.EJECTED)

    def health(self, now: float) -> Health:
        """Return the health that is shown to operators."""
        if self.stage is Stage.PROBATION:
            return Health.HEALTHY
        if self.stage is Stage.RAMPING:
            return Health.RAMPING
        if self.stage is Stage.EJECTION_PENDING:
            return Health.SUSPECT
        return Health.PROBING if self.probing else Health.EJECTED

    def evidence(self) -> str:
        """Return a description of the evidence for log lines."""
        source = (
            f"{self.reporters} reporters"
            if self.cause is Cause.SERVER
            else "own outcomes"
        )
        return (
            f"{self.cause.value} fault, {self.kind.value}, "
            f"score {self.badness:.1f} from {source}, "
            f"ejection {self.ejection_count}, "
            f"ejection time {self.ejection_time:g} s"
        )
