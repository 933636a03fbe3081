"""Decisions of a node about where its catalogue comes from."""

import math
import random

from egretlever.catalogue._events import (
    Action,
    Announce,
    AskPeers,
    Event,
    FetchFailed,
    FetchFromPeer,
    FetchFromStore,
    HeadRead,
    HeadUnavailable,
    NoPeers,
    PeerHead,
    ReaderDescription,
    ReadHead,
    VersionReceived,
)
from egretlever.catalogue._snapshot import (
    Delta,
    Head,
    Snapshot,
    compare_snapshots,
)
from egretlever.catalogue._state import (
    Accepted,
    CatalogueState,
    RefusalReason,
)
from egretlever.core import (
    Interval,
    NodeId,
    Seconds,
    Version,
    check_parameters,
    make_log,
)

_LOG = make_log("reader")
_NEVER = Seconds(math.inf)
# Peers known to hold the wanted version; more would only cost memory.
_HOLDERS = 8
# A version that can't be had from anywhere is dropped after this many fetches
# and learned again from the next head. A false head from one peer would
# otherwise hide lower versions that exist.
_FETCHES = 6
# Polls vary by this share so that reader nodes don't read at the same moment.
_JITTER = 0.1


class _Fetch:
    """Fetch of one version."""

    __slots__ = ("due", "failures", "head", "holders", "sent_at")

    def __init__(self, head: Head, now: Seconds) -> None:
        self.head = head
        self.holders: list[NodeId] = []
        self.failures = 0
        self.due = now
        self.sent_at: Seconds | None = None


