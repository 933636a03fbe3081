"""Tests that the nodes of a failure domain share the directory's changes."""

import dataclasses

import curio

from egretlever.core import (
    Address,
    FailureDomain,
    Seconds,
    ServerId,
    Version,
)
from egretlever.platform import StoredRow
from egretlever.relay._changes import Position, SharedTable, TableChange
from egretlever.relay._freshness import Freshness
from egretlever.relay._links import LinkPool
from egretlever.relay._sharing import TableSharing
from egretlever.relay._sharing_limits import SharingLimits
from egretlever.standins import RowsFault
from egretlever.testing import VirtualClock, run_virtual
from egretlever.testing._failure_domain import DomainFixture
from egretlever.testing._relay_doubles import (
    ChangeRecorder,
    NoSource,
    NoticeRecorder,
    QueueLink,
    QueueLinkPool,
)
from egretlever.testing.relay_builders import build_home_server
from egretlever.transport import read_clock

NODES = 30
FOLLOWERS = NODES - 1
NEWCOMER = build_home_server(999, failure_domain=FailureDomain("domain-1"))
BATCH_TIME = 4.0  # seconds in which a reader collects changes
ORPHAN_TIME = 600.0  # seconds after which a lost host counts as gone
DETECTION_TIME = 5.5  # seconds after which a silent reader is left


def run_script(script, count=NODES, **options):
    async def main():
        fixture = DomainFixture(count, **options)
        async with fixture.running():
            await script(fixture)

    run_virtual(main())


def test_changes_are_read_from_the_store_once_for_a_failure_domain():
    # Each change ended the polls of all nodes: a day of 235 nodes had 7,332
    # calls, which were its largest price.
    async def script(fixture):
        for number in range(100, 120):
            server = dataclasses.replace(
                NEWCOMER, id=ServerId(f"i-{number}"), slots=number
            )
            await fixture.put(server)
            await curio.sleep(5.0)
        assert all(len(node.directory) == NODES + 20 for node in fixture.nodes)
        assert fixture.count_polls() <= 45

    run_script(script)


def test_removed_server_is_forgotten_by_all_nodes():
    async def script(fixture):
        await fixture.put(NEWCOMER)
        await curio.sleep(BATCH_TIME + 1.0)
        assert fixture.count_informed(NEWCOMER) == FOLLOWERS
        await fixture.remove(NEWCOMER)
        await curio.sleep(BATCH_TIME + 1.0)
        assert fixture.count_informed(NEWCOMER) == 0

    run_script(script)


def test_another_node_reads_for_the_others_when_the_reader_was_killed():
    async def script(fixture):
        await fixture.reader.kill()
        await fixture.put(NEWCOMER)
        await curio.sleep(BATCH_TIME + 1.0)
        assert fixture.count_informed(NEWCOMER) == FOLLOWERS
        assert fixture.count_polls() <= 6

    run_script(script)


def test_hosts_that_are_gone_do_not_send_all_nodes_to_the_store():
    # Rows of lost hosts remain, here with the lowest addresses.
    async def script(fixture):
        for number in range(4, 28, 4):
            await fixture.put(build_home_server(100 + number))
        await curio.sleep(10.0)
        fixture.store.calls.clear()
        for slots in range(5, 25):
            changed = dataclasses.replace(NEWCOMER, slots=slots)
            await fixture.put(changed)
            await curio.sleep(5.0)
        assert fixture.count_informed(changed) == FOLLOWERS
        assert fixture.count_polls() <= 45

    run_script(script)


def test_silent_reader_is_left():
    # A paused node keeps its connections and sends nothing.
    async def script(fixture):
        await fixture.put(NEWCOMER)
        await curio.sleep(DETECTION_TIME + BATCH_TIME + 1.0)
        assert fixture.count_informed(NEWCOMER) == FOLLOWERS

    run_script(script, silent_version=Version(1))


def test_changes_that_a_node_has_missed_are_read_from_the_store():
    async def script(fixture):
        await fixture.put(NEWCOMER)
        await curio.sleep(BATCH_TIME + 1.0)
        assert fixture.count_informed(NEWCOMER) == FOLLOWERS

    run_script(script, silent_version=Version(1_000_000))


