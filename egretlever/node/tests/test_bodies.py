"""Guards against lost, unbounded or misreported request and response bodies."""

import tracemalloc

import curio
import pytest

from egretlever.core import Seconds
from egretlever.testing import answer, run_with_proxy
from egretlever.transport import read_clock

CHUNKED = b"transfer-encoding: chunked\r\n"
BLOCK = b"x" * 65536


async def echo_while_reading(exchange):
    """Echo each part of the request body as soon as it arrives."""
    await exchange.send(b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n")
    while data := await exchange.connection.read_body():
        await exchange.send(b"%x\r\n%s\r\n" % (len(data), data))
    await exchange.send(b"0\r\n\r\n")
    return True


async def refuse_early(exchange):
    """Respond without reading the body, and never read it."""
    await exchange.send(b"HTTP/1.1 413 X\r\ncontent-length: 3\r\n\r\nbig")
    await exchange.simulate_work(10.0)
    return False


async def upload(caller, count, lines=b""):
    head = b"PUT /fabrics HTTP/1.1\r\nhost: x\r\n" + lines + CHUNKED
    await caller.sock.sendall(head + b"\r\n")
    for _ in range(count):
        await caller.sock.sendall(b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))
    await caller.sock.sendall(b"0\r\n\r\n")


def test_request_and_response_bodies_are_streamed_concurrently():
    # The upload must go on after the response has started, because the server
    # responds while it reads.
    async def scenario(fixture):
        await fixture.add_server(echo_while_reading)
        caller = await fixture.connect()
        task = await curio.spawn(upload, caller, 64)
        received = await read_chunks(caller)
        await task.join()
        return received

    assert len(run_with_proxy(scenario)) == 64 * len(BLOCK)


async def read_chunks(caller):
    """Read a response and return its decoded chunked body."""
    data = bytearray()
    while not data.endswith(b"\r\n0\r\n\r\n"):
        data += await caller.sock.recv(65536)
    rest = bytes(data).partition(b"\r\n\r\n")[2]
    parts = []
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        parts.append(rest[: int(size, 16)])
        rest = rest[int(size, 16) + 2 :]
    return b"".join(parts)


def test_an_early_response_reaches_a_caller_that_still_uploads():
    async def scenario(fixture):
        server = await fixture.add_server(refuse_early, answer(b"next"))
        caller = await fixture.connect()
        task = await curio.spawn(upload, caller, 512, daemon=True)
        reply = b""
        while b"big" not in reply:
            reply += await caller.sock.recv(65536)
        await task.cancel()
        second = await fixture.call("GET", "/fabrics")
        return reply, second.body, server.connections

    reply, second, connections = run_with_proxy(scenario)
    assert reply.startswith(b"HTTP/1.1 413") and second == b"next"
    # The unfinished upload makes the first connection unusable.
    assert connections == 2


def test_a_large_request_body_to_a_slow_server_is_not_buffered():
    async def read_slowly(exchange):
        while await exchange.connection.read_body():
            await curio.sleep(0.01)
        return await answer(b"done")(exchange)

    async def scenario(fixture):
        await fixture.add_server(read_slowly)
        caller = await fixture.connect()
        tracemalloc.start()
        await upload(caller, 512, b"egretlever-deadline-ms: 90000\r\n")
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return peak, (await caller.sock.recv(65536))[:12]

    peak, start = run_with_proxy(scenario)
    assert start == b"HTTP/1.1 200"
    assert peak < 8 << 20


def test_a_large_response_body_to_a_slow_caller_is_not_buffered():
    async def scenario(fixture):
        large = answer(BLOCK * 512)
        await fixture.add_server(large)
        caller = await fixture.connect()
        tracemalloc.start()
        await caller.sock.sendall(b"GET /fabrics HTTP/1.1\r\nhost: x\r\n\r\n")
        size = 0
        while size < 512 * len(BLOCK):
            await curio.sleep(0.001)
            size += len(await caller.sock.recv(1 << 20))
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return peak

    # The scripted server itself holds two copies of its 32 MiB response.
    assert run_with_proxy(scenario) < (64 << 20) + (8 << 20)


@pytest.mark.parametrize(
    ("path", "status"), [("/fabrics", 200), ("/nothing", 404)]
)
def test_100_continue_is_sent_only_when_the_body_is_needed(path, status):
    async def scenario(fixture):
        server = await fixture.add_server(answer(b"done"))
        caller = await fixture.connect()
        sock = caller.sock
        await sock.sendall(
            b"PUT " + path.encode() + b" HTTP/1.1\r\nhost: x\r\n"
            b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n"
        )
        first = await sock.recv(65536)
        if first.startswith(b"HTTP/1.1 100"):
            await sock.sendall(b"ab")
            first = await sock.recv(65536)
        return first, [head.find(b"expect") for head in server.heads]

    first, expected = run_with_proxy(scenario)
    assert first.startswith(b"HTTP/1.1 %d" % status)
    assert expected == ([None] if status == 200 else [])


@pytest.mark.parametrize("after", [0.0, 3.0])
def test_a_caller_that_half_closes_gets_its_response(after):
    async def scenario(fixture):
        await fixture.add_server(answer(b"whole", after=after))
        caller = await fixture.connect()
        await caller.sock.sendall(b"GET /fabrics HTTP/1.1\r\nhost: x\r\n\r\n")
        await caller.sock.shutdown(1)
        return await caller.read_raw()

    assert run_with_proxy(scenario).endswith(b"\r\n\r\nwhole")


@pytest.mark.parametrize(
    ("sent", "status"), [(b"zz\r\n", b"400"), (None, None), (b"", b"408")]
)
def test_a_failed_upload_gives_outcome_unknown(sent, status):
    # The server has received a part of the body and may have run the request.
    async def scenario(fixture):
        server = await fixture.add_server()
        caller = await fixture.connect()
        await caller.sock.sendall(
            b"PUT /fabrics HTTP/1.1\r\nhost: x\r\n"
            b"egretlever-deadline-ms: 90000\r\n" + CHUNKED + b"\r\n"
            b"%x\r\n%s\r\n" % (2 * len(BLOCK), 2 * BLOCK)
        )
        await curio.sleep(1.0)
        begun = read_clock()
        if sent is None:
            await caller.sock.close()
            await curio.sleep(1.0)
            return b"", Seconds(0.0), len(server.heads), fixture.proxy.in_flight
        await caller.sock.sendall(sent)
        reply = await caller.read_raw()
        waited = Seconds(read_clock() - begun)
        return reply, waited, len(server.heads), fixture.proxy.in_flight

    reply, waited, runs, in_flight = run_with_proxy(scenario)
    assert (runs, in_flight) == (1, 0)
    if status is not None:
        assert reply.startswith(b"HTTP/1.1 " + status)
        assert b"egretlever-outcome: unknown" in reply and waited < 35
