"""Messages between a node and the pool node of a group of customers."""

import dataclasses
from typing import NewType

from egretlever.core import Address, CustomerId, Seconds

CustomerGroup = NewType("CustomerGroup", int)
"""Number of a group of customers that have the same pool node."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Lends a share to a pool node, and asks it for permits.

    Parameters
    ----------
    group : CustomerGroup
        Group of customers that the share is of.
    lender : Address
        Relay address of the node that lends.
    share : float
        Share of each allotment of the group, 0 to lend nothing.
    gift : float
        Share of the initial fill that the lender gives to each bucket.
    lease_until : Seconds
        Reading of the pool node's clock at which the lease ends.
    ends_lease : bool
        Whether the pool node is to stop using the lender's share.
    needed : tuple of (CustomerId, int)
        Requests that wait, by customer.
    """

    group: CustomerGroup
    lender: Address
    share: float = 0.0
    gift: float = 0.0
    lease_until: Seconds = Seconds(0.0)
    ends_lease: bool = False
    needed: tuple[tuple[CustomerId, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permits for the requests of one customer.

    Parameters
    ----------
    customer : CustomerId
        The customer.
    permits : int
        Number of permits granted.
    wait : Seconds
        Time after which to ask for the others.
    """

    customer: CustomerId
    permits: int
    wait: Seconds = Seconds(0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply of a pool node.

    Parameters
    ----------
    clock : Seconds
        Reading of the pool node's clock.
    started_at : Seconds
        Reading at which the pool node's process started.
    knows_lender : bool
        Whether it uses a share of the lender, or has started too recently to
        know of one.
    grants : tuple of Grant
        One for each customer of the request.
    leaving : bool
        Whether it stops, uses no shares any more and grants nothing.
    """

    clock: Seconds
    started_at: Seconds
    knows_lender: bool
    grants: tuple[Grant, ...] = ()
    leaving: bool = False
