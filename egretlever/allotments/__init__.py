"""Rate limits of customers over all nodes, by pooled shares.

Each node owns an equal share of the allotments and lends it to one pool node at
a time, which grants permits from the shares that it was lent. All objects are
decisions: they do no I/O and read no clock.
"""

from egretlever.allotments._limits import AllotmentLimits
from egretlever.allotments._member import GroupMember
from egretlever.allotments._messages import (
    CustomerGroup,
    Grant,
    PermitReply,
    PermitRequest,
)
from egretlever.allotments._order import (
    GROUP_COUNT,
    find_group,
    list_candidates,
)
from egretlever.allotments._pool import PermitPool
from egretlever.allotments._shares import FleetShare
from egretlever.allotments._tickets import Admission, Ticket

__all__ = [
    "GROUP_COUNT",
    "Admission",
    "AllotmentLimits",
    "CustomerGroup",
    "FleetShare",
    "Grant",
    "GroupMember",
    "PermitPool",
    "PermitReply",
    "PermitRequest",
    "Ticket",
    "find_group",
    "list_candidates",
]
