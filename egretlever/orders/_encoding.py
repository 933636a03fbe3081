"""Encoding of claim rows as protobuf messages."""

import hashlib

from google.protobuf import message

from egretlever.core import Digest, NodeId, OrderKey, ServiceName
from egretlever.orders._rows import ClaimRow, ClaimState, RecordedAnswer
from egretlever.schema import orders_pb2

ROW_PREFIX = "order/"

_STATES = {
    ClaimState.PENDING: orders_pb2.PENDING,
    ClaimState.COMPLETED: orders_pb2.COMPLETED,
    ClaimState.RELEASED: orders_pb2.RELEASED,
    ClaimState.UNRESOLVED: orders_pb2.UNRESOLVED,
}
_STATES_BY_NUMBER = {number: state for state, number in _STATES.items()}


def make_row_key(key: OrderKey) -> str:
    """Return the key of the table row of an order.

    Examples
    --------
    >>> make_row_key(OrderKey("k-1"))
    'order/k-1'
    """
    return ROW_PREFIX + key


def encode_claim(row: ClaimRow) -> bytes:
    """Encode a claim row."""
    claim = orders_pb2.OrderClaim(
        order_key=row.key,
        claim_id=row.claim_id,
        node=row.node,
        service=row.service,
        request_digest=row.digest,
        outcome=_STATES[row.state],
        at_unix_s=row.claimed_at,
    )
    if row.answer is not None:
        claim.status = row.answer.status
        claim.content_type = row.answer.content_type
        claim.body = row.answer.body
        claim.body_omitted = row.answer.omitted
    return claim.SerializeToString()


def decode_claim(value: bytes) -> ClaimRow | None:
    """Decode a claim row, None if the bytes are no valid claim."""
    try:
        claim = orders_pb2.OrderClaim.FromString(value)
    except message.DecodeError:
        return None
    state = _STATES_BY_NUMBER.get(claim.outcome)
    if state is None or not claim.claim_id:
        return None
    answer = None
    if state is ClaimState.COMPLETED:
        answer = RecordedAnswer(
            claim.status, claim.content_type, claim.body, claim.body_omitted
        )
    return ClaimRow(
        OrderKey(claim.order_key),
        claim.claim_id,
        NodeId(claim.node),
        ServiceName(claim.service),
        Digest(claim.request_digest),
        state,
        claim.at_unix_s,
        answer,
    )


def encode_sweep(node: NodeId, at: float) -> bytes:
    """Encode the fence row, which serializes removals of expired claims."""
    sweep = orders_pb2.OrderSweep(node=node, at_unix_s=at)
    return sweep.SerializeToString()


def digest_request(method: str, path: str, caller: str) -> Digest:
    """Return the digest that binds an order key to its request.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with the query.
    caller : str
        Caller of the request.

    Returns
    -------
    Digest
        Hexadecimal digest of 32 characters.

    Examples
    --------
    >>> digest_request("POST", "/a", "b") == digest_request("POST", "/ab", "")
    False
    """
    digest = hashlib.sha256()
    for part in (method, path, caller):
        data = part.encode("utf-8", "surrogatepass")
        digest.update(len(data).to_bytes(4, "big") + data)
    return Digest(digest.hexdigest()[:32])
