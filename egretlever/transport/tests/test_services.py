"""Guards accept loops against connections that outlive them."""

import curio
import pytest

from egretlever.core import Address, Seconds
from egretlever.testing import run_virtual
from egretlever.transport import (
    accept_connections,
    open_connection,
    open_listener,
)


@pytest.mark.parametrize("cancel_connections", [True, False])
def test_cancelled_loop_cancels_its_connections_only_with_option(
    cancel_connections,
):
    # Guards against connections that spawn tasks during the shutdown of the
    # kernel: a planned stop under load ended with a traceback and status 1.
    # Without the option connections go on, so that a node which only closes
    # its listener can finish the requests it has read.
    finished = []

    async def handle(sock):
        try:
            await curio.sleep(60.0)
        finally:
            finished.append(sock)

    async def main():
        listener = open_listener(Address("127.0.0.1", 0))
        address = Address(*listener.getsockname()[:2])
        task = await curio.spawn(
            lambda: accept_connections(
                listener, handle, 9, cancel_connections=cancel_connections
            )
        )
        client = await open_connection(address, Seconds(1.0))
        await curio.sleep(0.1)
        await task.cancel()
        count = len(finished)
        await client.close()
        await listener.close()
        return count

    assert run_virtual(main()) == int(cancel_connections)
