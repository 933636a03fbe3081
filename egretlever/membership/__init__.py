"""Gossip-based cluster membership, in the style of SWIM.

Each node writes one record, which lists its addresses and the backend servers
on its host, and disseminates changes to it by gossip.
"""

from egretlever.membership._contacts import choose_representatives
from egretlever.membership._interfaces import (
    AddressSample,
    CatalogueCopy,
    Change,
    ChangeKind,
    EvidenceSink,
    Listener,
    OrphanPolicy,
    Warmup,
)
from egretlever.membership._membership import (
    Collaborators,
    GossipMembership,
    Membership,
    MembershipStatus,
    make_membership,
)
from egretlever.membership._messages import (
    CatalogueHead,
    CatalogueUpdate,
    Drop,
    Message,
    Send,
)
from egretlever.membership._own_record import ServerAnnouncement
from egretlever.membership._port import DatagramPort
from egretlever.membership._records import NodeHeader
from egretlever.membership._snapshots import NodeSnapshot
from egretlever.membership._state import Parameters

__all__ = [
    "AddressSample",
    "CatalogueCopy",
    "CatalogueHead",
    "CatalogueUpdate",
    "Change",
    "ChangeKind",
    "Collaborators",
    "DatagramPort",
    "Drop",
    "EvidenceSink",
    "GossipMembership",
    "Listener",
    "Membership",
    "MembershipStatus",
    "Message",
    "NodeHeader",
    "NodeSnapshot",
    "OrphanPolicy",
    "Parameters",
    "Send",
    "ServerAnnouncement",
    "Warmup",
    "choose_representatives",
    "make_membership",
]
