"""Tests answers whose sender closes the connection within their head."""

import curio
import pytest
from curio import socket

from egretlever.placement import Answer, Failure
from egretlever.relay._codec import encode_reply
from egretlever.relay._frames import FrameStream
from egretlever.testing import run_virtual, send_raw
from egretlever.testing._relay_fixture import RelayFixture, run_script
from egretlever.testing.relay_builders import build_answer

FRAMINGS = {
    "length": (b"content-length: 4", b"silk"),
    "chunks": (b"transfer-encoding: chunked", b"4\r\nsilk\r\n0\r\n\r\n"),
    "close": (b"connection: close", b"silk"),
}


def build_response(framing, ending=b"\r\n"):
    line, body = FRAMINGS[framing]
    head = (
        b"HTTP/1.1 200 OK",
        b"x-request-id: r-1",
        b"x-response-signature: s",
        line,
        b"x-more: 1",
    )
    return ending.join(head) + 2 * ending, body


def offer_once(raw, idempotent):
    fixture = RelayFixture(send_raw(raw))
    return run_script(fixture, lambda: fixture.offer(idempotent=idempotent))


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("ending", [b"\r\n", b"\n"], ids=["crlf", "lf"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_answer_that_ends_within_its_head_is_none(framing, ending, idempotent):
    # Clients got a 200 with an empty or short body, framed as whole.
    head, _ = build_response(framing, ending)
    for size in range(len(head)):
        reply = offer_once(head[:size], idempotent)
        assert isinstance(reply, Failure), head[:size]


@pytest.mark.parametrize("ending", [b"\r\n", b"\n"], ids=["crlf", "lf"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_whole_answer_is_one(framing, ending):
    head, body = build_response(framing, ending)
    reply = offer_once(head + body, True)
    assert isinstance(reply, Answer)
    assert reply.body == b"silk"


def test_answer_between_nodes_that_is_cut_is_none():
    frame = encode_reply(1, build_answer())

    async def transfer(size):
        near, far = socket.socketpair()
        sender = FrameStream(near)
        await sender.post(frame)
        writer = await curio.spawn(sender.write_forever, daemon=True)
        await curio.sleep(0.1)
        await writer.cancel()
        data = await far.recv(65536)
        cut, end = socket.socketpair()
        await cut.sendall(data[: size(len(data))])
        await cut.close()
        receiver = FrameStream(end)
        found = await receiver.read()
        for stream in (sender, receiver):
            await stream.close()
        await far.close()
        return found, len(data)

    whole, length = run_virtual(transfer(lambda length: length))
    assert whole == frame
    for size in range(length - 5):
        found, _ = run_virtual(transfer(lambda length, size=size: size))
        assert found is None
