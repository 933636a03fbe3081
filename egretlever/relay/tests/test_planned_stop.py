"""Guards answers that are being sent when a planned stop begins."""

import curio
from curio import socket

from egretlever.testing._relay_fixture import serve
from egretlever.testing._relay_host import run_on_host

BODY_BYTES = 8_000_000
ORDER = (
    b"POST /orders/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nx-request-id: large\r\n"
    b"x-request-deadline: 8000\r\ncontent-length: 0\r\n\r\n"
)


def test_large_answer_to_a_slow_client_is_sent_whole_in_a_planned_stop():
    # The process ended while it was being written; the order had run.
    async def script(host):
        host.server.replace_steps(serve(b"x" * BODY_BYTES))
        await host.announce(1)
        await curio.sleep(1.0)
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        async with client:
            await client.connect((host.clients.ip, host.clients.port))
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