class CatalogueReader:
    """Decides what a node does next to hold the highest version.

    Use ``make_catalogue_reader`` to make one. The caller runs the returned
    actions and feeds their results back as events.

    Parameters
    ----------
    state : CatalogueState
        Copy of the node.
    generator : random.Random
        Source of jitter.
    poll_interval : Seconds
        Time between reads of the head by a reader node.
    max_backoff : Seconds
        Longest wait after failures. It must leave time for the fetch and the
        dissemination within the 4 s of an accepted edit.
    read_timeout : Seconds
        Time after which an action without a result counts as failed.
    start_wait : Seconds
        Time that a starting node with a catalogue waits for sources that have
        not answered yet.
    """

    def __init__(
        self,
        state: CatalogueState,
        generator: random.Random,
        poll_interval: Seconds,
        max_backoff: Seconds,
        read_timeout: Seconds,
        start_wait: Seconds,
    ) -> None:
        check_parameters(
            "CatalogueReader",
            {
                "poll_interval": poll_interval,
                "max_backoff": max_backoff,
                "read_timeout": read_timeout,
                "start_wait": start_wait,
            },
            {
                "poll_interval": Interval(0.01, 60),
                "max_backoff": Interval(0.01, 60),
                "read_timeout": Interval(0.01, 60),
                "start_wait": Interval(0, 3600),
            },
        )
        self._state = state
        self._generator = generator
        self._poll_interval = poll_interval
        self._max_backoff = max_backoff
        self._read_timeout = read_timeout
        self._start_wait = start_wait
        self._is_reader = False
        self._ready = False
        self._started_at: Seconds | None = None
        self._heard_store = False
        self._heard_peers = False
        self._poll_due = Seconds(0.0)
        self._poll_sent_at: Seconds | None = None
        self._poll_failures = 0
        self._ask_due = Seconds(0.0)
        self._fetch: _Fetch | None = None
        self._stale_heads = 0

    @property
    def ready(self) -> bool:
        """Whether the node holds the highest version known at its start."""
        return self._ready

    def set_reader(self, is_reader: bool, now: Seconds) -> None:
        """Make the node poll the store, or stop it."""
        if is_reader and not self._is_reader:
            wait = self._generator.uniform(0, self._poll_interval)
            self._poll_due = Seconds(now + wait)
        self._is_reader = is_reader

    def observe(self, event: Event, now: Seconds) -> list[Action]:
        """Take a result or a message and return the actions that follow."""
        actions: list[Action] = []
        if isinstance(event, HeadRead):
            self._observe_head(event.head, now)
        elif isinstance(event, HeadUnavailable):
            self._observe_poll_failure(now)
        elif isinstance(event, FetchFailed):
            self._observe_fetch_failure(event.head, now)
        elif isinstance(event, VersionReceived):
            actions.extend(self._offer(event.content, now))
        elif isinstance(event, PeerHead):
            self._heard_peers = True
            if event.head is not None:
                self._learn(event.head, event.peer, now)
        elif isinstance(event, NoPeers):
            self._heard_peers = True
        return [*actions, *self.advance(now)]

    def advance(self, now: Seconds) -> list[Action]:
        """Return the actions that are due."""
        if self._started_at is None:
            self._started_at = now
        self._expire(now)
        actions: list[Action] = []
        if self._must_ask() and now >= self._ask_due:
            self._ask_due = Seconds(now + self._draw_backoff(1))
            actions.append(AskPeers())
        if (
            self._must_poll()
            and self._poll_sent_at is None
            and now >= self._poll_due
        ):
            self._poll_sent_at = now
            actions.append(ReadHead())
        fetch = self._fetch
        if fetch and fetch.sent_at is None and now >= fetch.due:
            fetch.sent_at = now
            actions.append(self._choose_source(fetch))
        self._update_ready(now)
        return actions

    def due(self) -> Seconds:
        """Return when ``advance`` has something to do, infinity if never."""
        times = [_NEVER]
        if self._must_ask():
            times.append(self._ask_due)
        if self._must_poll():
            times.append(self._get_due(self._poll_due, self._poll_sent_at))
        if self._fetch:
            times.append(self._get_due(self._fetch.due, self._fetch.sent_at))
        if not self._ready and self._started_at is not None:
            end = Seconds(self._started_at + self._start_wait)
            if self._state.head is not None:
                times.append(end)
        return min(times)

    def describe(self) -> ReaderDescription:
        """Return the state of the reader for operators."""
        return ReaderDescription(
            self._state.head,
            self._fetch.head if self._fetch else None,
            self._is_reader,
            self._ready,
            self._poll_failures,
            self._stale_heads,
        )

    def _get_due(self, due: Seconds, sent_at: Seconds | None) -> Seconds:
        return due if sent_at is None else Seconds(sent_at + self._read_timeout)

    def _must_ask(self) -> bool:
        return not self._ready and not (
            self._heard_peers and self._state.head is not None
        )

    def _must_poll(self) -> bool:
        if self._is_reader:
            return True
        return not self._ready and not (
            self._heard_store and self._state.head is not None
        )

    def _get_known(self) -> Version:
        wanted = self._fetch.head.version if self._fetch else Version(0)
        return max(self._state.version, wanted)

    def _observe_head(self, head: Head | None, now: Seconds) -> None:
        self._poll_sent_at = None
        self._poll_failures = 0
        self._heard_store = True
        spread = self._generator.uniform(1 - _JITTER, 1 + _JITTER)
        self._poll_due = Seconds(now + self._poll_interval * spread)
        if (head.version if head else 0) < self._get_known():
            self._stale_heads += 1
            _LOG.debug("head from the store is older than one known before")
        elif head is not None:
            self._learn(head, None, now)

    def _observe_poll_failure(self, now: Seconds) -> None:
        self._poll_sent_at = None
        self._poll_failures += 1
        self._poll_due = Seconds(now + self._draw_backoff(self._poll_failures))

    def _draw_backoff(self, failures: int) -> float:
        # The exponent is bounded so that a long outage can't overflow it.
        longest = min(
            self._max_backoff, self._poll_interval * 2 ** min(failures, 16)
        )
        return self._generator.uniform(longest / 2, longest)

    def _learn(self, head: Head, peer: NodeId | None, now: Seconds) -> None:
        if self._state.compare(head) is not None:
            return
        fetch = self._fetch
        if fetch is None or head.version > fetch.head.version:
            fetch = self._fetch = _Fetch(head, now)
        if fetch.head != head or peer is None or peer in fetch.holders:
            return
        if len(fetch.holders) < _HOLDERS:
            fetch.holders.append(peer)

    def _choose_source(self, fetch: _Fetch) -> Action:
        # Readers take every second fetch from the store, other nodes only
        # every third: 1,000 nodes must not all read one snapshot from it.
        period = 2 if self._is_reader else 3
        turn = fetch.failures % period
        from_store = turn == (0 if self._is_reader else period - 1)
        if from_store or not fetch.holders:
            return FetchFromStore(fetch.head)
        peer = fetch.holders[fetch.failures % len(fetch.holders)]
        return FetchFromPeer(peer, fetch.head, self._state.head)

    def _observe_fetch_failure(self, head: Head, now: Seconds) -> None:
        fetch = self._fetch
        if fetch is None or fetch.head != head:
            return
        fetch.sent_at = None
        fetch.failures += 1
        fetch.due = Seconds(now + self._draw_backoff(fetch.failures - 1))
        if fetch.failures >= _FETCHES:
            _LOG.warning("version %d can't be fetched", head.version)
            self._fetch = None

    def _expire(self, now: Seconds) -> None:
        if (
            self._poll_sent_at is not None
            and now >= self._poll_sent_at + self._read_timeout
        ):
            self._observe_poll_failure(now)
        fetch = self._fetch
        if (
            fetch is not None
            and fetch.sent_at is not None
            and now >= fetch.sent_at + self._read_timeout
        ):
            self._observe_fetch_failure(fetch.head, now)

    def _offer(self, content: Snapshot | Delta, now: Seconds) -> list[Action]:
        before = self._state.snapshot_
        result = self._state.offer(content, now)
        if isinstance(result, Accepted):
            fetch = self._fetch
            if fetch and fetch.head.version <= result.head.version:
                self._fetch = None
            if isinstance(content, Delta):
                return [Announce(result.head, content)]
            after = self._state.snapshot_
            assert after is not None
            delta = compare_snapshots(before, after) if before else None
            return [Announce(result.head, delta)]
        if result.reason in (
            RefusalReason.OTHER_BASE,
            RefusalReason.DIGEST_MISMATCH,
        ):
            # The delta can't be used, but its head is news all the same.
            self._learn(content.head, None, now)
        return []

    def _update_ready(self, now: Seconds) -> None:
        if self._ready or self._state.head is None:
            return
        heard = self._heard_store and self._heard_peers and not self._fetch
        assert self._started_at is not None
        if heard or now >= self._started_at + self._start_wait:
            self._ready = True
            _LOG.info("ready with version %d", self._state.version)


