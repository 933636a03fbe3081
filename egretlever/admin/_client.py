"""Sends requests to the admin pages of nodes."""

import dataclasses
from collections.abc import Sequence
from typing import TypeVar

import curio
from google.protobuf import json_format, message
from returns.result import Failure, Result, Success

from egretlever.catalogue import (
    Snapshot,
    compute_delta,
    encode_delta,
)
from egretlever.core import Address, Seconds
from egretlever.schema import admin_pb2, catalogue_pb2
from egretlever.transport import ExchangeError, ExchangeFailure, send_request

_TIMEOUT = Seconds(2.0)
# Well below the usual limit of 1,024 open file descriptors.
_MAX_CONCURRENT_OFFERS = 64
# A node's read of the store may be stale for a moment after an accepted edit,
# so the offer is repeated.
_MAX_OFFER_ATTEMPTS = 4
_OFFER_RETRY_INTERVAL = 0.2  # seconds

_Message = TypeVar("_Message", bound=message.Message)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAnswer:
    """State of the fleet as known to one node.

    Parameters
    ----------
    address : Address
        Admin address of the node that answered.
    status : FleetStatus
        Status that it returned.
    unreachable : tuple of Address
        Nodes that were queried before and did not answer.
    """

    address: Address
    status: admin_pb2.FleetStatus
    unreachable: tuple[Address, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeOfferResult:
    """Result of an offer to one node.

    Parameters
    ----------
    address : Address
        Admin address of the node.
    answer : CatalogueOfferAnswer or None
        Answer of the node, None when there is none.
    error : str
        Why there is no answer.
    """

    address: Address
    answer: admin_pb2.CatalogueOfferAnswer | None
    error: str = ""


async def ask_fleet(
    nodes: Sequence[Address], timeout: Seconds = _TIMEOUT
) -> FleetAnswer | None:
    """Query nodes in turn until a ready one returns the fleet's state.

    Parameters
    ----------
    nodes : sequence of Address
        Admin addresses.
    timeout : Seconds, default=2
        Time limit for each node in seconds.

    Returns
    -------
    FleetAnswer or None
        Answer of the first node that is ready, or else of the first one that
        answered; None when none did.
    """
    first: FleetAnswer | None = None
    unreachable: list[Address] = []
    for address in nodes:
        status = admin_pb2.FleetStatus()
        result = await _exchange(address, "GET", "/fleet", b"", status, timeout)
        if isinstance(result, Failure):
            unreachable.append(address)
            continue
        answer = FleetAnswer(address, status, tuple(unreachable))
        if status.ready:
            return answer
        first = first or answer
    return first


async def order_server(
    node: Address, order: admin_pb2.ServerOrder, timeout: Seconds = _TIMEOUT
) -> Result[admin_pb2.ServerOrderAnswer, ExchangeError]:
    """Tell a node to stop or start a backend server on its host."""
    answer = admin_pb2.ServerOrderAnswer()
    body = order.SerializeToString()
    return await _exchange(node, "POST", "/server", body, answer, timeout)


async def offer_catalogue(
    nodes: Sequence[Address],
    snapshot: Snapshot,
    base: Snapshot | None = None,
    timeout: Seconds = _TIMEOUT,
) -> list[NodeOfferResult]:
    """Send a version that the store has accepted to nodes concurrently.

    Parameters
    ----------
    nodes : sequence of Address
        Admin addresses.
    snapshot : Snapshot
        Accepted version.
    base : Snapshot or None
        Previous version. A node that has it receives only the delta.
    timeout : Seconds, default=2
        Time limit for each request in seconds.

    Returns
    -------
    list of NodeOfferResult
        One result for each node, in the order of `nodes`.
    """
    offers = _make_offers(snapshot, base)
    permits = curio.Semaphore(_MAX_CONCURRENT_OFFERS)

    async def offer(address: Address) -> NodeOfferResult:
        async with permits:
            return await _offer_to_node(address, offers, timeout)

    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(offer, address) for address in nodes]
    return [task.result for task in tasks]


def _make_offers(
    snapshot: Snapshot, base: Snapshot | None
) -> list[admin_pb2.CatalogueOffer]:
    """Return the offers in the order in which to try them."""
    head = catalogue_pb2.CatalogueHead(
        version=snapshot.head.version,
        edit_id=snapshot.head.edit_id,
        digest=snapshot.head.digest,
    )
    offers = []
    if base is not None:
        delta = encode_delta(compute_delta(base, snapshot))
        offers.append(admin_pb2.CatalogueOffer(head=head, delta=delta))
    offers.append(
        admin_pb2.CatalogueOffer(head=head, snapshot=snapshot.to_bytes())
    )
    return offers


async def _offer_to_node(
    address: Address,
    offers: Sequence[admin_pb2.CatalogueOffer],
    timeout: Seconds,
) -> NodeOfferResult:
    remaining = list(offers)
    for number in range(_MAX_OFFER_ATTEMPTS):
        answer = admin_pb2.CatalogueOfferAnswer()
        body = remaining[0].SerializeToString()
        result = await _exchange(
            address, "POST", "/catalogue", body, answer, timeout
        )
        if isinstance(result, Failure):
            return NodeOfferResult(address, None, result.failure().message)
        if answer.verdict == admin_pb2.OTHER_BASE and len(remaining) > 1:
            remaining.pop(0)
        elif answer.verdict != admin_pb2.NOT_IN_STORE:
            break
        elif number < _MAX_OFFER_ATTEMPTS - 1:
            await curio.sleep(_OFFER_RETRY_INTERVAL)
    return NodeOfferResult(address, answer)


async def _exchange(
    address: Address,
    method: str,
    path: str,
    body: bytes,
    answer: _Message,
    timeout: Seconds,
) -> Result[_Message, ExchangeError]:
    result = await send_request(address, method, path, body, timeout)
    if isinstance(result, Failure):
        return result
    reply = result.unwrap()
    message_text = reply.body.decode("utf-8", "replace")
    if reply.head.status != 200:
        text = f"{address} answered {reply.head.status}: {message_text.strip()}"
        return Failure(ExchangeError(ExchangeFailure.BAD_ANSWER, text))
    try:
        json_format.Parse(message_text, answer, ignore_unknown_fields=True)
    except json_format.ParseError as error:
        text = f"{address}: {error}"
        return Failure(ExchangeError(ExchangeFailure.BAD_ANSWER, text))
    return Success(answer)
