"""Sharing of a table's changes among the nodes of a region."""

import dataclasses
import enum
from collections.abc import Callable, Collection

import curio

from egretlever.core import (
    NO_ERA,
    Address,
    Seconds,
    Version,
    find_era,
    make_log,
)
from egretlever.placement import SourceSelector
from egretlever.platform import StoreEras
from egretlever.relay import _metrics as metrics
from egretlever.relay._changes import (
    ChangeSubscriber,
    SharedTable,
    TableChange,
)
from egretlever.relay._freshness import Freshness
from egretlever.relay._links import LinkError, LinkPool
from egretlever.relay._relay_link import RelayLink
from egretlever.relay._sharing_limits import SharingLimits
from egretlever.relay._source_watch import SourceWatch
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("store")
# Time in which a connection is opened when nothing is known yet.
_CONNECT_TIMEOUT = Seconds(1.0)
# Time in which a node that was paused itself reads what has arrived meanwhile.
_CATCH_UP_TIME = Seconds(0.05)
# Nodes without access to the store that are found before the store is asked.
# Most likely it is unavailable for all.
_MAX_READERS_CUT_OFF = 2

_DEFAULT_LIMITS = SharingLimits()
_SEARCHING = TableChange(Version(0), Version(0), timed=True, searching=True)


class _Access(enum.Enum):
    """Whether this node gets the changes of the table."""

    CONFIRMED = "confirmed"
    PENDING = "pending"
    FAILED = "failed"


def _log(
    event: str,
    table: SharedTable,
    relay: Address,
    age: Seconds | None = None,
) -> None:
    """Log which node provides the changes of a table."""
    _LOG.event(
        logs_pb2.StateLine(
            event=event,
            subject=table.value,
            address=str(relay),
            age_s=round(age or 0.0, 4),
        )
    )


