"""Tests that a configuration reaches all nodes of a region in time."""

import random

import curio
import pytest

from egretlever.core import Seconds
from egretlever.platform import Bounds
from egretlever.platform.tests.wire_builders import (
    build_configuration_body,
    build_large_configuration,
)
from egretlever.standins import RowsFault, RowsStandIn
from egretlever.testing import run_virtual
from egretlever.testing._relay_region import CLIENT_HOST, RegionFixture

NODES = 40
ROUTES = 1400
LAST_ROUTE = f"/more/{ROUTES - 1}/"
LINK_BYTES_PER_SECOND = 30e6 / 8
IN_FORCE_WITHIN = 3.0  # seconds
FIRST = build_configuration_body("00000001", host=CLIENT_HOST)
LARGE = build_large_configuration("00000005", ROUTES, host=CLIENT_HOST)


def run_script(script, count=NODES, **options):
    async def main():
        fixture = RegionFixture(count, LINK_BYTES_PER_SECOND, **options)
        async with fixture.running(FIRST):
            await script(fixture)

    run_virtual(main())


def test_large_configuration_is_in_force_in_time_behind_a_shared_link():
    # Each of 51 hosts read 0.45 MB over the link of its region, which took 6 s.
    async def script(fixture):
        await fixture.configure(LARGE)
        await curio.sleep(IN_FORCE_WITHIN)
        assert await fixture.count_without(LAST_ROUTE) == 0

    run_script(script)


def test_region_reads_a_configuration_from_the_store_once():
    async def script(fixture):
        fixture.link.carried_bytes = 0
        await fixture.configure(LARGE)
        await curio.sleep(IN_FORCE_WITHIN)
        assert await fixture.count_without(LAST_ROUTE) == 0
        assert fixture.link.carried_bytes < 2 * len(LARGE)

    run_script(script)


def test_nodes_that_start_together_have_a_large_configuration_in_time():
    # All of them read it from the store, and each read began anew after 2 s.
    async def script(fixture):
        await fixture.configure(LARGE)
        await curio.sleep(10.0)
        for node in fixture.nodes:
            await node.kill()
        for node in fixture.nodes:
            await node.start()
        await curio.sleep(IN_FORCE_WITHIN)
        assert await fixture.count_without(LAST_ROUTE) == 0

    run_script(script)


@pytest.mark.parametrize("killed", [(0,), (0, 1), (0, 10), (1, 2, 3, 4)])
def test_configuration_is_in_force_in_time_when_sources_were_killed(killed):
    async def script(fixture):
        await fixture.configure(LARGE)
        for number in killed:
            await fixture.nodes[number].kill()
        await curio.sleep(IN_FORCE_WITHIN)
        assert await fixture.count_without(LAST_ROUTE) == 0

    run_script(script, count=20)


def test_nodes_whose_source_cannot_read_the_store_go_on_without_it():
    # Each node depends on others for the configuration, and on none for long.
    async def script(fixture):
        silent = RowsStandIn()
        silent.fault = RowsFault.SILENT
        await curio.spawn(silent.run, daemon=True)
        first, *others = fixture.nodes
        for node in fixture.nodes:
            await node.kill()
        first.read_store_at(silent.address)
        for node in fixture.nodes:
            await node.start()
        await curio.sleep(5.0)
        await fixture.configure(LARGE)
        await curio.sleep(IN_FORCE_WITHIN)
        assert all([await node.knows_route(LAST_ROUTE) for node in others])

    run_script(script, count=20)


@pytest.mark.parametrize("wait", [6.0, 7.0, 8.0, 9.0])
def test_silent_source_holds_up_a_configuration_only_briefly(wait):
    # A source that is frozen or cut off acknowledged the subscription before.
    async def script(fixture):
        first, *others = fixture.nodes
        await first.kill()
        await first.start_silent()
        await curio.sleep(wait)
        await fixture.configure(LARGE)
        await curio.sleep(IN_FORCE_WITHIN)
        assert all([await node.knows_route(LAST_ROUTE) for node in others])

    run_script(script, count=20)


def test_later_configuration_replaces_a_large_one():
    async def script(fixture):
        await fixture.configure(LARGE)
        await curio.sleep(IN_FORCE_WITHIN)
        await fixture.configure(
            build_configuration_body("00000009", host=CLIENT_HOST)
        )
        await curio.sleep(IN_FORCE_WITHIN)
        assert await fixture.count_without(LAST_ROUTE) == len(fixture.nodes)

    run_script(script, count=20)