def make_catalogue_reader(
    state: CatalogueState,
    generator: random.Random,
    poll_interval: float = 0.5,
    max_backoff: float = 2.0,
    read_timeout: float = 1.5,
    start_wait: float = 3.0,
) -> CatalogueReader:
    """Make the reader of a node that starts.

    Parameters
    ----------
    state : CatalogueState
        Copy of the node.
    generator : random.Random
        Source of jitter.
    poll_interval : float, default=0.5
        Time between reads of the head by a reader node, in seconds.
    max_backoff : float, default=2
        Longest wait after failures, in seconds.
    read_timeout : float, default=1.5
        Time after which an action without a result counts as failed, in
        seconds.
    start_wait : float, default=3
        Time that a starting node with a catalogue waits for sources that have
        not answered yet, in seconds.

    Returns
    -------
    CatalogueReader
        A reader that does not poll until ``set_reader``, except for its start.

    Raises
    ------
    FindingsError
        When a duration is out of its interval.

    Examples
    --------
    >>> from egretlever.catalogue import make_catalogue_state
    >>> reader = make_catalogue_reader(
    ...     make_catalogue_state(), random.Random(1)
    ... )
    >>> reader.advance(Seconds(0.0))
    [AskPeers(), ReadHead()]
    """
    return CatalogueReader(
        state,
        generator,
        Seconds(poll_interval),
        Seconds(max_backoff),
        Seconds(read_timeout),
        Seconds(start_wait),
    )
