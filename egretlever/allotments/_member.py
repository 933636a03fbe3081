"""Member: asks pool nodes for the permits that its requests need."""

import collections
import dataclasses

from egretlever.allotments._lending import ShareLending
from egretlever.allotments._limits import PERMIT_LIFETIME, AllotmentLimits
from egretlever.allotments._messages import (
    CustomerGroup,
    Grant,
    PermitReply,
    PermitRequest,
)
from egretlever.allotments._permits import HeldPermits
from egretlever.allotments._tickets import Admission, Ticket, make_ticket
from egretlever.core import Address, CustomerId, Seconds

# Requests of a customer that wait at a node while its bucket is empty. More
# would only pass the permits on to requests with less time left.
_MAX_WAITING = 4
# A pool node that has not replied is not asked for this time, doubled with each
# further failure in a row.
_EXCLUSION_TIME = Seconds(2.0)
_MAX_EXCLUSION_TIME = Seconds(16.0)
# In a flood the other region has no room either; messages to it are dear.
_MIN_FAR_PAUSE = Seconds(0.25)
_MAX_FAR_PAUSE = Seconds(8.0)
_MAX_NAMED_WAIT = Seconds(2.0)
_UNKNOWN_WAIT = Seconds(0.5)  # Retry-After when no pool node has named a time


@dataclasses.dataclass(slots=True)
class _Ask:
    """A message without a reply."""

    pool: Address
    sent_at: Seconds
    ends_lease: bool
    needed: dict[CustomerId, int]
    borrows: bool = False


@dataclasses.dataclass(slots=True)
class _Exclusion:
    """A pool node that has not replied."""

    until: Seconds
    duration: Seconds


