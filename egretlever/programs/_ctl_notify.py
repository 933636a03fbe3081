"""Notification of nodes about an accepted catalogue edit."""

import typer

from egretlever.admin import NodeOfferResult, offer_catalogue
from egretlever.catalogue import Applied
from egretlever.programs._ctl_common import CtlContext, run_on_loop
from egretlever.schema import admin_pb2
from egretlever.settings import parse_address

# Verdicts of nodes that have this version or a higher one.
_IN_FORCE = frozenset(
    {
        admin_pb2.TAKEN,
        admin_pb2.ALREADY_HELD,
        admin_pb2.SUPERSEDED,
        admin_pb2.LOWER_VERSION,
    }
)


def notify_nodes(context: CtlContext, done: Applied) -> None:
    """Send an accepted catalogue version to the nodes in the settings.

    The edit stays accepted whatever the nodes respond. Other nodes receive it
    by gossip or read it from the store.
    """
    texts = context.load().ctl.nodes
    if not texts or done.snapshot is None:
        return
    addresses = [parse_address(text) for text in texts]
    results = run_on_loop(offer_catalogue, addresses, done.snapshot, done.base)
    count = sum(_is_in_force(result) for result in results)
    typer.echo(f"in force on {count} of the {len(results)} nodes told")
    for result in results:
        if not _is_in_force(result):
            typer.echo(
                f"{result.address}: {_describe_failure(result)}", err=True
            )


def _is_in_force(result: NodeOfferResult) -> bool:
    return result.answer is not None and result.answer.verdict in _IN_FORCE


def _describe_failure(result: NodeOfferResult) -> str:
    if result.answer is None:
        return result.error
    name = admin_pb2.OfferVerdict.Name(result.answer.verdict)
    return f"{result.answer.node} holds version {result.answer.version}: {name}"
