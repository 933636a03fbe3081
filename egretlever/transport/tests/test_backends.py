"""Guards response parsing: framing, truncation and connection reuse."""

import curio
import pytest

from egretlever.core import Address, Seconds
from egretlever.testing import run_virtual
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    ConnectError,
    ConnectionPool,
    RequestHead,
    open_connection,
    open_listener,
    read_body,
    remove_hop_by_hop,
)

CHUNKED = b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
EMPTY = b"content-length: 0\r\n\r\n"
REQUEST = RequestHead("GET", "/", [(b"host", b"x")])
OK = b"HTTP/1.1 200 OK\r\n"


def make_pool(**changes):
    values = {
        "connect_timeout": Seconds(1.0),
        "idle_timeout": Seconds(5.0),
        "limit": 2,
    }
    return ConnectionPool(**{**values, **changes})


async def serve_responses(listener, responses):
    """Send given bytes for each request of a connection, then close it."""
    while True:
        sock, _ = await listener.accept()
        for response in responses:
            if not await sock.recv(65536):
                break
            await sock.sendall(response)
        await sock.close()


async def run_exchanges(responses, body):
    """Run a coroutine function with a pool and a scripted server's address."""
    listener = open_listener(Address("127.0.0.1", 0))
    address = Address("127.0.0.1", listener.getsockname()[1])
    server = await curio.spawn(serve_responses, listener, responses)
    pool = make_pool()
    try:
        return await body(pool, address)
    finally:
        await server.cancel()
        await pool.close()
        await listener.close()


async def read_response_and_release(pool, address):
    connection = await pool.acquire(address)
    try:
        await connection.send_request(REQUEST)
        head = await connection.read_response()
        data, ended = b"", False
        while not ended:
            more, ended = await connection.read_data()
            data += more
    except BaseException:
        await connection.close()
        raise
    await pool.release(address, connection)
    return head.status, data, connection


def read(*responses):
    return run_virtual(run_exchanges(responses, read_response_and_release))


@pytest.mark.parametrize(
    ("response", "status", "data"),
    [
        (OK + b"content-length: 2\r\n\r\nab", 200, b"ab"),
        (OK + CHUNKED, 200, b"ab"),
        (OK + b"connection: close\r\n\r\nab", 200, b"ab"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        (b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", 304, b""),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + EMPTY, 200, b""),
    ],
)
def test_complete_responses_are_read(response, status, data):
    assert read(response)[:2] == (status, data)


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 20",
        OK + b"content-length: 3\r\n\r\nab",
        OK + b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
    ],
)
def test_truncated_response_is_an_error(response):
    with pytest.raises(BackendClosedError):
        read(response)


@pytest.mark.parametrize(
    "response",
    [
        b"garbage\r\n\r\n",
        OK + b"content-length: x\r\n\r\n",
        OK + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_invalid_response_is_a_protocol_error(response):
    with pytest.raises(BackendProtocolError):
        read(response)


def test_bytes_after_a_response_prevent_reuse():
    # Guards against reading surplus bytes as the response to the next request.
    async def body(pool, address):
        connection = (await read_response_and_release(pool, address))[2]
        return await pool.acquire(address) is connection

    response = OK + b"content-length: 1\r\n\r\na" + OK
    assert not run_virtual(run_exchanges([response], body))


def test_connection_is_reused_after_a_complete_response():
    async def body(pool, address):
        first = (await read_response_and_release(pool, address))[2]
        second = (await read_response_and_release(pool, address))[2]
        return first is second and second.used == 2

    response = OK + b"content-length: 1\r\n\r\na"
    assert run_virtual(run_exchanges([response, response], body))


def test_idle_connection_closed_by_the_server_is_not_reused():
    async def body(pool, address):
        first = (await read_response_and_release(pool, address))[2]
        await curio.sleep(0.1)
        return (await pool.acquire(address)) is first

    assert not run_virtual(
        run_exchanges([OK + b"content-length: 1\r\n\r\na"], body)
    )


def test_refused_connection_is_distinguished_from_a_timeout():
    async def connect():
        listener = open_listener(Address("127.0.0.1", 0))
        port = listener.getsockname()[1]
        await listener.close()
        await open_connection(Address("127.0.0.1", port), Seconds(1.0))

    with pytest.raises(ConnectError) as caught:
        run_virtual(connect())
    assert not caught.value.timed_out


def test_headers_listed_in_connection_are_not_forwarded():
    headers = [
        (b"connection", b"x-secret, Content-Length"),
        (b"x-secret", b"1"),
        (b"content-length", b"3"),
        (b"te", b"trailers"),
        (b"x-kept", b"1"),
    ]
    assert remove_hop_by_hop(headers) == [
        (b"content-length", b"3"),
        (b"x-kept", b"1"),
    ]


class ResetSocket:
    """Socket whose peer resets it; the first sender after that is told."""

    def __init__(self, *received):
        self._received = list(received)
        self._socket = self
        self.reset = False

    def send(self, data):
        if self.reset:
            raise ConnectionResetError
        return len(data)

    async def recv(self, size):
        return self._received.pop(0) if self._received else b""


@pytest.mark.parametrize(
    ("framing", "whole"),
    [(b"connection: close", False), (b"content-length: 5", True)],
)
def test_answer_that_ends_with_a_reset_told_to_the_sender_is_not_whole(
    framing, whole
):
    # Clients got the part before the reset, framed as whole.
    head = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n"
    sock = ResetSocket(head, b"first")

    async def main():
        connection = BackendConnection(sock)
        request = RequestHead(
            "POST", "/", [(b"host", b"x"), (b"content-length", b"9")]
        )
        await connection.send_request(request, b"part", ended=False)
        await connection.read_response()
        sock.reset = True
        with pytest.raises(BackendClosedError):
            await connection.send_data(b"other", ended=True)
        return await read_body(connection)

    if whole:
        assert run_virtual(main()) == b"first"
    else:
        with pytest.raises(BackendClosedError):
            run_virtual(main())
