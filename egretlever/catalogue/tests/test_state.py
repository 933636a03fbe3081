"""Guards against nodes that revert or accept content that differs.

A node never returns to an older version of the catalogue, and accepts a version
only with the content that its digest announces (invariant I7).
"""

import dataclasses

import pytest

from egretlever.catalogue import (
    Accepted,
    Rejected,
    RejectionReason,
    compute_delta,
    make_catalogue_state,
    make_snapshot,
)
from egretlever.core import Digest, _invariants
from egretlever.testing import builders


def build_snapshot(version, **changes):
    catalogue = builders.build_catalogue(version)
    catalogue.services[0].queue_limit = changes.pop("queue_limit", version)
    catalogue.edit_id = changes.pop("edit_id", f"edit-{version}")
    return make_snapshot(catalogue)


@pytest.fixture
def state():
    state = make_catalogue_state()
    state.apply_update(build_snapshot(5), 1.0)
    return state


def read_failures():
    label = "catalogue-version-has-one-digest"
    return _invariants.INVARIANT_FAILURES.labels(label)._value.get()


def apply(state, update):
    result = state.apply_update(update, 2.0)
    return result.reason if isinstance(result, Rejected) else Accepted


def test_only_higher_versions_are_accepted(state):
    assert apply(state, build_snapshot(4)) is RejectionReason.LOWER_VERSION
    assert apply(state, build_snapshot(5)) is RejectionReason.ALREADY_HELD
    assert state.accepted_at_ == 1.0
    assert apply(state, build_snapshot(9)) is Accepted
    assert (state.version, state.accepted_at_) == (9, 2.0)


def test_one_version_with_two_digests_is_a_fault_of_the_store(state):
    before = read_failures()
    other = build_snapshot(5, queue_limit=99)
    assert apply(state, other) is RejectionReason.CONFLICTING_DIGEST
    delta = compute_delta(build_snapshot(4), other)
    assert apply(state, delta) is RejectionReason.CONFLICTING_DIGEST
    assert read_failures() == before + 2
    assert state.head == build_snapshot(5).head


def test_a_delta_applies_to_its_base_only(state):
    target = build_snapshot(7)
    for base in (build_snapshot(4), build_snapshot(5, queue_limit=1)):
        delta = compute_delta(base, target)
        assert apply(state, delta) is RejectionReason.OTHER_BASE
    empty = make_catalogue_state()
    delta = compute_delta(build_snapshot(5), target)
    assert apply(empty, delta) is RejectionReason.OTHER_BASE
    assert apply(state, delta) is Accepted
    assert state.snapshot_ == target


def test_a_delta_must_give_the_announced_digest(state):
    delta = compute_delta(build_snapshot(5), build_snapshot(6))
    false_head = dataclasses.replace(delta.head, digest=Digest("0" * 64))
    for bad in (
        dataclasses.replace(delta, head=false_head),
        dataclasses.replace(delta, services={}),
        dataclasses.replace(delta, removed_routes=("browse",)),
    ):
        assert apply(state, bad) is RejectionReason.DIGEST_MISMATCH
    assert state.version == 5
    assert state.match("GET", "a", "/fabrics").id == "browse"


def test_matching_follows_the_version_in_force(state):
    catalogue = builders.build_catalogue(6)
    catalogue.routes[1].path = "/cloth"
    del catalogue.routes[2]
    delta = compute_delta(state.snapshot_, make_snapshot(catalogue))
    assert delta.removed_routes == ("report",)
    assert apply(state, delta) is Accepted
    assert state.match("GET", "a", "/fabrics") is None
    assert state.match("GET", "a", "/reports") is None
    assert state.match("GET", "a", "/cloth/1").id == "browse"


def test_routes_that_match_the_same_requests_do_not_stop_a_node():
    """The checks reject such a catalogue, but a faulty peer may send it."""
    catalogue = builders.build_catalogue(5)
    del catalogue.routes[1:]
    for name in ("first", "second"):
        route = builders.build_route(name, host="a.example", path="/same")
        catalogue.routes.append(route)
    state = make_catalogue_state()
    assert apply(state, make_snapshot(catalogue)) is Accepted
    catalogue.version = 6
    del catalogue.routes[1:]
    delta = compute_delta(state.snapshot_, make_snapshot(catalogue))
    assert apply(state, delta) is Accepted
    assert state.match("GET", "a.example", "/same") is None
