"""Choice of the node that reads the directory's changes for others."""

import dataclasses

from egretlever.core import Address, FailureDomain, Seconds
from egretlever.placement._directory import Directory

# Time for which a node that failed as a reader is not chosen again; doubled
# with each further failure, since rows of hosts that are gone may remain.
_EXCLUSION_TIME = Seconds(10.0)
_MAX_EXCLUSION_TIME = Seconds(320.0)


@dataclasses.dataclass(slots=True)
class _Exclusion:
    """A node that is not chosen for a while."""

    until: Seconds
    duration: Seconds


class ReaderSelector:
    """Chooses the node of a failure domain that reads the store for the others.

    Load pattern: hundreds of nodes, and a server that starts or leaves every
    few seconds. A change ends the long polls of all nodes that follow the
    table, so that calls of the store grow with nodes times changes. With one
    reader in each failure domain they grow with the changes alone.

    The reader is the node with the lowest address. A node follows only nodes
    with lower addresses than its own, so that nodes never wait for each other
    in a circle, whatever each of them knows.

    Parameters
    ----------
    directory : Directory
        Known servers, each with the address of its home node.
    failure_domain : FailureDomain
        Failure domain of this node.
    own_relay : Address
        Address at which this node accepts connections of other nodes.
    """

    def __init__(
        self,
        directory: Directory,
        failure_domain: FailureDomain,
        own_relay: Address,
    ) -> None:
        self._directory = directory
        self._failure_domain = failure_domain
        self._own_key = _make_key(own_relay)
        self._exclusions: dict[Address, _Exclusion] = {}

    def choose(self, now: Seconds) -> Address | None:
        """Choose the node to follow.

        Parameters
        ----------
        now : Seconds
            Clock time.

        Returns
        -------
        Address or None
            None when this node has to read the store itself.
        """
        candidates = (
            server.relay
            for server in self._directory.list_all()
            if server.failure_domain == self._failure_domain
            and not server.draining
            and _make_key(server.relay) < self._own_key
            and not self._is_excluded(server.relay, now)
        )
        return min(candidates, key=_make_key, default=None)

    def _is_excluded(self, relay: Address, now: Seconds) -> bool:
        exclusion = self._exclusions.get(relay)
        return exclusion is not None and now < exclusion.until

    def exclude(self, relay: Address, now: Seconds) -> None:
        """Do not choose a node for a while, since it failed as a reader."""
        known = self._exclusions.get(relay)
        duration = _EXCLUSION_TIME
        if known is not None:
            duration = Seconds(min(2 * known.duration, _MAX_EXCLUSION_TIME))
        self._exclusions = {
            other: exclusion
            for other, exclusion in self._exclusions.items()
            if now < exclusion.until + _MAX_EXCLUSION_TIME
        }
        self._exclusions[relay] = _Exclusion(Seconds(now + duration), duration)

    def observe_change(self, relay: Address) -> None:
        """Record that a node has sent a change."""
        self._exclusions.pop(relay, None)


def _make_key(relay: Address) -> tuple[str, int]:
    return relay.ip, relay.port
