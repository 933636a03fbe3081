"""Guards a node against applying catalogue versions that were not accepted."""

import dataclasses
import random

import pytest

from egretlever.catalogue import (
    FetchFromStore,
    compute_delta,
    encode_delta,
    encode_head,
    make_catalogue_reader,
    make_catalogue_state,
    make_snapshot,
)
from egretlever.core import Version
from egretlever.node._catalogue_offers import OfferHandler, Verdict
from egretlever.schema import admin_pb2
from egretlever.testing import FaultyTableStore, run_virtual
from egretlever.testing.builders import build_catalogue, build_offer


class HandlerFixture:
    """An offer handler with a fake store; records the executed actions."""

    def __init__(self, held, stored):
        self.store = FaultyTableStore()
        self.state = make_catalogue_state()
        self.reader = make_catalogue_reader(self.state, random.Random(1))
        if held:
            self.state.apply_update(make_snapshot(build_catalogue(held)), 0.0)
        self.executed = []
        self.stored = stored

    def handle(self, offer):
        return run_virtual(self._handle(offer))

    async def _handle(self, offer):
        if self.stored is None:
            self.store.unavailable = True
        elif self.stored:
            head = make_snapshot(build_catalogue(self.stored)).head
            await self.store.write(
                {"catalogue/head": encode_head(head)},
                {"catalogue/head": Version(0)},
            )
        handler = OfferHandler(self.state, self.reader, self.store, self._run)
        return await handler.handle(offer)

    async def _run(self, actions):
        self.executed.extend(actions)


# A stored version of None means that the store does not answer, 0 that it is
# empty.
@pytest.mark.parametrize(
    ("held", "stored", "offered", "verdict"),
    [
        (4, 5, 5, Verdict.TAKEN),
        (0, 5, 5, Verdict.TAKEN),
        (4, None, 5, Verdict.TAKEN),
        (4, None, 68, Verdict.TAKEN),
        (4, None, 69, Verdict.UNCONFIRMED),
        (0, None, 5, Verdict.UNCONFIRMED),
        (4, 4, 5, Verdict.NOT_IN_STORE),
        (4, 0, 5, Verdict.NOT_IN_STORE),
        (4, 6, 5, Verdict.SUPERSEDED),
        (5, None, 5, Verdict.ALREADY_HELD),
        (5, None, 4, Verdict.LOWER_VERSION),
    ],
)
def test_an_offer_is_applied_only_if_confirmed_or_a_small_step(
    held, stored, offered, verdict
):
    handler = HandlerFixture(held, stored)
    assert handler.handle(build_offer(offered)) is verdict
    taken = verdict is Verdict.TAKEN
    assert handler.state.version == (offered if taken else held)


def test_a_superseded_offer_makes_the_node_fetch_the_newer_version():
    handler = HandlerFixture(4, 6)
    handler.handle(build_offer(5))
    fetches = [
        one for one in handler.executed if isinstance(one, FetchFromStore)
    ]
    assert [fetch.head.version for fetch in fetches] == [6]


def test_content_that_does_not_match_its_head_is_refused():
    forged = build_offer(5)
    forged.head.digest = build_offer(6).head.digest
    relabelled = build_offer(5)
    relabelled.head.version = 6
    for offer in (
        forged,
        relabelled,
        admin_pb2.CatalogueOffer(),
        admin_pb2.CatalogueOffer(snapshot=b"\xff"),
    ):
        handler = HandlerFixture(4, None)
        assert handler.handle(offer) is Verdict.BAD_CONTENT
        assert handler.state.version == 4


def test_different_content_for_the_stored_version_is_refused():
    other = build_catalogue(5)
    other.services[0].owner = "somebody"
    handler = HandlerFixture(4, 5)
    offer = build_offer(5, other)
    assert handler.handle(offer) is Verdict.CONFLICTING_DIGEST
    assert handler.state.version == 4


def test_a_delta_is_applied_only_by_a_node_that_has_its_base():
    base, target = (make_snapshot(build_catalogue(n)) for n in (4, 5))
    offer = build_offer(5)
    offer.delta = encode_delta(compute_delta(base, target))
    assert HandlerFixture(4, None).handle(offer) is Verdict.TAKEN
    assert HandlerFixture(3, None).handle(offer) is Verdict.OTHER_BASE
    offer.delta = encode_delta(
        compute_delta(base, make_snapshot(build_catalogue(6)))
    )
    assert HandlerFixture(4, None).handle(offer) is Verdict.BAD_CONTENT


def test_a_delta_with_a_wrong_digest_does_not_take_effect():
    base, target = (make_snapshot(build_catalogue(n)) for n in (4, 5))
    delta = compute_delta(base, target)
    head = dataclasses.replace(delta.head, digest="0" * 64)
    offer = build_offer(5)
    offer.head.digest = head.digest
    offer.delta = encode_delta(dataclasses.replace(delta, head=head))
    handler = HandlerFixture(4, None)
    assert handler.handle(offer) is Verdict.BAD_CONTENT
    assert handler.state.version == 4
