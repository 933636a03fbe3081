"""Interfaces between membership and its collaborators."""

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
    """What changed in the view."""

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
    """Change of the view, of which listeners are notified.

    Parameters
    ----------
    kind : ChangeKind
        What changed.
    node : NodeId
        Node that the change is about.
    servers : tuple of ServerId
        Servers whose entries changed.
    """

    kind: ChangeKind
    node: NodeId
    servers: tuple[ServerId, ...] = ()


class Listener(Protocol):
    """Receiver of change notifications."""

    def observe(self, change: Change, now: Seconds) -> None:
        """Handle a change; called before ``receive`` or ``advance`` returns."""


class CatalogueCopy(Protocol):
    """Local copy of the catalogue; membership does not decode its content."""

    def head(self) -> CatalogueHead:
        """Return the head of the copy; its version is 0 when there is none."""

    def apply_update(self, update: CatalogueUpdate, now: Seconds) -> bool:
        """Apply an update to its base version; return whether it applied."""

    def load(self, head: CatalogueHead, content: bytes, now: Seconds) -> bool:
        """Replace the content; return whether it matches the digest."""

    def content(self) -> bytes:
        """Return the complete content of the copy."""


class EvidenceSink(Protocol):
    """Receiver of evidence from other nodes."""

    def receive(self, sender: NodeId, payload: bytes, now: Seconds) -> None:
        """Handle one evidence payload."""


class OrphanPolicy(Protocol):
    """Decides whether the servers of a dead node may still be used."""

    def is_useful(self, server: ServerId, now: Seconds) -> bool:
        """Return whether recent requests to the server succeeded."""


class Warmup(Protocol):
    """Warm-up times of cold servers, set per service in the catalogue."""

    def duration(self, service: ServiceName) -> Seconds:
        """Return the warm-up time of a service's servers in seconds."""


class RecordPacker(Protocol):
    """Packs deltas into pages: compressed byte strings."""

    def pack(
        self, deltas: Sequence[RecordDelta], limit: int
    ) -> tuple[bytes, int]:
        """Pack the leading deltas that fit into ``limit`` bytes.

        Returns
        -------
        tuple of bytes and int
            The page, and the number of deltas in it.
        """

    def unpack(self, page: bytes) -> Result[tuple[RecordDelta, ...], Drop]:
        """Unpack a page; a failure holds the reason to drop it."""


class AddressSample(Protocol):
    """Sample of live gossip addresses, kept up to date outside gossip."""

    def request(self, now: Seconds) -> None:
        """Request the sample, passed to ``receive_address_sample`` later."""
