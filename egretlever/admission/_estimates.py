"""Smoothed rates and latencies."""

import math

from egretlever.core import Seconds


class DecayingRate:
    """Events per second, with an exponentially decaying memory.

    Parameters
    ----------
    memory : float
        Time constant of the decay in seconds.

    Examples
    --------
    >>> rate = DecayingRate(memory=1.0)
    >>> for step in range(1000):
    ...     rate.add(Seconds(step * 0.01))
    >>> round(rate.read(Seconds(9.99)))
    100
    """

    __slots__ = ("_at", "_count", "_memory")

    def __init__(self, memory: float) -> None:
        self._memory = memory
        self._count = 0.0
        self._at = 0.0

    def add(self, now: Seconds, amount: float = 1.0) -> None:
        """Count an event."""
        self._decay(now)
        self._count += amount

    def read(self, now: Seconds) -> float:
        """Return the rate in events per second."""
        self._decay(now)
        return self._count / self._memory

    def _decay(self, now: Seconds) -> None:
        if now > self._at:
            self._count *= math.exp((self._at - now) / self._memory)
            self._at = now


class LatencyEstimate:
    """Smoothed mean and deviation of a latency.

    Without samples the estimate halves every ``half_life`` seconds, so that
    an estimate too high to admit any work can't keep itself alive.

    Parameters
    ----------
    weight : float, default=0.1
        Weight of a new sample.
    half_life : float, default=1.0
        Seconds without samples in which the estimate halves.

    Examples
    --------
    >>> estimate = LatencyEstimate()
    >>> estimate.add(Seconds(0.2), Seconds(5.0))
    >>> estimate.read(Seconds(5.0)), estimate.read(Seconds(6.0))
    (0.2, 0.1)
    """

    __slots__ = ("_at", "_half_life", "_weight", "deviation_", "mean_")

    def __init__(self, weight: float = 0.1, half_life: float = 1.0) -> None:
        self._weight = weight
        self._half_life = half_life
        self._at = 0.0
        self.mean_ = 0.0
        self.deviation_ = 0.0

    def add(self, latency: Seconds, now: Seconds) -> None:
        """Take in one sample."""
        if self.mean_ == 0.0:
            self.mean_ = latency
            self.deviation_ = latency / 2
        else:
            error = latency - self.mean_
            self.mean_ += self._weight * error
            self.deviation_ += self._weight * (abs(error) - self.deviation_)
        self._at = now

    def read(self, now: Seconds, deviations: float = 0.0) -> float:
        """Return the mean in seconds, lowered by the age of the samples.

        Parameters
        ----------
        now : Seconds
            Reading of the local clock.
        deviations : float, default=0
            Number of deviations added to the mean.

        Returns
        -------
        float
            Latency in seconds, 0 without samples.
        """
        age = max(0.0, now - self._at)
        latency = self.mean_ + deviations * self.deviation_
        return float(latency * 0.5 ** (age / self._half_life))
