"""Guards what a node believes against a store that is away, late or forgets."""

import contextlib
import random

import curio

from egretlever.core import Address, Seconds
from egretlever.placement import Directory
from egretlever.platform import make_row_store
from egretlever.platform.tests.wire_builders import (
    build_configuration_body,
)
from egretlever.relay._codec import decode_row, encode_row
from egretlever.relay._followers import (
    SERVER_TABLE,
    make_configuration_follower,
    make_directory_follower,
)
from egretlever.relay._publishing import ServerPublisher
from egretlever.standins import RowsFault, RowsStandIn
from egretlever.testing import run_virtual
from egretlever.testing.relay_builders import build_home_server

ONE, TWO = build_home_server(1), build_home_server(2)


class StoreFixture:
    """A node's followers and its publisher before the stand-in."""

    def __init__(self):
        self.store = RowsStandIn()
        client = make_row_store(self.store.address, Seconds(2.0))
        rng = random.Random(5)
        self.versions = []
        self.forgotten = []
        self.local = None
        self.directory = Directory()
        self.configuration = make_configuration_follower(
            client, self.configure, rng
        )
        self.servers = make_directory_follower(
            client, self.directory, self.forgotten.append, rng
        )
        self.publisher = ServerPublisher(
            client, lambda: self.local, self.directory, self.servers, rng
        )

    def configure(self, configuration):
        if self.versions and configuration.version <= self.versions[-1]:
            return False
        self.versions.append(configuration.version)
        return True

    async def publish(self, server):
        self.local = server
        await self.publisher.notify()

    def read_row(self, server):
        value = self.store.find(SERVER_TABLE, server.id)
        return None if value is None else decode_row(value).unwrap()

    @contextlib.asynccontextmanager
    async def running(self):
        tasks = [
            await curio.spawn(part, daemon=True)
            for part in (
                self.store.run,
                self.configuration.follow_forever,
                self.servers.follow_forever,
                self.publisher.publish_forever,
            )
        ]
        try:
            yield
        finally:
            for task in tasks:
                await task.cancel()


def run_script(script):
    fixture = StoreFixture()

    async def main():
        async with fixture.running():
            await script(fixture)

    run_virtual(main())
    return fixture


async def put_configuration(fixture, version):
    body = build_configuration_body(f"{version:08x}")
    await fixture.store.put("op", "config", body)


def test_a_configuration_is_in_force_soon_and_never_reverts():
    async def script(fixture):
        await put_configuration(fixture, 7)
        await curio.sleep(0.5)
        await put_configuration(fixture, 12)
        await curio.sleep(0.5)
        await put_configuration(fixture, 9)
        await curio.sleep(0.5)

    assert run_script(script).versions == [7, 12]


def test_a_configuration_that_came_while_the_store_was_away_is_taken():
    async def script(fixture):
        await put_configuration(fixture, 7)
        await curio.sleep(0.5)
        fixture.store.fault = RowsFault.BUSY
        await curio.sleep(30.0)
        await put_configuration(fixture, 8)
        fixture.store.fault = RowsFault.NONE
        await curio.sleep(2.0)

    assert run_script(script).versions == [7, 8]


def test_a_store_that_fell_silent_holds_no_configuration_back_for_long():
    # A long poll that began while the store was silent was waited for 27 s.
    async def script(fixture):
        await put_configuration(fixture, 7)
        await curio.sleep(0.5)
        fixture.store.fault = RowsFault.BUSY
        await curio.sleep(30.0)
        fixture.store.fault = RowsFault.SILENT
        await curio.sleep(3.0)
        fixture.store.fault = RowsFault.NONE
        await put_configuration(fixture, 8)
        await curio.sleep(4.5)

    assert run_script(script).versions == [7, 8]


def test_a_dropped_history_leads_to_a_new_reading():
    async def script(fixture):
        await fixture.store.put(SERVER_TABLE, ONE.id, encode_row(ONE))
        await curio.sleep(1.0)
        fixture.store.fault = RowsFault.BUSY
        await curio.sleep(26.0)
        await fixture.store.put(SERVER_TABLE, ONE.id, None)
        await fixture.store.put(SERVER_TABLE, TWO.id, encode_row(TWO))
        fixture.store.forget_history()
        fixture.store.fault = RowsFault.NONE
        await curio.sleep(5.0)

    fixture = run_script(script)
    assert fixture.directory.list_servers("ordering") == [TWO]


