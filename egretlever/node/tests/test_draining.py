"""Guards callers of a draining node against requests on closed connections."""

import random

import curio
import pytest

from egretlever.catalogue import make_catalogue_state
from egretlever.core import Address, Seconds
from egretlever.node._frontend import accept_callers
from egretlever.node._proxy import Proxy
from egretlever.schema import settings_pb2
from egretlever.testing import run_virtual
from egretlever.transport import (
    NO_FAULTS,
    BackendConnection,
    CallerConnection,
    ConnectError,
    RequestHead,
    accept_connections,
    open_connection,
    open_listener,
)

REQUEST = RequestHead("GET", "/", [(b"host", b"x")])


async def exchange(connection):
    await connection.send_request(REQUEST)
    head = await connection.read_response()
    while not connection.ended:
        await connection.read_data()
    return head.find(b"connection"), connection.prepare_next()


async def run_proxy(scenario):
    """Run a scenario with a proxy and a function that connects to it."""
    proxy = Proxy(make_catalogue_state(), None, random.Random(1))
    listener = open_listener(Address("127.0.0.1", 0))
    address = Address("127.0.0.1", listener.getsockname()[1])

    async def serve(sock):
        await proxy.serve(CallerConnection(sock), "127.0.0.1")

    async def connect():
        return BackendConnection(await open_connection(address, Seconds(1.0)))

    task = await curio.spawn(accept_connections, listener, serve, 10)
    try:
        return await scenario(proxy, connect)
    finally:
        await task.cancel()
        await listener.close()


def test_a_draining_node_announces_that_it_closes_the_connection():
    # Without the header, the caller sent its next request on the closed
    # connection and got no outcome.
    async def scenario(proxy, connect):
        connection = await connect()
        before = await exchange(connection)
        proxy.start_draining()
        after = await exchange(connection)
        await connection.close()
        return before, after

    assert run_virtual(run_proxy(scenario)) == ((None, True), ("close", False))


def test_a_refused_request_without_body_keeps_the_connection():
    # The connection was closed after the refusal without announcing it.
    async def scenario(proxy, connect):
        connection = await connect()
        answers = [await exchange(connection) for _ in range(3)]
        await connection.close()
        return answers

    assert run_virtual(run_proxy(scenario)) == [(None, True)] * 3


def test_a_refusal_before_the_end_of_the_body_announces_the_close():
    async def scenario(proxy, connect):
        connection = await connect()
        head = RequestHead(
            "POST", "/", [(b"host", b"x"), (b"content-length", b"5")]
        )
        await connection.send_request(head, b"ab", False)
        answer = await connection.read_response()
        await connection.close()
        return answer.find(b"connection")

    assert run_virtual(run_proxy(scenario)) == "close"


def test_no_connection_is_left_in_the_accept_queue():
    # The system accepted such a connection, and reset it when the node exited.
    async def scenario():
        listener = open_listener(Address("127.0.0.1", 0))
        address = Address("127.0.0.1", listener.getsockname()[1])
        traffic = settings_pb2.TrafficSection(max_connections=10)
        proxy = Proxy(make_catalogue_state(), None, random.Random(1))
        task = await curio.spawn(
            accept_callers, listener, proxy, traffic, NO_FAULTS
        )
        await curio.sleep(0.1)
        await task.cancel()
        await open_connection(address, Seconds(1.0))

    with pytest.raises(ConnectError) as caught:
        run_virtual(scenario())
    assert not caught.value.timed_out


def test_a_new_connection_to_a_draining_node_gets_one_response():
    async def scenario(proxy, connect):
        proxy.start_draining()
        connection = await connect()
        answer = await exchange(connection)
        await connection.close()
        return answer

    assert run_virtual(run_proxy(scenario)) == ("close", False)
