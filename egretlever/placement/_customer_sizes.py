"""Classes of customers by size, for metrics."""

import enum
from collections.abc import Sequence

from egretlever.core import CustomerId
from egretlever.placement._records import Customer

_LARGE_SHARE = 0.1  # of the customers with a limit
_SMALL_SHARE = 0.5


class CustomerSize(enum.Enum):
    """Size of a customer by its rate, among those with a limit."""

    LARGE = "large"
    MEDIUM = "medium"
    SMALL = "small"
    UNLIMITED = "unlimited"
    NONE = "none"


def classify_customers(
    customers: Sequence[Customer],
) -> dict[CustomerId, CustomerSize]:
    """Return the sizes of customers: a tenth is large, a half is small.

    Examples
    --------
    >>> from egretlever.testing.relay_builders import build_customer
    >>> sizes = classify_customers(
    ...     [build_customer(id=f"c{rate}", rate=rate) for rate in range(5)]
    ... )
    >>> [size.value for size in sizes.values()]
    ['large', 'medium', 'small', 'small', 'unlimited']
    """
    limited = sorted(
        (customer for customer in customers if customer.rate),
        key=lambda customer: -customer.rate,
    )
    sizes = {}
    for place, customer in enumerate(limited):
        share = place / len(limited)
        size = CustomerSize.MEDIUM
        if share < _LARGE_SHARE:
            size = CustomerSize.LARGE
        elif share >= 1 - _SMALL_SHARE:
            size = CustomerSize.SMALL
        sizes[customer.id] = size
    for customer in customers:
        sizes.setdefault(customer.id, CustomerSize.UNLIMITED)
    return sizes
