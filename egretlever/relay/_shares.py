"""Shares of customers in the home node's queue."""

import enum

from egretlever.core import CustomerId, Seconds
from egretlever.home import CustomerShare
from egretlever.placement import CustomerTable, Offer
from egretlever.relay import _metrics as metrics

_NO_CUSTOMER = CustomerId("")


class QueueOutcome(enum.Enum):
    """What the home node's queue did with an offer."""

    STARTED = "started"
    REFUSED = "refused"
    EXPIRED = "expired"


class ShareFinder:
    """Finds the places of offers among customers of the configuration."""

    def __init__(self) -> None:
        self._customers: CustomerTable | None = None

    def configure(self, customers: CustomerTable) -> None:
        """Apply the customers of a configuration."""
        self._customers = customers if customers.keys_required else None

    def find(self, offer: Offer, now: Seconds) -> CustomerShare | None:
        """Return the share of an offer, None if there are no customers.

        Parameters
        ----------
        offer : Offer
            The offer.
        now : Seconds
            Current time.
        """
        if self._customers is None:
            return None
        known = self._customers.find(offer.customer)
        return CustomerShare(
            _NO_CUSTOMER if known is None else known.id,
            1.0 if known is None else known.weight,
            Seconds(now - offer.age),
        )

    def observe(self, offer: Offer, outcome: QueueOutcome) -> None:
        """Count what the queue did with an offer, if there are customers."""
        if self._customers is not None:
            size = self._customers.find_size(offer.customer)
            metrics.QUEUE_REQUESTS.labels(size.value, outcome.value).inc()
