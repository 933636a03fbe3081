"""Conversion between evidence and protobuf messages."""

from egretlever.core import (
    Incarnation,
    NodeId,
    Seconds,
    ServerId,
    ServiceName,
)
from egretlever.detection._types import (
    EvidenceKind,
    EvidenceReport,
    PooledEvidence,
    PooledServerEvidence,
    Sender,
    ServerReport,
    Verdict,
)
from egretlever.schema import evidence_pb2

_KINDS = {
    EvidenceKind.FAILED: evidence_pb2.FAILED,
    EvidenceKind.SLOW: evidence_pb2.SLOW,
    EvidenceKind.UNREACHABLE: evidence_pb2.UNREACHABLE,
}
_VERDICTS = {
    Verdict.BAD: evidence_pb2.BAD,
    Verdict.RECOVERED: evidence_pb2.RECOVERED,
}
_KIND_OF = {number: kind for kind, number in _KINDS.items()}
_VERDICT_OF = {number: verdict for verdict, number in _VERDICTS.items()}


def encode_report(
    report: EvidenceReport, sender: Sender
) -> evidence_pb2.EvidenceReport:
    """Encode a report."""
    return evidence_pb2.EvidenceReport(
        sender=sender.node,
        sender_incarnation=sender.incarnation,
        service=report.service,
        servers=[
            evidence_pb2.ServerEvidence(
                server=item.server,
                server_incarnation=item.incarnation,
                good=item.good,
                bad=item.failed + item.slow + item.unreachable,
                window_s=item.window,
                slow=item.slow,
                unreachable=item.unreachable,
            )
            for item in report.servers
        ],
    )


def decode_report(
    message: evidence_pb2.EvidenceReport,
) -> tuple[EvidenceReport, Sender]:
    """Decode a report and its sender.

    If the counts by kind exceed the number of bad outcomes, the number of
    failures is taken as 0.
    """
    servers = tuple(
        ServerReport(
            ServerId(item.server),
            Incarnation(item.server_incarnation),
            item.good,
            max(0, item.bad - item.slow - item.unreachable),
            item.slow,
            item.unreachable,
            Seconds(item.window_s),
        )
        for item in message.servers
    )
    report = EvidenceReport(ServiceName(message.service), servers)
    return report, _decode_sender(message.sender, message.sender_incarnation)


def encode_pooled(
    pooled: PooledEvidence, sender: Sender
) -> evidence_pb2.PooledEvidence:
    """Encode pooled evidence."""
    return evidence_pb2.PooledEvidence(
        sender=sender.node,
        sender_incarnation=sender.incarnation,
        service=pooled.service,
        servers=[
            evidence_pb2.PooledServerEvidence(
                server=item.server,
                server_incarnation=item.incarnation,
                reporters=item.reporters,
                badness=item.badness,
                age_s=item.age,
                kind=_KINDS[item.kind],
                verdict=_VERDICTS[item.verdict],
            )
            for item in pooled.servers
        ],
    )


def decode_pooled(
    message: evidence_pb2.PooledEvidence,
) -> tuple[PooledEvidence, Sender]:
    """Decode pooled evidence and its sender.

    Servers with an unknown kind or verdict, as of a later version, are
    skipped.
    """
    servers = tuple(
        PooledServerEvidence(
            ServerId(item.server),
            Incarnation(item.server_incarnation),
            item.reporters,
            item.badness,
            Seconds(item.age_s),
            _KIND_OF[item.kind],
            _VERDICT_OF[item.verdict],
        )
        for item in message.servers
        if item.kind in _KIND_OF and item.verdict in _VERDICT_OF
    )
    pooled = PooledEvidence(ServiceName(message.service), servers)
    return pooled, _decode_sender(message.sender, message.sender_incarnation)


def _decode_sender(node: str, incarnation: int) -> Sender:
    return Sender(NodeId(node), Incarnation(incarnation))
