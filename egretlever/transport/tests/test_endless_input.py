"""Guards a node's only loop against peers that send bytes without end."""

import curio
import pytest

from egretlever.testing import run_virtual
from egretlever.testing._clock import VirtualClock
from egretlever.testing._endless_socket import EndlessSocket
from egretlever.transport import (
    BackendConnection,
    BackendProtocolError,
    BufferLimit,
    CallerConnection,
    RequestHead,
    read_body,
)

REQUEST = RequestHead("GET", "/", [(b"host", b"x")])
OK = b"HTTP/1.1 200 OK\r\n"
MAX_BODY = 1 << 20
MAX_TURN = 512 << 10  # bytes received between turns of other tasks
MAX_CHUNKS_PER_TURN = 500
HEADER = b"x: 1\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
HUGE = OK + b"content-length: 1000000000000\r\n\r\n"
UNTIL_CLOSE = OK + b"\r\n"


def receive_endless(first, repeated, receive):
    """Run a receiving coroutine function on a connection that never pauses."""
    clock = VirtualClock()
    sock = EndlessSocket(clock, first, repeated)

    async def main():
        observer = await curio.spawn(sock.observe_turns, daemon=True)
        try:
            await receive(sock)
        finally:
            await observer.cancel()

    return sock, lambda: run_virtual(main(), clock)


async def receive_answer(sock, **limits):
    connection = BackendConnection(sock)
    await connection.send_request(REQUEST)
    await connection.read_response()
    await read_body(connection, **{"max_body": MAX_BODY, **limits})


@pytest.mark.parametrize(
    ("first", "repeated", "most"),
    [
        (CONTINUE, CONTINUE, 1 << 17),
        (OK, HEADER, 1 << 18),
        (OK + b"x: ", b"1", 1 << 18),
        (b"", b"garbage", 1 << 18),
        (HUGE, b"x", 1 << 17),
        (UNTIL_CLOSE, b"x", MAX_BODY + (1 << 18)),
        (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n", MAX_BODY + (1 << 18)),
        (CHUNKED, b"1\r\nx\r\n", 1 << 18),
        (CHUNKED + b"1;", b"a", 1 << 18),
        (CHUNKED + b"0\r\n", HEADER, 1 << 18),
    ],
    ids=[
        "interim-heads",
        "head",
        "header-value",
        "no-answer",
        "huge-length",
        "until-close",
        "chunks",
        "small-chunks",
        "chunk-extension",
        "trailers",
    ],
)
def test_an_answer_without_end_is_given_up_after_few_bytes(
    first, repeated, most
):
    sock, run = receive_endless(first, repeated, receive_answer)
    with pytest.raises(BackendProtocolError):
        run()
    assert sock.received <= most
    assert sock.longest_turn <= MAX_TURN


def test_a_timeout_ends_the_receipt_of_a_body_without_end():
    async def receive(sock):
        async with curio.timeout_after(0.5):
            await receive_answer(sock, max_body=1 << 30)

    sock, run = receive_endless(UNTIL_CLOSE, b"x" * 1024, receive)
    with pytest.raises(curio.TaskTimeout):
        run()
    assert sock.longest_turn <= MAX_TURN


def test_answers_received_together_share_a_bound_of_buffered_bytes():
    clock = VirtualClock()
    buffered = BufferLimit(4 * MAX_BODY)
    socks = [EndlessSocket(clock, UNTIL_CLOSE, b"x" * 1024) for _ in range(8)]

    async def receive(sock):
        with pytest.raises(BackendProtocolError):
            await receive_answer(sock, max_body=1 << 30, buffered=buffered)

    async def main():
        async with curio.TaskGroup() as group:
            for sock in socks:
                await group.spawn(receive, sock)

    run_virtual(main(), clock)
    assert sum(sock.received for sock in socks) <= 12 * MAX_BODY
    assert buffered.used == 0


def test_a_caller_that_never_stops_sending_leaves_turns_to_other_tasks():
    async def receive(sock):
        connection = CallerConnection(sock)
        await connection.read_request()
        async with curio.timeout_after(0.5):
            while await connection.read_body():
                continue

    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    sock, run = receive_endless(head, chunk, receive)
    with pytest.raises(curio.TaskTimeout):
        run()
    assert sock.longest_turn <= MAX_TURN


def test_small_chunks_of_a_caller_leave_turns_to_other_tasks():
    # One receive holds 10,000 chunks, which took 0.2 s without a turn.
    async def receive(sock):
        connection = CallerConnection(sock)
        await connection.read_request()
        while await connection.read_body():
            if sock.received > MAX_BODY:
                break

    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    sock, run = receive_endless(head, b"1\r\nx\r\n", receive)
    run()
    assert sock.turns >= MAX_BODY / len(b"1\r\nx\r\n") / MAX_CHUNKS_PER_TURN
