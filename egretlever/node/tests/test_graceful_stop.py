"""Guards against requests that are lost when a node stops gracefully."""

import curio

from egretlever.node import make_node
from egretlever.settings import parse_address
from egretlever.testing import answer, build_node_settings, run_with_proxy
from egretlever.transport import ConnectError, read_clock

LARGE = b"x" * 8_000_000
GET = b"GET /fabrics HTTP/1.1\r\nhost: x\r\n\r\n"


def test_a_stop_completes_requests_and_closes_idle_connections():
    async def scenario(fixture):
        await fixture.add_server(answer(b"a"), answer(b"busy", after=2.0))
        idle = await fixture.connect()
        await idle.call("GET", "/fabrics")
        busy = await fixture.connect()
        await busy.sock.sendall(GET)
        await curio.sleep(0.1)
        await fixture.proxy.stop()
        ended = await idle.read_raw()
        reply = await busy.read()
        rest = await busy.read_raw()
        await busy.sock.close()
        await idle.sock.close()
        await curio.sleep(2.0)
        return ended, reply, rest, fixture.proxy.connections

    ended, reply, rest, connections = run_with_proxy(scenario)
    assert (ended, reply.body, rest, connections) == (b"", b"busy", b"", 0)
    # Without this header, a caller may send its next request on a closing
    # connection.
    assert reply.head.find(b"connection") == "close"


def test_a_request_that_outlasts_the_stop_is_answered():
    # The program ended with the request in flight, and its connection was cut.
    async def scenario(fixture):
        await fixture.add_server(answer(b"late", after=8.0))
        settings = build_node_settings()
        settings.traffic.drain_timeout_s = 3
        node = make_node(settings, seed=1)
        parts = node._parts
        parts.catalogue.apply_update(fixture.catalogue, read_clock())
        parts.apply_catalogue(read_clock())
        node.operations.handle_announcement(fixture.build_announcement(1))
        running = await curio.spawn(node.run)
        await curio.sleep(0.5)
        caller = await fixture.connect(parse_address(settings.listen.traffic))
        await caller.sock.sendall(
            GET[:-2] + b"egretlever-deadline-ms: 60000\r\n\r\n"
        )
        await curio.sleep(0.5)
        await node.stop()
        await running.join()
        in_flight = node._proxy._in_flight
        reply = await caller.read()
        await caller.sock.close()
        return in_flight, reply.head.status

    assert run_with_proxy(scenario) == (0, 504)


def test_a_request_received_before_the_stop_is_served():
    async def scenario(fixture):
        await fixture.add_server(answer(b"a"))
        caller = await fixture.connect()
        await caller.call("GET", "/fabrics")
        await caller.sock.sendall(GET)
        await fixture.proxy.stop()
        return await caller.read()

    assert run_with_proxy(scenario).body == b"a"


def test_a_draining_node_tells_callers_to_close():
    async def scenario(fixture):
        await fixture.add_server(answer(b"a"))
        caller = await fixture.connect()
        fixture.proxy.start_draining()
        return await caller.call("GET", "/fabrics")

    assert run_with_proxy(scenario).head.find(b"connection") == "close"


def test_a_node_exits_only_after_its_responses_were_delivered():
    # The node exited while responses were still being sent to slow callers.
    async def scenario(fixture):
        await fixture.add_server(answer(LARGE, after=6.0))
        settings = build_node_settings()
        address = parse_address(settings.listen.traffic)
        node = make_node(settings, seed=1)
        parts = node._parts
        parts.catalogue.apply_update(fixture.catalogue, read_clock())
        parts.apply_catalogue(read_clock())
        node.operations.handle_announcement(fixture.build_announcement(1))
        running = await curio.spawn(node.run)
        await curio.sleep(0.5)
        caller = await fixture.connect(address)
        idle = await fixture.connect(address)
        await caller.sock.sendall(
            GET[:-2] + b"egretlever-deadline-ms: 60000\r\n\r\n"
        )
        await curio.sleep(0.5)
        stopping = await curio.spawn(node.stop)
        await curio.sleep(8.0)
        refused = False
        try:
            await fixture.connect(address)
        except ConnectError:
            refused = True
        reply = await caller.read()
        await caller.sock.close()
        ended = await idle.read_raw()
        await idle.sock.close()
        await stopping.join()
        await running.join()
        return len(reply.body), ended, refused

    assert run_with_proxy(scenario) == (len(LARGE), b"", True)
