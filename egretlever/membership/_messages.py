"""Messages that nodes exchange, before encoding."""

import dataclasses
import enum
from typing import TypedDict

from egretlever.core import (
    Address,
    Digest,
    Incarnation,
    NodeId,
    NodeState,
    Version,
)
from egretlever.membership._records import RecordDelta

MAX_DATAGRAM_BYTES = 1200
UDP_HEADER_BYTES = 28
MESSAGE_FRAME_BYTES = 64


class Priority(enum.IntEnum):
    """Priority of a message for the byte budget; lower values go first."""

    URGENT = 0
    PROBE = 1
    ORDINARY = 2


class Drop(enum.Enum):
    """Why a message or a part of it was dropped."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_SENDER = "unknown-sender"
    OWN_NAME = "own-name"
    OLD_INCARNATION = "old-incarnation"
    STALE_RECORD = "stale-record"
    STALE_ACKNOWLEDGEMENT = "stale-acknowledgement"
    STALE_CATALOGUE = "stale-catalogue"
    REPLAYED_EVIDENCE = "replayed-evidence"
    UNDELIVERABLE_EVIDENCE = "undeliverable-evidence"
    CATALOGUE_REFUSED = "catalogue-refused"
    REQUEST = "request"
    CHUNK = "chunk"


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Report that a node is suspected or dead, as in SWIM.

    Parameters
    ----------
    node, incarnation, version
        Version of the node's record that is suspected; a newer version
        refutes the suspicion.
    state : NodeState
        SUSPECT or DEAD.
    age : float
        Time since the state was reached, in seconds.
    """

    node: NodeId
    incarnation: Incarnation
    version: Version
    state: NodeState
    age: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RecordVersion:
    """Version of a record that is held, or that a request starts after."""

    node: NodeId
    incarnation: Incarnation
    version: Version
    dead: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Request for an acknowledgement by ``target``, or by the receiver."""

    sequence: int
    target: NodeId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueHead:
    """Version of the catalogue and digest of its content."""

    version: Version
    digest: Digest


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueUpdate:
    """Catalogue head with the change from a base version to it.

    Parameters
    ----------
    head : CatalogueHead
        The new head.
    base : Version
        Version that the change applies to.
    delta : bytes
        The change; empty when receivers have to fetch it.
    """

    head: CatalogueHead
    base: Version
    delta: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ContentRequest:
    """Request for the chunk of a named content at an offset."""

    name: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ContentChunk:
    """Chunk of a named content."""

    name: str
    offset: int
    total: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Opaque evidence from one node to another, relayed if necessary."""

    origin: NodeId
    incarnation: Incarnation
    sequence: int
    target: NodeId
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Content of one datagram between nodes; most fields are optional.

    ``population`` is the number of records that the sender holds. ``digest``
    has a hash per bucket, and ``versions`` lists all records of ``buckets``,
    or single records. ``wanted`` requests the changes after the versions in it.
    ``fetch`` requests whole buckets, which are answered by pages and then
    ``served``, or by ``declined``.
    """

    sender: NodeId
    incarnation: Incarnation
    deltas: tuple[RecordDelta, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    digest: tuple[int, ...] = ()
    population: int = 0
    buckets: tuple[int, ...] = ()
    versions: tuple[RecordVersion, ...] = ()
    wanted: tuple[RecordVersion, ...] = ()
    probe: Probe | None = None
    acknowledged: int = 0
    head: CatalogueHead | None = None
    update: CatalogueUpdate | None = None
    requests: tuple[ContentRequest, ...] = ()
    chunk: ContentChunk | None = None
    evidence: Evidence | None = None
    evidence_received: int = 0
    page: bytes = b""
    fetch: tuple[int, ...] = ()
    served: tuple[int, ...] = ()
    declined: tuple[int, ...] = ()


class MessageFields(TypedDict, total=False):
    """Fields of `Message` other than sender and incarnation."""

    deltas: tuple[RecordDelta, ...]
    suspicions: tuple[Suspicion, ...]
    digest: tuple[int, ...]
    population: int
    buckets: tuple[int, ...]
    versions: tuple[RecordVersion, ...]
    wanted: tuple[RecordVersion, ...]
    probe: Probe | None
    acknowledged: int
    head: CatalogueHead | None
    update: CatalogueUpdate | None
    requests: tuple[ContentRequest, ...]
    chunk: ContentChunk | None
    evidence: Evidence | None
    evidence_received: int
    page: bytes
    fetch: tuple[int, ...]
    served: tuple[int, ...]
    declined: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Message to be sent to an address.

    Parameters
    ----------
    address : Address
        Gossip address of the receiver.
    message : Message
        Message to send.
    size : int
        Upper bound of the datagram's size with its UDP header, in bytes.
    """

    address: Address
    message: Message
    size: int


def measure_message(message: Message) -> int:
    """Return an upper bound of the encoded size of a message in bytes."""
    size = MESSAGE_FRAME_BYTES + len(message.sender)
    size += sum(delta.size + 4 for delta in message.deltas)
    size += sum(32 + len(suspicion.node) for suspicion in message.suspicions)
    size += 4 * len(message.digest) + len(message.buckets)
    size += sum(measure_version(item) for item in message.versions)
    size += sum(measure_version(item) for item in message.wanted)
    if message.page:
        size += 4 + len(message.page)
    for buckets in (message.fetch, message.served, message.declined):
        size += 4 + len(buckets) if buckets else 0
    if message.update:
        size += 40 + len(message.update.delta)
        size += len(message.update.head.digest)
    if message.head:
        size += 20 + len(message.head.digest)
    size += sum(16 + len(request.name) for request in message.requests)
    if message.chunk:
        size += 32 + len(message.chunk.name) + len(message.chunk.data)
    if message.evidence:
        evidence = message.evidence
        size += 48 + len(evidence.payload) + len(evidence.origin)
        size += len(evidence.target)
    if message.probe and message.probe.target:
        size += len(message.probe.target)
    return size


def measure_version(item: RecordVersion) -> int:
    """Return an upper bound of the encoded size of a record version."""
    return 20 + len(item.node)
