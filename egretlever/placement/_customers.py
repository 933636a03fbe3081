"""Customers of a configuration, by their keys."""

import hashlib
from collections.abc import Iterable

from egretlever.core import CustomerId
from egretlever.placement._customer_sizes import (
    CustomerSize,
    classify_customers,
)
from egretlever.placement._records import Configuration, Customer, KeyDigest


def hash_key(key: bytes) -> KeyDigest:
    """Return the digest by which a customer's key is known.

    Parameters
    ----------
    key : bytes
        The key as clients send it.
    """
    return KeyDigest(hashlib.sha256(key).digest())


class CustomerTable:
    """Finds the customer that holds a key.

    Keys are looked up by their digests, so that the time of a look-up says
    nothing about the keys.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.

    Attributes
    ----------
    keys_required : bool
        Whether requests need a key, unless their route is public.

    Examples
    --------
    >>> from egretlever.testing.relay_builders import build_configuration
    >>> from egretlever.testing.relay_builders import build_customer
    >>> table = CustomerTable(
    ...     build_configuration(customers=(build_customer(),))
    ... )
    >>> table.identify([b"secret"]).id
    'mill'
    >>> table.identify([b"other"]) is None
    True
    """

    def __init__(self, configuration: Configuration) -> None:
        self.keys_required = configuration.keys_required
        self._holders: dict[KeyDigest, Customer] = {}
        self._customers: dict[CustomerId, Customer] = {}
        self._sizes = classify_customers(configuration.customers)
        for customer in configuration.customers:
            self._customers.setdefault(customer.id, customer)
            for digest in customer.keys:
                self._holders.setdefault(digest, customer)

    def identify(self, keys: Iterable[bytes]) -> Customer | None:
        """Return the customer of a request.

        Parameters
        ----------
        keys : iterable of bytes
            All keys that the request carries.

        Returns
        -------
        Customer or None
            None unless the request carries one key that a customer holds.
        """
        found = list(keys)
        if len(found) != 1:
            return None
        return self._holders.get(hash_key(found[0]))

    def find_size(self, customer_id: CustomerId) -> CustomerSize:
        """Return the size of a customer by its rate."""
        return self._sizes.get(customer_id, CustomerSize.NONE)

    def find(self, customer_id: CustomerId) -> Customer | None:
        """Return the customer with an id, None when there is none."""
        return self._customers.get(customer_id)
