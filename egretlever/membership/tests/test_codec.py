"""Tests of encoding, its size bound, and invalid datagrams."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlever.core import Address, Digest, Incarnation, Seconds, Version
from egretlever.membership import (
    CatalogueHead,
    DatagramPort,
    Drop,
    Message,
    make_membership,
)
from egretlever.membership._codec import decode_message, encode_message
from egretlever.membership._messages import measure_message
from egretlever.membership._records import apply_delta, make_delta
from egretlever.testing import builders

NOW = Seconds(0.0)
UNKNOWN_ADDRESS = Address("10.9.9.9", 7946)


def build_member(number=1, servers=14):
    member = make_membership(
        builders.build_node_header(number), Incarnation(1), rng=random.Random(1)
    )
    for server in range(servers):
        announcement = builders.build_announcement(server, number, uptime=1.0)
        member.announce(announcement, NOW)
    return member


def test_record_survives_encoding_within_the_measured_size():
    # Guards against a byte budget that counts fewer bytes than are sent.
    delta = build_member().own_delta(NOW)
    head = CatalogueHead(Version(3), Digest(""))
    message = Message(
        delta.node, Incarnation(1), (delta,), digest=(7,) * 64, head=head
    )
    data = encode_message(message)
    assert decode_message(data).unwrap() == message
    assert len(data) <= measure_message(message)


def test_large_record_is_sent_in_several_datagrams():
    # Guards against records that exceed the size of a datagram.
    member = build_member(servers=100)
    record = member._state.own.record
    held = None
    while held is None or held.version < record.version:
        delta = make_delta(record, held.version if held else Version(0))
        message = Message(delta.node, Incarnation(1), (delta,))
        assert len(encode_message(message)) <= 1200
        held = apply_delta(held, delta)
    assert held.entries.keys() == record.entries.keys()


@given(st.binary(max_size=1500))
def test_invalid_datagram_is_counted_and_not_answered(data):
    # Guards against datagrams that raise in the event loop.
    member = build_member(servers=0)
    port = DatagramPort(member)
    assert port.receive(data, UNKNOWN_ADDRESS, NOW) == []
    assert sum(member.describe().dropped.values()) == 1


@given(st.integers(0, 10_000), st.integers(0, 255))
def test_corrupted_message_does_not_raise(position, value):
    # Guards against fields of a message that are used without validation.
    delta = build_member(2).own_delta(NOW)
    data = bytearray(
        encode_message(Message(delta.node, Incarnation(1), (delta,)))
    )
    data[position % len(data)] = value
    port = DatagramPort(build_member())
    port.receive(bytes(data), UNKNOWN_ADDRESS, NOW)


@pytest.mark.parametrize(
    ("data", "reason"),
    [(bytes(1201), Drop.OVERSIZED), (b"\xff" * 20, Drop.MALFORMED)],
)
def test_failure_holds_the_drop_reason(data, reason):
    assert decode_message(data).failure() is reason
