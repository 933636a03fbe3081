"""Guards answers that are being sent when a planned stop begins."""

import curio
import pytest
from curio import socket

from egretlever.platform import Bounds
from egretlever.testing._relay_fixture import serve
from egretlever.testing._relay_host import RelayHost, run_on_host
from egretlever.transport import read_clock

BODY_BYTES = 8_000_000
ORDER = (
    b"POST /orders/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: large\r\n"
    b"x-request-deadline: 8000\r\ncontent-length: 0\r\n\r\n"
)


async def open_client(host, receive_buffer=1 << 16):
    client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await client.connect((host.clients.ip, host.clients.port))
    return client


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


@pytest.mark.parametrize(("kind", "status"), [("unsafe", 504), ("safe", 502)])
def test_request_whose_home_stops_first_is_answered(kind, status):
    # Two stops overlapped. The entry node asked for the order until the order's
    # own deadline, which lay after the end of the process, and cut it off.
    async def script(home):
        entry = RelayHost(2, home.store)
        async with entry.running():
            await home.configure("00000008", kind=kind, timeout="6000ms")
            home.server.replace_steps(serve(after=9.0))
            await home.announce(1)
            await curio.sleep(2.0)
            stops = [await curio.spawn(home.stop)]
            await curio.sleep(2.1)
            async with await open_client(entry) as client:
                await client.sendall(ORDER)
                await curio.sleep(0.1)
                began = read_clock()
                stops.append(await curio.spawn(entry.stop))
                data = await read_until_closed(client)
            for stop in stops:
                await stop.join()
            assert data.startswith(b"HTTP/1.1 %d" % status)
            assert read_clock() - began < Bounds().grace

    run_on_host(script)
