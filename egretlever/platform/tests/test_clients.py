"""Guards the store clients against network and server failures."""

import contextlib

import curio
import pytest
from returns.pipeline import is_successful
from returns.result import Success

from egretlever.core import Address, FindingsError, Seconds, Version
from egretlever.platform import (
    StoreErrorKind,
    make_object_store,
    make_row_store,
    make_table_store,
)
from egretlever.platform import _table as table_module
from egretlever.schema import platform_pb2
from egretlever.standins import (
    listen_platform,
    make_platform_stand_in,
    serve_platform,
)
from egretlever.testing import run_virtual
from egretlever.testing._scripted_server import ScriptedServer

# Timeout where a response is expected; sufficient on a loaded host.
LONG_TIMEOUT = Seconds(20.0)
SHORT_TIMEOUT = Seconds(0.2)


class Platform:
    """A stand-in for the platform that listens on loopback."""

    def __init__(self, stand_in, address):
        self.stand_in = stand_in
        self.address = address

    def set_faults(self, **faults):
        self.stand_in.faults = platform_pb2.StandInFaults(**faults)

    def table(self, timeout=LONG_TIMEOUT):
        return make_table_store(self.address, timeout)

    def objects(self, timeout=LONG_TIMEOUT):
        return make_object_store(self.address, timeout)


@contextlib.asynccontextmanager
async def run_platform():
    listener = await listen_platform(Address("127.0.0.1", 0))
    port = listener.getsockname()[1]
    stand_in = make_platform_stand_in()
    server = await curio.spawn(serve_platform, listener, stand_in)
    try:
        yield Platform(stand_in, Address("127.0.0.1", port))
    finally:
        await server.cancel()


def run_with_platform(check):
    async def main():
        async with run_platform() as platform:
            await check(platform)

    curio.run(main)


def get_error_kind(result):
    return result.failure().kind


def test_rows_and_objects_are_read_back_as_written():
    async def check(platform):
        table = platform.table()
        written = await table.write(
            {"a/1": b"x", "a/2": b"y", "b": b"z"}, {"a/1": Version(0)}
        )
        assert written == Success(None)
        assert (await table.read("a/1")).unwrap().value == b"x"
        assert (await table.read("none")).unwrap().version == 0
        rows = (await table.scan("a/")).unwrap()
        assert [row.key for row in rows] == ["a/1", "a/2"]
        rows = (await table.scan("a/", 5, "a/1")).unwrap()
        assert [row.key for row in rows] == ["a/2"]
        objects = platform.objects()
        assert await objects.put("x/ y?", b"body") == Success(None)
        assert await objects.get("x/ y?") == Success(b"body")
        missing = await objects.get("none")
        assert get_error_kind(missing) is StoreErrorKind.CONDITION_FAILED
        await table.close()
        await objects.close()

    run_with_platform(check)


def test_failed_condition_writes_nothing_and_returns_the_row():
    async def check(platform):
        table = platform.table()
        await table.write({"a": b"1"}, {})
        failed = await table.write(
            {"a": b"2", "b": b"2"}, {"a": Version(0), "b": Version(0)}
        )
        assert get_error_kind(failed) is StoreErrorKind.CONDITION_FAILED
        assert [row.value for row in failed.failure().conflicts] == [b"1"]
        assert (await table.read("b")).unwrap().version == 0
        await table.close()

    run_with_platform(check)


def test_empty_value_deletes_the_row():
    async def check(platform):
        table = platform.table()
        await table.write({"a": b"1"}, {})
        await table.write({"a": b""}, {"a": Version(1)})
        assert (await table.read("a")).unwrap().version == 0
        assert (await table.scan("")).unwrap() == ()
        await table.close()

    run_with_platform(check)


def test_refused_connection_means_unavailable():
    async def main():
        async with run_platform() as platform:
            address = platform.address
        table = make_table_store(address, LONG_TIMEOUT)
        objects = make_object_store(address, LONG_TIMEOUT)
        for result in (
            await table.write({"a": b"1"}, {}),
            await table.read("a"),
            await objects.put("a", b"1"),
            await objects.get("a"),
        ):
            assert get_error_kind(result) is StoreErrorKind.UNAVAILABLE

    curio.run(main)


