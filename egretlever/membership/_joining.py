"""Joining the fleet through seeds or the address sample, and readiness."""

import random
from collections.abc import Sequence

from egretlever.core import Address, Seconds
from egretlever.membership._interfaces import AddressSample

SEEDS_PER_ROUND = 2
INITIAL_JOIN_INTERVAL_S = 0.4
MAX_JOIN_INTERVAL_S = 1.0
# Time for seeds to answer before the address sample is requested.
SEED_TIMEOUT_S = 2.0
SAMPLE_JITTER_S = 3.0
SAMPLE_INTERVAL_S = 10.0
NO_PEERS_TIMEOUT_S = 15.0
MAX_ADDRESSES = 32
READY_FRACTION = 0.98


class Joining:
    """Finds the first peers and decides when the node is ready.

    Parameters
    ----------
    address : Address
        Gossip address of this node, which is never contacted.
    seeds : sequence of Address
        Gossip addresses of other nodes, from the settings.
    sample : AddressSample or None
        Requested only while no seed answers.
    rng : random.Random
        Source of the choices and the jitter.
    """

    def __init__(
        self,
        address: Address,
        seeds: Sequence[Address],
        sample: AddressSample | None,
        rng: random.Random,
    ) -> None:
        self._address = address
        self.seeds = [seed for seed in seeds if seed != address]
        self._sample = sample
        self._rng = rng
        self._sample_addresses: list[Address] = []
        self._started: Seconds | None = None
        self._next_sample_at = 0.0
        self._next_join_at = 0.0
        self._join_interval = INITIAL_JOIN_INTERVAL_S
        self._population = 0
        self.answered = False

    def receive_address_sample(self, addresses: Sequence[Address]) -> None:
        """Store the requested sample of live addresses."""
        fresh = [a for a in addresses if a != self._address]
        self._sample_addresses = fresh[:MAX_ADDRESSES]

    def contacts(self, now: Seconds) -> list[Address]:
        """Return the addresses to contact in this round."""
        if self._started is None:
            self._started = now
            jitter = self._rng.uniform(0, SAMPLE_JITTER_S)
            self._next_sample_at = now + SEED_TIMEOUT_S + jitter
        if self.answered:
            return []
        if self._sample is not None and now >= self._next_sample_at:
            jitter = self._rng.uniform(0, SAMPLE_JITTER_S)
            self._next_sample_at = now + SAMPLE_INTERVAL_S + jitter
            self._sample.request(now)
        if now < self._next_join_at:
            return []
        # Seeds need some seconds to answer many nodes that join at once.
        self._next_join_at = now + self._join_interval * self._rng.uniform(
            0.8, 1.2
        )
        self._join_interval = min(MAX_JOIN_INTERVAL_S, 2 * self._join_interval)
        chosen = [*self.seeds, *self._sample_addresses]
        self._rng.shuffle(chosen)
        return chosen[:SEEDS_PER_ROUND]

    def note_answer(self, population: int) -> None:
        """Record an answer, with the number of records that the peer holds."""
        self.answered = True
        # Decays, so that one wrong number does not delay readiness for good.
        self._population = max(population, int(self._population * 0.9))

    def is_joined(self, records: int, missing: int, now: Seconds) -> bool:
        """Return whether nearly all records are known.

        A node with neither seeds nor sample, or one without an answer for
        15 s, is taken to be the first of its fleet.
        """
        if not self.answered:
            timed_out = (
                self._started is not None
                and now - self._started >= NO_PEERS_TIMEOUT_S
            )
            return timed_out or not (self.seeds or self._sample)
        known = records >= READY_FRACTION * self._population
        return known and missing <= (1 - READY_FRACTION) * records
