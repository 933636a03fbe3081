"""Sharing of the directory's changes among the nodes of a failure domain."""

import curio

from egretlever.core import Address, Seconds, Version, make_log
from egretlever.placement import ReaderSelector
from egretlever.relay import _metrics as metrics
from egretlever.relay._changes import ChangeSubscriber, TableChange
from egretlever.relay._links import LinkError, LinkPool
from egretlever.relay._relay_link import RelayLink
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("store")
# Nodes that are tried in turn before the store is asked. Several hosts may have
# been lost together.
_MAX_READERS_TRIED = 8
# Nodes without access to the store that are found before the store is asked.
# Most likely it is unavailable for all.
_MAX_READERS_CUT_OFF = 2
# Time in which a reader has to acknowledge that it is followed. A node of an
# earlier release does not know the subscription.
_FIRST_CHANGE_TIMEOUT = Seconds(1.0)
# A reader from which nothing was received for this time is checked by a ping.
_SILENCE_BEFORE_PING = Seconds(5.0)


def _log(event: str, relay: Address) -> None:
    """Log which node provides the changes of the directory."""
    _LOG.event(logs_pb2.StateLine(event=event, address=str(relay)))


class TableSharing:
    """Receives the changes of a table from another node, and passes them on.

    Parameters
    ----------
    own_relay : Address
        Relay address of this node.
    readers : ReaderSelector
        Chooses the node to follow.
    links : LinkPool
        Connections to the other nodes.
    """

    def __init__(
        self, own_relay: Address, readers: ReaderSelector, links: LinkPool
    ) -> None:
        self._own_relay = own_relay
        self._readers = readers
        self._links = links
        self._link: RelayLink | None = None
        # Relay address of each node that follows this one; empty when a node
        # of an earlier release has not named it.
        self._subscribers: dict[ChangeSubscriber, str] = {}
        self._version = Version(0)
        self._available = False

    @property
    def has_subscribers(self) -> bool:
        """Whether other nodes follow this one."""
        return bool(self._subscribers)

    @property
    def reads_store(self) -> bool:
        """Whether this node reads the changes from the store by itself."""
        return self._link is None and self._available

    def list_subscribed_relays(self) -> set[str]:
        """Return the relay addresses of the nodes that follow this one."""
        return set(self._subscribers.values())

    async def subscribe(self, subscriber: ChangeSubscriber, relay: str) -> None:
        """Add a subscriber and send it the store version known here.

        Parameters
        ----------
        subscriber : ChangeSubscriber
            Sends changes to the node.
        relay : str
            Relay address of the node.
        """
        self._subscribers[subscriber] = relay
        await subscriber.send_change(self._describe())

    def unsubscribe(self, subscriber: ChangeSubscriber) -> None:
        """Remove a subscriber."""
        self._subscribers.pop(subscriber, None)

    def _describe(self) -> TableChange:
        return TableChange(
            self._version, self._version, available=self._available
        )

    async def publish(self, change: TableChange) -> None:
        """Pass a change on to the nodes that follow this one."""
        self._version = max(self._version, change.version)
        self._available = True
        await self._send(change)

    async def publish_failure(self) -> None:
        """Tell the nodes that follow this one that it can't read the store."""
        self._available = False
        await self._send(self._describe())

    async def _send(self, change: TableChange) -> None:
        for subscriber in list(self._subscribers):
            await subscriber.send_change(change)

    async def receive(self, version: Version) -> TableChange | None:
        """Wait for the next change from the node that is followed.

        Parameters
        ----------
        version : Version
            Store version that this node has.

        Returns
        -------
        TableChange or None
            None when the store has to be asked: no other node reads it for
            this one, or changes between the version and the received ones are
            missing.
        """
        cut_off = 0
        for _ in range(_MAX_READERS_TRIED):
            relay = self._readers.choose(read_clock())
            if relay is None or cut_off == _MAX_READERS_CUT_OFF:
                break
            change = await self._receive_from(relay)
            if change is not None and change.available:
                self._readers.observe_change(relay)
                metrics.SHARED_CHANGES.inc()
                return change if change.base <= version else None
            cut_off += change is not None
            await self._leave()
            _log("reader-excluded", relay)
            self._readers.exclude(relay, read_clock())
        await self._leave()
        return None

    async def _receive_from(self, relay: Address) -> TableChange | None:
        """Return the next change of a node; None when it sends none."""
        try:
            link = await self._links.acquire(relay)
        except LinkError as error:
            _LOG.debug("%s.", error)
            return None
        if link is not self._link:
            await self._leave()
            self._link = link
            _log("reader-followed", relay)
            await link.follow_directory(self._own_relay)
            async with curio.ignore_after(_FIRST_CHANGE_TIMEOUT):
                return await link.read_change()
            return None
        while True:
            async with curio.ignore_after(_SILENCE_BEFORE_PING):
                return await link.read_change()
            if link.is_silent(_SILENCE_BEFORE_PING) and not await link.ping():
                return None

    async def _leave(self) -> None:
        """End the subscription to the node that was followed."""
        link, self._link = self._link, None
        if link is not None:
            await link.leave_directory()
