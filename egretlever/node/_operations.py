"""Handles announcements and operators' commands from the admin pages."""

import math
import time
from collections.abc import Callable, Sequence

from egretlever.core import (
    Address,
    Incarnation,
    NodeId,
    ServerId,
    ServerState,
    ServiceName,
)
from egretlever.membership import GossipMembership, Send, ServerAnnouncement
from egretlever.node._catalogue_offers import OfferHandler
from egretlever.node._parts import NodeParts
from egretlever.node._planned_stops import PlannedStops
from egretlever.schema import admin_pb2, gossip_pb2
from egretlever.settings import parse_address
from egretlever.transport import read_clock

_MAX_NAME = 200  # characters; longer records would not fit into a datagram


class Operations:
    """Handles announcements, planned stops and starts, and catalogue offers.

    Parameters
    ----------
    node : NodeId
        This node.
    member : GossipMembership
        Disseminates the announcements.
    parts : NodeParts
        Decision parts of the node.
    offers : OfferHandler
        Handles offered versions of the catalogue.
    queue : callable
        Queues messages to other nodes.
    """

    def __init__(
        self,
        node: NodeId,
        member: GossipMembership,
        parts: NodeParts,
        offers: OfferHandler,
        queue: Callable[[Sequence[Send]], None],
    ) -> None:
        self._node = node
        self._member = member
        self._parts = parts
        self._offers = offers
        self._queue = queue
        self._stops = PlannedStops()

    def handle_announcement(self, announcement: gossip_pb2.Announcement) -> str:
        """Announce a backend server; return an error, empty on success."""
        refusal = check_announcement(announcement)
        if not refusal:
            decoded = _read_announcement(announcement)
            self._announce(self._stops.adjust(decoded))
        return refusal

    def handle_order(
        self, order: admin_pb2.ServerOrder
    ) -> admin_pb2.ServerOrderAnswer:
        """Stop or start a backend server of this host for an operator."""
        server = ServerId(order.server)
        if order.serve:
            known = self._parts.view.servers.get(server)
            state = known.state if known is not None else None
            verdict, announcement = self._stops.start(
                server, state, int(time.time())
            )
        else:
            verdict, announcement = self._stops.stop(server)
        if announcement is not None:
            self._announce(announcement)
        return admin_pb2.ServerOrderAnswer(
            node=self._node, verdict=verdict.name
        )

    async def handle_offer(
        self, offer: admin_pb2.CatalogueOffer
    ) -> admin_pb2.CatalogueOfferAnswer:
        """Apply a catalogue version that the store is said to have accepted."""
        verdict = await self._offers.handle(offer)
        return admin_pb2.CatalogueOfferAnswer(
            node=self._node,
            verdict=verdict.name,
            version=self._parts.catalogue.version,
        )

    def _announce(self, announcement: ServerAnnouncement) -> None:
        self._queue(self._member.announce(announcement, read_clock()))


def _read_announcement(
    announcement: gossip_pb2.Announcement,
) -> ServerAnnouncement:
    endpoint = announcement.address
    return ServerAnnouncement(
        ServerId(announcement.server),
        ServiceName(announcement.service),
        Address(endpoint.ip, endpoint.port),
        ServerState[gossip_pb2.ServerState.Name(announcement.state)],
        Incarnation(announcement.incarnation),
        announcement.slots,
        announcement.connections,
        announcement.uptime_s,
    )


def check_announcement(announcement: gossip_pb2.Announcement) -> str:
    """Return the error in an announcement, empty for a valid one."""
    if not announcement.server or not announcement.service:
        return "the announcement names no server or no service"
    for name in (announcement.server, announcement.service):
        if len(name) > _MAX_NAME or not name.isprintable():
            return f"a name is longer than {_MAX_NAME} or not printable"
    if not 0 <= announcement.uptime_s < math.inf:
        return "the uptime is not a number of seconds"
    try:
        parse_address(
            f"[{announcement.address.ip}]:{announcement.address.port}"
        )
    except ValueError as error:
        return str(error)
    if not 0 < announcement.slots <= 10_000:
        return "slots is not between 1 and 10000"
    if announcement.state not in gossip_pb2.ServerState.values():
        return "the state is unknown"
    return ""
