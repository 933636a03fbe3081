"""Guards against too many store operations and failed joins by sample."""

import random

from egretlever.core import Address, NodeId, RegionName, Seconds, Version
from egretlever.membership import Collaborators, make_membership
from egretlever.node._maintenance import (
    MaintenanceTask,
    StoreMaintenance,
    TaskSchedule,
)
from egretlever.orders import SweepReport, choose_sweeper, make_claim_sweep
from egretlever.testing import FakeTableStore, run_virtual
from egretlever.testing.builders import build_node_header, build_node_snapshots

REGION = RegionName("punjab")


class RecordingReceiver:
    """Records the sample of addresses that it receives."""

    def __init__(self):
        self.offered = []

    def receive_address_sample(self, addresses):
        self.offered = list(addresses)


def make_maintenance(store, node="node-1", region=REGION, seed=1):
    schedule = TaskSchedule(random.Random(seed))
    sweep = make_claim_sweep(store, NodeId(node))
    return StoreMaintenance(
        NodeId(node),
        region,
        schedule,
        store,
        sweep,
        RecordingReceiver(),
        random.Random(seed),
    )


def count_due(schedule, task, seconds):
    return sum(
        task in schedule.advance(Seconds(second))
        for second in range(1, seconds)
    )


def test_only_the_chosen_writer_writes_about_every_30_s():
    schedule = TaskSchedule(random.Random(1))
    assert count_due(schedule, MaintenanceTask.WRITE_SAMPLE, 3600) == 0
    schedule.set_roles(True, False, Seconds(0.0))
    assert 96 <= count_due(schedule, MaintenanceTask.WRITE_SAMPLE, 3600) <= 152
    schedule.set_roles(False, False, Seconds(3600.0))
    assert count_due(schedule, MaintenanceTask.WRITE_SAMPLE, 9000) == 0


def test_the_sample_is_read_only_on_request():
    schedule = TaskSchedule(random.Random(1))
    schedule.request(Seconds(0.0))
    assert schedule.advance(Seconds(0.0)) == [MaintenanceTask.READ_SAMPLE]
    assert schedule.advance(Seconds(1.0)) == []


def test_the_sweep_pauses_after_a_pass_and_after_a_failure():
    schedule = TaskSchedule(random.Random(1))
    schedule.set_roles(False, True, Seconds(0.0))
    for report, shortest, longest in (
        (SweepReport(100, 0, False), 0.64, 1.0),
        (SweepReport(3, 0, True), 2880, 4320),
        (None, 24, 36),
    ):
        schedule.observe_sweep(report, Seconds(100.0))
        assert schedule.advance(Seconds(100.0 + shortest - 0.01)) == []
        due = schedule.advance(Seconds(100.0 + longest + 0.01))
        assert due == [MaintenanceTask.SWEEP]


def test_one_node_per_region_writes_and_one_per_fleet_sweeps():
    nodes = build_node_snapshots(12)
    readers = [node.id for node in nodes if node.region == REGION][:3]
    writers, sweepers = [], []
    for node in nodes:
        maintenance = make_maintenance(FakeTableStore(), node.id, node.region)
        mine = readers if node.region == REGION else ()
        maintenance.choose_roles(mine, nodes, Seconds(0.0))
        due = maintenance.schedule.advance(Seconds(100.0))
        writers += [node.id] * (MaintenanceTask.WRITE_SAMPLE in due)
        sweepers += [node.id] * (MaintenanceTask.SWEEP in due)
    assert writers == readers[:1]
    chosen = choose_sweeper(node.id for node in nodes)
    assert sweepers == [one.id for one in nodes if one.id == chosen]


def test_a_joining_node_receives_the_sampled_addresses():
    store = FakeTableStore()
    nodes = build_node_snapshots(40)
    writer, starter = (
        make_maintenance(store),
        make_maintenance(store, "node-99"),
    )
    writer.choose_roles([NodeId("node-1")], nodes, Seconds(0.0))

    async def run():
        await writer._write_sample()
        starter.schedule.request(Seconds(0.0))
        await starter.run()

    run_virtual(run())
    near = {node.gossip for node in nodes if node.region == REGION}
    assert len(set(starter.members.offered)) == 16
    assert set(starter.members.offered) <= near


def test_store_failures_and_malformed_rows_are_tolerated():
    store = FakeTableStore()
    maintenance = make_maintenance(store)

    async def run():
        await store.write({"members/sample/x": b"\xff"}, {})
        maintenance.schedule.request(Seconds(0.0))
        await maintenance.run()
        store.unavailable = True
        maintenance.schedule.request(Seconds(0.0))
        maintenance.schedule.set_roles(True, True, Seconds(-100.0))
        await maintenance.run()

    run_virtual(run())
    assert maintenance.members.offered == []


def test_membership_requests_the_sample_only_while_no_seed_answers():
    schedule = TaskSchedule(random.Random(1))
    member = make_membership(
        build_node_header(1),
        Version(1),
        [Address("127.0.0.1", 9)],
        collaborators=Collaborators(sample=schedule),
        rng=random.Random(1),
    )
    asked = []
    for tick in range(120):
        now = Seconds(tick * 0.5)
        member.advance(now)
        asked += [now] * (
            schedule.advance(now) == [MaintenanceTask.READ_SAMPLE]
        )
    assert asked[0] >= 2.0
    assert 4 <= len(asked) <= 6
