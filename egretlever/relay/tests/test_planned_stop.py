"""Guards answers that are being sent when a planned stop begins."""

import contextlib
import random

import curio
import pytest
from curio import socket

from egretlever.core import Seconds
from egretlever.platform import Bounds
from egretlever.relay._codec import encode_offer
from egretlever.relay._frames import FrameStream
from egretlever.relay._stopping import plan_stop
from egretlever.schema import relay_pb2
from egretlever.testing._clock import VirtualClock
from egretlever.testing._relay_fixture import serve
from egretlever.testing._relay_host import RelayHost, run_on_host
from egretlever.testing.relay_builders import build_offer
from egretlever.transport import read_clock

BODY_BYTES = 8_000_000
ORDER = (
    b"POST /orders/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: large\r\n"
    b"x-request-deadline: 8000\r\ncontent-length: 0\r\n\r\n"
)


async def open_socket(address, receive_buffer=1 << 16):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await sock.connect((address.ip, address.port))
    return sock


async def open_client(host, receive_buffer=1 << 16):
    return await open_socket(host.clients, receive_buffer)


@contextlib.asynccontextmanager
async def connect_node(host, receive_buffer=1 << 16):
    """Connect as another node, which sends frames and leaves replies unread."""
    async with await open_socket(host.relay, receive_buffer) as peer:
        stream = FrameStream(peer)
        writer = await curio.spawn(stream.write_forever, daemon=True)
        try:
            yield peer, stream
        finally:
            await writer.cancel()


async def read_slowly(client):
    """Count the bytes that a client gets at 0.5 MB/s."""
    received = 0
    while data := await client.recv(5_000):
        received += len(data)
        await curio.sleep(len(data) / 500_000)
    return received


async def read_until_closed(client):
    data = bytearray()
    while received := await client.recv(1 << 16):
        data += received
    return bytes(data)


def test_large_answer_to_a_slow_client_is_sent_whole_in_a_planned_stop():
    # The process ended while it was being written; the order had run.
    async def script(host):
        host.server.replace_steps(serve(b"x" * BODY_BYTES))
        await host.announce(1)
        await curio.sleep(1.0)
        async with await open_client(host) as client:
            stop = await curio.spawn(host.stop)
            await client.sendall(ORDER)
            await curio.sleep(2.5)
            received = 0
            while data := await client.recv(1 << 16):
                received += len(data)
                await curio.sleep(0.01)
            assert received > BODY_BYTES
            await stop.join()
        await host.start()

    run_on_host(script)


@pytest.mark.parametrize("stopped_after", [0.0, 2.5])
def test_answer_is_read_whole_by_a_slow_client_that_sends_further_requests(
    stopped_after,
):
    # The system resets a connection that is closed with unread bytes, and
    # discards what the client has not got.
    body_bytes = 900_000

    async def send_further(client):
        while True:
            await curio.sleep(0.3)
            await client.sendall(ORDER)

    async def script(host):
        host.server.replace_steps(serve(b"x" * body_bytes))
        await host.announce(1)
        await curio.sleep(1.0)
        async with await open_client(host, 1 << 14) as client:
            stop = await curio.spawn(host.stop)
            await curio.sleep(stopped_after)
            await client.sendall(ORDER)
            sender = await curio.spawn(send_further, client, daemon=True)
            received = await read_slowly(client)
            await sender.cancel()
        await stop.join()
        assert body_bytes < received < body_bytes + 1000

    run_on_host(script)


def test_connections_without_an_open_answer_do_not_hold_a_planned_stop():
    # A stop that waits for clients to close must not wait for idle ones.
    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        async with await open_client(host), await open_client(host) as used:
            await used.sendall(ORDER)
            await used.recv(1 << 16)
            began = read_clock()
            await host.stop()
            assert read_clock() - began < 3.5

    run_on_host(script)


@pytest.mark.parametrize(("kind", "status"), [("unsafe", 504), ("safe", 502)])
def test_request_whose_home_stops_first_is_answered(kind, status):
    # Two stops overlapped. The entry node asked for the order until the order's
    # own deadline, which lay after the end of the process, and cut it off.
    async def script(home):
        entry = RelayHost(2, home.store)
        async with entry.running():
            await home.configure("00000008", kind=kind, timeout="8000ms")
            home.server.replace_steps(serve(after=9.0))
            await home.announce(1)
            await curio.sleep(4.5)
            async with await open_client(entry) as client:
                await client.sendall(ORDER)
                await curio.sleep(0.1)
                stops = [await curio.spawn(home.stop)]
                await curio.sleep(1.1)
                began = read_clock()
                stops.append(await curio.spawn(entry.stop))
                data = await read_until_closed(client)
            for stop in stops:
                await stop.join()
            assert data.startswith(b"HTTP/1.1 %d" % status)
            assert read_clock() - began < Bounds().grace

    run_on_host(script)


def test_stopping_home_takes_no_request_that_may_outlast_it():
    # It accepted what usually ends in time, and ended with its process the
    # requests that took longer: 502 while the server was at work.
    async def script(home):
        entry = RelayHost(2, home.store)
        async with entry.running():
            await home.configure("00000008", kind="safe", timeout="6000ms")
            home.server.replace_steps(serve(after=5.0))
            await home.announce(1)
            await curio.sleep(4.0)
            stop = await curio.spawn(home.stop)
            await curio.sleep(1.5)
            async with await open_client(entry) as client:
                await client.sendall(ORDER)
                data = await client.recv(1 << 16)
            await stop.join()
            assert data.startswith(b"HTTP/1.1 503")
            assert home.server.heads == []

    run_on_host(script)


