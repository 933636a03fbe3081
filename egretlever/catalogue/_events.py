"""Events, actions and status of the catalogue reader."""

import dataclasses

from egretlever.catalogue._snapshot import Delta, Head, Snapshot
from egretlever.core import NodeId


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The store returned the head; None for an empty store."""

    head: Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class HeadUnavailable:
    """A read of the head failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """A fetch returned nothing, or content that does not match its digest.

    Parameters
    ----------
    head : Head
        Version that was requested.
    """

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReceived:
    """A complete version or a delta arrived from the store or a peer."""

    content: Snapshot | Delta


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHead:
    """A peer reported the version that it holds; None while it has none."""

    peer: NodeId
    head: Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class NoPeers:
    """No peer reported a version."""


ReaderEvent = (
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
    """Ask peers, or the seeds, which version they hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Fetch the snapshot from the object store by its digest."""

    head: Head


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Fetch a version from a peer.

    Parameters
    ----------
    peer : NodeId
        Peer that holds the version.
    head : Head
        Version to fetch.
    base : Head or None
        Version held by this node, to which the peer's delta can be applied.
    """

    peer: NodeId
    head: Head
    base: Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Send a newly accepted version to peers as an urgent message.

    Parameters
    ----------
    head : Head
        The version.
    delta : Delta or None
        Change from the version held before, None for a first version.
    """

    head: Head
    delta: Delta | None


ReaderAction = ReadHead | AskPeers | FetchFromStore | FetchFromPeer | Announce


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderStatus:
    """Status of a reader, for operators.

    Parameters
    ----------
    held : Head or None
        Version in force.
    wanted : Head or None
        Higher version that is being fetched.
    polls_store : bool
        Whether the node is a reader node, which polls the store.
    ready : bool
        Whether the node may serve requests.
    poll_failures : int
        Consecutive failed reads of the head.
    stale_heads : int
        Heads read from the store that were lower than one already known.
    """

    held: Head | None
    wanted: Head | None
    polls_store: bool
    ready: bool
    poll_failures: int
    stale_heads: int
