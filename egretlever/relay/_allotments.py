"""Messages by which nodes keep the allotments of customers together."""

from collections.abc import Iterable
from typing import Protocol

import curio

from egretlever.allotments import (
    GROUP_COUNT,
    Admission,
    AllotmentLimits,
    CustomerGroup,
    FleetShare,
    GroupMember,
    PermitPool,
    PermitReply,
    PermitRequest,
    Ticket,
    find_group,
    list_candidates,
)
from egretlever.core import Address, CustomerId, Seconds, make_log
from egretlever.placement import Customer
from egretlever.relay import _metrics as metrics
from egretlever.relay._fleet import FleetView
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("allotments")
_REPLY_TIMEOUT = Seconds(0.25)
# Time after which a node sees that customers have limits now. The first
# request of such a customer makes it see that at once.
_IDLE_TIME = 0.5  # seconds
_FLEET_INTERVAL = Seconds(1.0)  # between two looks at an unchanged directory
# After a restart of the whole fleet, rows of servers are removed and written
# anew, so that up to a third may be missing from a directory that is read then.
_STARTUP_TIME = Seconds(5.0)
_STARTUP_SHARE = 0.7  # of the own share
_LOG_INTERVAL = Seconds(1.0)  # between two lines about one customer


class PermitSender(Protocol):
    """Sends requests for permits to pool nodes."""

    async def request_permits(
        self, relay: Address, request: PermitRequest, timeout: Seconds
    ) -> PermitReply | None:
        """Ask a pool node; None when there is no reply in time."""
        ...


