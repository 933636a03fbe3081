"""State machine that keeps a node's catalogue up to date.

Every node has a ``CatalogueReader``. Only reader nodes, a few in each region,
poll the store all the time; other nodes poll it while they start and get later
versions from peers.
"""

import math
import random

from egretlever.catalogue._events import (
    Announce,
    AskPeers,
    FetchFailed,
    FetchFromPeer,
    FetchFromStore,
    HeadRead,
    HeadUnavailable,
    NoPeers,
    PeerHead,
    ReaderAction,
    ReaderEvent,
    ReaderStatus,
    ReadHead,
    VersionReceived,
)
from egretlever.catalogue._snapshot import (
    Delta,
    Head,
    Snapshot,
    compute_delta,
)
from egretlever.catalogue._state import (
    Accepted,
    CatalogueState,
    RejectionReason,
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
# Limits the memory used for peers that can supply the wanted version.
_MAX_SOURCE_PEERS = 8
# The reader gives up on a version after this many failed fetches, and tries it
# again when another head names it. Otherwise a false head from one peer would
# hide lower versions that exist.
_MAX_FETCH_FAILURES = 6
# Relative jitter of the poll interval, so that reader nodes do not poll at the
# same time.
_POLL_JITTER = 0.1


class _Fetch:
    """Fetch of one version, possibly from several sources."""

    __slots__ = ("due", "failures", "head", "peers", "sent_at")

    def __init__(self, head: Head, now: Seconds) -> None:
        self.head = head
        self.peers: list[NodeId] = []
        self.failures = 0
        self.due = now
        self.sent_at: Seconds | None = None


class CatalogueReader:
    """Decides which actions bring a node to the highest known version.

    Created by ``make_catalogue_reader``. The caller runs the returned actions
    and passes their results to ``observe`` as events.

    Parameters
    ----------
    state : CatalogueState
        Catalogue held by the node.
    generator : random.Random
        Source of jitter.
    poll_interval : Seconds
        Time between reads of the head by a reader node.
    max_backoff : Seconds
        Longest wait after failures. It must leave time to fetch and
        disseminate an accepted edit within 4 s.
    read_timeout : Seconds
        Time after which an action without a result counts as failed.
    start_wait : Seconds
        Time that a starting node that has a catalogue waits for responses
        from the store and from peers before it becomes ready.
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
        self._polls_store = False
        self._ready = False
        self._started_at: Seconds | None = None
        self._store_answered = False
        self._peers_answered = False
        self._poll_due = Seconds(0.0)
        self._poll_sent_at: Seconds | None = None
        self._poll_failures = 0
        self._peer_request_due = Seconds(0.0)
        self._fetch: _Fetch | None = None
        self._stale_heads = 0

    @property
    def ready(self) -> bool:
        """Whether the node may serve requests.

        True once it holds the highest version that the store and peers named,
        or any version after ``start_wait``; it stays true from then on.
        """
        return self._ready

    def set_polling(self, polls_store: bool, now: Seconds) -> None:
        """Start or stop the regular polls of a reader node."""
        if polls_store and not self._polls_store:
            wait = self._generator.uniform(0, self._poll_interval)
            self._poll_due = Seconds(now + wait)
        self._polls_store = polls_store

    def observe(self, event: ReaderEvent, now: Seconds) -> list[ReaderAction]:
        """Process an event and return the actions to run."""
        actions: list[ReaderAction] = []
        if isinstance(event, HeadRead):
            self._observe_head(event.head, now)
        elif isinstance(event, HeadUnavailable):
            self._observe_poll_failure(now)
        elif isinstance(event, FetchFailed):
            self._observe_fetch_failure(event.head, now)
        elif isinstance(event, VersionReceived):
            actions.extend(self._apply_received(event.content, now))
        elif isinstance(event, PeerHead):
            self._peers_answered = True
            if event.head is not None:
                self._fetch_if_newer(event.head, event.peer, now)
        elif isinstance(event, NoPeers):
            self._peers_answered = True
        return [*actions, *self.advance(now)]

    def advance(self, now: Seconds) -> list[ReaderAction]:
        """Return the actions that are due."""
        if self._started_at is None:
            self._started_at = now
        self._check_timeouts(now)
        actions: list[ReaderAction] = []
        if self._needs_peer_heads() and now >= self._peer_request_due:
            self._peer_request_due = Seconds(now + self._draw_backoff(1))
            actions.append(AskPeers())
        if (
            self._needs_poll()
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
        """Return when to call ``advance`` next, infinity for never."""
        times = [_NEVER]
        if self._needs_peer_heads():
            times.append(self._peer_request_due)
        if self._needs_poll():
            times.append(
                self._get_wakeup_time(self._poll_due, self._poll_sent_at)
            )
        if self._fetch:
            times.append(
                self._get_wakeup_time(self._fetch.due, self._fetch.sent_at)
            )
        if not self._ready and self._started_at is not None:
            end = Seconds(self._started_at + self._start_wait)
            if self._state.head is not None:
                times.append(end)
        return min(times)

    def describe(self) -> ReaderStatus:
        """Return the status of the reader, for operators."""
        return ReaderStatus(
            self._state.head,
            self._fetch.head if self._fetch else None,
            self._polls_store,
            self._ready,
            self._poll_failures,
            self._stale_heads,
        )

    def _get_wakeup_time(
        self, due: Seconds, sent_at: Seconds | None
    ) -> Seconds:
        return due if sent_at is None else Seconds(sent_at + self._read_timeout)

    def _needs_peer_heads(self) -> bool:
        return not self._ready and not (
            self._peers_answered and self._state.head is not None
        )

    def _needs_poll(self) -> bool:
        if self._polls_store:
            return True
        return not self._ready and not (
            self._store_answered and self._state.head is not None
        )

    def _get_highest_known_version(self) -> Version:
        wanted = self._fetch.head.version if self._fetch else Version(0)
        return max(self._state.version, wanted)

    def _observe_head(self, head: Head | None, now: Seconds) -> None:
        self._poll_sent_at = None
        self._poll_failures = 0
        self._store_answered = True
        jitter = self._generator.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
        self._poll_due = Seconds(now + self._poll_interval * jitter)
        if (head.version if head else 0) < self._get_highest_known_version():
            self._stale_heads += 1
            _LOG.debug("store returned a head older than one already known")
        elif head is not None:
            self._fetch_if_newer(head, None, now)

    def _observe_poll_failure(self, now: Seconds) -> None:
        self._poll_sent_at = None
        self._poll_failures += 1
        self._poll_due = Seconds(now + self._draw_backoff(self._poll_failures))

    def _draw_backoff(self, failures: int) -> float:
        # The exponent is bounded because a long outage would overflow it.
        max_wait = min(
            self._max_backoff, self._poll_interval * 2 ** min(failures, 16)
        )
        return self._generator.uniform(max_wait / 2, max_wait)

    def _fetch_if_newer(
        self, head: Head, peer: NodeId | None, now: Seconds
    ) -> None:
        if self._state.check_head(head) is not None:
            return
        fetch = self._fetch
        if fetch is None or head.version > fetch.head.version:
            fetch = self._fetch = _Fetch(head, now)
        if fetch.head != head or peer is None or peer in fetch.peers:
            return
        if len(fetch.peers) < _MAX_SOURCE_PEERS:
            fetch.peers.append(peer)

    def _choose_source(self, fetch: _Fetch) -> ReaderAction:
        # Reader nodes fetch from the store in every second attempt, other
        # nodes only in every third, so that 1,000 nodes do not all read one
        # snapshot from it.
        period = 2 if self._polls_store else 3
        cycle_position = fetch.failures % period
        from_store = cycle_position == (0 if self._polls_store else period - 1)
        if from_store or not fetch.peers:
            return FetchFromStore(fetch.head)
        peer = fetch.peers[fetch.failures % len(fetch.peers)]
        return FetchFromPeer(peer, fetch.head, self._state.head)

    def _observe_fetch_failure(self, head: Head, now: Seconds) -> None:
        fetch = self._fetch
        if fetch is None or fetch.head != head:
            return
        fetch.sent_at = None
        fetch.failures += 1
        fetch.due = Seconds(now + self._draw_backoff(fetch.failures - 1))
        if fetch.failures >= _MAX_FETCH_FAILURES:
            _LOG.warning("fetch of version %d failed, giving up", head.version)
            self._fetch = None

    def _check_timeouts(self, now: Seconds) -> None:
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

    def _apply_received(
        self, content: Snapshot | Delta, now: Seconds
    ) -> list[ReaderAction]:
        before = self._state.snapshot_
        result = self._state.apply_update(content, now)
        if isinstance(result, Accepted):
            fetch = self._fetch
            if fetch and fetch.head.version <= result.head.version:
                self._fetch = None
            if isinstance(content, Delta):
                return [Announce(result.head, content)]
            after = self._state.snapshot_
            assert after is not None
            delta = compute_delta(before, after) if before else None
            return [Announce(result.head, delta)]
        if result.reason in (
            RejectionReason.OTHER_BASE,
            RejectionReason.DIGEST_MISMATCH,
        ):
            # The delta cannot be applied, but it names a newer version.
            self._fetch_if_newer(content.head, None, now)
        return []

    def _update_ready(self, now: Seconds) -> None:
        if self._ready or self._state.head is None:
            return
        is_up_to_date = (
            self._store_answered and self._peers_answered and not self._fetch
        )
        assert self._started_at is not None
        if is_up_to_date or now >= self._started_at + self._start_wait:
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
    """Make the reader of a starting node.

    Parameters
    ----------
    state : CatalogueState
        Catalogue held by the node.
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
        Time that a starting node that has a catalogue waits for responses
        from the store and from peers before it becomes ready, in seconds.

    Returns
    -------
    CatalogueReader
        A reader that polls the store only while the node starts, until
        ``set_polling`` turns regular polls on.

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
