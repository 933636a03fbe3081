"""Client of the nodes' admin pages, for operators' programs."""

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
