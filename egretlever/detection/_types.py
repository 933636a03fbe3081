"""Evidence, actions and decisions of the detector."""

import dataclasses
import enum
from collections.abc import Mapping

from egretlever.core import (
    Health,
    Incarnation,
    NodeId,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
)


class EvidenceKind(enum.Enum):
    """Kind of bad outcome."""

    FAILED = "failed"
    SLOW = "slow"
    UNREACHABLE = "unreachable"


class Verdict(enum.Enum):
    """Conclusion of an evidence node about a server."""

    BAD = "bad"
    RECOVERED = "recovered"


class Cause(enum.Enum):
    """Cause that a bad outcome is attributed to.

    ``PAIR`` means that only this node has evidence: the server or the path
    from this node to it is at fault.
    """

    OWN_PAUSE = "own-pause"
    OWN_OVERLOAD = "own-overload"
    CONNECTION = "connection"
    REGION_LINK = "region-link"
    PAIR = "pair"
    SERVER = "server"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live node.

    Parameters
    ----------
    id : NodeId
        Name of the node.
    region : RegionName
        Region of its host.
    incarnation : Incarnation
        Grows with each start of the node.
    """

    id: NodeId
    region: RegionName
    incarnation: Incarnation = Incarnation(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Node that sent a message, as its envelope states.

    Parameters
    ----------
    node : NodeId
        Name of the node.
    incarnation : Incarnation
        Incarnation of the node.
    """

    node: NodeId
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """Outcomes of one node on one server since its last report.

    Parameters
    ----------
    server : ServerId
        Server that received the attempts.
    incarnation : Incarnation
        Incarnation of the server that received them.
    good, failed, slow, unreachable : int
        Numbers of outcomes.
    window : Seconds
        Period that the report covers.
    """

    server: ServerId
    incarnation: Incarnation
    good: int
    failed: int
    slow: int
    unreachable: int
    window: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReport:
    """Report of one node to an evidence node of a service.

    Parameters
    ----------
    service : ServiceName
        Service of the servers.
    servers : tuple of ServerReport
        Empty when the report only registers the sender as a user of the
        service.
    """

    service: ServiceName
    servers: tuple[ServerReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PooledServerEvidence:
    """Conclusion of an evidence node about one server.

    Parameters
    ----------
    server : ServerId
        Server that the conclusion is about.
    incarnation : Incarnation
        Incarnation of the server.
    reporters : int
        Number of distinct nodes whose evidence was pooled.
    badness : float
        Negative natural logarithm of a bound on the probability of the
        evidence if the server were healthy.
    age : Seconds
        Age of the evidence when the message was sent.
    kind : EvidenceKind
        Strongest kind of evidence.
    verdict : Verdict
        Whether the server is bad or has recovered.
    """

    server: ServerId
    incarnation: Incarnation
    reporters: int
    badness: float
    age: Seconds = Seconds(0.0)
    kind: EvidenceKind = EvidenceKind.FAILED
    verdict: Verdict = Verdict.BAD


@dataclasses.dataclass(frozen=True, slots=True)
class PooledEvidence:
    """Message of an evidence node to the nodes that use a service.

    Parameters
    ----------
    service : ServiceName
        Service of the servers.
    servers : tuple of PooledServerEvidence
        Servers with a verdict.
    """

    service: ServiceName
    servers: tuple[PooledServerEvidence, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Action: send a report to evidence nodes."""

    to: tuple[NodeId, ...]
    report: EvidenceReport


@dataclasses.dataclass(frozen=True, slots=True)
class SendPooled:
    """Action: send pooled evidence to users of the service."""

    to: tuple[NodeId, ...]
    pooled: PooledEvidence


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeServer:
    """Action: probe a server on a fresh connection within a timeout.

    The result is passed to ``observe_probe``.
    """

    server: ServerId
    timeout: Seconds


class EjectionChange(enum.Enum):
    """Logged change of the ejection state of a server."""

    EJECTED = "ejected"
    HELD_BY_FLOOR = "ejection refused by the floor"
    PROBING = "probing"
    RAMPING = "readmitted with a ramp"
    READMITTED_BY_FLOOR = "readmitted by the floor"
    HEALTHY = "healthy"
    LINK_BLAMED = "region link blamed"


@dataclasses.dataclass(frozen=True, slots=True)
class LogChange:
    """Action: write a log line.

    Parameters
    ----------
    server : ServerId
        Server whose ejection state changed.
    change : EjectionChange
        What changed.
    evidence : str
        Evidence that led to the change.
    """

    server: ServerId
    change: EjectionChange
    evidence: str

    def __str__(self) -> str:
        return f"server {self.server} {self.change.value}: {self.evidence}"


DetectorAction = SendReport | SendPooled | ProbeServer | LogChange


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Servers of a service that may and may not receive requests.

    Parameters
    ----------
    eligible : mapping of ServerId to float
        Weight in [0, 1] of each server that may receive requests.
    ejected : tuple of ServerId
        Servers removed from routing.
    held_by_floor : tuple of ServerId
        Bad servers that the capacity floor keeps in service; they are also
        eligible.
    """

    eligible: Mapping[ServerId, float]
    ejected: tuple[ServerId, ...] = ()
    held_by_floor: tuple[ServerId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEjection:
    """Snapshot of the ejection state of one server."""

    server: ServerId
    health: Health
    cause: Cause
    evidence: str
    ejection_count: int
    ejected_until: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorState:
    """Snapshot of a detector for operators."""

    ejections: tuple[ServerEjection, ...]
    blamed_regions: tuple[RegionName, ...]
    pair_count: int
    pooled_service_count: int
    dropped: Mapping[str, int]