def test_reader_that_is_cut_off_from_the_store_is_left():
    async def script(fixture):
        fixture.reader.store.reachable = False
        await fixture.put(NEWCOMER)
        await curio.sleep(BATCH_TIME + 1.0)
        assert fixture.count_informed(NEWCOMER) == FOLLOWERS
        assert fixture.reader.directory.find(NEWCOMER.id) is None

    run_script(script)


def test_nodes_share_changes_again_after_an_outage_of_the_store():
    async def script(fixture):
        fixture.store.fault = RowsFault.BUSY
        await curio.sleep(20.0)
        await fixture.put(NEWCOMER)
        fixture.store.fault = RowsFault.NONE
        await curio.sleep(2.0)
        assert fixture.count_informed(NEWCOMER) == FOLLOWERS
        await curio.sleep(30.0)
        fixture.store.calls.clear()
        changed = dataclasses.replace(NEWCOMER, slots=9)
        await fixture.put(changed)
        await curio.sleep(BATCH_TIME + 1.0)
        assert fixture.count_informed(changed) == FOLLOWERS
        assert fixture.count_polls() <= 3

    run_script(script)


def test_nodes_read_the_table_anew_after_its_history_was_dropped():
    async def script(fixture):
        fixture.store.fault = RowsFault.BUSY
        await curio.sleep(10.0)
        await fixture.put(NEWCOMER)
        fixture.store.forget_history()
        fixture.store.fault = RowsFault.NONE
        await curio.sleep(BATCH_TIME + 2.0)
        assert fixture.count_informed(NEWCOMER) == FOLLOWERS

    run_script(script)


def test_rows_of_hosts_that_are_gone_are_removed_by_the_reader():
    # Entry nodes would keep trying their addresses.
    async def script(fixture):
        for node in fixture.followers[1:3]:
            await node.kill()
        await curio.sleep(ORPHAN_TIME - 60.0)
        assert fixture.list_rows() == fixture.nodes
        await curio.sleep(120.0)
        lost = fixture.followers[1:3]
        assert fixture.list_rows() == [
            node for node in fixture.nodes if node not in lost
        ]

    run_script(script, count=8)


def test_rows_of_hosts_that_do_not_follow_but_answer_stay():
    # Processes of an earlier release, during an upgrade.
    async def script(fixture):
        await curio.sleep(2 * ORPHAN_TIME)
        assert fixture.list_rows() == fixture.nodes

    run_script(script, count=8, silent_followers=2)


def test_reader_that_lost_most_of_its_followers_removes_no_rows():
    async def script(fixture):
        for node in fixture.followers[1:]:
            await node.kill()
        await curio.sleep(2 * ORPHAN_TIME)
        assert fixture.list_rows() == fixture.nodes

    run_script(script, count=8)


def test_subscription_is_acknowledged_before_all_rows_are_sent():
    # On a narrow link the rows came after the time for the acknowledgement, and
    # the source was taken for one that had failed.
    row = StoredRow("orders", b"route", Version(7))
    whole = TableChange(Version(0), Version(7), (row,))
    sharing = TableSharing(
        SharedTable.CONFIGURATION,
        NEWCOMER.relay,
        NoSource(),
        LinkPool(NoticeRecorder()),
        lambda known: whole,
    )
    recorder = ChangeRecorder()
    run_virtual(sharing.subscribe(recorder, "127.0.0.1:1", Version(3)))
    assert recorder.changes == [TableChange(Version(3), Version(3)), whole]


class DeadSource(NoSource):
    """Chooses a node that does not run."""

    def __init__(self):
        self.excluded = []

    def choose(self, now):
        return Address("127.0.0.1", 1)

    def exclude(self, relay, now):
        self.excluded.append(relay)


