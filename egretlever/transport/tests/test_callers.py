"""Guards request parsing: framing, size limits and timeouts."""

import curio
import pytest
from curio import socket

from egretlever.core import Address, Seconds
from egretlever.testing import run_virtual
from egretlever.transport import (
    Answer,
    CallerConnection,
    ResponseHead,
    answer_requests,
    open_connection,
    open_listener,
)

GET = b"GET /a HTTP/1.1\r\nhost: x\r\n"


async def echo(head, body):
    return Answer(body=f"{head.method} {head.path} {len(body)}".encode())


async def exchange(parts, pause=0.0, handler=echo, close_early=False):
    """Send parts to a service and return all bytes that it sends back."""
    listener = open_listener(Address("127.0.0.1", 0))
    port = listener.getsockname()[1]

    async def serve():
        sock, _ = await listener.accept()
        connection = CallerConnection(
            sock, max_head=2000, head_timeout=Seconds(5.0)
        )
        await answer_requests(connection, handler, max_body=1000)
        await connection.close()

    server = await curio.spawn(serve)
    client = await open_connection(Address("127.0.0.1", port), Seconds(1.0))
    received = b""
    try:
        for part in parts:
            await client.sendall(part)
            await curio.sleep(pause)
        if close_early:
            await client.shutdown(socket.SHUT_WR)
        while data := await client.recv(65536):
            received += data
    except OSError:
        pass
    await server.join()
    await client.close()
    await listener.close()
    return received


def send(*parts, **options):
    return run_virtual(exchange(parts, **options))


def read_status(received):
    return int(received.split(b" ", 2)[1])


def test_connection_carries_several_requests():
    received = send(GET + b"\r\n", GET + b"connection: close\r\n\r\n")
    assert received.count(b"GET /a 0") == 2


def test_pipelined_requests_are_answered_in_order():
    first = GET.replace(b"/a", b"/first") + b"\r\n"
    last = GET.replace(b"/a", b"/last") + b"connection: close\r\n\r\n"
    received = send(first + last)
    assert received.index(b"/first") < received.index(b"/last")


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET /a HTTP/1.1\nhost: x\n\n", 400),
        (b"GET /a HTTP/1.1\r\nhost: x\nx-a: 1\r\n\r\n", 400),
        (GET + b"x-a: 1\r\n folded\r\n\r\n", 400),
        (GET + b"host: y\r\n\r\n", 400),
        (GET + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n", 400),
        (GET + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc", 400),
        (GET + b"content-length: -3\r\n\r\n", 400),
        (GET + b"transfer-encoding: gzip, chunked\r\n\r\n", 501),
        (GET + b"bad name: 1\r\n\r\n", 400),
        (GET + b"x-a: " + b"a" * 3000 + b"\r\n\r\n", 431),
        (b"GET http://x/ HTTP/1.1\r\nhost: x\r\n\r\n", 400),
        (b"CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n", 405),
        (b"\x16\x03\x01\x02\x00garbage\r\n\r\n", 400),
        (GET + b"transfer-encoding: chunked\r\n\r\nzz\r\n", 400),
        (GET + b"transfer-encoding: chunked\r\n\r\n1\nab\r\n", 400),
        (GET + b"content-length: 2000\r\n\r\n" + b"a" * 2000, 413),
    ],
)
def test_invalid_requests_are_rejected_with_a_specific_status(
    request_bytes, status
):
    response = send(request_bytes, close_early=True)
    assert read_status(response) == status
    # The reason is for people who may not know Python.
    assert b"bytearray" not in response and b"b'" not in response


def test_pipelined_request_is_checked_like_the_first():
    # Guards against request smuggling: a malformed head sent together with a
    # valid request.
    received = send(GET + b"\r\n" + b"GET /b HTTP/1.1\nhost: x\n\n")
    assert received.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 400" in received
    assert b"/b" not in received


def test_slow_request_head_times_out():
    received = send(GET, b"x-a: 1\r\n", b"x-b: 1\r\n", pause=4.0)
    assert read_status(received) == 408


def test_expect_continue_is_answered_before_the_body():
    head = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n"
    received = send(
        head + b"expect: 100-continue\r\nconnection: close\r\n\r\n",
        b"ab",
        pause=0.1,
    )
    assert received.startswith(b"HTTP/1.1 100")
    assert b"POST /a 2" in received


def test_response_to_head_has_no_body():
    received = send(GET.replace(b"GET", b"HEAD") + b"connection: close\r\n\r\n")
    assert received.endswith(b"\r\n\r\n")
    assert b"content-length: 9" in received.lower()


def test_truncated_request_body_gets_no_response():
    received = send(
        b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab",
        close_early=True,
    )
    assert received == b""


def test_half_closed_caller_gets_its_response():
    # Callers may shut down their sending side as soon as the request is sent.
    received = send(GET + b"\r\n", close_early=True)
    assert b"GET /a 0" in received


def test_slow_caller_that_sends_further_bytes_gets_its_response_whole():
    # After a second, the system reset the connection and discarded the rest.
    body = b"x" * 900_000

    async def serve(listener):
        sock, _ = await listener.accept()
        connection = CallerConnection(sock)
        head = await connection.read_request()
        assert head is not None
        length = (b"content-length", b"%d" % len(body))
        await connection.send_response(ResponseHead(200, [length]), body)
        await connection.close_gracefully()

    async def send_further(client):
        while True:
            await curio.sleep(0.3)
            await client.sendall(GET)

    async def main():
        listener = open_listener(Address("127.0.0.1", 0))
        server = await curio.spawn(serve, listener)
        client = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
        await client.connect(listener.getsockname())
        await client.sendall(GET + b"\r\n")
        sender = await curio.spawn(send_further, client, daemon=True)
        received = 0
        while data := await client.recv(5_000):
            received += len(data)
            await curio.sleep(len(data) / 500_000)
        await sender.cancel()
        await client.close()
        await server.join()
        await listener.close()
        return received

    assert run_virtual(main()) > len(body)