def test_unavailable_service_leaves_no_effect():
    async def check(platform):
        table = platform.table()
        platform.set_faults(away=True)
        failed = await table.write({"a": b"1"}, {})
        assert get_error_kind(failed) is StoreErrorKind.UNAVAILABLE
        platform.set_faults()
        assert (await table.read("a")).unwrap().version == 0
        await table.close()

    run_with_platform(check)


@pytest.mark.parametrize(
    ("fault", "timeout"),
    [
        (platform_pb2.SILENT, SHORT_TIMEOUT),
        (platform_pb2.CUT, LONG_TIMEOUT),
        (platform_pb2.GARBAGE, LONG_TIMEOUT),
        (platform_pb2.NONSENSE, LONG_TIMEOUT),
    ],
)
def test_missing_or_invalid_response_leaves_effect_unknown(fault, timeout):
    async def check(platform):
        table = platform.table(timeout)
        objects = platform.objects(timeout)
        platform.set_faults(answer=fault)
        written = await table.write({"a": b"1"}, {"a": Version(0)})
        assert get_error_kind(written) is StoreErrorKind.UNKNOWN_EFFECT
        read = await table.read("a")
        assert get_error_kind(read) is StoreErrorKind.UNAVAILABLE
        scanned = await table.scan("a")
        assert get_error_kind(scanned) is StoreErrorKind.UNAVAILABLE
        put = await objects.put("a", b"1")
        assert get_error_kind(put) is StoreErrorKind.UNKNOWN_EFFECT
        platform.set_faults()
        long_timeout_table = platform.table()
        assert (await long_timeout_table.read("a")).unwrap().value == b"1"
        await long_timeout_table.close()
        await table.close()
        await objects.close()

    run_with_platform(check)


def test_slow_response_leaves_effect_unknown():
    async def check(platform):
        platform.set_faults(latency_s=60)
        written = await platform.table(SHORT_TIMEOUT).write({"a": b"1"}, {})
        assert get_error_kind(written) is StoreErrorKind.UNKNOWN_EFFECT

    run_with_platform(check)


def test_lost_response_of_an_applied_write_leaves_effect_unknown():
    async def check(platform):
        platform.set_faults(lost_answers=1)
        table = platform.table()
        written = await table.write({"a": b"1"}, {})
        assert get_error_kind(written) is StoreErrorKind.UNKNOWN_EFFECT
        assert (await table.read("a")).unwrap().version == 1
        await table.close()

    run_with_platform(check)


def test_stale_read_returns_an_earlier_value():
    async def check(platform):
        table = platform.table()
        for value in (b"1", b"2", b"3"):
            await table.write({"a": value}, {})
        platform.set_faults(stale_writes=2)
        assert (await table.read("a")).unwrap().value == b"1"
        failed = await table.write({"a": b"4"}, {"a": Version(1)})
        assert get_error_kind(failed) is StoreErrorKind.CONDITION_FAILED
        await table.close()

    run_with_platform(check)


def test_write_survives_an_idle_connection_closed_by_the_server():
    async def main():
        async with run_platform() as first:
            table = first.table()
            await table.write({"a": b"1"}, {})
            address = first.address
        listener = await listen_platform(address)
        server = await curio.spawn(
            serve_platform, listener, make_platform_stand_in()
        )
        assert await table.write({"a": b"1"}, {}) == Success(None)
        await table.close()
        await server.cancel()

    curio.run(main)


def test_oversized_bodies_are_returned_as_errors(monkeypatch):
    async def check(platform):
        long_timeout_table = platform.table()
        await long_timeout_table.write({"a": bytes(3000)}, {})
        monkeypatch.setattr(table_module, "MAX_BODY_BYTES", 2000)
        table = platform.table()
        failed = await table.write({"b": bytes(3000)}, {})
        assert get_error_kind(failed) is StoreErrorKind.UNAVAILABLE
        assert (
            get_error_kind(await table.read("a")) is StoreErrorKind.UNAVAILABLE
        )
        await table.close()
        await long_timeout_table.close()

    run_with_platform(check)