class TableSharing:
    """Receives the changes of a table from another node, and passes them on.

    The changes flow along the sources that the nodes choose. A node that has no
    source reads the store by itself.

    Parameters
    ----------
    table : SharedTable
        The table.
    own_relay : Address
        Relay address of this node.
    readers : SourceSelector
        Chooses the node to follow.
    links : LinkPool
        Connections to the other nodes.
    describe : callable, optional
        Returns the change that a new subscriber needs, by the version that it
        holds. By default it is told the version known here, without rows.
    limits : SharingLimits, optional
        How long this node waits for others before it asks the store.
    freshness : Freshness, optional
        Knows up to when this node knows the changes, which is passed on with
        them. A source that tells positions is left when this is too old,
        whatever its connection says.
    eras : StoreEras, optional
        Newest era of the store, which nodes tell each other.
    describe_whole : callable, optional
        Returns all rows, for a subscriber that holds those of an earlier era
        of the store.

    Attributes
    ----------
    source : str
        Relay address of the node from which the latest change came.
    """

    def __init__(
        self,
        table: SharedTable,
        own_relay: Address,
        readers: SourceSelector,
        links: LinkPool,
        describe: Callable[[Version], TableChange] | None = None,
        limits: SharingLimits = _DEFAULT_LIMITS,
        freshness: Freshness | None = None,
        eras: StoreEras | None = None,
        describe_whole: Callable[[], TableChange] | None = None,
    ) -> None:
        self._eras = eras or StoreEras()
        self._describe_whole = describe_whole
        self._table = table
        self._own_relay = own_relay
        self._readers = readers
        self._links = links
        # Whether nodes that follow this one anew are sent the rows that they
        # need. Otherwise they read them from the store.
        self._sends_rows = describe is not None
        self._describe_rows = describe or self._describe_version
        self._limits = limits
        self._freshness = freshness
        self.source = ""
        self._link: RelayLink | None = None
        self._watch = SourceWatch(freshness)
        # Relay address of each node that follows this one; empty when a node
        # of an earlier release has not named it.
        self._subscribers: dict[ChangeSubscriber, str] = {}
        self._version = Version(0)
        self._access = _Access.CONFIRMED
        if limits.doubt_time is not None:
            self._access = _Access.PENDING
        # Version that each subscriber held which is not answered yet.
        self._unanswered: dict[ChangeSubscriber, Version] = {}
        self._doubts = 0
        self._received = False

    @property
    def has_subscribers(self) -> bool:
        """Whether other nodes follow this one."""
        return bool(self._subscribers)

    @property
    def reads_store(self) -> bool:
        """Whether this node reads the changes from the store by itself."""
        return self._link is None and self.confirmed

    @property
    def confirmed(self) -> bool:
        """Whether this node is known to get the changes of the table."""
        return self._access is _Access.CONFIRMED

    @property
    def received(self) -> bool:
        """Whether another node has sent a version of the table."""
        return self._received

    def has_source(self) -> bool:
        """Tell whether there is a node to follow."""
        return self._readers.choose(read_clock()) is not None

    def list_subscribed_relays(self) -> set[str]:
        """Return the relay addresses of the nodes that follow this one."""
        return set(self._subscribers.values())

    async def subscribe(
        self, subscriber: ChangeSubscriber, relay: str, known: Version
    ) -> None:
        """Add a subscriber and send it what it needs from here.

        Parameters
        ----------
        subscriber : ChangeSubscriber
            Sends changes to the node.
        relay : str
            Relay address of the node.
        known : Version
            Version that the node holds.
        """
        self._subscribers[subscriber] = relay
        if self._access is _Access.PENDING:
            self._unanswered[subscriber] = known
        elif self._access is _Access.FAILED:
            await subscriber.send_change(self._table, self._describe_failure())
        else:
            await self._answer(subscriber, known)

    async def _answer(
        self, subscriber: ChangeSubscriber, known: Version
    ) -> None:
        change = self._describe_rows(known)
        if change.rows:
            # Acknowledges the subscription, since all rows may take long.
            acknowledgement = TableChange(known, known, timed=self._is_timed())
            await subscriber.send_change(self._table, acknowledgement)
        await subscriber.send_change(self._table, self._add_position(change))

    def _add_position(self, change: TableChange) -> TableChange:
        """Add up to when this node knows the changes, and the store's era."""
        if self._eras.current:
            change = dataclasses.replace(change, store_era=self._eras.current)
        if self._freshness is None or not self._is_timed():
            return change
        return dataclasses.replace(
            change, position=self._freshness.position, timed=True
        )

    def _is_timed(self) -> bool:
        """Tell whether this node can tell positions.

        It can't while its own source is a node of an earlier release.
        """
        return (
            self._freshness is not None and self._freshness.position is not None
        )

    def unsubscribe(self, subscriber: ChangeSubscriber) -> None:
        """Remove a subscriber."""
        self._subscribers.pop(subscriber, None)
        self._unanswered.pop(subscriber, None)

    def _describe_version(self, known: Version) -> TableChange:
        era = find_era(known)
        if self._describe_whole and NO_ERA < era < find_era(self._version):
            return self._describe_whole()
        return TableChange(self._version, self._version)

    def _describe_failure(self) -> TableChange:
        return TableChange(self._version, self._version, available=False)

    async def publish(self, change: TableChange) -> None:
        """Pass a change on to the nodes that follow this one."""
        self._version = max(self._version, change.version)
        # They are sent all that they need when the subscription is answered.
        unanswered = set(self._unanswered)
        await self.confirm_unless_outdated()
        await self._send(self._add_position(change), unanswered)

    async def confirm(self) -> None:
        """Record that this node gets the changes of the table."""
        self._access = _Access.CONFIRMED
        while self._unanswered:
            await self._answer(*self._unanswered.popitem())

    async def confirm_unless_outdated(self) -> None:
        """Record that this node gets the changes, if what it knows is new."""
        if not self._is_outdated():
            await self.confirm()

    async def publish_failure(self) -> None:
        """Tell the nodes that follow this one that it gets no changes."""
        self._access = _Access.FAILED
        self._unanswered.clear()
        await self._send(self._describe_failure())

    async def _send(
        self, change: TableChange, but: Collection[ChangeSubscriber] = ()
    ) -> None:
        for subscriber in list(self._subscribers):
            if subscriber not in but:
                await subscriber.send_change(self._table, change)

    async def _doubt(self) -> None:
        """Record that the source was lost, and report it after a while."""
        if self._limits.doubt_time is None or not self.confirmed:
            return
        self._access = _Access.PENDING
        self._doubts += 1
        await curio.spawn(
            self._report_doubt,
            self._doubts,
            self._find_doubt_time(),
            daemon=True,
        )
        if self._is_outdated():
            await self._send(_SEARCHING)

    def _is_outdated(self) -> bool:
        """Tell whether what this node knows is too old."""
        return self._freshness is not None and self._freshness.is_outdated(
            self._freshness.position, read_clock()
        )

    def _find_doubt_time(self) -> Seconds:
        """Return the time in which this node may find another source.

        What its followers know is as old, and many nodes would look for sources
        at once, so they wait for this node as long as they can.
        """
        doubt_time = self._limits.doubt_time or Seconds(0.0)
        if self._freshness is None or not self._is_outdated():
            return doubt_time
        left = self._freshness.find_wait_end() - read_clock()
        return Seconds(max(doubt_time, left))

    async def _report_doubt(self, doubt: int, doubt_time: Seconds) -> None:
        await curio.sleep(doubt_time)
        if self._access is _Access.PENDING and doubt == self._doubts:
            await self.publish_failure()

    async def receive(self, version: Version) -> TableChange | None:
        """Wait for the next change from the node that is followed.

        Parameters
        ----------
        version : Version
            Version that this node has.

        Returns
        -------
        TableChange or None
            None when the store has to be asked: no other node reads it for
            this one, or changes between the version and the received ones are
            missing.
        """
        cut_off = 0
        while self._watch.tried < self._limits.max_tried:
            relay = self._readers.choose(read_clock())
            if relay is None or cut_off == _MAX_READERS_CUT_OFF:
                break
            if not self._watch.may_follow(relay, read_clock()):
                break
            change = await self._receive_from(relay, version)
            if change is not None:
                source = f"node {relay}"
                await self._eras.observe(change.store_era, source)
                change = change.assume_era(find_era(version))
            if change is not None and change.searching:
                self._watch.observe_search()
                await self._send(change)
                continue
            if change is not None and change.available:
                self.source = str(relay)
                if self._watch.observe(change, read_clock()):
                    self._readers.observe_change(relay)
                self._received = self._received or change.version > 0
                metrics.SHARED_CHANGES.labels(self._table.value).inc()
                if change.base <= version:
                    return change
                await self.restart("changes are missing")
                if not self._sends_rows:
                    break
                self._watch.tried += 1
                continue
            self._watch.tried += 1
            cut_off += change is not None
            await self._leave()
            await self._doubt()
            now = read_clock()
            age = None
            if self._freshness is not None:
                age = self._freshness.measure_age(now)
            _log("reader-excluded", self._table, relay, age)
            self._readers.exclude(relay, now)
        self._watch.tried = 0
        await self._leave()
        return None

    async def restart(self, reason: str) -> None:
        """Follow the source anew, which then sends all that is needed.

        Parameters
        ----------
        reason : str
            Reason for the log.
        """
        _LOG.event(
            logs_pb2.StateLine(
                event="reader-asked-anew",
                subject=self._table.value,
                address=self.source,
                reason=reason,
            )
        )
        await self._leave()

    async def _receive_from(
        self, relay: Address, version: Version
    ) -> TableChange | None:
        """Return the next change of a node; None when it sends none."""
        began = read_clock()
        try_time = self._watch.find_try_time(began)
        link = None
        try:
            async with curio.ignore_after(try_time or _CONNECT_TIMEOUT):
                link = await self._links.acquire(relay)
        except LinkError as error:
            _LOG.debug("%s.", error)
        if link is None:
            return None
        if link is self._link:
            return await self._await_change(link)
        await self._leave()
        now = read_clock()
        self._link = link
        self._watch.begin(relay, now)
        _log("reader-followed", self._table, relay)
        await link.follow_table(self._table, self._own_relay, version)
        timeout: float = self._limits.first_change_timeout
        if try_time is not None:
            timeout = min(timeout, began + try_time - now)
        async with curio.ignore_after(max(0.0, timeout)):
            return await link.read_change(self._table)
        return None

    async def _await_change(self, link: RelayLink) -> TableChange | None:
        """Return the next change of the node that is followed.

        Returns
        -------
        TableChange or None
            None when the node is to be left.
        """
        silence = self._limits.silence_before_ping
        while True:
            deadline = self._watch.find_deadline()
            if deadline is not None:
                left = max(0.0, deadline - read_clock())
                async with curio.ignore_after(left):
                    return await link.read_change(self._table)
                # A paused process finds both the end of its wait and what has
                # arrived meanwhile.
                async with curio.ignore_after(_CATCH_UP_TIME):
                    return await link.read_change(self._table)
                if link.is_silent(silence):
                    # Closes a connection that stopped working.
                    await curio.spawn(link.ping, daemon=True)
                return None
            async with curio.ignore_after(silence):
                return await link.read_change(self._table)
            if link.is_silent(silence) and not await link.ping():
                return None

    async def _leave(self) -> None:
        """End the subscription to the node that was followed."""
        link, self._link = self._link, None
        self._watch.end()
        if link is not None:
            await link.leave_table(self._table)
