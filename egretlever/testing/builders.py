"""Builders of test data: valid objects, with fields set by keywords."""

import dataclasses
from typing import Any

from egretlever.admission import RankPolicy, Ticket
from egretlever.catalogue import Head, make_snapshot
from egretlever.core import (
    Address,
    Attempt,
    AttemptResult,
    CallerId,
    Digest,
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    NodeState,
    OrderKey,
    RankName,
    RegionName,
    RequestId,
    Seconds,
    Server,
    ServerId,
    ServerState,
    ServiceName,
    Version,
)
from egretlever.detection import (
    EvidenceKind,
    EvidenceReport,
    Member,
    PooledEvidence,
    PooledServerEvidence,
    ServerReport,
)
from egretlever.membership import (
    NodeHeader,
    NodeSnapshot,
    ServerAnnouncement,
)
from egretlever.orders import OrderRequest
from egretlever.routing import Location, PlacementRequest
from egretlever.schema import admin_pb2, catalogue_pb2


def build_server(number: int = 1, **changes: Any) -> Server:
    """Build a serving server; numbers rotate over four failure domains."""
    domain = number % 4
    fields: dict[str, Any] = {
        "id": ServerId(f"ordering-{number}"),
        "service": ServiceName("ordering"),
        "address": Address("127.0.0.1", 20000 + number),
        "host": HostName(f"host-{number}"),
        "node": NodeId(f"node-{number}"),
        "failure_domain": FailureDomain(f"domain-{domain}"),
        "region": RegionName("punjab" if domain < 2 else "sindh"),
        "slots": 4,
        "connections": 330,
        "state": ServerState.SERVING,
        "incarnation": Incarnation(1),
    }
    return Server(**{**fields, **changes})


def build_servers(count: int, **changes: Any) -> list[Server]:
    """Build servers numbered from 1 to ``count``."""
    return [build_server(number, **changes) for number in range(1, count + 1)]


def build_attempt(
    server: Server | None = None,
    result: AttemptResult = AttemptResult.OK,
    latency: float = 0.01,
    **changes: Any,
) -> Attempt:
    """Build an attempt on a server, successful by default."""
    server = server or build_server()
    fields: dict[str, Any] = {
        "server": server.id,
        "incarnation": server.incarnation,
        "service": server.service,
        "result": result,
        "latency": Seconds(latency),
        "status": 200 if result is AttemptResult.OK else 0,
    }
    return Attempt(**{**fields, **changes})


def build_order_request(
    key: str = "key-1", attempt: int = 1, **changes: Any
) -> OrderRequest:
    """Build an order of the service ``ordering``."""
    fields: dict[str, Any] = {
        "key": OrderKey(key),
        "service": ServiceName("ordering"),
        "digest": Digest("digest-1"),
        "attempt": attempt,
    }
    return OrderRequest(**{**fields, **changes})


def build_catalogue(version: int = 1) -> catalogue_pb2.Catalogue:
    """Build a catalogue with two services, three ranks and three routes."""
    return catalogue_pb2.Catalogue(
        version=version,
        edit_id=f"edit-{version}",
        ranks=[
            catalogue_pb2.Rank(
                name="urgent",
                priority=0,
                worth=10,
                minimum_share=0.1,
                target_s=0.5,
                cross_region=True,
            ),
            catalogue_pb2.Rank(
                name="normal",
                priority=1,
                worth=3,
                minimum_share=0.1,
                target_s=1,
                cross_region=True,
            ),
            catalogue_pb2.Rank(
                name="background",
                priority=2,
                worth=1,
                minimum_share=0.05,
                target_s=5,
            ),
        ],
        services=[
            build_service("ordering", rank="urgent"),
            build_service("catalogue", rank="normal"),
        ],
        routes=[
            catalogue_pb2.Route(
                id="swatch",
                host="*",
                path="/swatches",
                methods=["POST"],
                service="ordering",
                order=True,
                worth=-1,
            ),
            catalogue_pb2.Route(
                id="browse",
                host="*",
                path="/fabrics",
                service="catalogue",
                worth=-1,
            ),
            catalogue_pb2.Route(
                id="report",
                host="*",
                path="/reports",
                service="catalogue",
                rank="background",
                worth=-1,
            ),
        ],
    )


def build_head(version: int = 1, **changes: Any) -> Head:
    """Build the head, the identifier of a catalogue version."""
    head = make_snapshot(build_catalogue(version)).head
    return dataclasses.replace(head, **changes)


def build_offer(
    version: int = 1, content: catalogue_pb2.Catalogue | None = None
) -> admin_pb2.CatalogueOffer:
    """Build the message that offers a catalogue version as a snapshot."""
    snapshot = make_snapshot(content or build_catalogue(version))
    return admin_pb2.CatalogueOffer(
        head=catalogue_pb2.CatalogueHead(
            version=version,
            edit_id=snapshot.head.edit_id,
            digest=snapshot.head.digest,
        ),
        snapshot=snapshot.to_bytes(),
    )


def build_service(name: str, **changes: Any) -> catalogue_pb2.Service:
    """Build a service of the catalogue."""
    fields: dict[str, Any] = {
        "name": name,
        "owner": "sales",
        "rank": "normal",
        "floor_share": 0.6,
        "queue_limit": 512,
        "timeout_s": 5,
        "max_attempts": 3,
        "retry_budget": 0.1,
        "warmup_s": 5,
        "concurrency_limit": 10000,
    }
    return catalogue_pb2.Service(**{**fields, **changes})


