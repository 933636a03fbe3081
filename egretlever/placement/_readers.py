"""Choice of the node from which a node gets the changes of a table."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from egretlever.core import (
    Address,
    FailureDomain,
    Interval,
    Seconds,
    check_parameters,
)
from egretlever.placement._directory import Directory

# Time for which a node that failed as a source is not chosen again; doubled
# with each further failure, since rows of hosts that are gone may remain.
_READER_EXCLUSION_TIME = Seconds(10.0)
# A configuration has to be in force within seconds, and the store's answer with
# all of it is large, so a node that has lost the store only briefly is chosen
# again soon.
_SOURCE_EXCLUSION_TIME = Seconds(2.0)
_MAX_EXCLUSION_TIME = Seconds(320.0)


class SourceSelector(Protocol):
    """Chooses the node from which a node gets the changes of a table."""

    def choose(self, now: Seconds) -> Address | None:
        """Choose the node; None when this node has to read the store itself."""
        ...

    def exclude(self, relay: Address, now: Seconds) -> None:
        """Do not choose a node for a while, since it failed."""
        ...

    def observe_change(self, relay: Address) -> None:
        """Record that a node has sent a change."""
        ...


@dataclasses.dataclass(slots=True)
class _Exclusion:
    """A node that is not chosen for a while."""

    until: Seconds
    duration: Seconds


class _Exclusions:
    """Nodes that are not chosen for a while, since they failed."""

    def __init__(self, duration: Seconds) -> None:
        self._duration = duration
        self._exclusions: dict[Address, _Exclusion] = {}

    def holds(self, relay: Address, now: Seconds) -> bool:
        """Tell whether a node is excluded."""
        exclusion = self._exclusions.get(relay)
        return exclusion is not None and now < exclusion.until

    def add(self, relay: Address, now: Seconds) -> None:
        """Exclude a node, for longer after each failure in a row."""
        known = self._exclusions.get(relay)
        duration = self._duration
        if known is not None:
            duration = Seconds(min(2 * known.duration, _MAX_EXCLUSION_TIME))
        self._exclusions = {
            other: exclusion
            for other, exclusion in self._exclusions.items()
            if now < exclusion.until + _MAX_EXCLUSION_TIME
        }
        self._exclusions[relay] = _Exclusion(Seconds(now + duration), duration)

    def remove(self, relay: Address) -> None:
        """Forget the failures of a node."""
        self._exclusions.pop(relay, None)


class _ExcludingSelector:
    """Leaves nodes alone for a while that failed."""

    def __init__(
        self,
        directory: Directory,
        failure_domain: FailureDomain,
        own_relay: Address,
        exclusion_time: Seconds,
    ) -> None:
        self._directory = directory
        self._failure_domain = failure_domain
        self._own_key = _make_key(own_relay)
        self._exclusions = _Exclusions(exclusion_time)

    def exclude(self, relay: Address, now: Seconds) -> None:
        """Do not choose a node for a while, since it failed."""
        self._exclusions.add(relay, now)

    def observe_change(self, relay: Address) -> None:
        """Record that a node has sent a change."""
        self._exclusions.remove(relay)


class ReaderSelector(_ExcludingSelector):
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
        super().__init__(
            directory, failure_domain, own_relay, _READER_EXCLUSION_TIME
        )

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
            and not self._exclusions.holds(server.relay, now)
        )
        return min(candidates, key=_make_key, default=None)


class TreeSelector(_ExcludingSelector):
    """Chooses the source of a node in a tree over the nodes of its region.

    Load pattern: a configuration of thousands of routes, and hosts whose own
    links are narrow and whose way to the store is shared by a whole region.
    When each node reads the store, the bytes on that way grow with nodes times
    size. In the tree one node of a region reads the store, and no node sends a
    change to more than a few others.

    The nodes of a failure domain stand in the order of their addresses, and
    each one's source is the node at the place (place - 1) // fan-out. The first
    node of a failure domain follows that of the first failure domain of the
    region. A node follows only nodes that come before it in this order, so that
    nodes never wait for each other in a circle.

    Parameters
    ----------
    directory : Directory
        Known servers, each with the address of its home node.
    failure_domain : FailureDomain
        Failure domain of this node.
    own_relay : Address
        Address at which this node accepts connections of other nodes.
    is_near : callable
        Tells whether a failure domain is in the region of this node.
    fan_out : int, default=4
        Number of nodes of its failure domain that follow one node.
    """

    def __init__(
        self,
        directory: Directory,
        failure_domain: FailureDomain,
        own_relay: Address,
        is_near: Callable[[FailureDomain], bool],
        fan_out: int = 4,
    ) -> None:
        check_parameters(
            "TreeSelector", {"fan_out": fan_out}, {"fan_out": Interval(1)}
        )
        super().__init__(
            directory, failure_domain, own_relay, _SOURCE_EXCLUSION_TIME
        )
        self._is_near = is_near
        self._fan_out = fan_out

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
        usable: dict[FailureDomain, set[Address]] = {}
        for server in self._directory.list_all():
            domain = server.failure_domain
            if (
                domain <= self._failure_domain
                and not server.draining
                and not self._exclusions.holds(server.relay, now)
            ):
                usable.setdefault(domain, set()).add(server.relay)
        before = sorted(
            (
                relay
                for relay in usable.pop(self._failure_domain, ())
                if _make_key(relay) < self._own_key
            ),
            key=_make_key,
        )
        if before:
            return before[(len(before) - 1) // self._fan_out]
        for domain in sorted(usable):
            if self._is_near(domain):
                return min(usable[domain], key=_make_key)
        return None


def _make_key(relay: Address) -> tuple[str, int]:
    return relay.ip, relay.port
