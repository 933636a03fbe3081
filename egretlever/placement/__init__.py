"""Decisions of an entry node: the route and the home node of a request.

The entry node is the relay node that a client connects to. It offers a request
to home nodes, the relay nodes on the hosts of backend servers, until one runs
it. A home node may refuse an offer, which proves that the request was not run.
"""

from egretlever.placement._ages import RequestAges
from egretlever.placement._customers import CustomerTable, hash_key
from egretlever.placement._directory import Directory
from egretlever.placement._even_load import EvenLoad, LoadEstimate
from egretlever.placement._exclusions import Exclusion
from egretlever.placement._follow_ups import (
    FollowUpSearch,
    OverdueReport,
    estimate_retry_time,
)
from egretlever.placement._groups import DistanceGroups, ServersByDistance
from egretlever.placement._orphans import OrphanTracker
from egretlever.placement._readers import (
    ReaderSelector,
    SourceSelector,
    TreeSelector,
)
from egretlever.placement._records import (
    Answer,
    Backend,
    ClientLimits,
    Configuration,
    Customer,
    Failure,
    FailureReason,
    HeaderFields,
    HomeCondition,
    HomeNotice,
    HomeServer,
    KeyDigest,
    Offer,
    Refusal,
    RefusalReason,
    Reply,
    Route,
    Trust,
)
from egretlever.placement._retry_after import choose_retry_after
from egretlever.placement._routes import RouteTable
from egretlever.placement._search import Distance, HomeChoice, Search, Stage
from egretlever.placement._selection import HomeSelector
from egretlever.placement._service_times import (
    RouteTimes,
    ServiceTime,
)
from egretlever.placement._share_refusals import ShareRefusals
from egretlever.placement._views import count_relevant_slots

__all__ = [
    "Answer",
    "Backend",
    "ClientLimits",
    "Configuration",
    "Customer",
    "CustomerTable",
    "Directory",
    "Distance",
    "DistanceGroups",
    "EvenLoad",
    "Exclusion",
    "Failure",
    "FailureReason",
    "FollowUpSearch",
    "HeaderFields",
    "HomeChoice",
    "HomeCondition",
    "HomeNotice",
    "HomeSelector",
    "HomeServer",
    "KeyDigest",
    "LoadEstimate",
    "Offer",
    "OrphanTracker",
    "OverdueReport",
    "ReaderSelector",
    "Refusal",
    "RefusalReason",
    "Reply",
    "RequestAges",
    "Route",
    "RouteTable",
    "RouteTimes",
    "Search",
    "ServersByDistance",
    "SourceSelector",
    "ServiceTime",
    "ShareRefusals",
    "Stage",
    "TreeSelector",
    "Trust",
    "choose_retry_after",
    "count_relevant_slots",
    "estimate_retry_time",
    "hash_key",
]
