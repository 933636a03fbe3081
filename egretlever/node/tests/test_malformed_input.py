"""Guards the listening ports against malformed input.

It must cause no unexpected exception, and every request must be counted.
"""

import curio
import prometheus_client
from hypothesis import given, settings
from hypothesis import strategies as st

from egretlever.core import Address, Seconds
from egretlever.node import make_node
from egretlever.node._admin import serve_admin
from egretlever.node._operations import check_announcement
from egretlever.schema import gossip_pb2
from egretlever.testing import (
    Caller,
    answer,
    build_node_settings,
    run_virtual,
    run_with_proxy,
)
from egretlever.transport import open_connection, open_listener

FUZZ_SETTINGS = settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)
COUNTED = (
    "egretlever_bad_requests_total",
    "egretlever_lost_callers_total",
    "egretlever_requests_total",
    "egretlever_refusals_total",
)
LINES = st.sampled_from(
    [
        b"GET /fabrics HTTP/1.1\r\n",
        b"PUT /fabrics HTTP/1.0\r\n",
        b"HEAD /fabrics HTTP/1.1\r\n",
        b"POST /swatches HTTP/1.1\r\n",
        b"CONNECT x:1 HTTP/1.1\r\n",
        b"GET http://x/ HTTP/1.1\r\n",
    ]
)
FRAGMENTS = st.sampled_from(
    [
        b"host: x\r\n",
        b"content-length: 5\r\n",
        b"content-length: -1\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding: gzip\r\n",
        b"expect: 100-continue\r\n",
        b"connection: close, upgrade\r\nupgrade: x\r\n",
        b"egretlever-order-key: \xff\xfe\r\n",
        b"egretlever-order-key: k\r\n",
        b"egretlever-deadline-ms: 99999999999999999999\r\n",
        b"egretlever-attempt: \xb2\r\n",
        b"egretlever-rank: x\r\n",
        b"egretlever-caller: \x80\x81\r\n",
        b" folded\r\n",
        b"x:" + b"y" * 20_000 + b"\r\n",
        b"\r\n",
        b"\n\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"hello",
        b"\x16\x03\x01\x02\x00",
    ]
)
MALFORMED = st.one_of(
    st.binary(max_size=200),
    st.lists(
        st.one_of(LINES, FRAGMENTS, st.binary(max_size=8)), max_size=12
    ).map(b"".join),
    st.builds(
        lambda line, parts: line + b"host: x\r\n" + b"".join(parts) + b"\r\n",
        LINES,
        st.lists(FRAGMENTS, max_size=4),
    ),
)


def count_cases():
    """Return the counted requests, and those that raised an exception."""
    total = exceptions = 0.0
    for family in prometheus_client.REGISTRY.collect():
        for sample in family.samples:
            if sample.name in COUNTED:
                total += sample.value
                exceptions += sample.value * (
                    sample.labels.get("status") == "0"
                )
    return total, exceptions


async def send_malformed(address, payload):
    sock = await open_connection(address, Seconds(1.0))
    caller = Caller(sock)
    try:
        async with curio.timeout_after(300):
            await sock.sendall(payload)
            await sock.shutdown(1)
            await caller.read_raw()
    except OSError:
        pass
    finally:
        await sock.close()


@FUZZ_SETTINGS
@given(st.lists(MALFORMED, max_size=8))
def test_malformed_requests_are_counted_and_affect_no_other_request(payloads):
    async def scenario(fixture):
        await fixture.add_server(answer(b"fine"))
        await fixture.add_server(answer(b"made"), service="ordering")
        for payload in payloads:
            before, exceptions = count_cases()
            await send_malformed(fixture.address, payload)
            await curio.sleep(2.0)
            after, exceptions_after = count_cases()
            assert exceptions_after == exceptions
            assert after > before or not payload.strip(b"\r\n")
        reply = await fixture.call("GET", "/fabrics")
        return (
            reply.body,
            fixture.proxy.in_flight,
            fixture.parts.admission_waiter.dispatched_count,
        )

    assert run_with_proxy(scenario) == (b"fine", 0, 0)


async def with_admin(scenario):
    listener = open_listener(Address("127.0.0.1", 0))
    address = Address(*listener.getsockname()[:2])
    node = make_node(build_node_settings(), seed=1)
    task = await curio.spawn(serve_admin, listener, node, node.operations)
    try:
        return await scenario(address)
    finally:
        await task.cancel()
        await listener.close()


async def call_admin(address, method, path, payload=b""):
    sock = await open_connection(address, Seconds(1.0))
    reply = await Caller(sock).call(method, path, payload)
    await sock.close()
    return reply.status


@FUZZ_SETTINGS
@given(st.lists(MALFORMED, max_size=8))
def test_malformed_admin_requests_affect_no_other_request(payloads):
    async def scenario(address):
        for payload in payloads:
            await send_malformed(address, payload)
        return await call_admin(address, "GET", "/healthz")

    exceptions = count_cases()[1]
    assert run_virtual(with_admin(scenario)) == 200
    assert count_cases()[1] == exceptions


NAMES = st.one_of(st.text(max_size=20), st.text(min_size=201, max_size=300))
ANNOUNCEMENTS = st.builds(
    gossip_pb2.Announcement,
    server=NAMES,
    service=NAMES,
    address=st.builds(
        gossip_pb2.Endpoint,
        ip=st.sampled_from(["127.0.0.1", "::1", "", "x", "1.2.3.4\n"]),
        port=st.sampled_from([0, 1, 65535, 65536]),
    ),
    state=st.integers(0, 9),
    incarnation=st.integers(0, 2**63),
    slots=st.sampled_from([0, 1, 4, 10_001]),
    connections=st.integers(0, 2**31),
    uptime_s=st.floats(),
).map(lambda message: message.SerializeToString())


@FUZZ_SETTINGS
@given(st.lists(st.one_of(ANNOUNCEMENTS, st.binary(max_size=60)), max_size=8))
def test_arbitrary_announcements_are_accepted_or_refused(payloads):
    async def scenario(address):
        statuses = {
            await call_admin(address, "POST", "/announce", payload)
            for payload in payloads
        }
        return statuses, await call_admin(address, "GET", "/fleet")

    exceptions = count_cases()[1]
    statuses, fleet = run_virtual(with_admin(scenario))
    assert statuses <= {200, 400} and fleet == 200
    assert count_cases()[1] == exceptions


def test_too_long_names_and_invalid_uptimes_are_refused():
    valid = gossip_pb2.Announcement(
        server="s",
        service="x",
        address=gossip_pb2.Endpoint(ip="127.0.0.1", port=1),
        state=gossip_pb2.SERVING,
        slots=1,
    )
    assert check_announcement(valid) == ""
    for change in (
        {"server": "s" * 201},
        {"service": "a\nb"},
        {"uptime_s": float("nan")},
        {"uptime_s": float("inf")},
    ):
        changed = gossip_pb2.Announcement(**change)
        merged = gossip_pb2.Announcement.FromString(valid.SerializeToString())
        merged.MergeFrom(changed)
        assert check_announcement(merged)
