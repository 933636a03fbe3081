"""Guards against servers that are in use again after their departure."""

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretlever.platform.tests.wire_builders import build_heartbeat_body
from egretlever.standins import RowsFault
from egretlever.testing._announcer import Announcer, Event
from egretlever.testing._relay_host import run_on_host

BORN = build_heartbeat_body()["born"]


@settings(max_examples=120)
@given(events=st.lists(st.sampled_from(Event), min_size=4, max_size=14))
def test_server_whose_leaving_was_acknowledged_is_never_in_use_again(events):
    async def script(host):
        announcer = Announcer(host)
        await announcer.play(Event.HEARTBEAT)
        for event in events:
            await announcer.play(event)
            if announcer.left and announcer.runs:
                assert not await host.serves()

    run_on_host(script)


@pytest.mark.parametrize("born", [None, BORN])
def test_departure_of_a_server_that_was_not_heard_from_is_kept(born):
    # The node had restarted, acknowledged the departure, and then took a late
    # heartbeat for that of a new server.
    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        assert await host.serves()
        await host.restart()
        await curio.sleep(1.0)
        assert await host.depart(born) == 200
        assert host.is_marked_leaving()
        await host.announce(2)
        assert not await host.serves()
        # Nor does the next process take it back.
        await host.restart()
        await curio.sleep(1.0)
        await host.announce(3)
        assert not await host.serves()

    run_on_host(script)


def test_departure_of_a_server_without_a_row_outlasts_the_process():
    async def script(host):
        await curio.sleep(1.0)
        assert await host.depart() == 200
        await host.restart()
        await curio.sleep(1.0)
        await host.announce(1)
        assert not await host.serves()
        # The next incarnation under the same id is another server.
        await host.announce(1, born=BORN + 10**12)
        assert await host.serves()

    run_on_host(script)


def test_departure_of_an_incarnation_that_was_not_heard_from_is_kept():
    # Only the incarnation before it was remembered as departed.
    async def script(host):
        await host.announce(5)
        await curio.sleep(1.0)
        assert await host.depart(BORN + 9) == 200
        await host.announce(1, born=BORN + 9)
        assert not await host.serves()
        await host.restart()
        await curio.sleep(1.0)
        await host.announce(2, born=BORN + 9)
        assert not await host.serves()

    run_on_host(script)


def test_departure_of_an_earlier_incarnation_is_acknowledged_at_once():
    async def script(host):
        await host.announce(1, born=BORN + 9)
        await curio.sleep(1.0)
        begun = await curio.clock()
        assert await host.depart(BORN) == 200
        assert await curio.clock() - begun < 0.1
        assert await host.serves()
        assert not host.is_marked_leaving()

    run_on_host(script)


def test_server_starts_again_under_its_id_after_its_departure():
    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        assert await host.depart(BORN) == 200
        await host.announce(1, born=BORN + 9)
        assert await host.serves()
        await curio.sleep(1.0)
        assert not host.is_marked_leaving()

    run_on_host(script)


@pytest.mark.parametrize("fault", [RowsFault.BUSY, RowsFault.SILENT])
@pytest.mark.parametrize("announces", [False, True])
def test_leaving_is_acknowledged_only_when_the_store_has_it(fault, announces):
    # The next process knows nothing but the row, and took the server back.
    async def script(host):
        async def leave():
            if announces:
                return await host.announce(2, "draining")
            return await host.depart()

        await host.announce(1)
        await curio.sleep(1.0)
        host.store.fault = fault
        assert await leave() == 503
        assert not await host.serves()
        await host.restart()
        assert await leave() == 503
        host.store.fault = RowsFault.NONE
        await curio.sleep(4.0)
        assert await leave() == 200
        await host.restart()
        await curio.sleep(1.0)
        await host.announce(1)
        assert not await host.serves()

    run_on_host(script)


def test_repeated_departure_waits_for_the_same_row():
    # Each repetition counted as a later incarnation, which a slow store never
    # had in time.
    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        host.store.fault = RowsFault.BUSY
        assert await host.depart() == 503
        assert await host.depart() == 503
        host.store.fault = RowsFault.NONE
        await curio.sleep(4.0)
        writes = host.store.calls.count("POST /rows-tx")
        assert await host.depart() == 200
        assert host.store.calls.count("POST /rows-tx") == writes

    run_on_host(script)


def test_stop_keeps_the_row_of_a_server_that_serves_on_after_its_departure():
    # A server that does not drain first departs, serves on and then exits. Its
    # row went with the node, and the next process took the server back.
    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        assert await host.depart() == 200
        await host.stop()
        await host.start()
        await curio.sleep(1.0)
        await host.announce(2)
        assert not await host.serves()

    run_on_host(script)


def test_stop_keeps_the_row_of_a_server_whose_predecessor_had_drained():
    # Found by random series, seed 7.
    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        assert await host.announce(2, "draining") == 200
        assert await host.depart(BORN + 9) == 200
        await host.stop()
        await host.start()
        await curio.sleep(1.0)
        await host.announce(1)
        assert not await host.serves()

    run_on_host(script)


def test_stop_removes_the_row_of_a_server_that_drained_before_it_departed():
    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        assert await host.announce(2, "draining") == 200
        assert await host.depart() == 200
        await host.stop()
        assert not host.is_marked_leaving()

    run_on_host(script)


def test_node_that_cannot_read_the_store_takes_a_server_that_asks_again():
    async def script(host):
        host.store.fault = RowsFault.SILENT
        await host.restart()
        begun = await curio.clock()
        assert await host.announce(1) == 503
        assert await curio.clock() - begun < 1.0
        assert await host.announce(2) == 200

    run_on_host(script)
