"""State of the fleet as known to one node, for operators."""

from egretlever.core import Seconds, Server
from egretlever.membership import GossipMembership
from egretlever.node._parts import NodeParts
from egretlever.schema import admin_pb2, gossip_pb2


def describe_fleet(
    parts: NodeParts,
    member: GossipMembership,
    ready: bool,
    in_flight: int,
    now: Seconds,
) -> admin_pb2.FleetStatus:
    """Describe the known nodes, and the servers with their health.

    Parameters
    ----------
    parts : NodeParts
        Decision parts of the node.
    member : GossipMembership
        The node's member of the gossip overlay.
    ready : bool
        Whether the node is ready for requests.
    in_flight : int
        Number of requests that have not ended.
    now : Seconds
        Time on the local clock.

    Returns
    -------
    FleetStatus
        Message for the admin page ``/fleet``.
    """
    head = parts.catalogue.head
    status = admin_pb2.FleetStatus(
        node=parts.sender.node,
        ready=ready,
        catalogue_version=parts.catalogue.version,
        catalogue_digest=head.digest if head is not None else "",
        requests_in_flight=in_flight,
        requests_waiting=parts.admission_waiter.waiting_count,
    )
    for node in sorted(member.nodes(), key=lambda item: item.id):
        status.nodes.add(
            node=node.id,
            state=node.state.name,
            host=node.host,
            failure_domain=node.failure_domain,
            region=node.region,
            incarnation=node.incarnation,
            traffic=gossip_pb2.Endpoint(
                ip=node.traffic.ip, port=node.traffic.port
            ),
            admin=gossip_pb2.Endpoint(ip=node.admin.ip, port=node.admin.port),
            servers=node.servers,
        )
    servers = sorted(
        parts.view.servers.values(), key=lambda item: (item.service, item.id)
    )
    status.servers.extend(
        _describe_server(parts, server, now) for server in servers
    )
    return status


def _describe_server(
    parts: NodeParts, server: Server, now: Seconds
) -> admin_pb2.ServerStatus:
    selection = parts.selection_cache.find(server.service, now)
    return admin_pb2.ServerStatus(
        server=server.id,
        service=server.service,
        state=server.state.name,
        node=server.node,
        failure_domain=server.failure_domain,
        region=server.region,
        address=gossip_pb2.Endpoint(
            ip=server.address.ip, port=server.address.port
        ),
        slots=server.slots,
        orphaned=server.orphaned,
        health=parts.detector.health(server.id).value,
        weight=selection.eligible.get(server.id, 0.0),
        held_by_floor=server.id in selection.held_by_floor,
    )
