"""Transfer of the whole view to a node that starts."""

import collections

from egretlever.core import Address, NodeId, Seconds
from egretlever.membership._messages import Message, Priority
from egretlever.membership._pages import Pages
from egretlever.membership._records import BUCKETS
from egretlever.membership._state import State

BUCKETS_PER_PEER = 4
REQUESTS_PER_ROUND = 4
# Requests that a peer holds; at the design size they take it about 2.5 s.
MAX_HELD = 16
PATIENCE = 5.0
# Nodes of a region that all start can't serve one another; digests repair
# what is missing by then, from the other region as well.
IDLE_LIMIT = 15.0


class Transfer:
    """Asks several peers for parts of their view, and serves such requests.

    The parts are the buckets of the digest. Serving waits for room in the
    byte budget, so that a node that serves many joiners stays within it.

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
        self._served_at: Seconds | None = None
        self._asked: dict[int, Seconds] = {}
        self._held: collections.OrderedDict[tuple[Address, int], None] = (
            collections.OrderedDict()
        )

    @property
    def serving(self) -> bool:
        """Whether requests of others wait for the byte budget."""
        return bool(self._held)

    @property
    def receiving(self) -> bool:
        """Whether parts of the view are still to be asked for or to come."""
        return bool(self._due) or bool(self._asked)

    def request(self, now: Seconds) -> None:
        """Ask random peers of the own region for parts that are due."""
        peers = self._state.contacts.pick_local(REQUESTS_PER_ROUND)
        if self._served_at is None:
            if not peers or not self._is_fresh():
                return
            self._served_at = now
            self._due = list(range(BUCKETS))
            self._state.rng.shuffle(self._due)
        if not peers or now - self._served_at > IDLE_LIMIT:
            self._due.clear()
            self._asked.clear()
        for bucket, asked in list(self._asked.items()):
            if now - asked >= PATIENCE:
                del self._asked[bucket]
                self._due.append(bucket)
        for peer in peers:
            chosen = self._due[:BUCKETS_PER_PEER]
            if not chosen:
                return
            del self._due[:BUCKETS_PER_PEER]
            self._ask(peer, chosen, now)

    def _is_fresh(self) -> bool:
        # A node that misses fewer pulls them, which costs less than a view.
        records = len(self._state.view.records)
        return self._state.is_short() and 2 * records < self._state.fleet

    def _ask(self, peer: NodeId, buckets: list[int], now: Seconds) -> None:
        self._asked.update(dict.fromkeys(buckets, now))
        self._state.send(
            peer,
            Priority.PROBE,
            fetch=tuple(buckets),
            deltas=self._state.introduction(now),
        )

    def take(self, message: Message, sender: Address, now: Seconds) -> None:
        """Take requests, and news of requests that a peer served or declined.

        A node that is short of records itself declines.
        """
        declined = []
        for bucket in message.fetch:
            if self._state.is_short() or len(self._held) >= MAX_HELD:
                declined.append(bucket)
            else:
                self._held[sender, bucket] = None
        if declined:
            self._state.send_address(
                sender, Priority.PROBE, declined=tuple(declined)
            )
        for bucket in message.served:
            if self._asked.pop(bucket, None) is not None:
                self._served_at = now
        for bucket in message.declined:
            if self._asked.pop(bucket, None) is not None:
                self._due.append(bucket)

    def serve(self, now: Seconds) -> None:
        """Send what was asked for as far as the byte budget admits."""
        while self._held and self._state.outbox.has_room(now):
            (address, bucket), _ = self._held.popitem(last=False)
            self._pages.send_bucket(bucket, address, now)
