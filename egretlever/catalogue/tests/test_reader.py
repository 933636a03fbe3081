"""Guards the reader against store overload, stale heads and lost snapshots.

Also guards against a starting node that serves an old version, or never serves.
"""

import itertools
import random

import pytest

from egretlever.catalogue import (
    Announce,
    AskPeers,
    FetchFailed,
    FetchFromPeer,
    FetchFromStore,
    Head,
    HeadRead,
    HeadUnavailable,
    NoPeers,
    PeerHead,
    ReadHead,
    VersionReceived,
    compute_delta,
    make_catalogue_reader,
    make_catalogue_state,
    make_snapshot,
)
from egretlever.core import FindingsError
from egretlever.testing import builders

V5, V6, V7 = (make_snapshot(builders.build_catalogue(n)) for n in (5, 6, 7))


def make_reader(snapshot=None, polls_store=False):
    """Make a reader; with a snapshot, one that became ready at 0 s."""
    reader = make_catalogue_reader(make_catalogue_state(), random.Random(1))
    if snapshot is not None:
        reader.advance(0.0)
        reader.observe(PeerHead("peer-1", snapshot.head), 0.0)
        reader.observe(VersionReceived(snapshot), 0.0)
        reader.observe(HeadRead(snapshot.head), 0.0)
        assert reader.ready
    reader.set_polling(polls_store, 0.0)
    return reader


def list_polls(reader, start, end, event):
    """Advance from due time to due time and respond to every poll."""
    polls, now = [], start
    while now < end:
        for action in reader.advance(now):
            if action == ReadHead():
                polls.append(now)
                reader.observe(event, now)
        now = max(reader.due(), now + 1e-6)
    return polls


def test_a_reader_node_polls_twice_a_second():
    reader = make_reader(V5, polls_store=True)
    polls = list_polls(reader, 0.0, 100.0, HeadRead(V5.head))
    assert 190 <= len(polls) <= 210
    assert all(0.4 < b - a < 0.6 for a, b in itertools.pairwise(polls))


def test_other_nodes_never_poll_after_their_start():
    reader = make_reader(V5)
    assert reader.advance(100.0) == []
    assert reader.due() == float("inf")


def test_polls_back_off_while_the_store_is_unavailable():
    """The longest wait stays far below the 4 s allowed for an edit."""
    reader = make_reader(V5, polls_store=True)
    polls = list_polls(reader, 0.0, 600.0, HeadUnavailable())
    gaps = [b - a for a, b in itertools.pairwise(polls)]
    assert max(gaps) <= 2.0
    assert min(gaps[5:]) >= 1.0
    reader.observe(HeadRead(V5.head), 600.0)
    assert reader.due() <= 600.6


def test_a_poll_without_a_response_is_retried():
    reader = make_reader(V5, polls_store=True)
    now = reader.due()
    assert reader.advance(now) == [ReadHead()]
    assert reader.advance(now + 1.0) == []
    assert reader.describe().poll_failures == 0
    assert reader.due() == now + 1.5
    reader.advance(now + 1.5)
    assert reader.describe().poll_failures == 1
    assert reader.advance(now + 3.5) == [ReadHead()]


def test_a_new_head_is_fetched_and_announced_with_its_delta():
    reader = make_reader(V5, polls_store=True)
    actions = reader.observe(HeadRead(V7.head), 1.0)
    assert FetchFromStore(V7.head) in actions
    assert FetchFromStore(V7.head) not in reader.observe(
        HeadRead(V7.head), 1.1
    ), "one fetch at a time"
    actions = reader.observe(VersionReceived(V7), 1.2)
    assert actions[0] == Announce(V7.head, compute_delta(V5, V7))
    assert reader.observe(VersionReceived(V7), 1.3) == [], "announced once"


def test_a_stale_head_is_counted_and_ignored():
    reader = make_reader(V6, polls_store=True)
    for head in (V5.head, None):
        assert reader.observe(HeadRead(head), 1.0) == []
    assert reader.describe().stale_heads == 2
    assert reader.describe().held == V6.head
    # A head reported by a peer counts as known before it is fetched.
    reader.observe(PeerHead("peer-1", V7.head), 1.1)
    reader.observe(HeadRead(V6.head), 1.2)
    assert reader.describe().stale_heads == 3
    assert reader.describe().wanted == V7.head


