"""Events, actions and description of the catalogue reader."""

import dataclasses

from egretlever.catalogue._snapshot import Delta, Head, Snapshot
from egretlever.core import NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The store answered a read of the head; None for an empty store."""

    head: Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class HeadUnavailable:
    """A read of the head failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """A fetch gave nothing, or not what its digest names.

    Parameters
    ----------
    head : Head
        Version that was fetched.
    """

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReceived:
    """A complete version or a delta arrived from the store or from a peer."""

    content: Snapshot | Delta


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHead:
    """A peer told which version it holds; None while it has none."""

    peer: NodeId
    head: Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class NoPeers:
    """No peer answered."""


Event = (
    HeadRead
    | HeadUnavailable
    | FetchFailed
    | VersionReceived
    | PeerHead
    | NoPeers
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskPeers:
    """Ask peers, or the seeds, for the version that they hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Get the snapshot from the object store by its digest."""

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Ask a peer for a version.

    Parameters
    ----------
    peer : NodeId
        Peer that holds the version.
    head : Head
        Version to fetch.
    base : Head or None
        Version held here, from which a delta can be applied.
    """

    peer: NodeId
    head: Head
    base: Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Send a version that is new here to peers as an urgent message.

    Parameters
    ----------
    head : Head
        The version.
    delta : Delta or None
        Change from the version held before, None for the first one.
    """

    head: Head
    delta: Delta | None


Action = ReadHead | AskPeers | FetchFromStore | FetchFromPeer | Announce


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderDescription:
    """Snapshot of a reader for operators.

    Parameters
    ----------
    held : Head or None
        Version in force.
    wanted : Head or None
        Higher version that is being fetched.
    is_reader : bool
        Whether the node polls the store.
    ready : bool
        Whether the node may serve requests.
    poll_failures : int
        Reads of the head that failed in a row.
    stale_heads : int
        Heads from the store that were lower than one known before.
    """

    held: Head | None
    wanted: Head | None
    is_reader: bool
    ready: bool
    poll_failures: int
    stale_heads: int
