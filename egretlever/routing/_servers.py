"""Load of one server as a node knows it."""

import math

from egretlever.admission import ConcurrencyLimit
from egretlever.core import (
    Attempt,
    AttemptResult,
    Seconds,
    Server,
    ServerState,
    require,
)

# Weight of a new sample in the moving average of the latency. With exponential
# service times the average varies by 16%. With 0.2 it varied by 33% and
# influenced more choices than the load did.
_LATENCY_SMOOTHING = 0.05

# Half-life in which a server's latency decays towards the mean of its service
# without samples, so that a server that was slow is tried again.
_LATENCY_HALF_LIFE_S = 5.0

# Time constants of the reported load by other nodes. The latest report decays
# to its mean within a service time, clipped to these bounds, and the mean
# decays to 0 within a few seconds.
_MIN_LOAD_TIME_CONSTANT_S = 0.005
_MAX_LOAD_TIME_CONSTANT_S = 1.0
_MEAN_LOAD_TIME_CONSTANT_S = 2.0
_MEAN_LOAD_SMOOTHING = 0.1

# Least share of a cold server, so that it gets its first requests.
_MIN_RAMP = 0.02


class ServerLoad:
    """Outstanding work, limit, latency and reported load of one server.

    Parameters
    ----------
    server : Server
        Server as it was last announced.

    Attributes
    ----------
    known : bool
        Whether the server is in its pool. A removed one is kept until its
        attempts have ended.
    limit : ConcurrencyLimit
        Limit of outstanding attempts.
    outstanding : int
        Outstanding attempts of this node.
    """

    __slots__ = (
        "_draining",
        "_latency",
        "_latency_at",
        "_mean_other_load",
        "_other_load",
        "_other_load_at",
        "known",
        "limit",
        "outstanding",
        "server",
    )

    def __init__(self, server: Server) -> None:
        self.server = server
        self.outstanding = 0
        self.known = True
        self._reset(server)

    def _reset(self, server: Server) -> None:
        self.limit = ConcurrencyLimit(max(server.slots, 1), server.slots or 1)
        self._draining = server.state is ServerState.DRAINING
        self._latency = 0.0
        self._latency_at = 0.0
        self._other_load = 0.0
        self._mean_other_load = 0.0
        self._other_load_at = 0.0

    def replace(self, server: Server) -> None:
        """Apply a newer announcement.

        A new incarnation starts without learned state. Draining is final
        within an incarnation, so an announcement sent before the draining
        header of a response but received after it does not undo draining.
        """
        if server.incarnation != self.server.incarnation:
            self._reset(server)
        elif server.slots != self.server.slots:
            self.limit.set_ceiling(server.slots)
        self._draining |= server.state is ServerState.DRAINING
        self.server = server
        self.known = True

    @property
    def routable(self) -> bool:
        """Whether the server takes new requests at all."""
        return (
            self.known
            and not self._draining
            and self.server.slots > 0
            and self.server.state in (ServerState.SERVING, ServerState.COLD)
        )

    def ramp(self, warmup: float, now: Seconds) -> float:
        """Return the share of its full load that the server gets.

        The share of a cold server grows linearly to 1 over the warm-up.
        """
        left = self.server.warm_at - now
        if left <= 0.0:
            return 1.0
        if left >= warmup:
            return _MIN_RAMP
        return max(1.0 - left / warmup, _MIN_RAMP)

    def count_slots(self, ramp: float) -> int:
        """Return the limit of outstanding attempts at a share of the ramp."""
        allowed = self.limit.allowed
        if ramp < 1.0:
            return max(1, min(allowed, int(self.server.slots * ramp)))
        return allowed

    def latency(self, mean: float, now: Seconds) -> float:
        """Return the smoothed latency, which decays to the service's mean."""
        if self._latency == 0.0:
            return mean
        age = max(0.0, now - self._latency_at)
        kept = 0.5 ** (age / _LATENCY_HALF_LIFE_S)
        return mean + kept * (self._latency - mean)

    def estimate_load(self, mean: float, now: Seconds) -> float:
        """Estimate the busy slots by own attempts and the reported load.

        Parameters
        ----------
        mean : float
            Mean latency of the service in seconds.
        now : Seconds
            Current local time.

        Returns
        -------
        float
            Estimated busy slots.
        """
        if self._mean_other_load == 0.0:
            return self.outstanding
        age = max(0.0, now - self._other_load_at)
        time_constant = min(
            max(mean, _MIN_LOAD_TIME_CONSTANT_S), _MAX_LOAD_TIME_CONSTANT_S
        )
        mean_load = self._mean_other_load * math.exp(
            -age / _MEAN_LOAD_TIME_CONSTANT_S
        )
        recent = math.exp(-age / time_constant)
        return (
            self.outstanding
            + mean_load
            + recent * (self._other_load - mean_load)
        )

    def acquire(self, slots: int) -> None:
        """Occupy a slot for an attempt."""
        self.outstanding += 1
        require(
            "outstanding-within-limit",
            self.outstanding <= min(slots, self.server.slots),
            f"{self.server.id}: {self.outstanding} over {slots}",
        )

    def release(self) -> None:
        """Free the slot of an attempt that has ended."""
        self.outstanding -= 1
        require(
            "outstanding-not-negative",
            self.outstanding >= 0,
            f"{self.server.id} was released more often than placed",
        )

    def observe_load(self, busy: int, now: Seconds) -> None:
        """Record the busy slots that a response to an attempt reports."""
        self._other_load = float(max(0, busy - self.outstanding))
        self._mean_other_load += _MEAN_LOAD_SMOOTHING * (
            self._other_load - self._mean_other_load
        )
        self._other_load_at = now

    def observe(self, attempt: Attempt, now: Seconds) -> bool:
        """Record the result of an attempt.

        Returns
        -------
        bool
            Whether the server has started to drain.
        """
        if attempt.incarnation != self.server.incarnation:
            return False
        if attempt.result is AttemptResult.OK:
            self._observe_latency(attempt.latency, now)
        elif attempt.result is AttemptResult.SHED:
            # The shed attempt is still outstanding but occupies no slot.
            self.observe_load(self.server.slots + 1, now)
        if attempt.result is not AttemptResult.OVERDUE:
            self.limit.observe(
                attempt.result, attempt.latency, self.outstanding, now
            )
        was_draining = self._draining
        self._draining |= attempt.draining
        return self._draining and not was_draining

    def _observe_latency(self, latency: float, now: Seconds) -> None:
        if self._latency == 0.0:
            self._latency = latency
        self._latency += _LATENCY_SMOOTHING * (latency - self._latency)
        self._latency_at = now
