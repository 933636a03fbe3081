"""Interfaces of the I/O components that entry and home nodes use."""

from typing import Protocol

from egretlever.core import Address, Seconds
from egretlever.home import Heartbeat
from egretlever.placement import Offer, Reply
from egretlever.relay._server_client import ServerResult


class OfferSender(Protocol):
    """Sends offers of an entry node to home nodes."""

    async def offer(
        self, relay: Address, offer: Offer, follow: bool = False
    ) -> Reply:
        """Offer a request to the home node at an address.

        Parameters
        ----------
        relay : Address
            Address of the home node.
        offer : Offer
            The request.
        follow : bool, default=False
            Whether to subscribe to the home node's notices.
        """
        ...


class ServerRunner(Protocol):
    """Runs requests at the server of a home node."""

    async def exchange(
        self, server: Heartbeat, offer: Offer, time_left: Seconds
    ) -> ServerResult:
        """Run one request within the remaining time."""
        ...

    async def expire(self, now: Seconds) -> None:
        """Close connections that have been idle for too long."""
        ...

    async def close(self) -> None:
        """Close the idle connections."""
        ...
