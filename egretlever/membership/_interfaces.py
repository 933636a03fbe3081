"""Interfaces of the parts that membership serves or asks."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

from returns.result import Result

from egretlever.core import (
    NodeId,
    Seconds,
    ServerId,
    ServiceName,
)
from egretlever.membership._messages import (
    CatalogueHead,
    CatalogueUpdate,
    Drop,
)
from egretlever.membership._records import RecordDelta


class ChangeKind(enum.Enum):
    """What changed in the view of the members."""

    NODE_JOINED = "node-joined"
    NODE_SUSPECTED = "node-suspected"
    NODE_CLEARED = "node-cleared"
    NODE_DEAD = "node-dead"
    NODE_LEFT = "node-left"
    NODE_DROPPED = "node-dropped"
    NODE_DUPLICATE = "node-duplicate"
    SERVERS_CHANGED = "servers-changed"
    CATALOGUE_HEAD = "catalogue-head"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change notification.

    Parameters
    ----------
    kind : ChangeKind
        What changed.
    node : NodeId
        Node concerned.
    servers : tuple of ServerId
        Servers whose entries changed.
    """

    kind: ChangeKind
    node: NodeId
    servers: tuple[ServerId, ...] = ()


class Listener(Protocol):
    """Receiver of change notifications."""

    def observe(self, change: Change, now: Seconds) -> None:
        """Take one change; called before ``receive`` or ``advance`` returns."""


class CatalogueCopy(Protocol):
    """Copy of the catalogue, whose content stays opaque here."""

    def head(self) -> CatalogueHead:
        """Return the head of the copy, version 0 for none."""

    def offer(self, update: CatalogueUpdate, now: Seconds) -> bool:
        """Apply a change to its base; return whether it took effect."""

    def load(self, head: CatalogueHead, content: bytes, now: Seconds) -> bool:
        """Take a whole content; return whether its digest is right."""

    def content(self) -> bytes:
        """Return the whole content of the copy."""


class EvidenceSink(Protocol):
    """Receiver of evidence from other nodes."""

    def receive(self, sender: NodeId, payload: bytes, now: Seconds) -> None:
        """Take one evidence message."""


class OrphanJudge(Protocol):
    """Judges whether servers of a dead node are still useful."""

    def is_useful(self, server: ServerId, now: Seconds) -> bool:
        """Return whether recent outcomes of the server were good."""


class Warmup(Protocol):
    """Gives the ramp of cold servers, a setting of the catalogue."""

    def duration(self, service: ServiceName) -> Seconds:
        """Return the length of the service's ramp in seconds."""


class RecordPacker(Protocol):
    """Packs records into pages, whose content stays opaque here."""

    def pack(
        self, deltas: Sequence[RecordDelta], limit: int
    ) -> tuple[bytes, int]:
        """Pack as many of the first deltas as fit a size.

        Returns
        -------
        tuple of bytes and int
            The page, and the number of deltas in it.
        """

    def unpack(self, page: bytes) -> Result[tuple[RecordDelta, ...], Drop]:
        """Unpack a page; a failure tells why it is dropped."""


class AddressSample(Protocol):
    """A rolling sample of live addresses that is kept elsewhere."""

    def request(self, now: Seconds) -> None:
        """Ask for the sample; the answer goes to ``offer_addresses``."""