class GroupMember:
    """Decisions of one node on the customers of one group.

    Load pattern: each of hundreds of nodes gets one or two requests a second
    of a large customer and one a minute of a small one, so that nothing can be
    foreseen at a node. It asks when requests wait, for all of them in one
    message. While a bucket is empty, requests are refused here until the time
    that the pool node has named, so that a flood costs no messages. Before
    that, the pool node of the other region is asked, which may have room and
    names a time of its own.

    Parameters
    ----------
    group : CustomerGroup
        The group.
    own : Address
        Relay address of this node.
    limits : AllotmentLimits
        Limits of all customers.
    now : Seconds
        Clock time at which the process starts.
    """

    def __init__(
        self,
        group: CustomerGroup,
        own: Address,
        limits: AllotmentLimits,
        now: Seconds,
    ) -> None:
        self._group = group
        self._own = own
        self._lending = ShareLending(limits.window, now)
        self._share = 0.0
        self._candidates: list[Address] = []
        self._exclusions: dict[Address, _Exclusion] = {}
        self._ask: _Ask | None = None
        self._waiting: dict[CustomerId, collections.deque[Ticket]] = {}
        self._refused_until: dict[CustomerId, Seconds] = {}
        self._named_waits: dict[CustomerId, Seconds] = {}
        # The same of requests for which the other region's pool node is asked.
        self._far_pool: Address | None = None
        self._far_waiting: dict[CustomerId, collections.deque[Ticket]] = {}
        self._far_refused_until: dict[CustomerId, Seconds] = {}
        self._far_pauses: dict[CustomerId, Seconds] = {}
        self._permits = HeldPermits()

    def observe_fleet(
        self,
        share: float,
        candidates: list[Address],
        far_pool: Address | None = None,
    ) -> None:
        """Take what follows from the directory.

        Parameters
        ----------
        share : float
            Own share of the allotments.
        candidates : list of Address
            Pool nodes in the order of their use.
        far_pool : Address, optional
            Pool node of the other region.
        """
        self._share = share
        self._candidates = candidates
        self._far_pool = far_pool

    def observe_share(self, share: float) -> None:
        """Take the own share of the allotments."""
        self._share = share

    def submit(
        self, customer: CustomerId, now: Seconds, deadline: Seconds
    ) -> Ticket:
        """Ask for a permit for one request.

        Parameters
        ----------
        customer : CustomerId
            Customer of the request.
        now : Seconds
            Clock time.
        deadline : Seconds
            Clock time by which the request must be answered.

        Returns
        -------
        Ticket
            It may have been decided at once.
        """
        ticket = make_ticket(customer, now, deadline)
        expires_at = self._permits.take(customer, now)
        if expires_at is not None:
            self._admit(ticket, expires_at, now)
            return ticket
        self._enqueue(ticket, now)
        return ticket

    def _enqueue(self, ticket: Ticket, now: Seconds) -> None:
        """Let a request wait for a pool node, or refuse it."""
        customer = ticket.customer
        refused_until = self._refused_until.get(customer, now)
        if refused_until > now and self._may_borrow(customer, now):
            self._far_waiting.setdefault(customer, collections.deque()).append(
                ticket
            )
            return
        waiting = self._waiting.setdefault(customer, collections.deque())
        if refused_until > now and (
            refused_until > ticket.until or len(waiting) >= _MAX_WAITING
        ):
            # Each of those that wait already gets one permit at a time.
            ahead = len(waiting) * self._named_waits.get(customer, 0.0)
            wait = refused_until - now + ahead
            ticket.state = Admission.REFUSED
            ticket.wait = Seconds(min(wait, _MAX_NAMED_WAIT))
        else:
            waiting.append(ticket)

    def _may_borrow(self, customer: CustomerId, now: Seconds) -> bool:
        """Tell whether the other region's pool node is asked for permits."""
        return (
            self._far_pool is not None
            and not self._is_excluded(self._far_pool, now)
            and self._far_refused_until.get(customer, now) <= now
            and self._find_pool(now) != self._far_pool
        )

    def release(
        self, customer: CustomerId, submitted_at: Seconds, now: Seconds
    ) -> None:
        """Keep the permit of a request that was never run, while it is valid.

        Parameters
        ----------
        customer : CustomerId
            Customer of the request.
        submitted_at : Seconds
            Clock time at which it was submitted.
        now : Seconds
            Clock time.
        """
        self._permits.release(customer, submitted_at, now)

    def give_up(self, ticket: Ticket, now: Seconds) -> None:
        """End the wait of a request that was not decided."""
        if ticket.state is not Admission.WAITING:
            return
        for lane in (self._waiting, self._far_waiting):
            waiting = lane.get(ticket.customer)
            if waiting and ticket in waiting:
                waiting.remove(ticket)
        ticket.state = Admission.REFUSED
        until = self._refused_until.get(ticket.customer, now)
        ticket.wait = Seconds(until - now) if until > now else _UNKNOWN_WAIT

    def _admit(self, ticket: Ticket, expires_at: Seconds, now: Seconds) -> None:
        """Admit a request by a permit, which may be released again."""
        ticket.state = Admission.ADMITTED
        self._permits.use(ticket.customer, ticket.submitted_at, expires_at, now)

    def poll(self, now: Seconds) -> tuple[Address, PermitRequest] | None:
        """Return the next message and the node to send it to.

        Returns
        -------
        tuple of Address and PermitRequest, or None
            None when nothing is to be sent now.
        """
        if self._ask is not None:
            return None
        pool = self._find_pool(now)
        holder = self._lending.find_other_holder(pool, now)
        if holder is not None and not self._is_excluded(holder, now):
            self._ask = _Ask(holder, now, True, {})
            return holder, PermitRequest(
                self._group, self._own, ends_lease=True
            )
        borrowed = {
            customer: len(waiting)
            for customer, waiting in self._far_waiting.items()
            if waiting
        }
        if borrowed and self._far_pool is not None:
            self._ask = _Ask(self._far_pool, now, False, borrowed, True)
            return self._far_pool, PermitRequest(
                self._group, self._own, needed=tuple(borrowed.items())
            )
        needed: dict[CustomerId, int] = {}
        if self._lending.knows(pool):
            needed = {
                customer: len(waiting)
                for customer, waiting in self._waiting.items()
                if waiting and self._refused_until.get(customer, now) <= now
            }
        if not needed and self._lending.find_renewal(pool) > now:
            return None
        loan = self._lending.lend(pool, self._share, now)
        self._ask = _Ask(pool, now, False, needed)
        return pool, PermitRequest(
            self._group,
            self._own,
            loan.share,
            loan.gift,
            loan.until,
            False,
            tuple(needed.items()),
        )

    def find_next_time(self, now: Seconds) -> Seconds:
        """Return when to poll again, unless a request arrives before."""
        times = [self._lending.find_renewal(self._find_pool(now))]
        for customer, waiting in self._waiting.items():
            if waiting:
                times.append(self._refused_until.get(customer, now))
        return min(times)

    def _find_pool(self, now: Seconds) -> Address:
        for candidate in self._candidates:
            if not self._is_excluded(candidate, now):
                return candidate
        return self._own

    def _is_excluded(self, pool: Address, now: Seconds) -> bool:
        exclusion = self._exclusions.get(pool)
        return exclusion is not None and now < exclusion.until

    def observe_reply(self, reply: PermitReply, now: Seconds) -> list[Ticket]:
        """Record the reply to the last message.

        Returns
        -------
        list of Ticket
            Requests that are decided by it.
        """
        ask, self._ask = self._ask, None
        if ask is None:
            return []
        self._exclusions.pop(ask.pool, None)
        if reply.leaving:
            self._exclusions[ask.pool] = _Exclusion(
                Seconds(now + _MAX_EXCLUSION_TIME), _EXCLUSION_TIME
            )
        if not ask.borrows:
            ended = ask.ends_lease or reply.leaving
            self._lending.observe_reply(ask.pool, reply, ended, now)
        expires_at = Seconds(ask.sent_at + PERMIT_LIFETIME)
        lane = self._far_waiting if ask.borrows else self._waiting
        times = self._far_refused_until if ask.borrows else self._refused_until
        decided: list[Ticket] = []
        grants = reply.grants
        if reply.leaving and ask.pool == self._own:
            # No other node can be reached.
            grants = tuple(
                Grant(customer, 0, _UNKNOWN_WAIT) for customer in ask.needed
            )
        for grant in grants:
            waiting = lane.setdefault(grant.customer, collections.deque())
            permits = grant.permits if now < expires_at else 0
            for _ in range(permits):
                if waiting:
                    ticket = waiting.popleft()
                    self._admit(ticket, expires_at, now)
                    decided.append(ticket)
                else:
                    self._permits.keep(grant.customer, expires_at)
            if grant.permits >= ask.needed.get(grant.customer, 0):
                times.pop(grant.customer, None)
                if ask.borrows:
                    self._far_pauses.pop(grant.customer, None)
            else:
                wait = grant.wait
                if ask.borrows:
                    wait = self._lengthen_pause(grant.customer, wait)
                else:
                    self._named_waits[grant.customer] = wait
                times[grant.customer] = Seconds(now + wait)
                decided += self._enqueue_again(lane, grant.customer, now)
        return decided

    def _lengthen_pause(self, customer: CustomerId, wait: Seconds) -> Seconds:
        """Return how long the other region is not asked after a refusal."""
        pause = max(wait, 2 * self._far_pauses.get(customer, _MIN_FAR_PAUSE))
        pause = Seconds(min(pause, _MAX_FAR_PAUSE))
        self._far_pauses[customer] = pause
        return pause

    def _enqueue_again(
        self,
        lane: dict[CustomerId, collections.deque[Ticket]],
        customer: CustomerId,
        now: Seconds,
    ) -> list[Ticket]:
        """Find what else the requests that wait for a pool node can wait for.

        Returns
        -------
        list of Ticket
            Requests that are refused.
        """
        waiting = lane.pop(customer, collections.deque())
        for ticket in waiting:
            self._enqueue(ticket, now)
        return [
            ticket
            for ticket in waiting
            if ticket.state is not Admission.WAITING
        ]

    def observe_failure(self, now: Seconds) -> list[Ticket]:
        """Record that the last message has got no reply in time.

        Returns
        -------
        list of Ticket
            Requests that are refused by it.
        """
        ask, self._ask = self._ask, None
        if ask is None:
            return []
        known = self._exclusions.get(ask.pool)
        duration = _EXCLUSION_TIME
        if known is not None:
            duration = Seconds(min(2 * known.duration, _MAX_EXCLUSION_TIME))
        self._exclusions[ask.pool] = _Exclusion(
            Seconds(now + duration), duration
        )
        if not ask.borrows:
            self._lending.observe_failure(ask.pool)
            return []
        decided = []
        for customer in list(self._far_waiting):
            decided += self._enqueue_again(self._far_waiting, customer, now)
        return decided
