"""Simulated fleet whose nodes keep the allotment of one customer."""

import bisect
import heapq
import itertools
import random
from collections.abc import Callable

from egretlever.allotments import (
    Admission,
    AllotmentLimits,
    GroupMember,
    PermitPool,
    PermitReply,
    Ticket,
    find_group,
    list_candidates,
)
from egretlever.core import Address, Seconds
from egretlever.placement import Customer

_REPLY_TIMEOUT = 0.25
_DEADLINE = 4.0  # seconds that a request has


class SimulatedNode:
    """A node of the fleet; a restart replaces its decisions."""

    def __init__(self, fleet: "AllotmentFleet", number: int) -> None:
        self.relay = Address("10.0.0.1", 1 + number)
        self.count = fleet.count
        self.paused_until = 0.0
        self.cut_off = False  # whether it reaches no other node
        self.process = 0
        self.alive = True
        self._fleet = fleet
        self._number = number
        self.start()

    def start(self) -> None:
        """Start a process that knows nothing of earlier ones."""
        fleet = self._fleet
        self.alive = True
        self.process += 1
        self._message = 0
        now = Seconds(fleet.now)
        group = find_group(fleet.customer.id)
        self.pool = PermitPool(fleet.limits, now)
        self.pool.configure([fleet.customer], now)
        self.member = GroupMember(group, self.relay, fleet.limits, now)
        self.observe_fleet(self.count)
        self._schedule(fleet.rng.random() * 0.02, self.pump)

    def observe_fleet(self, count: int) -> None:
        """Take a number of nodes for that of the fleet."""
        self.count = count
        near, far = self._fleet.list_nodes(self._number)
        order = list_candidates(find_group(self._fleet.customer.id), near, far)
        self.member.observe_fleet(1 / count, order, order[-1])

    def _schedule(self, delay: float, run: Callable[[], None]) -> None:
        """Run something in this process, unless it has ended by then."""
        process = self.process

        def run_if_alive() -> None:
            if not self.alive or process != self.process:
                return
            if self._fleet.now < self.paused_until:
                left = self.paused_until - self._fleet.now
                self._fleet.schedule(left, run_if_alive)
            else:
                run()

        self._fleet.schedule(delay, run_if_alive)

    def pump(self) -> None:
        """Send what is to be sent now."""
        fleet = self._fleet
        polled = self.member.poll(Seconds(fleet.now))
        if polled is None:
            return
        pool, request = polled
        self._message += 1
        message = self._message
        other = fleet.nodes[pool.port - 1]

        def time_out() -> None:
            if message == self._message:
                self._message += 1
                now = Seconds(fleet.now)
                for ticket in self.member.observe_failure(now):
                    fleet.count_decided(ticket)
                self._continue()

        def receive(reply: PermitReply) -> None:
            if message == self._message:
                self._message += 1
                now = Seconds(fleet.now)
                decided = self.member.observe_reply(reply, now)
                for ticket in decided:
                    fleet.count_decided(ticket)
                self._continue()

        def answer() -> None:
            reply = other.pool.answer(request, Seconds(fleet.now))
            delay = fleet.draw_delay(self, other)
            if delay is not None:
                self._schedule(delay, lambda: receive(reply))

        fleet.messages += other is not self
        self._schedule(_REPLY_TIMEOUT, time_out)
        delay = fleet.draw_delay(self, other)
        if delay is not None and other.alive:
            other._schedule(delay, answer)

    def _continue(self) -> None:
        """Poll now, and again when the next message is due."""
        self.pump()
        now = Seconds(self._fleet.now)
        delay = max(0.0, self.member.find_next_time(now) - now)
        self._schedule(delay + 1e-6, self.pump)

    def submit(self) -> None:
        """Receive one request of the customer."""
        fleet = self._fleet

        def receive() -> None:
            now = Seconds(fleet.now)
            ticket = self.member.submit(
                fleet.customer.id, now, Seconds(now + _DEADLINE)
            )
            if ticket.state is not Admission.WAITING:
                fleet.count_decided(ticket)
                return
            self.pump()
            self._schedule(ticket.until - now, lambda: give_up(ticket))
            next_at = self.member.find_next_time(now)
            self._schedule(max(0.0, next_at - now) + 1e-6, self.pump)

        def give_up(ticket: Ticket) -> None:
            if ticket.state is Admission.WAITING:
                self.member.give_up(ticket, Seconds(fleet.now))
                fleet.count_decided(ticket)

        self._schedule(0.0, receive)


