"""Builders of test data: each gives a valid object, changed by keywords."""

from typing import Any

from egretlever.core import (
    Address,
    Attempt,
    AttemptResult,
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    RegionName,
    Seconds,
    Server,
    ServerId,
    ServerState,
    ServiceName,
)
from egretlever.detection import (
    EvidenceKind,
    EvidenceReport,
    Member,
    PooledEvidence,
    PooledServerEvidence,
    ServerReport,
)
from egretlever.schema import catalogue_pb2


def build_server(number: int = 1, **changes: Any) -> Server:
    """Build a serving server; numbers alternate over four failure domains."""
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
    """Build an attempt on a server, successful unless told otherwise."""
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


def build_member(number: int = 1, **changes: Any) -> Member:
    """Build a live node of the region of the first server."""
    fields: dict[str, Any] = {
        "id": NodeId(f"node-{number}"),
        "region": RegionName("punjab"),
    }
    return Member(**{**fields, **changes})


def build_pooled(
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


def build_report(
    server: Server | None = None, **changes: Any
) -> EvidenceReport:
    """Build a report of one attempt without answer on one server."""
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
