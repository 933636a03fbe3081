"""Course of a bad server from ejection to readmission."""

import dataclasses
import enum

from egretlever.core import Health, Incarnation, ServerId, ServiceName
from egretlever.detection._types import Cause, EvidenceKind

FIRST_STAY = 2.0
LONGEST_STAY = 60.0
RAMP = 6.0
# A strike is forgotten after this time in good health. It is longer than the
# period of a flapping server whose stay has reached its limit.
FORGIVE = 120.0
PROBES_NEEDED = 2
PROBE_INTERVAL = 0.5
# Wait after the end of a stay for the evidence nodes, which probe. When none
# of them says anything, the ramp itself is the probe.
SILENT_GRACE = 10.0


class Stage(enum.Enum):
    """Stage of a bad server."""

    CONDEMNED = "condemned"
    OUT = "out"
    RAMPING = "ramping"
    WATCHED = "watched"


@dataclasses.dataclass(slots=True)
class Standing:
    """State of one server that was found bad.

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
    stage: Stage = Stage.CONDEMNED
    cause: Cause = Cause.SERVER
    kind: EvidenceKind = EvidenceKind.FAILED
    badness: float = 0.0
    reporters: int = 0
    strikes: int = 0
    until: float = 0.0
    since: float = 0.0
    passed: int = 0
    next_probe: float = 0.0
    held: bool = False
    probing: bool = False

    def mark_bad(
        self,
        cause: Cause,
        kind: EvidenceKind,
        badness: float,
        reporters: int,
        now: float,
    ) -> bool:
        """Take in conclusive evidence; true when it starts a new stay."""
        fresh = self.stage in (Stage.RAMPING, Stage.WATCHED) or not self.strikes
        self.cause = cause
        self.kind = kind
        self.badness = badness if fresh else max(badness, self.badness)
        self.reporters = reporters
        if fresh:
            self.strikes += 1
            self.stage = Stage.CONDEMNED
            self.since = now
            self.until = now + self.stay
            self.next_probe = self.until
            self.passed = 0
            self.held = False
        return fresh

    @property
    def stay(self) -> float:
        """Duration of the current stay, doubled with each strike."""
        return min(FIRST_STAY * 2.0 ** min(self.strikes - 1, 10), LONGEST_STAY)

    def start_ramp(self, now: float) -> None:
        """Readmit the server with a small and growing weight."""
        self.stage = Stage.RAMPING
        self.since = now
        self.held = False
        self.probing = False

    def weigh(self, now: float) -> float:
        """Return the weight of a ramping server."""
        return min(1.0, 0.05 + 0.95 * max(0.0, now - self.since) / RAMP)

    @property
    def is_bad(self) -> bool:
        """Whether the server is to be kept out where the floor allows it."""
        return self.stage in (Stage.CONDEMNED, Stage.OUT)

    def health(self, now: float) -> Health:
        """Return the health as operators see it."""
        if self.stage is Stage.WATCHED:
            return Health.HEALTHY
        if self.stage is Stage.RAMPING:
            return Health.RAMPING
        if self.stage is Stage.CONDEMNED:
            return Health.SUSPECT
        return Health.PROBING if self.probing else Health.EJECTED

    def evidence(self) -> str:
        """Describe the evidence in a log line."""
        who = (
            f"{self.reporters} reporters"
            if self.cause is Cause.SERVER
            else "own outcomes"
        )
        return (
            f"{self.cause.value} fault, {self.kind.value}, "
            f"score {self.badness:.1f} from {who}, strike {self.strikes}, "
            f"stay {self.stay:g} s"
        )
