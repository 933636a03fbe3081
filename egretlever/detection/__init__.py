"""Gray failure detection and ejection within the capacity floor."""

from egretlever.detection._detector import GrayDetector, make_detector
from egretlever.detection._hashing import choose_evidence_nodes
from egretlever.detection._interfaces import Detector
from egretlever.detection._known_servers import KnownServers
from egretlever.detection._messages import (
    decode_pooled,
    decode_report,
    encode_pooled,
    encode_report,
)
from egretlever.detection._pool import EvidencePool
from egretlever.detection._traces import (
    Replay,
    read_trace,
    replay_trace,
    write_trace,
)
from egretlever.detection._types import (
    Cause,
    DetectorAction,
    DetectorState,
    EjectionChange,
    EvidenceKind,
    EvidenceReport,
    LogChange,
    Member,
    PooledEvidence,
    PooledServerEvidence,
    ProbeServer,
    Selection,
    Sender,
    SendPooled,
    SendReport,
    ServerEjection,
    ServerReport,
    Verdict,
)

__all__ = [
    "Cause",
    "Detector",
    "DetectorAction",
    "DetectorState",
    "EjectionChange",
    "EvidenceKind",
    "EvidencePool",
    "EvidenceReport",
    "GrayDetector",
    "KnownServers",
    "LogChange",
    "Member",
    "PooledEvidence",
    "PooledServerEvidence",
    "ProbeServer",
    "Replay",
    "Selection",
    "SendPooled",
    "SendReport",
    "Sender",
    "ServerEjection",
    "ServerReport",
    "Verdict",
    "choose_evidence_nodes",
    "decode_pooled",
    "decode_report",
    "encode_pooled",
    "encode_report",
    "make_detector",
    "read_trace",
    "replay_trace",
    "write_trace",
]
