"""Division of the platform's bound on the requests of a customer."""

import dataclasses

from egretlever.core import Interval, Seconds, check_parameters
from egretlever.placement import Customer

# Time for which a permit is valid, counted from when it was asked for.
PERMIT_LIFETIME = Seconds(0.3)
# Time for which a share is lent.
LEASE_TIME = Seconds(2.0)
# Nodes that know of changes in the directory at different times take the number
# of nodes for this share too small.
_COUNT_TOLERANCE = 0.1
# Parts of the slack: room in the buckets, what fills them, and their initial
# fill. The initial fills of a process and of its successor can fall in one
# window beside those of the window before, so that 1.1 x (0.4 + 0.2 + 3 x 0.1)
# of the slack is used at most.
_RESERVE_SHARE = 0.4
_RATE_SHARE = 0.2
_GIFT_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentLimits:
    """Limits on the requests of a customer within a window.

    Parameters
    ----------
    window : Seconds, default=5.0
        Length of the window.
    overage : float, default=0.1
        Share by which the allotment may be exceeded.
    slack : float, default=20.0
        Number of requests allowed beyond that.

    Examples
    --------
    >>> from egretlever.testing.relay_builders import build_customer
    >>> limits = AllotmentLimits()
    >>> limits.measure_bound(build_customer(rate=2.0, burst=5.0))
    36.5
    >>> limits.measure_capacity(build_customer(rate=2.0, burst=5.0))
    13.0
    """

    window: Seconds = Seconds(5.0)
    overage: float = 0.1
    slack: float = 20.0

    def __post_init__(self) -> None:
        check_parameters(
            "AllotmentLimits",
            {
                "window": self.window,
                "overage": self.overage,
                "slack": self.slack,
            },
            {
                "window": Interval(0.1),
                "overage": Interval(0.0),
                "slack": Interval(0.0),
            },
        )

    def measure_bound(self, customer: Customer) -> float:
        """Return the requests that may reach servers within a window."""
        allotment = customer.rate * self.window + customer.burst
        return allotment * (1 + self.overage) + self.slack

    def measure_rate(self, customer: Customer) -> float:
        """Return the permits per second of all pool nodes together.

        Permits of the time before a window are used in it, and nodes may count
        too few nodes; the overage has to cover both.
        """
        counted = self.window + PERMIT_LIFETIME
        longer = counted / self.window * (1 + _COUNT_TOLERANCE)
        return (
            customer.rate * min(1.0, (1 + self.overage) / longer)
            + _RATE_SHARE * self.slack / counted
        )

    def measure_capacity(self, customer: Customer) -> float:
        """Return the permits that all buckets of a customer hold together."""
        part = min(1.0, (1 + self.overage) / (1 + _COUNT_TOLERANCE))
        return customer.burst * part + _RESERVE_SHARE * self.slack

    @property
    def gift(self) -> float:
        """Initial fill of all buckets of a customer together."""
        return _GIFT_SHARE * self.slack
