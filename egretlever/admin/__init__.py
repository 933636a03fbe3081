"""Client of the nodes' admin pages, used by operators' programs."""

from egretlever.admin._client import (
    FleetAnswer,
    NodeOfferResult,
    ask_fleet,
    offer_catalogue,
    order_server,
)

__all__ = [
    "FleetAnswer",
    "NodeOfferResult",
    "ask_fleet",
    "offer_catalogue",
    "order_server",
]
