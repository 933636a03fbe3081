"""Interfaces of the I/O components that entry and home nodes use."""

from typing import Protocol

from egretlever.core import Address, Seconds
from egretlever.home import Heartbeat
from egretlever.placement import Customer, Offer, OverdueReport, Reply
from egretlever.relay._server_client import ServerResult


class OfferObserver(Protocol):
    """Learns how an offer proceeds before its reply."""

    async def observe_overdue(self, report: OverdueReport) -> None:
        """Record that the server takes far longer than usual."""
        ...


class OfferSender(Protocol):
    """Sends offers of an entry node to home nodes."""

    async def offer(
        self,
        relay: Address,
        offer: Offer,
        follow: bool = False,
        observer: OfferObserver | None = None,
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
        observer : OfferObserver, optional
            Learns how the offer proceeds.
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


class CustomerAdmission(Protocol):
    """Keeps the requests of customers within their allotments."""

    async def admit(
        self, customer: Customer, now: Seconds, deadline: Seconds
    ) -> Seconds | None:
        """Wait for room in the allotment for one request.

        Parameters
        ----------
        customer : Customer
            Customer that holds the key of the request.
        now : Seconds
            Clock time.
        deadline : Seconds
            Clock time by which the request must be answered.

        Returns
        -------
        Seconds or None
            None when it is admitted, otherwise the time after which there is
            room.
        """
        ...

    def release(
        self, customer: Customer, asked_at: Seconds, now: Seconds
    ) -> None:
        """Take back an admitted request that no server has run.

        Parameters
        ----------
        customer : Customer
            Customer that holds the key of the request.
        asked_at : Seconds
            Clock time that `admit` was given.
        now : Seconds
            Clock time.
        """
        ...


class _UnlimitedAdmission:
    """Admits all requests."""

    async def admit(
        self, customer: Customer, now: Seconds, deadline: Seconds
    ) -> Seconds | None:
        """Admit a request."""
        del customer, now, deadline
        return None

    def release(
        self, customer: Customer, asked_at: Seconds, now: Seconds
    ) -> None:
        """Ignore the request."""


UNLIMITED_ADMISSION: CustomerAdmission = _UnlimitedAdmission()
