"""Guards orders on the request path: at most once, and told truthfully."""

import curio
import pytest

from egretlever.schema import catalogue_pb2
from egretlever.testing import answer, run_with_proxy, send_raw, stay_silent

SHED = answer(b"", 503, b"egretlever-shed: 1")
OK = b"HTTP/1.1 200 OK\r\n"
LONG = b"x" * 100_000
FIRST = {"order_mode": catalogue_pb2.FIRST_ATTEMPT}


async def order(world, key="k1", body=b"swatch", **fields):
    named = {"egretlever-order-key": key, **fields}
    reply = await world.call("POST", "/swatches", body, **named)
    return reply.status, reply.outcome


async def add_server(world, *steps):
    return await world.add_server(*steps, service="ordering")


@pytest.mark.parametrize(
    ("step", "first", "second", "runs"),
    [
        (answer(b"done", 201), (201, "completed"), (201, "completed"), 1),
        (answer(b"no", 500), (500, "completed"), (500, "completed"), 1),
        # The recorded body is too long, so only the outcome is known.
        (answer(LONG), (200, "completed"), (410, "completed"), 1),
        (send_raw(b""), (502, "unknown"), (409, "unknown"), 1),
        (SHED, (503, "not-run"), (503, "not-run"), 2),
        (stay_silent, (504, "unknown"), (409, "unknown"), 1),
    ],
)
@pytest.mark.parametrize("mode", [{}, FIRST])
def test_a_repeated_order_gets_the_outcome_of_the_first(
    step, first, second, runs, mode
):
    async def body(world):
        server = await add_server(world, step)
        results = [await order(world)]
        await curio.sleep(0.5)
        results.append(await order(world, **{"egretlever-attempt": 1}))
        return results, len(server.heads)

    changes = {"max_attempts": 1, **mode}
    assert run_with_proxy(body, **changes) == ([first, second], runs)


def test_a_cut_long_answer_is_recorded_as_unknown():
    # It was recorded as completed before its end had arrived.
    async def body(world):
        cut = OK + b"content-length: 100000\r\n\r\nab"
        await add_server(world, send_raw(cut))
        caller = await world.connect()
        await caller.sock.sendall(
            b"POST /swatches HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
            b"egretlever-order-key: k1\r\n\r\n"
        )
        with pytest.raises(ConnectionResetError):
            await caller.read_raw()
        return await order(world, body=b"")

    assert run_with_proxy(body) == (409, "unknown")


def test_a_key_of_another_request_is_refused():
    async def body(world):
        server = await add_server(world)
        await order(world)
        changed = await world.call(
            "POST", "/swatches?other", **{"egretlever-order-key": "k1"}
        )
        return changed.status, changed.outcome, len(server.heads)

    status, outcome, runs = run_with_proxy(body)
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
def test_orders_while_the_store_is_away(mode, attempt, expected, runs):
    async def body(world):
        server = await add_server(world)
        world.table.away = True
        result = await order(world, **{"egretlever-attempt": attempt})
        return result, len(server.heads)

    assert run_with_proxy(body, **mode) == (expected, runs)


def test_an_order_shed_everywhere_is_not_run_and_may_run_later():
    async def body(world):
        servers = [await add_server(world, SHED, answer()) for _ in range(3)]
        first = await order(world)
        runs = sum(len(server.heads) for server in servers)
        return first, runs, await order(world)

    first, runs, second = run_with_proxy(body, retry_budget=1.0)
    assert first == (503, "not-run") and runs == 3
    assert second == (200, "completed")


def test_an_order_is_never_sent_over_a_kept_connection():
    async def body(world):
        server = await add_server(world)
        for number in range(3):
            await order(world, f"k{number}")
        return server.connections

    assert run_with_proxy(body) == 3


def test_an_order_that_breaks_while_it_runs_stays_claimed():
    # Its claim was released as "not run" and a repetition ran it again.
    async def body(world):
        server = await add_server(world, answer(after=0.5))
        original = world.pool.acquire

        async def acquire(address, fresh=False):
            connection = await original(address, fresh)

            async def fail():
                await curio.sleep(0.1)
                raise RuntimeError("fault in the node")

            connection.read_response = fail
            return connection

        world.pool.acquire = acquire
        caller = await world.connect()
        await caller.sock.sendall(
            b"POST /swatches HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n"
            b"egretlever-order-key: k1\r\n\r\nswatch"
        )
        assert await caller.read_raw() == b""
        world.pool.acquire = original
        again = await order(world, **{"egretlever-attempt": 1})
        return again, len(server.heads)

    assert run_with_proxy(body) == ((409, "unknown"), 1)
