"""Transfer of the complete view to a starting node."""

import collections

from egretlever.core import Address, NodeId, Seconds
from egretlever.membership._messages import Message, Priority
from egretlever.membership._pages import Pages
from egretlever.membership._records import BUCKETS
from egretlever.membership._state import State

BUCKETS_PER_PEER = 4
REQUESTS_PER_ROUND = 4
# Bucket requests that a peer queues; at the design size of the fleet, serving
# them takes about 2.5 s.
MAX_QUEUED_REQUESTS = 16
RESPONSE_TIMEOUT_S = 5.0
# Nodes can't serve one another while all of their region start. After this
# time, digests repair what is missing, from other regions as well.
IDLE_TIMEOUT_S = 15.0


class ViewTransfer:
    """Requests buckets of the view from peers, and serves such requests.

    Serving waits for the byte budget, so that a node that serves many joining
    nodes stays within it.

    Parameters
    ----------
    state : State
        Shared state of the member.
    pages : Pages
        Packs and sends the records.
    """

    def __init__(self, state: State, pages: Pages) -> None:
        self._state = state
        self._pages = pages
        self._due: list[int] = []
        self._last_served_at: Seconds | None = None
        self._requested_at: dict[int, Seconds] = {}
        self._queued: collections.OrderedDict[tuple[Address, int], None] = (
            collections.OrderedDict()
        )

    @property
    def serving(self) -> bool:
        """Whether requests of peers wait for the byte budget."""
        return bool(self._queued)

    @property
    def receiving(self) -> bool:
        """Whether buckets have still to be requested or received."""
        return bool(self._due) or bool(self._requested_at)

    def request(self, now: Seconds) -> None:
        """Request due buckets from random peers of the same region."""
        peers = self._state.contacts.pick_local(REQUESTS_PER_ROUND)
        if self._last_served_at is None:
            if not peers or not self._needs_transfer():
                return
            self._last_served_at = now
            self._due = list(range(BUCKETS))
            self._state.rng.shuffle(self._due)
        if not peers or now - self._last_served_at > IDLE_TIMEOUT_S:
            self._due.clear()
            self._requested_at.clear()
        for bucket, requested_at in list(self._requested_at.items()):
            if now - requested_at >= RESPONSE_TIMEOUT_S:
                del self._requested_at[bucket]
                self._due.append(bucket)
        for peer in peers:
            chosen = self._due[:BUCKETS_PER_PEER]
            if not chosen:
                return
            del self._due[:BUCKETS_PER_PEER]
            self._request_buckets(peer, chosen, now)

    def _needs_transfer(self) -> bool:
        # A node that misses fewer records pulls them, which costs less than a
        # transfer of the view.
        records = len(self._state.view.records)
        return (
            self._state.misses_many_records()
            and 2 * records < self._state.fleet_size
        )

    def _request_buckets(
        self, peer: NodeId, buckets: list[int], now: Seconds
    ) -> None:
        self._requested_at.update(dict.fromkeys(buckets, now))
        self._state.send(
            peer,
            Priority.PROBE,
            fetch=tuple(buckets),
            deltas=self._state.introduction(now),
        )

    def handle(self, message: Message, sender: Address, now: Seconds) -> None:
        """Handle bucket requests, and answers to the requests of this node.

        A node that misses many records itself declines requests.
        """
        declined = []
        for bucket in message.fetch:
            if (
                self._state.misses_many_records()
                or len(self._queued) >= MAX_QUEUED_REQUESTS
            ):
                declined.append(bucket)
            else:
                self._queued[sender, bucket] = None
        if declined:
            self._state.send_address(
                sender, Priority.PROBE, declined=tuple(declined)
            )
        for bucket in message.served:
            if self._requested_at.pop(bucket, None) is not None:
                self._last_served_at = now
        for bucket in message.declined:
            if self._requested_at.pop(bucket, None) is not None:
                self._due.append(bucket)

    def serve(self, now: Seconds) -> None:
        """Send queued buckets as long as the byte budget allows."""
        while self._queued and self._state.outbox.has_budget(now):
            (address, bucket), _ = self._queued.popitem(last=False)
            self._pages.send_bucket(bucket, address, now)
