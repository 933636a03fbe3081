"""Tests the directory passed on from node to node."""

import curio

from egretlever.core import Seconds
from egretlever.platform import Bounds
from egretlever.platform.tests.wire_builders import build_configuration_body
from egretlever.relay._codec import encode_row
from egretlever.relay._followers import SERVER_TABLE
from egretlever.testing import run_virtual
from egretlever.testing._relay_region import CLIENT_HOST, RegionFixture
from egretlever.testing.relay_builders import build_home_server

BYTES_PER_SECOND = 3.75e6
BOUNDS = Bounds(configuration=Seconds(2.0))


def test_reader_that_passes_nothing_on_does_not_hide_new_servers():
    # Its connection lives, so that its failure domain follows it for good.
    async def main():
        fixture = RegionFixture(8, BYTES_PER_SECOND, bounds=BOUNDS)
        body = build_configuration_body("00000001", host=CLIENT_HOST)
        async with fixture.running(body):
            fixture.nodes[0].hold_up_directory(3600.0)
            await curio.sleep(1.0)
            row = build_home_server(
                900, failure_domain=fixture.nodes[0].row.failure_domain
            )
            await fixture.store.put(SERVER_TABLE, row.id, encode_row(row))
            await curio.sleep(60.0)
            return [node.knows_server(row.id) for node in fixture.nodes[1:]]

    assert all(run_virtual(main()))
