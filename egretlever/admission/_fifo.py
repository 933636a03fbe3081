"""First-in, first-out admission, the baseline of the benchmarks."""

import collections
from collections.abc import Iterable, Sequence

from egretlever.admission._interface import (
    Admission,
    AdmissionDecision,
    AdmissionEvent,
    Admitted,
    Queued,
    QueueDepartures,
    RankPolicy,
    RefusalReason,
    Refused,
    ServicePolicy,
    ServiceSnapshot,
    Ticket,
)
from egretlever.core import (
    AttemptResult,
    Interval,
    Seconds,
    ServiceName,
    check_parameters,
    require,
)


class FifoAdmission:
    """One FIFO queue per service with a fixed concurrency limit.

    Parameters
    ----------
    services : iterable of ServicePolicy
        Services, whose ``concurrency_limit`` and ``queue_limit`` are used.
    """

    def __init__(self, services: Iterable[ServicePolicy]) -> None:
        self._policies = {policy.name: policy for policy in services}
        for policy in self._policies.values():
            check_parameters(
                "FifoAdmission",
                {"concurrency_limit": policy.concurrency_limit},
                {"concurrency_limit": Interval(1)},
            )
        self._queues: dict[ServiceName, collections.deque[Ticket]] = {}
        self._running: dict[ServiceName, set[Ticket]] = {}
        self._departed = QueueDepartures()

    def offer(self, ticket: Ticket, now: Seconds) -> AdmissionDecision:
        """Offer a ticket; the queue refuses only when it is full."""
        policy = self._policies.get(ticket.service)
        if policy is None:
            return Refused(RefusalReason.UNKNOWN_SERVICE)
        queue = self._queues.setdefault(policy.name, collections.deque())
        running = self._running.setdefault(policy.name, set())
        if not queue and len(running) < policy.concurrency_limit:
            running.add(ticket)
            return Admitted()
        if len(queue) >= policy.queue_limit:
            return Refused(RefusalReason.QUEUE_FULL, Seconds(1.0))
        queue.append(ticket)
        return Queued(Seconds(0.0))

    def advance(self, now: Seconds) -> QueueDepartures:
        """Dispatch in the order of arrival while the limit allows it."""
        departures, self._departed = self._departed, QueueDepartures()
        for name, queue in self._queues.items():
            running = self._running[name]
            limit = self._policies[name].concurrency_limit
            while queue and len(running) < limit:
                ticket = queue.popleft()
                if ticket.deadline <= now:
                    departures.expired.append(ticket)
                    continue
                running.add(ticket)
                departures.dispatched.append(ticket)
        return departures

    def finish(
        self,
        ticket: Ticket,
        result: AttemptResult,
        latency: Seconds,
        now: Seconds,
    ) -> None:
        """Report the end of a dispatched ticket."""
        running = self._running[ticket.service]
        require("ticket-finished-once", ticket in running)
        running.remove(ticket)

    def cancel(self, ticket: Ticket, now: Seconds) -> bool:
        """Refuse a waiting ticket; False if not waiting."""
        queue = self._queues.get(ticket.service, ())
        if ticket not in queue:
            return False
        self._queues[ticket.service].remove(ticket)
        refused = Refused(RefusalReason.WITHDRAWN)
        self._departed.refused.append((ticket, refused))
        return True

    def observe(self, event: AdmissionEvent, now: Seconds) -> None:
        """Ignore capacity hints and pauses."""

    def configure(
        self,
        services: Iterable[ServicePolicy],
        now: Seconds,
        ranks: Sequence[RankPolicy] | None = None,
    ) -> None:
        """Replace the limits of known services; ranks are ignored."""
        self._policies.update((policy.name, policy) for policy in services)

    def describe(self) -> tuple[ServiceSnapshot, ...]:
        """Return the state of each service in use."""
        return tuple(
            ServiceSnapshot(
                name,
                len(running),
                self._policies[name].concurrency_limit,
                {},
                0.0,
            )
            for name, running in self._running.items()
        )


def make_fifo_admission(services: Iterable[ServicePolicy]) -> Admission:
    """Make a FIFO admission.

    Parameters
    ----------
    services : iterable of ServicePolicy
        Services with their fixed limits.

    Returns
    -------
    Admission
        The baseline for comparisons.
    """
    return FifoAdmission(services)