class AllotmentExchange:
    """Keeps customers within their allotments over all nodes.

    Parameters
    ----------
    limits : AllotmentLimits
        Limits of all customers.
    own : Address
        Relay address of this node.
    fleet : FleetView
        Servers of the fleet.
    links : PermitSender
        Connections to the other nodes.

    Attributes
    ----------
    groups : tuple of CustomerGroup
        Groups of customers, each with its own messages.
    """

    def __init__(
        self,
        limits: AllotmentLimits,
        own: Address,
        fleet: FleetView,
        links: PermitSender,
    ) -> None:
        now = read_clock()
        self._started_at = now
        self._own = own
        self._fleet = fleet
        self._links = links
        self._pool = PermitPool(limits, now)
        self.groups = tuple(CustomerGroup(g) for g in range(GROUP_COUNT))
        self._members = {
            group: GroupMember(group, own, limits, now) for group in self.groups
        }
        self._wakes = {group: curio.Event() for group in self.groups}
        self._decided: dict[Ticket, curio.Event] = {}
        self._limited: frozenset[CustomerGroup] = frozenset()
        self._share = FleetShare()
        self._revision = -1
        self._viewed_at = Seconds(0.0)
        self._logged_at: dict[CustomerId, Seconds] = {}
        self._refused: dict[CustomerId, int] = {}

    def configure(self, customers: Iterable[Customer]) -> None:
        """Apply the limits of a configuration."""
        limited = [customer for customer in customers if customer.rate > 0]
        self._limited = frozenset(
            find_group(customer.id) for customer in limited
        )
        self._pool.configure(limited, read_clock())

    def stop(self) -> None:
        """Let the other nodes lend their shares to another pool node."""
        self._pool.stop()

    def answer(self, request: PermitRequest) -> PermitReply:
        """Reply to a request for permits as a pool node."""
        return self._pool.answer(request, read_clock())

    async def admit(
        self, customer: Customer, now: Seconds, deadline: Seconds
    ) -> Seconds | None:
        """Wait for a permit for one request."""
        if customer.rate <= 0:
            return None
        group = find_group(customer.id)
        member = self._members[group]
        ticket = member.submit(customer.id, now, deadline)
        if ticket.state is Admission.WAITING:
            await self._wait(group, member, ticket)
        if ticket.state is Admission.ADMITTED:
            return None
        self._observe_refusal(ticket)
        return ticket.wait

    async def _wait(
        self, group: CustomerGroup, member: GroupMember, ticket: Ticket
    ) -> None:
        event = self._decided[ticket] = curio.Event()
        waited = False
        try:
            await self._wakes[group].set()
            async with curio.ignore_after(ticket.until - read_clock()):
                await event.wait()
            waited = True
        finally:
            del self._decided[ticket]
            now = read_clock()
            member.give_up(ticket, now)
            if ticket.state is Admission.ADMITTED and not waited:
                member.release(ticket.customer, ticket.submitted_at, now)

    def release(
        self, customer: Customer, asked_at: Seconds, now: Seconds
    ) -> None:
        """Use the permit of a request that was never run for the next one."""
        if customer.rate > 0:
            member = self._members[find_group(customer.id)]
            member.release(customer.id, asked_at, now)

    def _observe_refusal(self, ticket: Ticket) -> None:
        metrics.OVER_ALLOTMENT.inc()
        customer, now = ticket.customer, read_clock()
        count = self._refused[customer] = self._refused.get(customer, 0) + 1
        if now - self._logged_at.get(customer, -_LOG_INTERVAL) < _LOG_INTERVAL:
            return
        self._logged_at[customer] = now
        del self._refused[customer]
        _LOG.event(
            logs_pb2.StateLine(
                event="over-allotment",
                subject=customer,
                reason=f"retry after {ticket.wait:.2f} s",
                count=count,
            )
        )

    async def run_forever(self, group: CustomerGroup) -> None:
        """Send the messages of one group while a customer of it has a limit.

        Parameters
        ----------
        group : CustomerGroup
            The group.
        """
        member, wake = self._members[group], self._wakes[group]
        while True:
            wake.clear()
            pause = _IDLE_TIME
            if group in self._limited:
                now = read_clock()
                self._observe_fleet(now)
                polled = member.poll(now)
                if polled is not None:
                    await self._ask(member, *polled)
                    continue
                pause = max(0.0, member.find_next_time(now) - now)
                pause = min(pause, _FLEET_INTERVAL)
            async with curio.ignore_after(pause):
                await wake.wait()

    def _observe_fleet(self, now: Seconds) -> None:
        """Take the nodes of the directory, when they may have changed."""
        directory = self._fleet.directory
        if (
            directory.revision == self._revision
            and now - self._viewed_at < _FLEET_INTERVAL
        ):
            return
        changed = directory.revision != self._revision
        self._revision, self._viewed_at = directory.revision, now
        servers = directory.list_all()
        relays = {server.relay for server in servers}
        # A part of the directory would make the share too large. The own row
        # may have been written after the directory was read.
        known = self._own in relays or self._fleet.has_local()
        count = 0
        if directory.complete and known:
            count = len(relays | {self._own})
        share = self._share.measure(count, now)
        if now - self._started_at < _STARTUP_TIME:
            share *= _STARTUP_SHARE
        near: set[Address] = set()
        far: set[Address] = set()
        for server in servers:
            if not server.draining:
                is_near = self._fleet.is_in_own_region(server)
                (near if is_near else far).add(server.relay)
        for group, member in self._members.items():
            if not changed:
                member.observe_share(share)
                continue
            order = list_candidates(group, near, far)
            far_order = list_candidates(group, (), far)
            member.observe_fleet(
                share, order, far_order[0] if far_order else None
            )

    async def _ask(
        self, member: GroupMember, pool: Address, request: PermitRequest
    ) -> None:
        """Send one message, and decide on requests by its reply."""
        if pool == self._own:
            reply: PermitReply | None = self.answer(request)
        else:
            reply = await self._links.request_permits(
                pool, request, _REPLY_TIMEOUT
            )
        now = read_clock()
        if reply is None:
            _LOG.event(
                logs_pb2.StateLine(
                    event="pool-node-lost",
                    subject=str(request.group),
                    address=str(pool),
                )
            )
            decided = member.observe_failure(now)
        else:
            self._count(pool, request, reply)
            decided = member.observe_reply(reply, now)
        for ticket in decided:
            await self._decided[ticket].set()

    def _count(
        self, pool: Address, request: PermitRequest, reply: PermitReply
    ) -> None:
        """Count permits in the metrics."""
        needed = sum(count for _, count in request.needed)
        granted = sum(grant.permits for grant in reply.grants)
        source = "granted-own-share" if pool == self._own else "granted"
        metrics.PERMITS.labels("requested").inc(needed)
        metrics.PERMITS.labels(source).inc(granted)
        metrics.PERMITS.labels("refused").inc(needed - granted)
