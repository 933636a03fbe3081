"""Processor time of a home node's queue for one request.

Run ``python -m benchmarks.slot_queue``. A request is offered, waits behind the
others, starts and ends; times are processor time of one thread.
"""

import dataclasses
import time
from collections.abc import Callable

from egretlever.core import CustomerId, RequestId, Seconds
from egretlever.home import CustomerShare, SlotQueue, SlotTicket
from egretlever.testing.relay_builders import build_slot_ticket

_REQUESTS = 20_000
_WAITING = (0, 8, 32)
_SLOTS = 4
_CUSTOMERS = 81


def _build_plain(number: int) -> SlotTicket:
    return build_slot_ticket(f"r-{number}", deadline=Seconds(1e9))


def _build_shared(number: int) -> SlotTicket:
    customer = CustomerId(f"c{number * 31 % _CUSTOMERS}")
    share = CustomerShare(customer, 1.0, Seconds(number / 100))
    return dataclasses.replace(_build_plain(number), share=share)


def _measure(build: Callable[[int], SlotTicket], waiting: int) -> float:
    """Return the seconds of processor time for each request."""
    queue = SlotQueue(_SLOTS)
    tickets = [build(number) for number in range(_REQUESTS)]
    running: list[RequestId] = []
    begun = time.process_time()
    for number, ticket in enumerate(tickets):
        now = Seconds(number / 100)
        queue.offer(ticket, now)
        running += [one.request_id for one in queue.start_ready(now)]
        if number >= _SLOTS - 1 + waiting:
            queue.finish(running.pop(0), now)
    return (time.process_time() - begun) / _REQUESTS


_BUILDERS = {"no customers": _build_plain, "customers": _build_shared}


def main() -> None:
    """Print the time for each request, by the number that wait."""
    for waiting in _WAITING:
        for name, build in _BUILDERS.items():
            best = min(_measure(build, waiting) for _ in range(3))
            print(f"{waiting:3} waiting, {name}: {best * 1e6:.1f} us")


if __name__ == "__main__":
    main()
