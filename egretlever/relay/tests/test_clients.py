"""Tests pipelining, disconnected clients and invalid requests."""

import contextlib

import curio
import pytest
from curio import socket

from egretlever.core import Seconds
from egretlever.placement import ClientLimits
from egretlever.relay._client_messages import ClientAnswer
from egretlever.relay._clients import ClientConnection
from egretlever.testing import VirtualClock, run_virtual
from egretlever.testing._endless_socket import EndlessSocket


class ClientFixture:
    """Connects a client to a node and records the handled requests."""

    def __init__(self, work_times=None, limits=None):
        self.work_times = work_times or {}
        self.limits = limits or ClientLimits()
        self.stopping = False
        self.started = []
        self.cancelled = []
        self.ends = []

    async def handle(self, request):
        path = request.head.path
        self.started.append(path)
        try:
            await curio.sleep(self.work_times.get(path, 0.0))
        except curio.CancelledError:
            self.cancelled.append(path)
            raise
        return ClientAnswer(200, (), path.encode() + request.body)

    @contextlib.asynccontextmanager
    async def connect(self):
        client, node = socket.socketpair()

        async def serve():
            async with node:
                await ClientConnection(
                    node,
                    self.handle,
                    lambda: self.limits,
                    lambda: self.stopping,
                    self.ends.append,
                ).run()

        self.task = await curio.spawn(serve, daemon=True)
        try:
            yield client
        finally:
            await client.close()
            await self.task.cancel()


def get(path, *lines):
    return b"\r\n".join(
        [b"GET %s HTTP/1.1" % path, b"host: a", *lines, b"", b""]
    )


async def read_until(client, *parts):
    data = b""
    while not all(part in data for part in parts):
        received = await client.recv(65536)
        if not received:
            break
        data += received
    return data


async def read_until_closed(client):
    data = b""
    while received := await client.recv(65536):
        data += received
    return data


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    fixture = ClientFixture({"/slow": 1.0, "/fast": 0.1})

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/slow") + get(b"/fast"))
            start = await curio.clock()
            data = await read_until(client, b"/slow", b"/fast")
            return data, await curio.clock() - start

    data, took = run_virtual(main())
    assert data.index(b"/slow") < data.index(b"/fast")
    assert 1.0 <= took < 1.05


def test_requests_of_a_disconnected_client_are_cancelled():
    fixture = ClientFixture({"/slow": 10.0})

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/slow") + get(b"/slow"))
            await curio.sleep(0.5)
            await client.close()
            await curio.sleep(0.1)

    run_virtual(main())
    assert fixture.cancelled == ["/slow", "/slow"]


@pytest.mark.parametrize("line", [b"accept: x", b"connection: close"])
def test_request_of_a_client_that_left_before_it_was_read_is_not_started(line):
    # A paused process finds requests that were given up long ago.
    fixture = ClientFixture({"/slow": 10.0})

    async def main():
        async with fixture.connect() as client:
            # Blocking calls: the node does not run meanwhile.
            with client.blocking() as blocking:
                blocking.sendall(get(b"/slow", line) + get(b"/slow", line))
                blocking.shutdown(socket.SHUT_RDWR)
            await curio.sleep(1.0)

    run_virtual(main())
    assert fixture.started == []


def test_last_request_of_a_disconnected_client_is_cancelled():
    fixture = ClientFixture({"/slow": 10.0})

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/slow", b"connection: close"))
            await curio.sleep(0.5)
            await client.close()
            await curio.sleep(0.1)

    run_virtual(main())
    assert fixture.cancelled == ["/slow"]


def test_client_that_does_not_close_after_the_last_answer_is_not_held():
    # Each such connection takes one of a bounded number.
    fixture = ClientFixture()

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/a", b"connection: close"))
            began = await curio.clock()
            await fixture.task.join()
            return await curio.clock() - began

    assert run_virtual(main()) < 15.0


def test_client_that_got_its_last_answer_does_not_hold_its_connection():
    # Clients that did not close took ten times as many connections as before.
    fixture = ClientFixture()

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/a", b"connection: close"))
            await read_until_closed(client)
            began = await curio.clock()
            await fixture.task.join()
            return await curio.clock() - began

    assert run_virtual(main()) < 2.0


def test_request_after_a_chunked_body_is_parsed():
    fixture = ClientFixture()
    chunked = (
        b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )

    async def main():
        async with fixture.connect() as client:
            await client.sendall(chunked + get(b"/next"))
            return await read_until(client, b"/aabcde", b"/next")

    assert b"/aabcde" in run_virtual(main())


def test_stopping_node_closes_the_connection_after_the_last_answer():
    fixture = ClientFixture({"/one": 0.2, "/two": 0.4})

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/one") + get(b"/two"))
            await curio.sleep(0.1)
            fixture.stopping = True
            return await read_until_closed(client)

    data = run_virtual(main())
    assert data.count(b"HTTP/1.1 200") == 2
    assert data.count(b"connection: close") == 1
    assert data.index(b"/one") < data.index(b"connection: close")