def build_large_catalogue(
    route_count: int, service_count: int = 380, version: int = 1
) -> catalogue_pb2.Catalogue:
    """Build a catalogue of the design size, with routes on twenty hosts."""
    catalogue = build_catalogue(version)
    del catalogue.routes[:]
    del catalogue.services[:]
    ranks = [rank.name for rank in catalogue.ranks]
    for number in range(service_count):
        catalogue.services.append(
            build_service(f"service-{number}", rank=ranks[number % 3])
        )
    for number in range(route_count):
        catalogue.routes.append(
            build_route(
                f"route-{number}",
                host=f"host-{number % 20}.example" if number % 4 else "*",
                path=f"/area-{number % 40}/part-{number}",
                methods=["POST"] if number % 5 == 0 else [],
                service=f"service-{number % service_count}",
                order=number % 5 == 0,
            )
        )
    return catalogue


def build_route(name: str, **changes: Any) -> catalogue_pb2.Route:
    """Build a route of the catalogue for all methods and hosts."""
    fields: dict[str, Any] = {
        "id": name,
        "host": "*",
        "path": f"/{name}",
        "service": "catalogue",
        "worth": -1,
    }
    return catalogue_pb2.Route(**{**fields, **changes})


def build_node_header(number: int = 1, **changes: Any) -> NodeHeader:
    """Build a node's header; numbers rotate over four failure domains."""
    domain = number % 4
    ip = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    fields: dict[str, Any] = {
        "node": NodeId(f"node-{number}"),
        "traffic": Address(ip, 8080),
        "gossip": Address(ip, 7946),
        "admin": Address(ip, 9090),
        "host": HostName(f"host-{number}"),
        "failure_domain": FailureDomain(f"domain-{domain}"),
        "region": RegionName("punjab" if domain < 2 else "sindh"),
    }
    return NodeHeader(**{**fields, **changes})


def build_node_snapshots(count: int) -> list[NodeSnapshot]:
    """Build snapshots of live nodes, spread over four failure domains."""
    snapshots = []
    for number in range(count):
        header = build_node_header(number)
        snapshots.append(
            NodeSnapshot(
                header.node,
                Incarnation(1),
                Version(1),
                NodeState.ALIVE,
                header.traffic,
                header.gossip,
                header.admin,
                header.host,
                header.failure_domain,
                header.region,
                14,
            )
        )
    return snapshots


def build_announcement(
    number: int = 1, host: int = 1, **changes: Any
) -> ServerAnnouncement:
    """Build the announcement of a serving server on a numbered host."""
    header = build_node_header(host)
    fields: dict[str, Any] = {
        "id": ServerId(f"server-{host}-{number}"),
        "service": ServiceName(f"service-{(host * 14 + number) % 380}"),
        "address": Address(header.traffic.ip, 20000 + number),
        "state": ServerState.SERVING,
        "incarnation": Incarnation(1),
        "slots": 4,
        "connections": 330,
        "uptime": 3600.0,
    }
    return ServerAnnouncement(**{**fields, **changes})


def build_ticket(number: int = 1, **changes: Any) -> Ticket:
    """Build a ticket of rank normal, due 1 s after `VirtualClock` starts."""
    fields: dict[str, Any] = {
        "request": RequestId(f"request-{number}"),
        "service": ServiceName("ordering"),
        "rank": RankName("normal"),
        "caller": CallerId(f"caller-{number}"),
        "deadline": Seconds(1001.0),
        "worth": 3.0,
    }
    return Ticket(**{**fields, **changes})


def build_ranks() -> list[RankPolicy]:
    """Build the admission policies of the ranks of ``build_catalogue``."""
    return [
        RankPolicy(RankName(rank.name), rank.priority, rank.minimum_share)
        for rank in build_catalogue().ranks
    ]


def build_placement_request(**changes: Any) -> PlacementRequest:
    """Build a request for a server of the service ordering."""
    fields: dict[str, Any] = {
        "service": ServiceName("ordering"),
        "deadline": Seconds(2000.0),
    }
    return PlacementRequest(**{**fields, **changes})


def build_location(number: int = 0, **changes: Any) -> Location:
    """Build a node's location, with failure domains as in `build_server`."""
    domain = number % 4
    fields: dict[str, Any] = {
        "node": NodeId(f"node-{number}"),
        "failure_domain": FailureDomain(f"domain-{domain}"),
        "region": RegionName("punjab" if domain < 2 else "sindh"),
    }
    return Location(**{**fields, **changes})


def build_member(number: int = 1, **changes: Any) -> Member:
    """Build a live node in the region of server 1."""
    fields: dict[str, Any] = {
        "id": NodeId(f"node-{number}"),
        "region": RegionName("punjab"),
    }
    return Member(**{**fields, **changes})


def build_pooled_evidence(
    server: Server | None = None, **changes: Any
) -> PooledEvidence:
    """Build conclusive pooled evidence against one server."""
    server = server or build_server()
    fields: dict[str, Any] = {
        "server": server.id,
        "incarnation": server.incarnation,
        "reporters": 3,
        "badness": 20.0,
        "kind": EvidenceKind.UNREACHABLE,
    }
    item = PooledServerEvidence(**{**fields, **changes})
    return PooledEvidence(server.service, (item,))


def build_evidence_report(
    server: Server | None = None, **changes: Any
) -> EvidenceReport:
    """Build the report of one unreachable attempt on one server."""
    server = server or build_server()
    fields: dict[str, Any] = {
        "server": server.id,
        "incarnation": server.incarnation,
        "good": 0,
        "failed": 0,
        "slow": 0,
        "unreachable": 1,
        "window": Seconds(1.0),
    }
    return EvidenceReport(
        server.service, (ServerReport(**{**fields, **changes}),)
    )
