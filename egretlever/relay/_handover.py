"""Handover of what the store holds to a node that starts without it."""

import random
from collections.abc import Callable
from typing import Protocol

import curio

from egretlever.core import Seconds, Version, describe_version
from egretlever.placement import Directory
from egretlever.relay._changes import Handover
from egretlever.relay._configuration import ConfigurationHolder
from egretlever.relay._followers import (
    SERVER_TABLE,
    decode_servers,
    describe_directory,
)
from egretlever.relay._store_calls import log_state

# A node reads the store within some hundredths of a second after its start,
# unless the store is unavailable.
_REQUEST_INTERVAL = Seconds(0.5)
# Handovers that a node takes. A peer may have been cut off from the store for
# long, and the newest configuration of several counts.
_MAX_HANDOVERS = 3


class HandoverPeer(Protocol):
    """A node that has connected to this one."""

    async def request_handover(self) -> None:
        """Ask for a handover; the request may get lost."""
        ...


class HandoverExchange:
    """Lets a node that can't read the store learn from nodes that know it.

    A node that starts knows no other node while the store is unavailable. Nodes
    that know its server connect to it, and it asks some of them for what they
    hold. Once it has read the store itself, only that counts.

    Parameters
    ----------
    directory : Directory
        Directory of this node.
    configuration : ConfigurationHolder
        Configuration of this node.
    is_synced : callable
        Tells whether this node has read the store.
    rng : random.Random
        Chooses the nodes that are asked.
    """

    def __init__(
        self,
        directory: Directory,
        configuration: ConfigurationHolder,
        is_synced: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._is_synced = is_synced
        self._rng = rng
        self._peers: list[HandoverPeer] = []
        self._taken = 0

    def add_peer(self, peer: HandoverPeer) -> None:
        """Record that a node has connected to this one."""
        self._peers.append(peer)

    def remove_peer(self, peer: HandoverPeer) -> None:
        """Record that the connection of a node has ended."""
        self._peers.remove(peer)

    def describe(self) -> Handover | None:
        """Return what this node holds, None when that is not complete."""
        configuration = self._configuration.describe(Version(0))
        if not configuration.rows or not self._directory.complete:
            return None
        return Handover(configuration, describe_directory(self._directory))

    def take(self, handover: Handover) -> None:
        """Apply a handover, unless the store was read meanwhile."""
        if self._is_synced():
            return
        self._taken += 1
        version = handover.directory.version
        log_state("handover-taken", SERVER_TABLE, describe_version(version))
        self._configuration.apply(handover.configuration)
        if not self._directory.complete or version > self._directory.version:
            # Older rows would bring back servers that have left.
            rows = decode_servers(handover.directory.rows)
            self._directory.replace(rows, version)

    async def request_until_synced(self) -> None:
        """Ask connected nodes until some have replied or the store was read."""
        while True:
            await curio.sleep(_REQUEST_INTERVAL)
            if self._is_synced() or self._taken >= _MAX_HANDOVERS:
                return
            if self._peers:
                await self._rng.choice(self._peers).request_handover()
