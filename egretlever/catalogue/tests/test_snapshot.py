"""Guards digests and deltas: equal content must have equal bytes."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from egretlever.catalogue import (
    apply_delta,
    compute_delta,
    decode_catalogue,
    decode_delta,
    decode_head,
    decode_snapshot,
    encode_delta,
    encode_head,
    make_snapshot,
    normalise_catalogue,
)
from egretlever.catalogue._canonical import encode_canonical
from egretlever.catalogue._snapshot import compute_digest
from egretlever.schema import catalogue_pb2, gossip_pb2
from egretlever.testing import builders, strategies


@hypothesis.given(strategies.draw_catalogue(1), strategies.draw_catalogue(2))
def test_an_encoded_delta_gives_the_target(old, new):
    base, target = make_snapshot(old), make_snapshot(new)
    sent = encode_delta(compute_delta(base, target))
    result = apply_delta(base, decode_delta(sent).unwrap())
    assert result == target
    assert list(result.routes) == sorted(result.routes)


@hypothesis.given(strategies.draw_catalogue(3), st.integers(0, 99))
def test_the_digest_does_not_depend_on_the_order_of_entries(catalogue, seed):
    digest = make_snapshot(catalogue).head.digest
    for kind in ("ranks", "services", "routes"):
        entries = list(getattr(catalogue, kind))
        random.Random(seed).shuffle(entries)
        catalogue.ClearField(kind)
        getattr(catalogue, kind).extend(entries)
    assert make_snapshot(catalogue).head.digest == digest


@hypothesis.given(strategies.draw_catalogue(3))
def test_a_snapshot_round_trips_through_its_encoding(catalogue):
    snapshot = make_snapshot(catalogue)
    body = snapshot.to_bytes()
    assert decode_snapshot(body, snapshot.head.digest).unwrap() == snapshot
    assert decode_catalogue(snapshot) == normalise_catalogue(catalogue)
    assert decode_head(encode_head(snapshot.head)).unwrap() == snapshot.head
    # Other programs may read the bytes as protobuf.
    normal = normalise_catalogue(catalogue)
    assert body == normal.SerializeToString(deterministic=True)


def test_the_digest_stays_the_same_between_releases():
    """If these bytes change, old and new nodes reject each other's versions."""
    catalogue = catalogue_pb2.Catalogue(version=300, edit_id="e")
    catalogue.ranks.add(name="a", priority=1, worth=2.5, cross_region=True)
    catalogue.routes.add(id="r", methods=["PUT", "GET"], worth=-1)
    snapshot = make_snapshot(catalogue)
    assert snapshot.to_bytes().hex() == (
        "08ac021201651a100a01611001190000000000000440"
        "3001"
        "2a160a0172220347455422035055544900000000000"
        "0f0bf"
    )
    assert snapshot.head.digest.startswith("585c495fac4ed57f")


def test_zero_and_negative_zero_have_one_encoding():
    zero, negative = builders.build_catalogue(), builders.build_catalogue()
    zero.services[0].floor_share, negative.services[0].floor_share = 0.0, -0.0
    assert make_snapshot(zero).head == make_snapshot(negative).head


def test_a_message_without_canonical_encoding_is_refused():
    with pytest.raises(TypeError, match="has no canonical encoding"):
        encode_canonical(gossip_pb2.Envelope())


def test_damaged_bytes_are_refused():
    snapshot = make_snapshot(builders.build_catalogue())
    body = snapshot.to_bytes()
    wrong = decode_snapshot(body[:-1], snapshot.head.digest).failure()
    assert "does not match its digest" in wrong
    assert decode_delta(b"\xff\xff").failure() == "delta can't be decoded"
    assert decode_delta(b"").failure() == "delta can't be decoded"
    assert "can't be decoded" in decode_head(b"").failure()


def test_fields_of_a_newer_schema_do_not_stop_a_node():
    """In a rolling upgrade old nodes read snapshots of a newer schema."""
    snapshot = make_snapshot(builders.build_catalogue())
    body = snapshot.to_bytes() + b"\xfa\x06\x03new"
    digest = compute_digest(body)
    decoded = decode_snapshot(body, digest).unwrap()
    assert decoded.head.digest == digest
    assert decoded.routes == snapshot.routes
