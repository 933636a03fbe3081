"""Customers that exceed their shares of full servers, as entry nodes see it."""

from egretlever.core import CustomerId, Seconds

# Home nodes that may refuse a request because its customer exceeds its share
# there, before the stage of its search ends.
_MAX_REFUSALS = 4
# The same for a customer whose requests were refused so recently. In a flood of
# one customer, each request would cost many offers.
_MAX_FURTHER_REFUSALS = 1
_MEMORY = Seconds(2.0)


class ShareRefusals:
    """Limits the offers of customers that exceed their shares.

    A home node may have room for a customer that exceeds its share at another
    one, so that a single request may ask several. In a flood nearly all of them
    refuse, and asking them all costs messages between hosts.

    Examples
    --------
    >>> refusals = ShareRefusals()
    >>> refusals.find_limit("mill", Seconds(0.0))
    4
    >>> refusals.observe("mill", Seconds(0.0))
    >>> refusals.find_limit("mill", Seconds(1.0))
    1
    >>> refusals.find_limit("mill", Seconds(3.0))
    4
    """

    def __init__(self) -> None:
        self._until: dict[CustomerId, Seconds] = {}

    def observe(self, customer: CustomerId, now: Seconds) -> None:
        """Record that a request has met the limit of refusals."""
        self._until[customer] = Seconds(now + _MEMORY)

    def find_limit(self, customer: CustomerId, now: Seconds) -> int:
        """Return how many refusals a request may meet in a stage."""
        if customer not in self._until:
            return _MAX_REFUSALS
        if now < self._until[customer]:
            return _MAX_FURTHER_REFUSALS
        del self._until[customer]
        return _MAX_REFUSALS
