"""Exponentially smoothed rates and latencies."""

import math

from egretlever.core import Seconds


class DecayingRate:
    """Event rate with exponential decay.

    Parameters
    ----------
    time_constant : float
        Time constant of the decay in seconds.

    Examples
    --------
    >>> rate = DecayingRate(time_constant=1.0)
    >>> for step in range(1000):
    ...     rate.add(Seconds(step * 0.01))
    >>> round(rate.read(Seconds(9.99)))
    100
    """

    __slots__ = ("_updated_at", "_count", "_time_constant")

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, now: Seconds, amount: float = 1.0) -> None:
        """Count an event."""
        self._decay(now)
        self._count += amount

    def read(self, now: Seconds) -> float:
        """Return the rate in events per second."""
        self._decay(now)
        return self._count / self._time_constant

    def _decay(self, now: Seconds) -> None:
        if now > self._updated_at:
            self._count *= math.exp(
                (self._updated_at - now) / self._time_constant
            )
            self._updated_at = now


class LatencyEstimate:
    """Smoothed mean and mean deviation of a latency.

    Without samples the estimate halves every ``half_life`` seconds. Otherwise
    an estimate too high to admit any work would never get a sample that lowers
    it.

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

    __slots__ = ("_updated_at", "_half_life", "_weight", "deviation_", "mean_")

    def __init__(self, weight: float = 0.1, half_life: float = 1.0) -> None:
        self._weight = weight
        self._half_life = half_life
        self._updated_at = 0.0
        self.mean_ = 0.0
        self.deviation_ = 0.0

    def add(self, latency: Seconds, now: Seconds) -> None:
        """Add one sample."""
        if self.mean_ == 0.0:
            self.mean_ = latency
            self.deviation_ = latency / 2
        else:
            error = latency - self.mean_
            self.mean_ += self._weight * error
            self.deviation_ += self._weight * (abs(error) - self.deviation_)
        self._updated_at = now

    def read(self, now: Seconds, deviations: float = 0.0) -> float:
        """Return the latency in seconds, decayed by the age of the last sample.

        Parameters
        ----------
        now : Seconds
            Reading of the local clock.
        deviations : float, default=0
            Number of mean deviations added to the mean.

        Returns
        -------
        float
            Latency in seconds, 0 without samples.
        """
        age = max(0.0, now - self._updated_at)
        latency = self.mean_ + deviations * self.deviation_
        return float(latency * 0.5 ** (age / self._half_life))
