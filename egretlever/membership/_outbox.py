"""Queues of messages that wait for the byte budget."""

import collections

from egretlever.core import Address, Seconds
from egretlever.membership._budget import TokenBucket
from egretlever.membership._messages import (
    UDP_HEADER_BYTES,
    Message,
    Priority,
    Send,
    measure_message,
)

# Burst and refill of one second add up to the rate, so that no second's
# traffic exceeds it.
BURST_S = 0.25
REFILL_FRACTION = 1 - BURST_S
# Fraction of the burst that is reserved for messages of higher priority.
RESERVE_FRACTIONS = {
    Priority.URGENT: 0.0,
    Priority.PROBE: 0.2,
    Priority.ORDINARY: 0.4,
}
QUEUE_LIMITS = {
    Priority.URGENT: 256,
    Priority.PROBE: 32,
    Priority.ORDINARY: 32,
}


class Outbox:
    """Priority queues, limited by the budgets of the node and region link.

    Parameters
    ----------
    rate : float
        Limit of all traffic that this node sends to other nodes, in bytes
        per second.

    Attributes
    ----------
    dropped : int
        Messages dropped because a queue was full; anti-entropy repairs the
        loss.
    """

    def __init__(self, rate: float) -> None:
        burst = rate * BURST_S
        self._bucket = TokenBucket(rate * REFILL_FRACTION, burst)
        self._link = TokenBucket(rate * REFILL_FRACTION, burst)
        self._queues: dict[Priority, collections.deque[tuple[Send, bool]]] = {
            priority: collections.deque() for priority in Priority
        }
        self.dropped = 0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def limit_link(self, rate: float) -> None:
        """Set this node's share of the region link in bytes per second."""
        # A burst below two datagrams would never admit a full one.
        self._link.rate = rate
        self._link.burst = max(2500.0, rate * BURST_S)

    def has_budget(self, now: Seconds) -> bool:
        """Return whether an ordinary message could be sent now."""
        reserve = self._bucket.burst * RESERVE_FRACTIONS[Priority.ORDINARY]
        return (
            not self._queues[Priority.ORDINARY]
            and self._bucket.available(now) > reserve
        )

    def add(
        self,
        address: Address,
        message: Message,
        priority: Priority,
        crosses_link: bool,
    ) -> None:
        """Queue a message; drop the oldest of its priority when too many wait.

        ``crosses_link`` tells whether it also uses the region link's budget.
        """
        size = measure_message(message) + UDP_HEADER_BYTES
        queue = self._queues[priority]
        queue.append((Send(address, message, size), crosses_link))
        if len(queue) > QUEUE_LIMITS[priority]:
            queue.popleft()
            self.dropped += 1

    def flush(self, now: Seconds) -> list[Send]:
        """Return the queued messages that the budgets admit now."""
        ready: list[Send] = []
        for priority in Priority:
            queue = self._queues[priority]
            reserve = self._bucket.burst * RESERVE_FRACTIONS[priority]
            for _ in range(len(queue)):
                send, crosses_link = queue.popleft()
                if self._bucket.available(now) - send.size < reserve:
                    queue.appendleft((send, crosses_link))
                    break
                if crosses_link and not self._link.take(send.size, now):
                    # Requeued, so that local messages do not wait for the
                    # budget of the region link.
                    queue.append((send, crosses_link))
                    continue
                self._bucket.take(send.size, now)
                ready.append(send)
        return ready
