"""What a node knows about the load of one server."""

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

# The smoothed latency of exponential service times varies by 16%. With 0.2 it
# varied by 33% and decided more choices than the load did.
_SMOOTHING = 0.05

# Seconds without samples in which the latency of a server moves halfway back
# to the mean of its service, so that a server that was slow is tried again.
_LATENCY_HALF_LIFE_S = 5.0

# A report about the load of other nodes moves back to its mean within a
# service time, and the mean itself is forgotten after a few seconds.
_SHORTEST_HINT_MEMORY_S = 0.005
_LONGEST_HINT_MEMORY_S = 1.0
_MEAN_LOAD_MEMORY_S = 2.0
_MEAN_LOAD_SMOOTHING = 0.1

# The first part of the ramp, so that a cold server gets its first requests.
_LEAST_RAMP = 0.02


class ServerLoad:
    """Outstanding work, limit, latency and reported load of one server.

    Parameters
    ----------
    server : Server
        The server as announced last.
    """

    __slots__ = (
        "_draining",
        "_latency",
        "_latency_at",
        "_mean_others",
        "_others",
        "_others_at",
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
        self._others = 0.0
        self._mean_others = 0.0
        self._others_at = 0.0

    def replace(self, server: Server) -> None:
        """Take in a newer announcement.

        A new incarnation starts without learned state. Within an incarnation
        a drain is final, so an announcement that was overtaken by the
        draining header of a response doesn't revive the server.
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
        """Whether the server takes new work at all."""
        return (
            self.known
            and not self._draining
            and self.server.slots > 0
            and self.server.state in (ServerState.SERVING, ServerState.COLD)
        )

    def ramp(self, warmup: float, now: Seconds) -> float:
        """Return the part of its full share that the server takes."""
        left = self.server.warm_at - now
        if left <= 0.0:
            return 1.0
        if left >= warmup:
            return _LEAST_RAMP
        return max(1.0 - left / warmup, _LEAST_RAMP)

    def count_slots(self, ramp: float) -> int:
        """Return the attempts that may be outstanding at a ramp."""
        allowed = self.limit.allowed
        if ramp < 1.0:
            return max(1, min(allowed, int(self.server.slots * ramp)))
        return allowed

    def latency(self, mean: float, now: Seconds) -> float:
        """Return the smoothed latency, drawn to the service's mean by age."""
        if self._latency == 0.0:
            return mean
        age = max(0.0, now - self._latency_at)
        kept = 0.5 ** (age / _LATENCY_HALF_LIFE_S)
        return mean + kept * (self._latency - mean)

    def estimate_load(self, mean: float, now: Seconds) -> float:
        """Return the busy slots: own attempts and the reported others.

        Parameters
        ----------
        mean : float
            Mean latency of the service in seconds.
        now : Seconds
            Reading of the local clock.

        Returns
        -------
        float
            Estimated busy slots.
        """
        if self._mean_others == 0.0:
            return self.outstanding
        age = max(0.0, now - self._others_at)
        memory = min(max(mean, _SHORTEST_HINT_MEMORY_S), _LONGEST_HINT_MEMORY_S)
        usual = self._mean_others * math.exp(-age / _MEAN_LOAD_MEMORY_S)
        recent = math.exp(-age / memory)
        return self.outstanding + usual + recent * (self._others - usual)

    def hold(self, slots: int) -> None:
        """Count an attempt as outstanding."""
        self.outstanding += 1
        require(
            "outstanding-within-limit",
            self.outstanding <= min(slots, self.server.slots),
            f"{self.server.id}: {self.outstanding} over {slots}",
        )

    def release(self) -> None:
        """Count an attempt as ended."""
        self.outstanding -= 1
        require(
            "outstanding-not-negative",
            self.outstanding >= 0,
            f"{self.server.id} was released more often than placed",
        )

    def hint(self, busy: int, now: Seconds) -> None:
        """Take in the busy slots reported with a response to an attempt."""
        self._others = float(max(0, busy - self.outstanding))
        self._mean_others += _MEAN_LOAD_SMOOTHING * (
            self._others - self._mean_others
        )
        self._others_at = now

    def observe(self, attempt: Attempt, now: Seconds) -> bool:
        """Take in the result of an attempt.

        Returns
        -------
        bool
            Whether the server stopped being routable.
        """
        if attempt.incarnation != self.server.incarnation:
            return False
        if attempt.result is AttemptResult.OK:
            self._observe_latency(attempt.latency, now)
        elif attempt.result is AttemptResult.SHED:
            # The shed attempt is outstanding but holds no slot.
            self.hint(self.server.slots + 1, now)
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
        self._latency += _SMOOTHING * (latency - self._latency)
        self._latency_at = now
