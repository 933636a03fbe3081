"""Conversion between messages and the protobuf `Envelope`."""

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from egretlever.core import (
    Address,
    Digest,
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    NodeState,
    RegionName,
    ServerId,
    ServerState,
    ServiceName,
    Version,
)
from egretlever.membership._messages import (
    MAX_DATAGRAM_BYTES,
    CatalogueHead,
    CatalogueUpdate,
    ContentChunk,
    ContentRequest,
    Drop,
    Evidence,
    Message,
    Probe,
    RecordVersion,
    Suspicion,
)
from egretlever.membership._records import (
    BUCKETS,
    NodeHeader,
    RecordDelta,
    ServerEntry,
)
from egretlever.schema import gossip_pb2

_SERVER_STATES = [
    ServerState.COLD,
    ServerState.SERVING,
    ServerState.DRAINING,
    ServerState.STOPPED,
]
_NODE_STATES = [
    NodeState.ALIVE,
    NodeState.SUSPECT,
    NodeState.DEAD,
    NodeState.LEFT,
]


def encode_message(message: Message) -> bytes:
    """Encode a message as an envelope."""
    envelope = gossip_pb2.Envelope(
        sender=message.sender,
        sender_incarnation=message.incarnation,
        deltas=[encode_delta(delta) for delta in message.deltas],
        suspicions=[_encode_suspicion(item) for item in message.suspicions],
        digest=message.digest,
        population=message.population,
        buckets=message.buckets,
        page=message.page,
        fetch=message.fetch,
        served=message.served,
        declined=message.declined,
        versions=[_encode_version(item) for item in message.versions],
        wanted=[_encode_version(item) for item in message.wanted],
        acknowledged=message.acknowledged,
        evidence_received=message.evidence_received,
        requests=[
            gossip_pb2.ContentRequest(name=item.name, offset=item.offset)
            for item in message.requests
        ],
    )
    if message.probe:
        envelope.probe.sequence = message.probe.sequence
        envelope.probe.target = message.probe.target or ""
    if message.head:
        envelope.catalogue_version = message.head.version
    if message.update:
        envelope.update.version = message.update.head.version
        envelope.update.digest = message.update.head.digest
        envelope.update.base = message.update.base
        envelope.update.delta = message.update.delta
    if message.chunk:
        chunk = message.chunk
        envelope.chunk.name = chunk.name
        envelope.chunk.offset = chunk.offset
        envelope.chunk.total = chunk.total
        envelope.chunk.data = chunk.data
    if message.evidence:
        evidence = message.evidence
        envelope.evidence.origin = evidence.origin
        envelope.evidence.incarnation = evidence.incarnation
        envelope.evidence.sequence = evidence.sequence
        envelope.evidence.target = evidence.target
        envelope.evidence.payload = evidence.payload
    encoded: bytes = envelope.SerializeToString()
    return encoded