@pytest.mark.parametrize("seed", range(8))
def test_nodes_that_the_store_turns_away_hold_up_no_other_node(seed):
    # A node waited 2.4 s for others that had lost the store one after another.
    rng = random.Random(seed)
    others = [*range(1, 10), *range(11, 20)]
    turned_away = [0, 10, *rng.sample(others, 5)]
    wait = rng.uniform(0.2, 1.6)

    async def script(fixture):
        fixture.door.busy = True
        await curio.sleep(wait)
        await fixture.configure(LARGE)
        await curio.sleep(2.0)
        late = [
            place
            for place, node in enumerate(fixture.nodes)
            if place not in turned_away
            and not await node.knows_route(LAST_ROUTE)
        ]
        assert late == []

    run_script(
        script,
        count=20,
        bounds=Bounds(configuration=Seconds(2.0)),
        turned_away=turned_away,
    )


STUCK = 3600.0  # seconds
BOUNDS = Bounds(configuration=Seconds(2.0))


async def list_late(fixture, harmed):
    """Configure, and list the places of the nodes without it after 2 s."""
    await fixture.configure(LARGE)
    await curio.sleep(2.0)
    return [
        place
        for place, node in enumerate(fixture.nodes)
        if place not in harmed
        and node.running
        and not await node.knows_route(LAST_ROUTE)
    ]


@pytest.mark.parametrize("wait", [0.0, 0.3, 0.6, 5.0])
@pytest.mark.parametrize("stuck", [(0,), (1,), (10,), (0, 1), (1, 2)])
def test_source_that_answers_pings_and_passes_nothing_on_is_left(stuck, wait):
    # Its followers were behind until the source passed something on again.
    async def script(fixture):
        for place in stuck:
            fixture.nodes[place].hold_up(STUCK)
        await curio.sleep(wait)
        assert await list_late(fixture, stuck) == []

    run_script(script, count=20, bounds=BOUNDS)


@pytest.mark.parametrize("delay", [0.3, 0.6, 1.5])
def test_slow_sources_in_a_row_delay_a_configuration_within_its_bound(delay):
    # Each of them was late by itself, and nobody knew the sum.
    slow = (0, 10, 11)

    async def script(fixture):
        for place in slow:
            fixture.nodes[place].hold_up(delay)
        await curio.sleep(4.0)
        assert await list_late(fixture, slow) == []

    run_script(script, count=20, bounds=BOUNDS)


@pytest.mark.parametrize("wait", [0.0, 0.4, 1.0])
@pytest.mark.parametrize("killed", [(0,), (2,), (10,)])
def test_loss_of_a_source_beside_a_stuck_one_delays_no_configuration(
    killed, wait
):
    # The store was asked only after each of them had been given up.
    stuck = (1,)

    async def script(fixture):
        for place in stuck:
            fixture.nodes[place].hold_up(STUCK)
        await curio.sleep(wait)
        for place in killed:
            await fixture.nodes[place].kill()
        assert await list_late(fixture, stuck) == []

    run_script(script, count=20, bounds=BOUNDS)


@pytest.mark.parametrize("wait", [0.4, 1.3])
def test_loss_of_three_sources_in_a_row_delays_no_configuration(wait):
    # Nodes that waited for them read a large configuration together.
    stuck = (1, 2)

    async def script(fixture):
        for place in stuck:
            fixture.nodes[place].hold_up(STUCK)
        await curio.sleep(wait)
        await fixture.nodes[0].kill()
        assert await list_late(fixture, stuck) == []

    run_script(script, count=20, bounds=BOUNDS)


@pytest.mark.parametrize("stuck", [(0,), (1,), (0, 1)])
def test_stuck_source_sends_few_nodes_to_the_store(stuck):
    # Calls are paid, and the nodes of a region notice old information together.
    async def script(fixture):
        for place in stuck:
            fixture.nodes[place].hold_up(STUCK)
        await curio.sleep(5.0)
        # One reader makes 7 of them in calm.
        assert len(fixture.store.calls) <= 24

    run_script(script, count=20, bounds=BOUNDS)


def test_gap_between_changes_is_closed_without_the_store():
    # The node waited for the next change, and its branch with it.
    source, refused = 1, (5, 6, 7, 8)

    async def script(fixture):
        fixture.door.busy = True
        fixture.nodes[source].overtake(LARGE)
        assert await list_late(fixture, ()) == []
        assert fixture.door.turned_away == 0

    run_script(script, count=20, bounds=BOUNDS, turned_away=refused)
