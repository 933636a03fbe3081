"""Guards the reading of answers: framing, cuts, and reuse of connections."""

import curio
import pytest

from egretlever.core import Address, Seconds
from egretlever.testing import run_virtual
from egretlever.transport import (
    BackendClosedError,
    BackendProtocolError,
    ConnectError,
    ConnectionPool,
    RequestHead,
    open_connection,
    open_listener,
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


async def answer_with(listener, answers):
    """Answer each connection's requests with given bytes, then close."""
    while True:
        sock, _ = await listener.accept()
        for answer in answers:
            if not await sock.recv(65536):
                break
            await sock.sendall(answer)
        await sock.close()


async def run_exchanges(answers, body):
    """Run a body with a pool and the address of a scripted server."""
    listener = open_listener(Address("127.0.0.1", 0))
    address = Address("127.0.0.1", listener.getsockname()[1])
    server = await curio.spawn(answer_with, listener, answers)
    pool = make_pool()
    try:
        return await body(pool, address)
    finally:
        await server.cancel()
        await pool.close()
        await listener.close()


async def read_answer(pool, address):
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


def read(*answers):
    return run_virtual(run_exchanges(answers, read_answer))


@pytest.mark.parametrize(
    ("answer", "status", "data"),
    [
        (OK + b"content-length: 2\r\n\r\nab", 200, b"ab"),
        (OK + CHUNKED, 200, b"ab"),
        (OK + b"connection: close\r\n\r\nab", 200, b"ab"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        (b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", 304, b""),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + EMPTY, 200, b""),
    ],
)
def test_whole_answers_are_read(answer, status, data):
    assert read(answer)[:2] == (status, data)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 20",
        OK + b"content-length: 3\r\n\r\nab",
        OK + b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
    ],
)
def test_a_cut_answer_is_never_whole(answer):
    with pytest.raises(BackendClosedError):
        read(answer)


@pytest.mark.parametrize(
    "answer",
    [
        b"garbage\r\n\r\n",
        OK + b"content-length: x\r\n\r\n",
        OK + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_garbage_is_a_protocol_error(answer):
    with pytest.raises(BackendProtocolError):
        read(answer)


def test_bytes_behind_an_answer_forbid_reuse():
    # They would be taken for the answer to the next request.
    async def body(pool, address):
        connection = (await read_answer(pool, address))[2]
        return await pool.acquire(address) is connection

    answer = OK + b"content-length: 1\r\n\r\na" + OK
    assert not run_virtual(run_exchanges([answer], body))


def test_a_whole_answer_allows_reuse():
    async def body(pool, address):
        first = (await read_answer(pool, address))[2]
        second = (await read_answer(pool, address))[2]
        return first is second and second.used == 2

    answer = OK + b"content-length: 1\r\n\r\na"
    assert run_virtual(run_exchanges([answer, answer], body))


def test_an_idle_connection_closed_by_the_server_is_not_reused():
    async def body(pool, address):
        first = (await read_answer(pool, address))[2]
        await curio.sleep(0.1)
        return (await pool.acquire(address)) is first

    assert not run_virtual(
        run_exchanges([OK + b"content-length: 1\r\n\r\na"], body)
    )


def test_a_refused_connection_is_told_from_a_timeout():
    async def connect():
        listener = open_listener(Address("127.0.0.1", 0))
        port = listener.getsockname()[1]
        await listener.close()
        await open_connection(Address("127.0.0.1", port), Seconds(1.0))

    with pytest.raises(ConnectError) as caught:
        run_virtual(connect())
    assert not caught.value.timed_out


def test_headers_named_by_connection_are_not_forwarded():
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