def decode_message(data: bytes) -> Result[Message, Drop]:
    """Decode a datagram; a failure holds the reason to drop it."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return Failure(Drop.OVERSIZED)
    try:
        envelope = gossip_pb2.Envelope.FromString(data)
        return Success(_decode_envelope(envelope))
    except (DecodeError, ValueError, LookupError):
        return Failure(Drop.MALFORMED)


def _decode_envelope(envelope: gossip_pb2.Envelope) -> Message:
    if not envelope.sender or not envelope.sender_incarnation:
        raise ValueError("the envelope has no sender or no incarnation")
    if len(envelope.digest) not in (0, BUCKETS):
        raise ValueError(f"the digest has {len(envelope.digest)} buckets")
    named = (*envelope.buckets, *envelope.fetch, *envelope.served)
    if any(bucket >= BUCKETS for bucket in (*named, *envelope.declined)):
        raise ValueError("a bucket number is out of range")
    head = None
    if envelope.catalogue_version:
        version = Version(envelope.catalogue_version)
        head = CatalogueHead(version, Digest(""))
    return Message(
        NodeId(envelope.sender),
        Incarnation(envelope.sender_incarnation),
        tuple(decode_delta(item) for item in envelope.deltas),
        tuple(_decode_suspicion(item) for item in envelope.suspicions),
        tuple(envelope.digest),
        envelope.population,
        tuple(envelope.buckets),
        tuple(_decode_version(item) for item in envelope.versions),
        tuple(_decode_version(item) for item in envelope.wanted),
        _decode_probe(envelope),
        envelope.acknowledged,
        head,
        _decode_update(envelope),
        tuple(
            ContentRequest(item.name, item.offset) for item in envelope.requests
        ),
        _decode_chunk(envelope),
        _decode_evidence(envelope),
        envelope.evidence_received,
        envelope.page,
        tuple(envelope.fetch),
        tuple(envelope.served),
        tuple(envelope.declined),
    )


def _decode_probe(envelope: gossip_pb2.Envelope) -> Probe | None:
    if not envelope.HasField("probe"):
        return None
    target = NodeId(envelope.probe.target) if envelope.probe.target else None
    return Probe(envelope.probe.sequence, target)


def _decode_update(envelope: gossip_pb2.Envelope) -> CatalogueUpdate | None:
    if not envelope.HasField("update"):
        return None
    update = envelope.update
    head = CatalogueHead(Version(update.version), Digest(update.digest))
    return CatalogueUpdate(head, Version(update.base), update.delta)


def _decode_chunk(envelope: gossip_pb2.Envelope) -> ContentChunk | None:
    if not envelope.HasField("chunk"):
        return None
    chunk = envelope.chunk
    return ContentChunk(chunk.name, chunk.offset, chunk.total, chunk.data)


def _decode_evidence(envelope: gossip_pb2.Envelope) -> Evidence | None:
    if not envelope.HasField("evidence"):
        return None
    evidence = envelope.evidence
    return Evidence(
        NodeId(evidence.origin),
        Incarnation(evidence.incarnation),
        evidence.sequence,
        NodeId(evidence.target),
        evidence.payload,
    )


def _encode_suspicion(suspicion: Suspicion) -> gossip_pb2.Suspicion:
    return gossip_pb2.Suspicion(
        node=suspicion.node,
        incarnation=suspicion.incarnation,
        version=suspicion.version,
        state=_NODE_STATES.index(suspicion.state),  # type: ignore[arg-type]
        age_s=suspicion.age,
    )


def _decode_suspicion(suspicion: gossip_pb2.Suspicion) -> Suspicion:
    state = _NODE_STATES[suspicion.state]
    if state not in (NodeState.SUSPECT, NodeState.DEAD):
        raise ValueError("a suspicion has neither state SUSPECT nor DEAD")
    if not 0 <= suspicion.age_s < 1e9:
        raise ValueError("suspicion age is out of range")
    return Suspicion(
        NodeId(suspicion.node),
        Incarnation(suspicion.incarnation),
        Version(suspicion.version),
        state,
        suspicion.age_s,
    )


def _encode_version(version: RecordVersion) -> gossip_pb2.RecordVersion:
    return gossip_pb2.RecordVersion(
        node=version.node,
        incarnation=version.incarnation,
        version=version.version,
        dead=version.dead,
    )


def _decode_version(version: gossip_pb2.RecordVersion) -> RecordVersion:
    return RecordVersion(
        NodeId(version.node),
        Incarnation(version.incarnation),
        Version(version.version),
        version.dead,
    )


def encode_delta(delta: RecordDelta) -> gossip_pb2.RecordDelta:
    """Encode a delta."""
    services: dict[str, int] = {}
    ips: dict[str, int] = {}
    entries = [
        gossip_pb2.ServerEntry(
            server=entry.id,
            service=services.setdefault(entry.service, len(services)),
            ip=ips.setdefault(entry.address.ip, len(ips)),
            port=entry.address.port,
            state=_SERVER_STATES.index(entry.state),  # type: ignore[arg-type]
            incarnation=entry.incarnation,
            slots=entry.slots,
            connections=entry.connections,
            changed=entry.changed,
            silent=entry.silent,
            uptime_s=entry.uptime,
        )
        for entry in delta.entries
    ]
    return gossip_pb2.RecordDelta(
        node=delta.node,
        incarnation=delta.incarnation,
        base=delta.base,
        version=delta.version,
        state=_NODE_STATES.index(delta.state),  # type: ignore[arg-type]
        header=_encode_header(delta.header) if delta.header else None,
        services=list(services),
        ips=list(ips),
        entries=entries,
    )


def decode_delta(delta: gossip_pb2.RecordDelta) -> RecordDelta:
    """Decode a delta; raise ValueError when it is inconsistent."""
    state = _NODE_STATES[delta.state]
    if state not in (NodeState.ALIVE, NodeState.LEFT):
        raise ValueError("a record has neither state ALIVE nor LEFT")
    if not delta.node or not delta.base < delta.version:
        raise ValueError("a delta has no node id or does not raise the version")
    return RecordDelta(
        NodeId(delta.node),
        Incarnation(delta.incarnation),
        Version(delta.base),
        Version(delta.version),
        state,
        _decode_header(delta) if delta.HasField("header") else None,
        tuple(_decode_entry(delta, entry) for entry in delta.entries),
    )


def _decode_entry(
    delta: gossip_pb2.RecordDelta, entry: gossip_pb2.ServerEntry
) -> ServerEntry:
    if not entry.server or not delta.base < entry.changed <= delta.version:
        raise ValueError(
            "an entry has no server id or changed outside its delta"
        )
    if entry.port > 65535:
        raise ValueError(f"port {entry.port} is out of range")
    uptime = entry.uptime_s if entry.HasField("uptime_s") else None
    if uptime is not None and not 0 <= uptime < 1e9:
        raise ValueError("server uptime is out of range")
    return ServerEntry(
        ServerId(entry.server),
        ServiceName(delta.services[entry.service]),
        Address(delta.ips[entry.ip], entry.port),
        _SERVER_STATES[entry.state],
        Incarnation(entry.incarnation),
        entry.slots,
        entry.connections,
        Version(entry.changed),
        entry.silent,
        uptime,
    )


def _encode_endpoint(address: Address) -> gossip_pb2.Endpoint:
    return gossip_pb2.Endpoint(ip=address.ip, port=address.port)


def _decode_endpoint(endpoint: gossip_pb2.Endpoint) -> Address:
    if not endpoint.ip or not 0 < endpoint.port <= 65535:
        raise ValueError("an endpoint has no IP or no valid port")
    return Address(endpoint.ip, endpoint.port)


def _encode_header(header: NodeHeader) -> gossip_pb2.NodeHeader:
    return gossip_pb2.NodeHeader(
        traffic=_encode_endpoint(header.traffic),
        gossip=_encode_endpoint(header.gossip),
        admin=_encode_endpoint(header.admin),
        host=header.host,
        failure_domain=header.failure_domain,
        region=header.region,
    )


def _decode_header(delta: gossip_pb2.RecordDelta) -> NodeHeader:
    header = delta.header
    return NodeHeader(
        NodeId(delta.node),
        _decode_endpoint(header.traffic),
        _decode_endpoint(header.gossip),
        _decode_endpoint(header.admin),
        HostName(header.host),
        FailureDomain(header.failure_domain),
        RegionName(header.region),
    )