def test_paused_node_reads_what_has_arrived_before_it_leaves_its_source():
    # Woken nodes left sources that had told them everything in time.
    clock = VirtualClock()

    def build_change(version):
        position = Position(read_clock(), 0)
        return TableChange(
            Version(version), Version(version), position=position, timed=True
        )

    async def main():
        link, selector = QueueLink(), DeadSource()
        freshness = Freshness(Seconds(2.0))
        sharing = TableSharing(
            SharedTable.CONFIGURATION,
            NEWCOMER.relay,
            selector,
            QueueLinkPool(link),
            freshness=freshness,
        )
        await link.changes.put(build_change(3))
        change = await sharing.receive(Version(3))
        freshness.advance(change.position, read_clock())
        receiver = await curio.spawn(sharing.receive, Version(3))
        await curio.sleep(0.1)
        clock.advance(5.0)
        await curio.sleep(0.001)
        await link.changes.put(build_change(3))
        assert await receiver.join() is not None
        return selector.excluded

    assert run_virtual(main(), clock) == []


def test_node_behind_an_earlier_release_promises_no_positions():
    # Its followers would have left it when the last position was old.
    recorder = ChangeRecorder()
    freshness = Freshness(Seconds(2.0))
    sharing = TableSharing(
        SharedTable.CONFIGURATION,
        NEWCOMER.relay,
        NoSource(),
        LinkPool(NoticeRecorder()),
        freshness=freshness,
    )

    async def main():
        await sharing.subscribe(recorder, "127.0.0.1:2", Version(3))
        freshness.advance(Position(read_clock(), 0), read_clock())
        await sharing.publish(TableChange(Version(3), Version(3)))
        freshness.forget()
        await sharing.publish(TableChange(Version(3), Version(3)))

    run_virtual(main())
    assert [change.timed for change in recorder.changes] == [False, True, False]


def make_pending_sharing(selector):
    return TableSharing(
        SharedTable.CONFIGURATION,
        NEWCOMER.relay,
        selector,
        LinkPool(NoticeRecorder()),
        limits=SharingLimits(max_tried=2, doubt_time=Seconds(0.2)),
    )


def test_node_that_lost_its_source_soon_tells_its_followers():
    # They waited for it while it looked for another source for 2 s.
    recorder = ChangeRecorder()

    async def main():
        sharing = make_pending_sharing(DeadSource())
        await sharing.confirm()
        await sharing.subscribe(recorder, "127.0.0.1:2", Version(0))
        assert await sharing.receive(Version(0)) is None
        await curio.sleep(0.1)
        told = [change.available for change in recorder.changes]
        await curio.sleep(0.2)
        return told

    assert run_virtual(main()) == [True]
    assert [change.available for change in recorder.changes] == [True, False]


def test_node_that_finds_another_source_in_time_keeps_its_followers():
    recorder = ChangeRecorder()

    async def main():
        sharing = make_pending_sharing(DeadSource())
        await sharing.confirm()
        await sharing.subscribe(recorder, "127.0.0.1:2", Version(0))
        await sharing.receive(Version(0))
        await sharing.confirm()
        await curio.sleep(1.0)

    run_virtual(main())
    assert [change.available for change in recorder.changes] == [True]


def test_second_loss_of_a_source_gets_its_whole_time():
    # The delay after the first loss ended that after the second one.
    recorder = ChangeRecorder()

    async def main():
        sharing = make_pending_sharing(DeadSource())
        await sharing.confirm()
        await sharing.subscribe(recorder, "127.0.0.1:2", Version(0))
        for _ in range(2):
            await sharing.receive(Version(0))
            await curio.sleep(0.15)
            await sharing.confirm()
        await curio.sleep(1.0)

    run_virtual(main())
    assert [change.available for change in recorder.changes] == [True]


def test_subscription_is_answered_once_the_node_gets_the_changes():
    # A node that could not read the store either seemed to be a source.
    recorder = ChangeRecorder()

    async def main():
        sharing = make_pending_sharing(NoSource())
        await sharing.subscribe(recorder, "127.0.0.1:2", Version(0))
        assert recorder.changes == []
        change = TableChange(Version(0), Version(3))
        await sharing.publish(change)

    run_virtual(main())
    assert len(recorder.changes) == 1
    assert recorder.changes[0].version == 3
