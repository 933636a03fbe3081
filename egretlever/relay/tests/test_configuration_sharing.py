"""Tests that a configuration reaches all nodes of a region in time."""

import curio

from egretlever.platform.tests.wire_builders import (
    build_configuration_body,
    build_large_configuration,
)
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