@pytest.mark.parametrize("grace", [1.0, 2.0, 3.0, 6.0, 30.0])
def test_requests_are_ended_in_the_last_sixth_of_any_grace_period(grace):
    # With less than 3.3 s, requests at work were given up before it.
    schedule = plan_stop(Seconds(10.0), Seconds(grace))
    assert 10.0 + grace * 5 / 6 <= schedule.answers_by < schedule.ends_at
    assert schedule.leaves_at <= schedule.answers_by
    assert schedule.ends_at < 10.0 + grace


def test_stop_whose_signal_was_noticed_late_ends_within_the_grace_period():
    # The process was killed while it wrote its last answers.
    async def script(host):
        await host.configure("00000008", timeout="6000ms")
        host.server.replace_steps(serve(after=9.0))
        await host.announce(1)
        await curio.sleep(1.0)
        async with await open_client(host) as client:
            asked_at = read_clock() - 2.0
            stop = await curio.spawn(host.stop, asked_at)
            await client.sendall(ORDER)
            data = await read_until_closed(client)
        await stop.join()
        assert data.startswith(b"HTTP/1.1 50")
        assert read_clock() - asked_at < Bounds().grace

    run_on_host(script)


def test_reply_is_read_whole_by_a_slow_node_that_sends_further_frames():
    # The home node ended with frames of the other node unread.
    body = random.Random(1).randbytes(900_000)

    async def send_further(stream):
        while True:
            await curio.sleep(0.1)
            await stream.post(relay_pb2.RelayFrame(ping=relay_pb2.Ping()))

    async def script(host):
        host.server.replace_steps(serve(body))
        await host.announce(1)
        await curio.sleep(1.0)
        async with connect_node(host, 1 << 14) as (peer, stream):
            sender = await curio.spawn(send_further, stream, daemon=True)
            stop = await curio.spawn(host.stop)
            await curio.sleep(2.5)
            offer = build_offer(time_left=Seconds(2.5))
            await stream.post(encode_offer(1, offer))
            assert await read_slowly(peer) > len(body)
            await sender.cancel()
        await stop.join()

    run_on_host(script)


def test_unreachable_node_does_not_hold_a_planned_stop():
    # A reply that another node never read held the stop for the whole grace.
    async def script(host):
        host.server.replace_steps(serve(random.Random(1).randbytes(900_000)))
        await host.announce(1)
        await curio.sleep(1.0)
        async with connect_node(host, 1 << 14) as (_, stream):
            await stream.post(encode_offer(1, build_offer()))
            await curio.sleep(1.0)
            began = read_clock()
            await host.stop()
            assert read_clock() - began < 4.5

    run_on_host(script)


def test_frames_to_other_nodes_do_not_hold_a_planned_stop():
    # Their acknowledgements are delayed, so that some is always missing.
    async def script(host):
        async with connect_node(host) as (_, stream):

            async def ping_forever():
                while True:
                    await stream.post(relay_pb2.RelayFrame(ping={"number": 1}))
                    await curio.sleep(0.001)

            pinger = await curio.spawn(ping_forever, daemon=True)
            began = read_clock()
            await host.stop()
            assert read_clock() - began < 4.0
            await pinger.cancel()

    run_on_host(script)


def test_open_connections_of_other_nodes_do_not_hold_a_planned_stop():
    # A node that is frozen does not close them.
    async def script(host):
        async with await open_socket(host.relay):
            await curio.sleep(1.0)
            began = read_clock()
            await host.stop()
            assert read_clock() - began < 4.5

    run_on_host(script)


def test_clients_that_connect_again_and_again_do_not_hold_a_planned_stop():
    # At every moment one of their connections was not closed yet.
    async def connect_forever(host):
        while True:
            async with await open_client(host) as client:
                await client.sendall(ORDER)
                await client.recv(1 << 16)
                await curio.sleep(0.3)

    async def script(host):
        await host.announce(1)
        await curio.sleep(1.0)
        began = read_clock()
        clients = [
            await curio.spawn(connect_forever, host, daemon=True)
            for _ in range(3)
        ]
        await host.stop()
        assert read_clock() - began < 4.0
        for client in clients:
            await client.cancel()

    run_on_host(script)


@pytest.mark.parametrize("late", [0.1, 0.25])
def test_late_turn_near_the_end_of_a_stop_leaves_no_request_unanswered(late):
    # The answers were due in a turn that came after the end of the schedule.
    clock = VirtualClock()

    async def script(host):
        await host.configure("00000008", timeout="8000ms")
        host.server.replace_steps(serve(after=9.0))
        await host.announce(1)
        await curio.sleep(1.0)
        async with await open_client(host) as client:
            await client.sendall(ORDER)
            await curio.sleep(0.2)
            began = read_clock()
            stop = await curio.spawn(host.stop)
            reader = await curio.spawn(read_until_closed, client)
            await curio.sleep(5.42)
            clock.advance(late)
            data = await reader.join()
            assert read_clock() - began < Bounds().grace
        await stop.join()
        assert data.startswith(b"HTTP/1.1 504")

    run_on_host(script, clock)
