"""Where a node's share of the allotments of one group is in use."""

import dataclasses

from egretlever.allotments._limits import LEASE_TIME
from egretlever.allotments._messages import PermitReply
from egretlever.core import Address, Seconds

# A machine that stands still for a second does not lose its lease.
_RENEWAL_TIME = Seconds(0.9)


@dataclasses.dataclass(slots=True)
class _KnownPool:
    """What is known of a pool node's process.

    Parameters
    ----------
    started_at : Seconds
        Reading of its clock at its start.
    offset : float
        Least difference between its clock and the own one.
    """

    started_at: Seconds
    offset: float


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """What a node may lend to a pool node.

    Parameters
    ----------
    share, gift : float
        Shares of the allotments and of their initial fill.
    until : Seconds
        Reading of the pool node's clock at which the lease ends.
    """

    share: float = 0.0
    gift: float = 0.0
    until: Seconds = Seconds(0.0)


class ShareLending:
    """Lends a share to one pool node at a time.

    A lease ends by the pool node's clock, so that a message that arrives late
    lends for a shorter time. This node knows a reading of that clock, and that
    the lease has ended when the same time has passed here.

    A process does not know to whom its predecessor lent the share. It lends it
    to a pool node that has a lease of it, or to one that has started at about
    the same time or later, and otherwise waits until such a lease has ended.

    Parameters
    ----------
    gift_interval : Seconds
        Least time between two gifts.
    now : Seconds
        Clock time at which the process starts.
    """

    def __init__(self, gift_interval: Seconds, now: Seconds) -> None:
        self._gift_interval = gift_interval
        self._started_at = now
        self._holder: Address | None = None
        self._held_until = Seconds(now + LEASE_TIME)
        self._renew_at = now
        self._gift_at = Seconds(now - gift_interval)
        self._gift_to: tuple[Address, Seconds] | None = None
        self._pools: dict[Address, _KnownPool] = {}

    def find_other_holder(self, pool: Address, now: Seconds) -> Address | None:
        """Return the node other than a pool node that has the share."""
        if self._holder == pool or now >= self._held_until:
            return None
        return self._holder

    def knows(self, pool: Address) -> bool:
        """Tell whether the clock of a pool node is known."""
        return pool in self._pools

    def find_renewal(self, pool: Address) -> Seconds:
        """Return the time at which a pool node is to get the next message."""
        known = self._pools.get(pool)
        return Seconds(0.0) if known is None else self._renew_at

    def lend(self, pool: Address, share: float, now: Seconds) -> Loan:
        """Lend the share to a pool node, as far as that is possible now."""
        known = self._pools.get(pool)
        self._renew_at = Seconds(now + _RENEWAL_TIME)
        if known is None or share <= 0:
            return Loan()
        gift = 0.0
        target = (pool, known.started_at)
        if (
            self._gift_to != target
            and now - self._gift_at >= self._gift_interval
        ):
            gift, self._gift_at, self._gift_to = share, now, target
        lent = 0.0
        if self._holder == pool or now >= self._held_until:
            lent = share
            self._holder = pool
            self._held_until = Seconds(now + LEASE_TIME)
        else:
            self._renew_at = Seconds(min(self._renew_at, self._held_until))
        return Loan(lent, gift, Seconds(known.offset + now + LEASE_TIME))

    def observe_reply(
        self, pool: Address, reply: PermitReply, ended: bool, now: Seconds
    ) -> None:
        """Record a reply of a pool node.

        Parameters
        ----------
        pool : Address
            The pool node.
        reply : PermitReply
            Its reply.
        ended : bool
            Whether it was asked to end the lease.
        now : Seconds
            Clock time.
        """
        offset = reply.clock - now
        known = self._pools.get(pool)
        if known is None or known.started_at != reply.started_at:
            self._pools[pool] = _KnownPool(reply.started_at, offset)
            self._renew_at = now
        else:
            known.offset = max(known.offset, offset)
        if ended:
            if self._holder == pool:
                self._holder, self._held_until = None, now
                if not reply.leaving:
                    self._renew_at = now
        elif self._holder is None and (
            reply.knows_lender or self._has_restarted(reply, offset)
        ):
            self._holder = pool

    def _has_restarted(self, reply: PermitReply, offset: float) -> bool:
        """Tell whether a pool node has restarted as lately as this node.

        Its leases of this node's predecessor ended with its own predecessor.
        After a restart of the whole fleet, slow nodes read the configuration
        more than a lease's time after their pool nodes have started.
        """
        started_at = reply.started_at - offset
        return started_at >= self._started_at - LEASE_TIME

    def observe_failure(self, pool: Address) -> None:
        """Forget the clock of a pool node that has not replied."""
        self._pools.pop(pool, None)