class AllotmentFleet:
    """Nodes in two regions and the requests of one customer.

    Parameters
    ----------
    count : int
        Number of nodes.
    customer : Customer
        The customer.
    seed : int, default=1
        Seed of arrivals and delays.
    limits : AllotmentLimits, optional
        Limits on its requests.

    Attributes
    ----------
    now : float
        Current time, in seconds.
    admitted : list of float
        Times at which requests were admitted.
    refused : int
        Number of requests that were refused.
    messages : int
        Number of messages between two nodes, without replies.
    loss : float
        Share of messages that are lost.
    late : float
        Longest additional delay of a message, in seconds.
    """

    def __init__(
        self,
        count: int,
        customer: Customer,
        seed: int = 1,
        limits: AllotmentLimits | None = None,
    ) -> None:
        self.count = count
        self.customer = customer
        self.limits = limits or AllotmentLimits()
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.admitted: list[float] = []
        self.refused = 0
        self.waits: list[float] = []
        self.messages = 0
        self.loss = 0.0
        self.late = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.nodes: list[SimulatedNode] = []
        self.nodes += [SimulatedNode(self, number) for number in range(count)]

    def list_nodes(self, number: int) -> tuple[list[Address], list[Address]]:
        """Return the nodes of the region of a node, and the others."""
        relays = [Address("10.0.0.1", 1 + other) for other in range(self.count)]
        region = number % 2
        return relays[region::2], relays[1 - region :: 2]

    def find_pool_node(self, number: int) -> SimulatedNode:
        """Return the first pool node of the region of a node."""
        near, far = self.list_nodes(number)
        order = list_candidates(find_group(self.customer.id), near, far)
        return self.nodes[order[0].port - 1]

    def schedule(self, delay: float, run: Callable[[], None]) -> None:
        """Run something after a delay."""
        entry = (self.now + delay, next(self._numbers), run)
        heapq.heappush(self._events, entry)

    def draw_delay(
        self, one: SimulatedNode, other: SimulatedNode
    ) -> float | None:
        """Draw the delay of a message; None when it is lost."""
        if one is other:
            return 0.0
        if one.cut_off or other.cut_off or self.rng.random() < self.loss:
            return None
        near = (one.relay.port - other.relay.port) % 2 == 0
        delay = 0.0015 if near else 0.008
        return delay + self.rng.random() * self.late

    def count_decided(self, ticket: Ticket) -> None:
        """Count a request that was admitted or refused."""
        if ticket.state is Admission.ADMITTED:
            self.admitted.append(self.now)
        else:
            self.refused += 1
            self.waits.append(ticket.wait)

    def configure(self, customer: Customer) -> None:
        """Change the limits of the customer at all nodes."""
        self.customer = customer
        for node in self.nodes:
            node.pool.configure([customer], Seconds(self.now))

    def run(self, duration: float, rate: float = 0.0) -> None:
        """Run for a while with Poisson arrivals over all nodes.

        Parameters
        ----------
        duration : float
            Length in seconds.
        rate : float, default=0
            Requests per second.
        """
        ends_at = self.now + duration

        def arrive() -> None:
            self.rng.choice(self.nodes).submit()
            plan()

        def plan() -> None:
            delay = self.rng.expovariate(rate)
            if self.now + delay < ends_at:
                self.schedule(delay, arrive)

        if rate > 0:
            plan()
        while self._events and self._events[0][0] <= ends_at:
            self.now, _, run = heapq.heappop(self._events)
            run()
        self.now = ends_at

    def measure_worst_window(self) -> int:
        """Return the largest number of requests admitted within a window."""
        window = self.limits.window
        return max(
            (
                index + 1 - bisect.bisect_left(self.admitted, at - window)
                for index, at in enumerate(self.admitted)
            ),
            default=0,
        )
