"""Clients of a relay soak run that make processes hold memory."""

import random

import curio

from benchmarks._relay_soak_callers import LARGE_PATH
from benchmarks._relay_soak_records import Records
from egretlever.core import Address
from egretlever.testing._untrusted_clients import (
    UntrustedClients,
    ask_without_reading,
    send_chunks,
    send_declared,
    send_endless_head,
)

MEMORY_MB = 128
MAX_OPEN_FILES = 400
# Requests whose answers are not read, and the size of these answers.
UNREAD_PREFIX = "unread-"
UNREAD_BYTES = 900_000
_MIB = 1 << 20
_CLIENTS = (2, 12)
_HOLD_TIMES = (0.5, 4.0)  # seconds
# About half of the share that ordinary callers get without untrusted clients:
# servers have too few slots for all, and the faults of the run add to it.
_MIN_ANSWERED_SHARE = 0.2
_FORMS = (
    lambda: send_declared(LARGE_PATH, 16 * _MIB, _MIB),
    lambda: send_declared("/orders/1", 1000, 16),
    lambda: send_chunks("/orders/1", 4 * _MIB, 4096),
    lambda: send_chunks("/orders/1", 1000, 2),
    lambda: send_endless_head(16000),
    lambda: ask_without_reading(f"{LARGE_PATH}900000", 4, host="shop.example"),
)


async def run_untrusted(clients: Address, rng: random.Random) -> None:
    """Run one group of untrusted clients after another.

    Parameters
    ----------
    clients : Address
        Address of the node for clients.
    rng : random.Random
        Source of the forms, counts and times.
    """
    group = UntrustedClients(clients)
    try:
        while True:
            form = rng.choice(_FORMS)
            await group.run(rng.randint(*_CLIENTS), form)
            await curio.sleep(rng.uniform(*_HOLD_TIMES))
            await group.close()
    finally:
        await group.close()


def find_starved_hosts(records: Records) -> list[str]:
    """Find hosts whose ordinary callers get too few answers."""
    answered: dict[str, list[bool]] = {}
    for sent in records.sent:
        answered.setdefault(sent.host, []).append(sent.status == 200)
    return [
        f"{host}: only {sum(found)} of {len(found)} requests were answered"
        for host, found in answered.items()
        if sum(found) < _MIN_ANSWERED_SHARE * len(found)
    ]
