"""Guards callers against wrong outcomes (design, section 5.4)."""

import curio
import pytest

from egretlever.testing import answer, run_with_proxy, send_raw, stay_silent

OK = b"HTTP/1.1 200 OK\r\n"
SHED_LINES = (b"egretlever-shed: 1", b"egretlever-request-id: $ID")
SHED = answer(b"", 503, *SHED_LINES)
SHED_WITHOUT_ID = answer(b"", 503, b"egretlever-shed: 1", echo=False)
CROSSED = answer(b"ok", 200, b"egretlever-request-id: another")
CUT_HELD = send_raw(OK + b"content-length: 9\r\n\r\nab")
CUT_CHUNKED = send_raw(OK + b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n")
DEADLINE = {"egretlever-deadline-ms": 400}


def call(*steps, method="GET", target="/fabrics", changes=None, **fields):
    """Send a request through the node; return the reply and the run count."""

    async def scenario(fixture):
        server = await fixture.add_server(*steps) if steps else None
        reply = await fixture.call(method, target, b"", **fields)
        return reply, len(server.heads) if server else 0

    return run_with_proxy(scenario, **(changes or {}))


@pytest.mark.parametrize(
    ("steps", "fields", "status", "outcome", "reason"),
    [
        ([answer()], {}, 200, "completed", None),
        ([answer(status=404)], {}, 404, "completed", None),
        ([answer(status=500)], {}, 500, "completed", None),
        ([SHED], {}, 503, "not-run", "shed, budget-empty"),
        ([SHED_WITHOUT_ID], {}, 502, "unknown", "cut, budget-empty"),
        ([CUT_HELD], {}, 502, "unknown", "cut, budget-empty"),
        ([send_raw(b"")], {}, 502, "unknown", "cut, budget-empty"),
        ([send_raw(b"junk\r\n\r\n")], {}, 502, "unknown", "cut, budget-empty"),
        ([CROSSED], {}, 502, "unknown", "cut, budget-empty"),
        ([stay_silent], DEADLINE, 504, "unknown", "timeout, deadline"),
        ([answer()], {"egretlever-deadline-ms": 0}, 504, "not-run", "deadline"),
        ([], {}, 503, "not-run", "no"),
        ([answer()], {"egretlever-attempt": "x"}, 400, "not-run", "attempt"),
        ([answer()], {"egretlever-rank": "none"}, 400, "not-run", "rank"),
    ],
)
def test_each_outcome_has_its_status_and_headers(
    steps, fields, status, outcome, reason
):
    changes = {"retry_budget": 0.0}
    reply, runs = call(*steps, changes=changes, **fields)
    assert (reply.status, reply.outcome) == (status, outcome)
    found = reply.head.find(b"egretlever-reason")
    assert found is None if reason is None else reason in found
    assert reply.head.find(b"egretlever-request-id")
    if outcome == "not-run" and steps != [SHED]:
        assert runs == 0


def test_a_request_without_a_route_keeps_the_connection():
    async def scenario(fixture):
        await fixture.add_server()
        caller = await fixture.connect()
        first = await caller.call("GET", "/nothing")
        return first, await caller.call("GET", "/fabrics")

    first, second = run_with_proxy(scenario)
    assert (first.status, first.outcome, second.status) == (404, "not-run", 200)


@pytest.mark.parametrize(
    ("method", "raw", "status", "body"),
    [
        ("HEAD", OK + b"content-length: 900000\r\n\r\n", 200, b""),
        ("HEAD", OK + b"transfer-encoding: chunked\r\n\r\n", 200, b""),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        ("GET", b"HTTP/1.1 304 X\r\ncontent-length: 5\r\n\r\n", 304, b""),
        (
            "GET",
            OK + b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            200,
            b"ab",
        ),
        # Chunked encoding takes precedence, and the length must not be
        # forwarded with it.
        (
            "GET",
            OK + b"content-length: 9\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n0\r\n\r\n",
            200,
            b"ab",
        ),
    ],
)
def test_responses_of_each_framing_are_forwarded(method, raw, status, body):
    reply, runs = call(send_raw(raw, keep_open=True), method=method)
    assert (reply.status, reply.outcome) == (status, "completed")
    assert (reply.body, runs) == (body, 1)


def test_a_refused_head_request_gets_no_body():
    # The caller would read a body as the start of the next response.
    reply, _ = call(answer(), method="HEAD", **{"egretlever-attempt": "x"})
    assert (reply.status, reply.body) == (400, b"")


@pytest.mark.parametrize("step", [CUT_HELD, CROSSED, SHED, answer(status=500)])
def test_idempotent_requests_are_retried(step):
    reply, runs = call(step, answer(b"second"))
    assert (reply.status, reply.body, runs) == (200, b"second", 2)


def test_a_complete_error_response_is_returned_after_a_failed_retry():
    # The caller got the outcome "completed" without the response that completed
    # the request.
    reply, runs = call(answer(b"mine", 500), CUT_HELD)
    assert (reply.status, reply.outcome) == (500, "completed")
    assert (reply.body, runs) == (b"mine", 3)


@pytest.mark.parametrize(
    "line",
    [
        b"retry-after: " + b"9" * 400,
        b"egretlever-load: " + b"9" * 5000 + b"/4",
        b"egretlever-load: 1/0",
        b"egretlever-draining: 1",
    ],
)
def test_invalid_headers_of_a_server_are_tolerated(line):
    reply, _ = call(answer(b"", 503, line, *SHED_LINES))
    assert (reply.status, reply.outcome) == (503, "not-run")


@pytest.mark.parametrize(
    ("version", "complete"), [(b"1.1", b"0\r\n\r\n"), (b"1.0", None)]
)
def test_a_caller_notices_a_response_truncated_after_its_head(
    version, complete
):
    async def scenario(fixture):
        await fixture.add_server(CUT_CHUNKED)
        caller = await fixture.connect()
        await caller.sock.sendall(
            b"GET /fabrics HTTP/" + version + b"\r\nhost: x\r\n\r\n"
        )
        return await caller.read_raw()

    try:
        received = run_with_proxy(scenario)
    except ConnectionResetError:
        return
    # Without chunked encoding, only a reset distinguishes a truncated response
    # from a complete one.
    assert complete is not None and complete not in received


@pytest.mark.parametrize("size", [1, 12, 16, 17, 30, 35, 36])
def test_a_response_that_ends_within_its_head_is_none(size):
    # Callers got a 200 with an empty body, framed as whole.
    head = OK + b"content-length: 0\r\n\r\n"
    assert len(head) == 38
    reply, _ = call(send_raw(head[:size]), send_raw(head[:size]))
    assert (reply.status, reply.outcome) == (502, "unknown")


def test_an_http_1_0_request_without_host_is_served():
    async def scenario(fixture):
        await fixture.add_server(answer(b"whole"))
        caller = await fixture.connect()
        await caller.sock.sendall(b"GET /fabrics HTTP/1.0\r\n\r\n")
        return await caller.read_raw()

    assert run_with_proxy(scenario).endswith(b"\r\n\r\nwhole")


def test_a_pooled_connection_with_unexpected_bytes_is_not_reused():
    # The bytes would be read as the response to the next request.
    async def late(exchange):
        await answer(b"first")(exchange)
        await curio.sleep(0.2)
        await exchange.send(OK + b"content-length: 5\r\n\r\nother")
        return True

    async def scenario(fixture):
        server = await fixture.add_server(late, answer(b"second"))
        await fixture.call("GET", "/fabrics")
        await curio.sleep(0.5)
        reply = await fixture.call("GET", "/fabrics")
        return reply.body, server.connections

    assert run_with_proxy(scenario) == (b"second", 2)


def test_a_late_copy_without_an_id_is_not_taken_for_the_next_response():
    # The copy arrives after the next request was sent: the connection was clean
    # when it was taken from the pool.
    own, copy = answer(b"first"), answer(b"first", echo=False)

    async def scenario(fixture):
        await fixture.add_server(own, copy, answer(b"second"))
        await fixture.call("GET", "/fabrics")
        return (await fixture.call("GET", "/fabrics")).body

    assert run_with_proxy(scenario) == b"second"


@pytest.mark.parametrize(("echo", "connections"), [(False, 3), (True, 1)])
def test_a_connection_is_reused_only_by_servers_that_name_the_request(
    echo, connections
):
    # Without the id, a late copy of a response can't be told from the next one.
    async def scenario(fixture):
        server = await fixture.add_server(answer(echo=echo))
        for _ in range(3):
            await fixture.call("GET", "/fabrics")
        return server.connections

    assert run_with_proxy(scenario) == connections


def test_a_draining_server_gets_no_further_requests():
    async def scenario(fixture):
        leaving = answer(b"a", 200, b"egretlever-draining: 1")
        servers = [await fixture.add_server(leaving) for _ in range(2)]
        for _ in range(2):
            await fixture.call("GET", "/fabrics")
        servers.append(await fixture.add_server(answer(b"b")))
        bodies = {
            (await fixture.call("GET", "/fabrics")).body for _ in range(9)
        }
        return bodies, [len(server.heads) for server in servers]

    assert run_with_proxy(scenario) == ({b"b"}, [1, 1, 9])
