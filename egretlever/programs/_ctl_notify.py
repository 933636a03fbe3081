"""Notification of nodes after an accepted edit of the catalogue."""

import typer

from egretlever.admin import NodeOffer, offer_catalogue
from egretlever.catalogue import Applied
from egretlever.programs._ctl_common import CtlContext, run_on_loop
from egretlever.schema import admin_pb2
from egretlever.settings import parse_address

# Verdicts of nodes that hold the version, or a higher one.
_IN_FORCE = frozenset(
    {
        admin_pb2.TAKEN,
        admin_pb2.ALREADY_HELD,
        admin_pb2.SUPERSEDED,
        admin_pb2.LOWER_VERSION,
    }
)


def tell_nodes(context: CtlContext, done: Applied) -> None:
    """Offer an accepted version to the nodes of the settings.

    The edit is accepted whatever the nodes answer. Those that were not told
    learn it by gossip, or from the store.
    """
    texts = context.load().ctl.nodes
    if not texts or done.snapshot is None:
        return
    addresses = [parse_address(text) for text in texts]
    offers = run_on_loop(offer_catalogue, addresses, done.snapshot, done.base)
    count = sum(_is_in_force(offer) for offer in offers)
    typer.echo(f"in force on {count} of the {len(offers)} nodes told")
    for offer in offers:
        if not _is_in_force(offer):
            typer.echo(f"{offer.address}: {_explain(offer)}", err=True)


def _is_in_force(offer: NodeOffer) -> bool:
    return offer.answer is not None and offer.answer.verdict in _IN_FORCE


def _explain(offer: NodeOffer) -> str:
    if offer.answer is None:
        return offer.error
    name = admin_pb2.OfferVerdict.Name(offer.answer.verdict)
    return f"{offer.answer.node} holds version {offer.answer.version}: {name}"
