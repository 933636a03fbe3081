"""Conversion of the messages about allotments."""

import math

from egretlever.allotments import (
    CustomerGroup,
    Grant,
    PermitReply,
    PermitRequest,
)
from egretlever.core import CustomerId, Seconds
from egretlever.schema import relay_pb2
from egretlever.settings import parse_address


def _to_milliseconds(time: Seconds) -> int:
    # A clock reading that is rounded down lets leases end early.
    return max(0, int(time * 1000))


def _to_seconds(milliseconds: int) -> Seconds:
    return Seconds(milliseconds / 1000)


def encode_permit_request(
    sequence: int, request: PermitRequest
) -> relay_pb2.RelayFrame:
    """Encode a request for permits with its number on the connection."""
    return relay_pb2.RelayFrame(
        permit_request=relay_pb2.PermitRequest(
            sequence=sequence,
            group=request.group,
            relay_address=str(request.lender),
            share=request.share,
            gift=request.gift,
            lease_until_ms=_to_milliseconds(request.lease_until),
            ends_lease=request.ends_lease,
            needed=[
                relay_pb2.PermitCount(customer=customer, permits=count)
                for customer, count in request.needed
            ],
        )
    )


def decode_permit_request(request: relay_pb2.PermitRequest) -> PermitRequest:
    """Decode a request for permits.

    Raises
    ------
    ValueError
        When the address is not valid.
    """
    return PermitRequest(
        CustomerGroup(request.group),
        parse_address(request.relay_address),
        request.share,
        request.gift,
        _to_seconds(request.lease_until_ms),
        request.ends_lease,
        tuple(
            (CustomerId(count.customer), count.permits)
            for count in request.needed
        ),
    )


def encode_permit_reply(
    sequence: int, reply: PermitReply
) -> relay_pb2.RelayFrame:
    """Encode the reply to a request for permits."""
    return relay_pb2.RelayFrame(
        permit_reply=relay_pb2.PermitReply(
            sequence=sequence,
            clock_ms=_to_milliseconds(reply.clock),
            started_at_ms=_to_milliseconds(reply.started_at),
            knows_lender=reply.knows_lender,
            leaving=reply.leaving,
            granted=[
                relay_pb2.PermitCount(
                    customer=grant.customer,
                    permits=grant.permits,
                    wait_ms=math.ceil(grant.wait * 1000),
                )
                for grant in reply.grants
            ],
        )
    )


def decode_permit_reply(reply: relay_pb2.PermitReply) -> PermitReply:
    """Decode the reply to a request for permits."""
    return PermitReply(
        _to_seconds(reply.clock_ms),
        _to_seconds(reply.started_at_ms),
        reply.knows_lender,
        tuple(
            Grant(
                CustomerId(grant.customer),
                grant.permits,
                _to_seconds(grant.wait_ms),
            )
            for grant in reply.granted
        ),
        reply.leaving,
    )
