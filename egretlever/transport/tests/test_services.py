"""Guards loops that accept connections against work after their end."""

import curio

from egretlever.core import Address, Seconds
from egretlever.testing import run_virtual
from egretlever.transport import (
    accept_connections,
    open_connection,
    open_listener,
)


def test_cancelling_the_loop_ends_its_connections():
    # Connections that lived on started tasks while the kernel was shut down,
    # and a planned stop under load ended with a traceback and status 1.
    ended = []

    async def handle(sock):
        try:
            await curio.sleep(60.0)
        finally:
            ended.append(sock)

    async def main():
        listener = open_listener(Address("127.0.0.1", 0))
        address = Address(*listener.getsockname()[:2])
        task = await curio.spawn(accept_connections, listener, handle, 9)
        client = await open_connection(address, Seconds(1.0))
        await curio.sleep(0.1)
        await task.cancel()
        count = len(ended)
        await client.close()
        await listener.close()
        return count

    assert run_virtual(main()) == 1
