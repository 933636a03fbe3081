"""Guards catalogue offers to nodes that do not apply them at once."""

import curio

from egretlever.admin import offer_catalogue
from egretlever.catalogue import make_snapshot
from egretlever.core import Address, Seconds
from egretlever.schema import admin_pb2
from egretlever.testing.builders import build_catalogue
from egretlever.transport import Answer, open_listener, serve_requests

BASE, TARGET = (make_snapshot(build_catalogue(number)) for number in (4, 5))


def offer_to(verdicts):
    """Offer to a node that gives verdicts; return contents and last verdict."""
    offers = []

    async def handle(head, body):
        offers.append(admin_pb2.CatalogueOffer.FromString(body))
        verdict = verdicts[min(len(offers), len(verdicts)) - 1]
        return Answer(body=b'{"verdict": "%s"}' % verdict.encode())

    async def run():
        listener = open_listener(Address("127.0.0.1", 0))
        address = Address(*listener.getsockname()[:2])
        server = await curio.spawn(serve_requests, listener, handle)
        result = await offer_catalogue([address], TARGET, BASE)
        await server.cancel()
        await listener.close()
        return result

    (result,) = curio.run(run)
    contents = [offer.WhichOneof("content") for offer in offers]
    return contents, admin_pb2.OfferVerdict.Name(result.answer.verdict)


def test_a_node_with_another_base_version_gets_the_snapshot():
    contents, verdict = offer_to(["OTHER_BASE", "TAKEN"])
    assert contents == ["delta", "snapshot"]
    assert verdict == "TAKEN"


def test_an_offer_is_retried_after_a_stale_read_of_the_store():
    contents, verdict = offer_to(["NOT_IN_STORE", "NOT_IN_STORE", "TAKEN"])
    assert contents == ["delta"] * 3
    assert verdict == "TAKEN"


def test_the_number_of_attempts_is_bounded():
    for verdict in ("NOT_IN_STORE", "OTHER_BASE"):
        contents, last = offer_to([verdict])
        assert len(contents) <= 4
        assert last == verdict


def test_an_unreachable_node_is_reported():
    (result,) = curio.run(
        offer_catalogue, [Address("127.0.0.1", 1)], TARGET, None, Seconds(1.0)
    )
    assert result.answer is None
    assert result.error
