"""Replay of customers' requests at one home node's queue, without a network."""

import heapq
import random
from collections.abc import Sequence

from egretlever.core import CustomerId, RequestId, RouteId, Seconds
from egretlever.home import CustomerShare, SlotQueue, SlotTicket

_ROUTE = RouteId("orders")
_OBJECTIVE = 0.8
_TIMEOUT = 2.5
_WAIT_SHARE = 0.6  # of the spare time, as for home nodes of the own region


def replay_queue(
    demands: Sequence[float],
    shared: bool,
    slots: int = 16,
    work: float = 0.2,
    length: float = 20.0,
    seed: int = 1,
) -> list[float]:
    """Replay constant demands at a server, and return the shares served.

    Refused and expired requests are lost.

    Parameters
    ----------
    demands : sequence of float
        Requests per second of each customer.
    shared : bool
        Whether tickets name customers, all with the same weight.
    slots : int, default=16
        Slots of the server.
    work : float, default=0.2
        Mean of the exponential service times, in seconds.
    length : float, default=20.0
        Length of the replay, in seconds.
    seed : int, default=1
        Seed of arrivals and service times.
    """
    rng = random.Random(f"queue-{seed}")
    events: list[tuple[float, int, str]] = []  # time, customer, request
    for place, demand in enumerate(demands):
        at = rng.expovariate(demand)
        while at < length:
            events.append((at, place, ""))
            at += rng.expovariate(demand)
    sent, served = [0] * len(demands), [0] * len(demands)
    heapq.heapify(events)
    queue = SlotQueue(slots)
    while events:
        at, place, ended = heapq.heappop(events)
        now = Seconds(at)
        if ended:
            queue.finish(RequestId(ended), now)
        else:
            sent[place] += 1
            name = f"{place}-{sent[place]}"
            share = CustomerShare(CustomerId(f"c{place}"), 1.0, now)
            ticket = SlotTicket(
                RequestId(name),
                _ROUTE,
                1,
                Seconds(now + _TIMEOUT),
                Seconds(_WAIT_SHARE * (_OBJECTIVE - work)),
                share=share if shared else None,
            )
            queue.offer(ticket, now)
        queue.expire(now)
        for started in queue.start_ready(now):
            place = int(started.request_id.partition("-")[0])
            served[place] += 1
            end = now + rng.expovariate(1 / work)
            heapq.heappush(events, (end, place, started.request_id))
    return [
        one / number if number else 1.0
        for one, number in zip(served, sent, strict=True)
    ]