def test_request_after_the_last_answer_of_a_connection_is_not_run():
    fixture = ClientFixture({"/one": 0.2})

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/one"))
            fixture.stopping = True
            await read_until(client, b"/one")
            await client.sendall(get(b"/two"))
            return await read_until_closed(client)

    assert run_virtual(main()) == b""
    assert fixture.started == ["/one"]


def test_invalid_requests_are_answered_and_close_the_connection():
    fixture = ClientFixture(
        limits=ClientLimits(max_head_bytes=200, max_body_bytes=4)
    )
    long_head = get(b"/a", b"x: " + b"y" * 300)
    long_body = (
        b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n123456789"
    )

    async def main(raw):
        async with fixture.connect() as client:
            await client.sendall(raw)
            return await read_until_closed(client)

    for raw, status in (
        (b"NOT HTTP\r\n\r\n", b"400"),
        (long_head, b"431"),
        (long_body, b"413"),
        (b"GET /a HTTP/1.1\r\nhost: a\nx: y\r\n\r\n", b"400"),
        (get(b"/a", b"bad name: x"), b"400"),
        (get(b"/a", b"transfer-encoding: chunked") + b"zz\r\n", b"400"),
    ):
        answer = run_virtual(main(raw))
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert b"bytearray" not in answer
    assert fixture.started == []


def test_slow_request_head_times_out():
    fixture = ClientFixture(limits=ClientLimits(head_timeout=Seconds(3.0)))

    async def main():
        async with fixture.connect() as client:
            await client.sendall(b"GET /a HTTP/1.1\r\n")
            return await read_until_closed(client)

    assert run_virtual(main()).startswith(b"HTTP/1.1 408")


def test_idle_connection_outlives_the_clients_idle_timeout():
    fixture = ClientFixture(limits=ClientLimits(idle_timeout=Seconds(15.0)))

    async def main():
        async with fixture.connect() as client:
            start = await curio.clock()
            await read_until_closed(client)
            return await curio.clock() - start

    assert 15.0 < run_virtual(main()) < 20.0


@pytest.mark.parametrize("leaves", [False, True])
def test_end_of_a_connection_names_the_requests_without_an_answer(leaves):
    # A request whose connection the node cut left no trace in its log.
    fixture = ClientFixture({"/slow": 10.0})

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/slow", b"x-request-id: r-1"))
            await curio.sleep(0.5)
            if leaves:
                await client.close()
                await curio.sleep(0.1)
            else:
                await fixture.task.cancel()

    run_virtual(main())
    (end,) = fixture.ends
    assert end.unanswered == ("r-1",)
    assert end.cut is not leaves


def test_interim_answer_waits_for_the_answer_that_is_being_sent():
    # Two tasks wrote to one socket, and the kernel of the event loop failed:
    # the process ended, with the requests of all its clients.
    body = b"x" * 8_000_000
    fixture = ClientFixture()

    async def handle(request):
        return ClientAnswer(200, (), body if request.head.path == "/a" else b"")

    fixture.handle = handle

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/a"))
            await curio.sleep(0.2)
            await client.sendall(
                b"POST /b HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
                b"content-length: 2\r\n\r\n"
            )
            await curio.sleep(0.2)
            data = await read_until(client, b"HTTP/1.1 100")
            await client.sendall(b"ab")
            return data + await read_until(client, b"HTTP/1.1 200")

    first, _, second = run_virtual(main()).partition(b"HTTP/1.1 100")
    assert first.endswith(body)
    assert second.count(b"HTTP/1.1 200") == 1


def test_connection_that_is_cancelled_leaves_no_task_on_its_closed_socket():
    # The task met the next socket with the same descriptor, or ended the loop.
    fixture = ClientFixture({"/slow": 10.0})

    async def main():
        async with fixture.connect() as client:
            await client.sendall(get(b"/slow", b"connection: close"))
            await curio.sleep(0.5)
            await fixture.task.cancel()
            first, second = socket.socketpair()
            async with first, second:
                received = await curio.spawn(first.recv, 1)
                await curio.sleep(0.1)
                await second.sendall(b"x")
                return await received.join()

    assert run_virtual(main()) == b"x"


def test_upload_in_small_chunks_leaves_turns_to_other_tasks():
    # Other requests of the node took up to 5.9 s, and questions for its
    # readiness a second.
    clock = VirtualClock()
    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    sock = EndlessSocket(clock, head, b"1\r\nx\r\n")

    async def handle(request):
        raise AssertionError("the body never ends")

    async def main():
        limits = ClientLimits(max_body_bytes=1 << 16)
        connection = ClientConnection(
            sock, handle, lambda: limits, lambda: False
        )
        await curio.spawn(sock.observe_turns, daemon=True)
        await connection.run()

    run_virtual(main(), clock)
    assert sock.turns >= (1 << 16) / 500