def run_fetches(reader, now, count):
    """Fail each fetch and return the fetch actions."""
    fetches = []
    for _ in range(count):
        for action in reader.advance(now):
            if isinstance(action, FetchFromPeer | FetchFromStore):
                fetches.append(action)
                reader.observe(FetchFailed(action.head), now)
        now = max(reader.due(), now + 1e-6)
    return fetches


def test_other_nodes_fetch_from_peers_and_rarely_from_the_store():
    """1,000 nodes must not all read one snapshot from the store."""
    reader = make_reader(V5)
    actions = reader.observe(PeerHead("peer-1", V6.head), 1.0)
    assert actions == [FetchFromPeer("peer-1", V6.head, V5.head)]
    reader.observe(PeerHead("peer-2", V6.head), 1.0)
    reader.observe(FetchFailed(V6.head), 1.0)
    fetches = run_fetches(reader, 2.0, 2)
    assert fetches == [
        FetchFromPeer("peer-2", V6.head, V5.head),
        FetchFromStore(V6.head),
    ]


def test_a_version_that_no_source_has_is_given_up():
    """A false head from one peer must not hide versions that exist."""
    reader = make_reader(V5, polls_store=True)
    false_head = Head(10**9, "edit-x", "0" * 64)
    reader.observe(PeerHead("peer-1", false_head), 1.0)
    run_fetches(reader, 30.0, 20)
    assert reader.describe().wanted is None
    assert FetchFromStore(V6.head) in reader.observe(HeadRead(V6.head), 99.0)


def test_a_fetch_without_a_response_is_retried():
    reader = make_reader(V5)
    reader.observe(PeerHead("peer-1", V6.head), 1.0)
    assert reader.due() == 2.5
    reader.advance(2.5)
    assert reader.advance(4.5) == [FetchFromPeer("peer-1", V6.head, V5.head)]


def test_a_delta_of_another_base_leads_to_a_fetch():
    reader = make_reader(V5)
    delta = compute_delta(V6, V7)
    actions = reader.observe(VersionReceived(delta), 1.0)
    assert actions == [FetchFromStore(V7.head)]
    delta = compute_delta(V5, V7)
    actions = reader.observe(VersionReceived(delta), 1.1)
    assert actions == [Announce(V7.head, delta)]
    assert reader.describe().wanted is None


def test_a_starting_node_takes_the_highest_version_of_store_and_peers():
    """A stale store must not make a new node ready with an old version."""
    reader = make_reader()
    assert reader.advance(0.0) == [AskPeers(), ReadHead()]
    actions = reader.observe(HeadRead(V5.head), 0.1)
    assert actions == [FetchFromStore(V5.head)]
    reader.observe(PeerHead("peer-1", V7.head), 0.2)
    reader.observe(VersionReceived(V5), 0.3)
    assert not reader.ready
    assert reader.describe().wanted == V7.head
    reader.observe(VersionReceived(V7), 0.4)
    assert reader.ready


def test_a_starting_node_without_a_catalogue_is_never_ready():
    reader = make_reader()
    peer_requests = polls = 0
    now = 0.0
    while now < 3600.0:
        for action in reader.advance(now):
            if action == ReadHead():
                polls += 1
                reader.observe(HeadUnavailable(), now)
            peer_requests += action == AskPeers()
        reader.observe(NoPeers(), now)
        now = max(reader.due(), now + 1e-3)
    assert not reader.ready
    assert 1800 <= polls <= 3700
    assert peer_requests <= 8000


def test_a_starting_node_does_not_wait_forever_for_the_store():
    reader = make_reader()
    reader.advance(0.0)
    reader.observe(HeadUnavailable(), 0.1)
    reader.observe(PeerHead("peer-1", V5.head), 0.2)
    reader.observe(VersionReceived(V5), 0.3)
    assert not reader.ready
    reader.advance(2.9)
    assert not reader.ready
    reader.advance(3.0)
    assert reader.ready


def test_invalid_parameters_are_refused():
    with pytest.raises(FindingsError, match="poll_interval"):
        make_catalogue_reader(
            make_catalogue_state(), random.Random(1), poll_interval=0
        )