def test_a_refused_configuration_leaves_the_one_before_in_force():
    async def script(fixture):
        await put_configuration(fixture, 7)
        await curio.sleep(0.5)
        body = build_configuration_body("00000008", timeout="soon")
        await fixture.store.put("op", "config", body)
        await fixture.store.put("op", "config", b"\xff{")
        await curio.sleep(1.0)

    assert run_script(script).versions == [7]


def test_damaged_rows_are_left_out_and_the_others_hold():
    async def script(fixture):
        await fixture.store.put(SERVER_TABLE, "x", b"\xff\xff")
        await fixture.store.put(SERVER_TABLE, ONE.id, encode_row(ONE))
        await curio.sleep(1.0)

    assert run_script(script).directory.list_servers("ordering") == [ONE]


def test_a_row_is_written_once_and_removed_when_the_server_leaves():
    async def script(fixture):
        await fixture.publish(ONE)
        await fixture.publish(ONE)
        await curio.sleep(1.0)
        assert fixture.read_row(ONE) == ONE
        assert fixture.store.calls.count("POST /rows-tx") == 1
        await fixture.publish(None)
        await curio.sleep(5.0)
        assert fixture.store.calls.count("POST /rows-tx") == 2

    assert run_script(script).read_row(ONE) is None


def test_a_restarted_node_finds_its_row_and_writes_nothing():
    async def script(fixture):
        await fixture.store.put(SERVER_TABLE, ONE.id, encode_row(ONE))
        await fixture.publish(ONE)
        await curio.sleep(1.0)

    assert "POST /rows-tx" not in run_script(script).store.calls


def test_the_row_of_a_replaced_server_is_removed_by_the_next_process():
    old = build_home_server(9, relay=ONE.relay)

    async def script(fixture):
        await fixture.store.put(SERVER_TABLE, old.id, encode_row(old))
        await curio.sleep(0.5)
        await fixture.publish(ONE)
        await curio.sleep(1.0)

    fixture = run_script(script)
    assert fixture.read_row(old) is None
    assert fixture.read_row(ONE) == ONE


def test_a_lost_answer_ends_in_one_right_row():
    async def script(fixture):
        await curio.sleep(0.5)
        fixture.store.fault = RowsFault.LOST
        await fixture.publish(ONE)
        await curio.sleep(3.0)
        fixture.store.fault = RowsFault.NONE
        await curio.sleep(3.0)

    fixture = run_script(script)
    assert fixture.read_row(ONE) == ONE
    assert fixture.store.calls.count("POST /rows-tx") == 1


def test_a_late_write_does_not_bring_a_server_back_that_has_left():
    async def script(fixture):
        await curio.sleep(0.5)
        fixture.store.fault, fixture.store.delay = RowsFault.LATE, 6.0
        await fixture.publish(ONE)
        await curio.sleep(2.5)
        fixture.store.fault = RowsFault.NONE
        await curio.sleep(1.0)
        await fixture.publish(None)
        await curio.sleep(10.0)

    assert run_script(script).read_row(ONE) is None


def test_rows_of_a_store_that_was_away_are_back_within_two_seconds():
    async def script(fixture):
        await curio.sleep(0.5)
        fixture.store.fault = RowsFault.BUSY
        await fixture.publish(ONE)
        await curio.sleep(60.0)
        fixture.store.fault = RowsFault.NONE
        await curio.sleep(2.0)
        assert fixture.read_row(ONE) == ONE

    run_script(script)


def test_waiting_for_changes_costs_few_calls():
    async def script(fixture):
        await curio.sleep(100.0)

    assert len(run_script(script).store.calls) <= 12


def test_an_address_without_a_store_ends_nothing():
    client = make_row_store(Address("127.0.0.1", 1), Seconds(0.5))
    taken = []
    follower = make_configuration_follower(
        client, taken.append, random.Random(1)
    )

    async def main():
        task = await curio.spawn(follower.follow_forever, daemon=True)
        await curio.sleep(10.0)
        alive = not task.terminated
        await task.cancel()
        return alive

    assert run_virtual(main())
    assert not follower.synced
