"""Creates the decision parts of a node from its settings."""

import dataclasses
import random
import time

from egretlever.admission import (
    RankPolicy,
    ServicePolicy,
    make_admission,
)
from egretlever.catalogue import (
    CatalogueReader,
    CatalogueState,
    make_catalogue_reader,
    make_catalogue_state,
)
from egretlever.core import (
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    RankName,
    RegionName,
    Seconds,
    ServiceName,
)
from egretlever.detection import Detector, Sender, make_detector
from egretlever.membership import (
    Collaborators,
    GossipMembership,
    NodeHeader,
    Parameters,
    make_membership,
)
from egretlever.node._admission_waiter import AdmissionWaiter
from egretlever.node._catalogue import CatalogueCopy
from egretlever.node._evidence import EvidenceTransport
from egretlever.node._maintenance import TaskSchedule
from egretlever.node._orders import find_order_mode
from egretlever.node._selection_cache import SelectionCache
from egretlever.node._view import FleetView
from egretlever.orders import OrderLedger, make_order_ledger
from egretlever.platform import TableStore
from egretlever.retry import RetryLimits, RetryPolicy, make_retry_policy
from egretlever.routing import Location, Router, make_router
from egretlever.schema import settings_pb2
from egretlever.settings import parse_address

# Placeholder until the first catalogue; no request is admitted before it.
_FIRST_RANK = RankPolicy(RankName("none"), 0)


@dataclasses.dataclass(slots=True)
class NodeParts:
    """Decision parts of a node; each keeps its own state."""

    sender: Sender
    catalogue: CatalogueState
    reader: CatalogueReader
    router: Router
    detector: Detector
    selection_cache: SelectionCache
    view: FleetView
    retry: RetryPolicy
    ledger: OrderLedger
    admission_waiter: AdmissionWaiter
    maintenance: TaskSchedule
    warmups: dict[ServiceName, Seconds] = dataclasses.field(
        default_factory=dict
    )

    def apply_catalogue(self, now: Seconds) -> None:
        """Update the parts with the settings of a new catalogue version."""
        snapshot = self.catalogue.snapshot_
        if snapshot is None:
            return
        services = [entry.value for entry in snapshot.services.values()]
        policies = [
            ServicePolicy(
                service.name, service.queue_limit, service.concurrency_limit
            )
            for service in services
        ]
        ranks = tuple(
            RankPolicy(rank.name, rank.priority, rank.minimum_share)
            for rank in (entry.value for entry in snapshot.ranks.values())
        )
        self.admission_waiter.configure(policies, ranks, now)
        warmups = {service.name: service.warmup for service in services}
        if warmups != self.warmups:
            self.warmups = warmups
            self.view.invalidate()
        for service in services:
            limits = RetryLimits(
                service.max_attempts, service.retry_budget, service.hedge
            )
            self.retry.update(service.name, limits)
        self.selection_cache.invalidate()


class _CatalogueWarmup:
    """Ramp times of cold servers, from the catalogue."""

    def __init__(self, catalogue: CatalogueState) -> None:
        self._catalogue = catalogue

    def duration(self, service: ServiceName) -> Seconds:
        """Return the ramp time of a service's servers in seconds."""
        entry = self._catalogue.service(service)
        return entry.warmup if entry is not None else Seconds(5.0)


def make_parts(
    settings: settings_pb2.NodeSettings,
    table: TableStore,
    randomness: random.Random,
) -> NodeParts:
    """Create the decision parts of a node.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    table : TableStore
        Table service, for order claims.
    randomness : random.Random
        Source of all random choices.

    Returns
    -------
    NodeParts
        Parts that know no servers and no catalogue yet.
    """
    identity = settings.identity
    node = NodeId(identity.node)
    region = RegionName(identity.region)
    catalogue = make_catalogue_state()
    router = make_router(
        Location(node, FailureDomain(identity.failure_domain), region),
        randomness,
        region_link_bits_per_s=settings.traffic.region_link_bits_per_s,
    )
    detector = make_detector(node, region)
    selection_cache = SelectionCache(catalogue, detector)
    return NodeParts(
        # Unix milliseconds, so that the incarnation grows with each start.
        Sender(node, Incarnation(time.time_ns() // 1_000_000)),
        catalogue,
        make_catalogue_reader(
            catalogue, randomness, settings.platform.poll_interval_s
        ),
        router,
        detector,
        selection_cache,
        FleetView(region, selection_cache, router, detector),
        make_retry_policy(randomness),
        make_order_ledger(
            table,
            node,
            lambda service: find_order_mode(catalogue, service),
            randomness,
        ),
        AdmissionWaiter(make_admission([], [_FIRST_RANK], randomness)),
        TaskSchedule(randomness),
    )


def make_member(
    settings: settings_pb2.NodeSettings,
    parts: NodeParts,
    copy: CatalogueCopy,
    evidence: EvidenceTransport,
    randomness: random.Random,
) -> GossipMembership:
    """Create the node's member of the gossip overlay."""
    identity, listen = settings.identity, settings.listen
    members = settings.members
    header = NodeHeader(
        node=parts.sender.node,
        traffic=parse_address(listen.traffic),
        gossip=parse_address(listen.gossip),
        admin=parse_address(listen.admin),
        host=HostName(identity.host),
        failure_domain=FailureDomain(identity.failure_domain),
        region=RegionName(identity.region),
    )
    return make_membership(
        header,
        parts.sender.incarnation,
        [parse_address(seed) for seed in members.seeds],
        Parameters(
            gossip_interval=members.gossip_interval_s,
            bytes_per_second=members.bandwidth_bytes_per_s,
            announcement_timeout=members.announcement_timeout_s,
        ),
        Collaborators(
            catalogue=copy,
            evidence=evidence,
            listener=parts.view,
            warmup=_CatalogueWarmup(parts.catalogue),
            sample=parts.maintenance,
        ),
        randomness,
    )
