"""Client of the nodes' admin pages, used by operators' programs."""

from egretlever.admin._client import (
    FleetAnswer,
    NodeOffer,
    ask_fleet,
    offer_catalogue,
    order_server,
)

__all__ = [
    "FleetAnswer",
    "NodeOffer",
    "ask_fleet",
    "offer_catalogue",
    "order_server",
]
