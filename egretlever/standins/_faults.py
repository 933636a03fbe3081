"""Faults of the backend server stand-in, as they apply at one moment."""

import random

from egretlever.core import Seconds
from egretlever.schema import standins_pb2


class FaultSchedule:
    """Decides which faults a request of the stand-in meets.

    Parameters
    ----------
    randomness : random.Random
        Source of the shares.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._faults = standins_pb2.BackendFaults()
        self._since = Seconds(0.0)

    def replace(self, faults: standins_pb2.BackendFaults, now: Seconds) -> None:
        """Replace all faults."""
        self._faults = faults
        self._since = now

    def find(self, now: Seconds) -> standins_pb2.BackendFaults:
        """Find the faults in force; none in the quiet half of a flap."""
        period = self._faults.flap_period_s
        if period and int((now - self._since) / period) % 2:
            return standins_pb2.BackendFaults()
        return self._faults

    def draw(self, share: float) -> bool:
        """Draw whether a fault of a given share happens now."""
        return share > 0 and self._randomness.random() < share
