"""Pool node: token buckets that the shares lent by other nodes fill."""

import dataclasses
from collections.abc import Iterable

from egretlever.allotments._limits import LEASE_TIME, AllotmentLimits
from egretlever.allotments._messages import (
    CustomerGroup,
    Grant,
    PermitReply,
    PermitRequest,
)
from egretlever.allotments._order import find_group
from egretlever.core import Address, CustomerId, Seconds
from egretlever.placement import Customer

# Refused nodes are told different times, so that they ask one after the other
# as permits become available. Times further ahead are too uncertain.
_MAX_SPREAD = Seconds(1.0)
_MAX_WAIT = Seconds(2.0)
_UNKNOWN_WAIT = Seconds(0.5)  # of a pool node to which no share is lent yet
# All nodes lend their shares within this time after a pool node has started.
_STARTUP_TIME = Seconds(0.5)
_STARTUP_WAIT = Seconds(0.1)
# Error of a clock reading that another node has derived.
_CLOCK_TOLERANCE = Seconds(0.1)
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Lease:
    """Share of one node."""

    share: float
    until: Seconds


class _Leases:
    """Shares of the allotments of one group that nodes have lent.

    Attributes
    ----------
    total : float
        Sum of the shares.
    filled : float
        Integral of the sum over time: what a bucket with a rate of 1 got.
    """

    def __init__(self) -> None:
        self._leases: dict[Address, _Lease] = {}
        self._advanced_at = Seconds(0.0)
        self.total = 0.0
        self.filled = 0.0

    def advance(self, now: Seconds) -> None:
        """Count the time since the last call, and drop ended leases."""
        since, self._advanced_at = self._advanced_at, now
        filled, total = 0.0, 0.0
        ended = []
        for lender, lease in self._leases.items():
            if lease.until > now:
                total += lease.share
                filled += lease.share * (now - since)
            else:
                filled += lease.share * max(0.0, lease.until - since)
                ended.append(lender)
        for lender in ended:
            del self._leases[lender]
        # All nodes together own the whole of an allotment.
        self.total = min(1.0, total)
        self.filled += min(filled, max(0.0, now - since))

    def holds(self, lender: Address) -> bool:
        """Tell whether a share of a node is used."""
        return lender in self._leases

    def is_changed_by(self, lender: Address, share: float) -> bool:
        """Tell whether a lease would change the sum."""
        lease = self._leases.get(lender)
        return (0.0 if lease is None else lease.share) != share

    def put(self, lender: Address, share: float, until: Seconds) -> None:
        """Begin or renew a lease."""
        self._leases[lender] = _Lease(share, until)

    def remove(self, lender: Address) -> None:
        """End a lease."""
        self._leases.pop(lender, None)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Permits of one customer."""

    customer: Customer
    filled: float
    level: float = 0.0
    gift: float = 0.0
    gift_until: Seconds = Seconds(0.0)
    next_slot: Seconds = Seconds(0.0)


class PermitPool:
    """Grants permits from the shares that nodes have lent to this one.

    A bucket's rate and capacity are those of the customer times the sum of the
    lent shares. Since a share is lent to one node at a time, the permits in all
    buckets of the fleet, and what fills them, never exceed the limits.

    Parameters
    ----------
    limits : AllotmentLimits
        Limits of all customers.
    now : Seconds
        Clock time at which the process starts.
    """

    def __init__(self, limits: AllotmentLimits, now: Seconds) -> None:
        self._limits = limits
        self._started_at = now
        self._leaving = False
        self._groups: dict[CustomerGroup, _Leases] = {}
        self._buckets: dict[CustomerGroup, dict[CustomerId, _Bucket]] = {}

    def configure(self, customers: Iterable[Customer], now: Seconds) -> None:
        """Apply the limits of a configuration.

        A bucket keeps its permits as far as its new capacity allows.
        """
        if self._leaving:
            return
        found: dict[CustomerGroup, dict[CustomerId, _Bucket]] = {}
        for group in self._buckets:
            self._advance_group(group, now)
        for customer in customers:
            if customer.rate <= 0:
                continue
            group = find_group(customer.id)
            leases = self._find_leases(group, now)
            bucket = self._buckets.get(group, {}).get(customer.id)
            if bucket is None:
                bucket = _Bucket(customer, leases.filled)
            bucket.customer = customer
            found.setdefault(group, {})[customer.id] = bucket
            self._fill(bucket, leases, now)
        self._buckets = found

    def stop(self) -> None:
        """Use no shares any more, so that they can be lent elsewhere."""
        self._leaving = True
        self._groups.clear()
        self._buckets.clear()

    def answer(self, request: PermitRequest, now: Seconds) -> PermitReply:
        """Take a lent share, and grant permits.

        Parameters
        ----------
        request : PermitRequest
            Request of a node.
        now : Seconds
            Clock time.

        Returns
        -------
        PermitReply
            The reply.
        """
        if self._leaving:
            return PermitReply(now, self._started_at, False, (), True)
        leases = self._find_leases(request.group, now)
        knows = leases.holds(request.lender) or (
            now - self._started_at < LEASE_TIME
        )
        if request.ends_lease:
            self._advance_group(request.group, now)
            leases.remove(request.lender)
            leases.advance(now)
            self._advance_group(request.group, now)
        elif now < request.lease_until <= now + LEASE_TIME + _CLOCK_TOLERANCE:
            self._take(request, leases, now)
        grants = tuple(
            self._grant(request.group, customer, count, now)
            for customer, count in request.needed
        )
        return PermitReply(now, self._started_at, knows, grants)

    def _take(
        self, request: PermitRequest, leases: _Leases, now: Seconds
    ) -> None:
        """Begin or renew a lease, and take a gift."""
        if request.share > 0:
            if leases.is_changed_by(request.lender, request.share):
                # What the buckets hold was limited by the shares so far.
                self._advance_group(request.group, now)
            until = Seconds(min(request.lease_until, now + LEASE_TIME))
            leases.put(request.lender, request.share, until)
            leases.advance(now)
        if request.gift > 0:
            most = self._limits.gift
            for bucket in self._buckets.get(request.group, {}).values():
                if bucket.gift_until <= now:
                    bucket.gift = 0.0
                bucket.gift = min(most, bucket.gift + request.gift * most)
                bucket.gift_until = Seconds(now + self._limits.window)

    def _find_leases(self, group: CustomerGroup, now: Seconds) -> _Leases:
        leases = self._groups.get(group)
        if leases is None:
            leases = self._groups[group] = _Leases()
        leases.advance(now)
        return leases

    def _advance_group(self, group: CustomerGroup, now: Seconds) -> None:
        leases = self._find_leases(group, now)
        for bucket in self._buckets.get(group, {}).values():
            self._fill(bucket, leases, now)

    def _fill(self, bucket: _Bucket, leases: _Leases, now: Seconds) -> None:
        gained = leases.filled - bucket.filled
        bucket.filled = leases.filled
        bucket.level = min(
            bucket.level + self._limits.measure_rate(bucket.customer) * gained,
            self._limits.measure_capacity(bucket.customer) * leases.total,
        )
        if bucket.gift_until <= now:
            bucket.gift = 0.0

    def _grant(
        self,
        group: CustomerGroup,
        customer: CustomerId,
        count: int,
        now: Seconds,
    ) -> Grant:
        bucket = self._buckets.get(group, {}).get(customer)
        if bucket is None:
            # The limit is not known here yet, or not any more.
            return Grant(customer, 0, _STARTUP_WAIT)
        leases = self._groups[group]
        self._fill(bucket, leases, now)
        available = bucket.level + bucket.gift
        permits = min(count, int(available + _ROUNDING))
        # Gifts run out, the rest does not.
        from_gift = min(bucket.gift, float(permits))
        bucket.gift -= from_gift
        bucket.level = max(0.0, bucket.level - (permits - from_gift))
        if permits == count:
            return Grant(customer, permits)
        rate = self._limits.measure_rate(bucket.customer) * leases.total
        return Grant(
            customer,
            permits,
            self._name_wait(bucket, rate, count - permits, now),
        )

    def _name_wait(
        self, bucket: _Bucket, rate: float, refused: int, now: Seconds
    ) -> Seconds:
        """Return the time after which a permit is expected for a node."""
        if now - self._started_at < _STARTUP_TIME:
            return _STARTUP_WAIT
        if rate <= 0:
            return _UNKNOWN_WAIT
        missing = 1.0 - bucket.level - bucket.gift
        least = min(_MAX_WAIT, missing / rate)
        slot = max(now + least, bucket.next_slot)
        last = now + max(least, _MAX_SPREAD)
        bucket.next_slot = Seconds(min(last, slot + refused / rate))
        return Seconds(min(last, slot) - now)
