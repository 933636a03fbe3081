"""Guards orders against running twice and against wrongly reported outcomes."""

import curio
import pytest

from egretlever.schema import catalogue_pb2
from egretlever.testing import answer, run_with_proxy, send_raw, stay_silent

SHED = answer(b"", 503, b"egretlever-shed: 1", b"egretlever-request-id: $ID")
OK = b"HTTP/1.1 200 OK\r\n"
LONG = b"x" * 100_000
FIRST = {"order_mode": catalogue_pb2.FIRST_ATTEMPT}


async def order(fixture, key="k1", body=b"swatch", **fields):
    named = {"egretlever-order-key": key, **fields}
    reply = await fixture.call("POST", "/swatches", body, **named)
    return reply.status, reply.outcome


async def add_server(fixture, *steps):
    return await fixture.add_server(*steps, service="ordering")


@pytest.mark.parametrize(
    ("step", "first", "second", "runs"),
    [
        (answer(b"done", 201), (201, "completed"), (201, "completed"), 1),
        (answer(b"no", 500), (500, "completed"), (500, "completed"), 1),
        # The body is too long to be recorded, so only the outcome is known.
        (answer(LONG), (200, "completed"), (410, "completed"), 1),
        (send_raw(b""), (502, "unknown"), (409, "unknown"), 1),
        (SHED, (503, "not-run"), (503, "not-run"), 2),
        (stay_silent, (504, "unknown"), (409, "unknown"), 1),
    ],
)
@pytest.mark.parametrize("mode", [{}, FIRST])
def test_a_retried_order_gets_the_outcome_of_the_first_attempt(
    step, first, second, runs, mode
):
    async def scenario(fixture):
        server = await add_server(fixture, step)
        results = [await order(fixture)]
        await curio.sleep(0.5)
        results.append(await order(fixture, **{"egretlever-attempt": 1}))
        return results, len(server.heads)

    changes = {"max_attempts": 1, **mode}
    assert run_with_proxy(scenario, **changes) == ([first, second], runs)


def test_a_truncated_long_response_is_recorded_as_unknown():
    # The order was recorded as completed before the end of its response.
    async def scenario(fixture):
        cut = OK + b"content-length: 100000\r\n\r\nab"
        await add_server(fixture, send_raw(cut))
        caller = await fixture.connect()
        await caller.sock.sendall(
            b"POST /swatches HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
            b"egretlever-order-key: k1\r\n\r\n"
        )
        with pytest.raises(ConnectionResetError):
            await caller.read_raw()
        return await order(fixture, body=b"")

    assert run_with_proxy(scenario) == (409, "unknown")


def test_a_key_that_another_request_used_is_refused():
    async def scenario(fixture):
        server = await add_server(fixture)
        await order(fixture)
        changed = await fixture.call(
            "POST", "/swatches?other", **{"egretlever-order-key": "k1"}
        )
        return changed.status, changed.outcome, len(server.heads)

    status, outcome, runs = run_with_proxy(scenario)
    assert (status, runs) == (400, 1) and outcome == "not-run"


@pytest.mark.parametrize(
    ("mode", "attempt", "expected", "runs"),
    [
        ({}, 1, (503, "not-run"), 0),
        ({}, 2, (503, "unknown"), 0),
        (FIRST, 1, (200, "completed"), 1),
        (FIRST, 2, (503, "unknown"), 0),
    ],
)
def test_orders_while_the_store_is_unavailable(mode, attempt, expected, runs):
    async def scenario(fixture):
        server = await add_server(fixture)
        fixture.table.unavailable = True
        result = await order(fixture, **{"egretlever-attempt": attempt})
        return result, len(server.heads)

    assert run_with_proxy(scenario, **mode) == (expected, runs)


def test_an_order_that_all_servers_shed_can_be_retried():
    async def scenario(fixture):
        servers = [await add_server(fixture, SHED, answer()) for _ in range(3)]
        first = await order(fixture)
        runs = sum(len(server.heads) for server in servers)
        return first, runs, await order(fixture)

    first, runs, second = run_with_proxy(scenario, retry_budget=1.0)
    assert first == (503, "not-run") and runs == 3
    assert second == (200, "completed")


def test_an_order_is_never_sent_over_a_pooled_connection():
    async def scenario(fixture):
        server = await add_server(fixture)
        for number in range(3):
            await order(fixture, f"k{number}")
        return server.connections

    assert run_with_proxy(scenario) == 3


def test_an_order_whose_attempt_raises_stays_claimed():
    # The claim was released with the outcome "not run", so a retry ran the
    # order a second time.
    async def scenario(fixture):
        server = await add_server(fixture, answer(after=0.5))
        original = fixture.pool.acquire

        async def acquire(address, fresh=False):
            connection = await original(address, fresh)

            async def fail():
                await curio.sleep(0.1)
                raise RuntimeError("fault in the node")

            connection.read_response = fail
            return connection

        fixture.pool.acquire = acquire
        caller = await fixture.connect()
        await caller.sock.sendall(
            b"POST /swatches HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n"
            b"egretlever-order-key: k1\r\n\r\nswatch"
        )
        assert await caller.read_raw() == b""
        fixture.pool.acquire = original
        again = await order(fixture, **{"egretlever-attempt": 1})
        return again, len(server.heads)

    assert run_with_proxy(scenario) == ((409, "unknown"), 1)
