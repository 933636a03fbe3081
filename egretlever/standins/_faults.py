"""Fault injection of the simulated backend server."""

import random

from egretlever.core import Seconds
from egretlever.schema import standins_pb2


class FaultSchedule:
    """Tells which faults apply to a request of the simulated server.

    Parameters
    ----------
    randomness : random.Random
        Draws whether a fault with a given probability occurs.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._faults = standins_pb2.BackendFaults()
        self._set_at = Seconds(0.0)

    def replace(self, faults: standins_pb2.BackendFaults, now: Seconds) -> None:
        """Replace all faults; a flap period starts now."""
        self._faults = faults
        self._set_at = now

    def find_active(self, now: Seconds) -> standins_pb2.BackendFaults:
        """Find the faults in force; none in the off phase of a flap."""
        period = self._faults.flap_period_s
        if period and int((now - self._set_at) / period) % 2:
            return standins_pb2.BackendFaults()
        return self._faults

    def draw(self, share: float) -> bool:
        """Draw whether a fault with a given probability occurs."""
        return share > 0 and self._randomness.random() < share
