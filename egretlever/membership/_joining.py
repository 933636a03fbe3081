"""Start of a member: seeds, the address sample, and readiness."""

import random
from collections.abc import Sequence

from egretlever.core import Address, Seconds
from egretlever.membership._interfaces import AddressSample

SEEDS_PER_ROUND = 2
FIRST_GREETING_PAUSE = 0.4
MAX_GREETING_PAUSE = 1.0
# Seeds get this long to answer before the sample kept elsewhere is read.
SEED_PATIENCE = 2.0
SAMPLE_JITTER = 3.0
SAMPLE_INTERVAL = 10.0
ALONE_TIME = 15.0
MAX_ADDRESSES = 32
READY_SHARE = 0.98


class Joining:
    """Finds the first peers and tells when the node may call itself ready.

    Parameters
    ----------
    address : Address
        Gossip address of this node, never contacted.
    seeds : sequence of Address
        Gossip addresses of other nodes, from the settings.
    sample : AddressSample or None
        Asked only while no seed answers.
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
        self._offered: list[Address] = []
        self._started: Seconds | None = None
        self._ask_at = 0.0
        self._greet_at = 0.0
        self._pause = FIRST_GREETING_PAUSE
        self._population = 0
        self.answered = False

    def offer_addresses(self, addresses: Sequence[Address]) -> None:
        """Take live addresses from the sample kept elsewhere."""
        fresh = [a for a in addresses if a != self._address]
        self._offered = fresh[:MAX_ADDRESSES]

    def contacts(self, now: Seconds) -> list[Address]:
        """Return the addresses to contact in this round."""
        if self._started is None:
            self._started = now
            jitter = self._rng.uniform(0, SAMPLE_JITTER)
            self._ask_at = now + SEED_PATIENCE + jitter
        if self.answered:
            return []
        if self._sample is not None and now >= self._ask_at:
            jitter = self._rng.uniform(0, SAMPLE_JITTER)
            self._ask_at = now + SAMPLE_INTERVAL + jitter
            self._sample.request(now)
        if now < self._greet_at:
            return []
        # Seeds that many nodes greet together answer them in some seconds.
        self._greet_at = now + self._pause * self._rng.uniform(0.8, 1.2)
        self._pause = min(MAX_GREETING_PAUSE, 2 * self._pause)
        chosen = [*self.seeds, *self._offered]
        self._rng.shuffle(chosen)
        return chosen[:SEEDS_PER_ROUND]

    def note_answer(self, population: int) -> None:
        """Take the number of records that a peer holds."""
        self.answered = True
        # Decays, so that one wrong figure does not hold the node back.
        self._population = max(population, int(self._population * 0.9))

    def is_joined(self, records: int, missing: int, now: Seconds) -> bool:
        """Return whether nearly all records are known.

        A node with no seeds, or alone for 15 s, is the first of its fleet.
        """
        if not self.answered:
            alone = (
                self._started is not None and now - self._started >= ALONE_TIME
            )
            return alone or not (self.seeds or self._sample)
        known = records >= READY_SHARE * self._population
        return known and missing <= (1 - READY_SHARE) * records