def test_stand_in_survives_malformed_requests():
    async def check(platform):
        stream = await curio.open_connection("127.0.0.1", platform.address.port)
        await stream.sendall(b"\xff\xff\r\n\r\n")
        assert await stream.recv(100) == b""
        await stream.close()
        answer = await platform.stand_in.answer("POST", "/table/write", b"\xff")
        assert answer.status == 400
        table = platform.table()
        failed = await table.write({"": b"1"}, {})
        assert get_error_kind(failed) is StoreErrorKind.UNAVAILABLE
        assert is_successful(await table.write({"a": b"1"}, {}))
        await table.close()

    run_with_platform(check)


def test_faults_are_set_through_the_admin_path():
    async def check(platform):
        faults = platform_pb2.StandInFaults(away=True)
        body = faults.SerializeToString()
        await platform.stand_in.answer("POST", "/admin/faults", body)
        table = platform.table()
        assert (
            get_error_kind(await table.read("a")) is StoreErrorKind.UNAVAILABLE
        )
        await table.close()

    run_with_platform(check)


def test_non_positive_timeout_is_rejected():
    with pytest.raises(FindingsError):
        make_table_store(Address("127.0.0.1", 1), Seconds(0))


class SlowStore:
    """A store whose response arrives in parts, with pauses between them."""

    def __init__(self, pauses):
        self.pauses = pauses
        self.calls = 0

    async def answer(self, exchange):
        self.calls += 1
        body = b'{"rows": [], "ver": 7}'
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        await exchange.send(head)
        for place, pause in enumerate(self.pauses):
            await curio.sleep(pause)
            await exchange.send(body[place : place + 1])
        await exchange.send(body[len(self.pauses) :])
        return True


def read_slowly(pauses):
    store = SlowStore(pauses)

    async def main():
        server = ScriptedServer(store.answer)
        task = await curio.spawn(server.run, daemon=True)
        client = make_row_store(server.address, Seconds(2.0))
        result = await client.read("op")
        await task.cancel()
        return result

    return run_virtual(main()), store


def test_slow_transfer_of_the_store_is_not_started_again():
    # Behind a full link a table took longer than the timeout of a call, and was
    # read from its beginning again and again.
    result, store = read_slowly([1.5] * 8)
    assert result.unwrap().version == 7
    assert store.calls == 1


def test_transfer_of_the_store_that_stops_is_given_up():
    result, _ = read_slowly([1.5, 10.0])
    assert get_error_kind(result) is StoreErrorKind.UNAVAILABLE


OK = b"HTTP/1.1 200 OK\r\n"
# The store's client accepts 4 MiB; the rest is in the buffers of sockets.
MAX_ENDLESS_BYTES = 24 << 20


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (OK, b"x: 1\r\n"),
        (b"", b"garbage"),
        (OK + b"content-length: 1000000000000\r\n\r\n", b"x"),
        (OK + b"\r\n", b"x"),
        (OK + b"transfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    ],
    ids=[
        "interim",
        "head",
        "no-answer",
        "huge-length",
        "until-close",
        "chunks",
    ],
)
def test_endless_answer_of_the_store_is_given_up(first, repeated):
    # Kept until the memory was used up, it would end the process.
    sent = 0

    async def send_without_end(exchange):
        nonlocal sent
        await exchange.read_body()
        await exchange.send(first)
        part = repeated * ((1 << 16) // len(repeated))
        while True:
            try:
                await exchange.sock.sendall(part)
            except OSError:
                return False
            sent += len(part)

    async def main():
        server = ScriptedServer(send_without_end)
        await curio.spawn(server.run, daemon=True)
        store = make_row_store(server.address, LONG_TIMEOUT)
        result = await store.read("egretlever-servers")
        return get_error_kind(result)

    assert run_virtual(main()) is StoreErrorKind.UNAVAILABLE
    assert sent <= MAX_ENDLESS_BYTES
