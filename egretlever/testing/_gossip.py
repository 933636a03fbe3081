"""Simulated network between members, in virtual time."""

import collections
import heapq
import random
from collections.abc import Callable, Iterable, Sequence

from returns.result import Result, Success

from egretlever.core import Address, RegionName, Seconds
from egretlever.membership import (
    CatalogueHead,
    CatalogueUpdate,
    Drop,
    GossipMembership,
    Message,
    NodeHeader,
    Send,
)
from egretlever.membership._packing import ZlibPacker
from egretlever.membership._records import RecordDelta

LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.008


class FakeCatalogueCopy:
    """Catalogue copy that accepts content whose digest is its length."""

    def __init__(self, head: CatalogueHead, content: bytes = b"") -> None:
        self.head_ = head
        self.content_ = content
        self.history = [head.version]

    def head(self) -> CatalogueHead:
        """Return the head of the copy."""
        return self.head_

    def content(self) -> bytes:
        """Return the content of the copy."""
        return self.content_

    def apply_update(self, update: CatalogueUpdate, now: Seconds) -> bool:
        """Append the update's change to the content."""
        return self.load(update.head, self.content_ + update.delta, now)

    def load(self, head: CatalogueHead, content: bytes, now: Seconds) -> bool:
        """Replace the content if its length matches the digest."""
        if head.digest != str(len(content)):
            return False
        self.head_, self.content_ = head, content
        self.history.append(head.version)
        return True


class SharedPacker:
    """Packer shared by all members of a simulation, with a cache of pages.

    Pages are really compressed, so that their sizes are right. Unpacking
    returns cached deltas, because decoding every page at every receiver would
    take a large part of a simulation's time.
    """

    def __init__(self) -> None:
        self._packer = ZlibPacker()
        self._pages: dict[bytes, tuple[RecordDelta, ...]] = {}

    def pack(
        self, deltas: Sequence[RecordDelta], limit: int
    ) -> tuple[bytes, int]:
        """Pack the leading deltas that fit into ``limit`` bytes."""
        page, count = self._packer.pack(deltas, limit)
        self._pages[page] = tuple(deltas[:count])
        return page, count

    def unpack(self, page: bytes) -> Result[tuple[RecordDelta, ...], Drop]:
        """Return the deltas of a page that was packed here."""
        return Success(self._pages[page])


class GossipNetwork:
    """Delivers messages between members in virtual time, with faults.

    Parameters
    ----------
    seed : int
        Seed for losses, delays and duplicates.
    loss : float, default=0
        Probability that a message is lost.
    duplication : float, default=0
        Probability that a message is delivered twice.
    jitter : float, default=0.001
        Maximum random delay added to a message, in seconds; it reorders
        messages.

    Attributes
    ----------
    blocked_paths : set of tuple of Address
        Paths (sender, receiver) on which all messages are lost.
    paused : set of Address
        Members that neither receive nor advance; messages to them are
        queued.
    sent : Counter of Address
        Bytes sent by each member.
    link : Counter of RegionName
        Bytes sent over the region link out of each region.
    """

    def __init__(
        self,
        seed: int,
        loss: float = 0.0,
        duplication: float = 0.0,
        jitter: float = 0.001,
    ) -> None:
        self.now = Seconds(0.0)
        self.loss = loss
        self.duplication = duplication
        self.jitter = jitter
        self.blocked_paths: set[tuple[Address, Address]] = set()
        self.split: Callable[[RegionName, RegionName], bool] | None = None
        self.paused: set[Address] = set()
        self.members: dict[Address, GossipMembership] = {}
        self.sent: collections.Counter[Address] = collections.Counter()
        self.link: collections.Counter[RegionName] = collections.Counter()
        self.messages = 0
        self._regions: dict[Address, RegionName] = {}
        self._queued: dict[Address, list[tuple[Address, Message]]] = {}
        self._rng = random.Random(seed)
        self._events: list[
            tuple[float, int, Address, Address | None, Message | None]
        ] = []
        self._event_count = 0
        self._wakes: dict[Address, float] = {}

    def add(self, header: NodeHeader, member: GossipMembership) -> None:
        """Add a member, or replace an earlier one."""
        self.members[header.gossip] = member
        self._regions[header.gossip] = header.region
        self.paused.discard(header.gossip)
        self._schedule_wake(header.gossip, self.now)

    def remove(self, address: Address) -> None:
        """Stop a member without notice, as a crash does."""
        self.members.pop(address, None)
        self._wakes.pop(address, None)

    def pause(self, address: Address) -> None:
        """Pause a member; messages to it are queued."""
        self.paused.add(address)

    def resume(self, address: Address) -> None:
        """Resume a paused member and deliver its queued messages."""
        self.paused.discard(address)
        for sender, message in self._queued.pop(address, []):
            self._schedule_message(self.now, address, sender, message)
        self._schedule_wake(address, self.now)

    def send(self, sender: Address, sends: Iterable[Send]) -> None:
        """Send the messages of a member."""
        for send in sends:
            self._send(sender, send)

    def reschedule(self, address: Address) -> None:
        """Reschedule the next call of a member after an external event."""
        self._schedule_wake(address, self.members[address].wake_at(self.now))

    def run(self, duration: float) -> None:
        """Deliver messages and advance time by a duration."""
        end = self.now + duration
        events = self._events
        while events and events[0][0] <= end:
            at, _, address, sender, message = heapq.heappop(events)
            self.now = Seconds(max(self.now, at))
            if sender is None or message is None:
                if self._wakes.get(address) == at:
                    del self._wakes[address]
                    self._advance(address)
            else:
                self._deliver(address, sender, message)
        self.now = Seconds(end)

    def _advance(self, address: Address) -> None:
        member = self.members.get(address)
        if member is None or address in self.paused:
            return
        self.send(address, member.advance(self.now))
        wake = member.wake_at(self.now)
        self._schedule_wake(address, Seconds(max(wake, self.now + 1e-3)))

    def _deliver(
        self, address: Address, sender: Address, message: Message
    ) -> None:
        member = self.members.get(address)
        if member is None:
            return
        if address in self.paused:
            self._queued.setdefault(address, []).append((sender, message))
            return
        self.send(address, member.receive(message, sender, self.now))
        self._schedule_wake(address, member.wake_at(self.now))

    def _send(self, sender: Address, send: Send) -> None:
        self.messages += 1
        self.sent[sender] += send.size
        source = self._regions[sender]
        target = self._regions.get(send.address, source)
        if source != target:
            self.link[source] += send.size
        if (sender, send.address) in self.blocked_paths:
            return
        if self.split is not None and self.split(source, target):
            return
        if self.loss and self._rng.random() < self.loss:
            return
        delay = LOCAL_DELAY_S if source == target else REMOTE_DELAY_S
        copies = 1 + (self._rng.random() < self.duplication)
        for _ in range(copies):
            jitter = self._rng.random() * self.jitter
            at = self.now + delay + jitter
            self._schedule_message(at, send.address, sender, send.message)

    def _schedule_message(
        self, at: float, address: Address, sender: Address, message: Message
    ) -> None:
        self._event_count += 1
        heapq.heappush(
            self._events, (at, self._event_count, address, sender, message)
        )

    def _schedule_wake(self, address: Address, at: float) -> None:
        scheduled = self._wakes.get(address)
        if scheduled is not None and scheduled <= at:
            return
        self._wakes[address] = at
        self._event_count += 1
        heapq.heappush(
            self._events, (at, self._event_count, address, None, None)
        )
