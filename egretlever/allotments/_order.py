"""Groups of customers, and the order of the nodes that pool their shares."""

import hashlib
from collections.abc import Iterable

from egretlever.allotments._messages import CustomerGroup
from egretlever.core import Address, CustomerId

# Pool nodes of a region share its customers. Each further one costs every node
# a message a second.
GROUP_COUNT = 4
_NEAR_CANDIDATES = 3  # pool nodes of the own region, one after the other
_FAR_CANDIDATES = 1


def find_group(customer: CustomerId) -> CustomerGroup:
    """Return the group of a customer, the same at all nodes.

    Examples
    --------
    >>> find_group(CustomerId("mill")) == find_group(CustomerId("mill"))
    True
    """
    return CustomerGroup(_hash(customer) % GROUP_COUNT)


def list_candidates(
    group: CustomerGroup, near: Iterable[Address], far: Iterable[Address]
) -> list[Address]:
    """Return the pool nodes of a group in the order of their use.

    Rendezvous hashing: a node that joins or leaves changes the order of the
    others at no node.

    Parameters
    ----------
    group : CustomerGroup
        Group of customers.
    near, far : iterable of Address
        Nodes of the own region and of others.
    """

    def measure(relay: Address) -> tuple[int, str]:
        return _hash(f"{group} {relay}"), str(relay)

    return [
        *sorted(near, key=measure)[:_NEAR_CANDIDATES],
        *sorted(far, key=measure)[:_FAR_CANDIDATES],
    ]


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
