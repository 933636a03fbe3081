"""Routing: the choice of a backend server for each attempt of a request."""

from egretlever.routing._baselines import (
    make_least_outstanding_router,
    make_round_robin_router,
)
from egretlever.routing._interface import (
    Event,
    LiveNodes,
    LoadReport,
    Location,
    NoPlacement,
    NoPlacementReason,
    Placement,
    PlacementReason,
    PlacementRequest,
    Router,
    ServerSnapshot,
    ServiceSnapshot,
)
from egretlever.routing._router import make_router
from egretlever.routing._subsets import choose_subset_size, order_servers

__all__ = [
    "Event",
    "LiveNodes",
    "LoadReport",
    "Location",
    "NoPlacement",
    "NoPlacementReason",
    "Placement",
    "PlacementReason",
    "PlacementRequest",
    "Router",
    "ServerSnapshot",
    "ServiceSnapshot",
    "choose_subset_size",
    "make_least_outstanding_router",
    "make_round_robin_router",
    "make_router",
    "order_servers",
]
