"""Probes and readmission of bad servers."""

import math
from collections.abc import Iterator

from egretlever.core import Seconds, ServerId
from egretlever.detection._ejection_states import (
    EJECTION_HISTORY_S,
    PROBE_INTERVAL_S,
    PROBES_NEEDED,
    RAMP_DURATION_S,
    RECOVERY_VERDICT_TIMEOUT_S,
    EjectionState,
    Stage,
)
from egretlever.detection._types import EjectionChange

# A probe whose result does not arrive within this time counts as lost.
_PROBE_RESULT_TIMEOUT_S = 2.0
_SUSPICION_INTERVAL_S = 0.3
# Limit for suspicion probes of all servers together. At 25 ms each they use a
# tenth of a server slot per node.
_SUSPICION_PROBES_PER_S = 4.0
_SUSPICION_BURST = 8.0


class ProbeLimiter:
    """Limits concurrent probes per server and the rate of suspicion probes."""

    def __init__(self) -> None:
        self._in_flight: dict[ServerId, float] = {}
        self._last_suspicion: dict[ServerId, float] = {}
        self._tokens = _SUSPICION_BURST
        self._refilled_at = 0.0

    def is_in_flight(self, server_id: ServerId, now: float) -> bool:
        """Return whether a probe of a server is in flight."""
        return (
            now - self._in_flight.get(server_id, -math.inf)
            < _PROBE_RESULT_TIMEOUT_S
        )

    def start(self, server_id: ServerId, now: float) -> bool:
        """Record the start of a probe; false while another is in flight."""
        if self.is_in_flight(server_id, now):
            return False
        self._in_flight[server_id] = now
        return True

    def start_suspicion_probe(self, server_id: ServerId, now: float) -> bool:
        """Record the start of a suspicion probe; false if over the limit."""
        if (
            now - self._last_suspicion.get(server_id, -math.inf)
            < _SUSPICION_INTERVAL_S
        ):
            return False
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(
            _SUSPICION_BURST, self._tokens + elapsed * _SUSPICION_PROBES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1 or not self.start(server_id, now):
            return False
        self._tokens -= 1
        self._last_suspicion.pop(server_id, None)
        self._last_suspicion[server_id] = now
        if len(self._last_suspicion) > 64:
            del self._last_suspicion[next(iter(self._last_suspicion))]
        return True

    def finish(self, server_id: ServerId) -> None:
        """Record that a probe has ended."""
        self._in_flight.pop(server_id, None)

    def expire(self, now: float) -> None:
        """Discard probes whose result did not arrive in time."""
        for server_id, at in list(self._in_flight.items()):
            if now - at >= _PROBE_RESULT_TIMEOUT_S:
                del self._in_flight[server_id]


def advance_ejection(
    ejection: EjectionState, is_prober: bool, now: Seconds
) -> Iterator[EjectionChange | None]:
    """Advance the state of one bad server; ``None`` requests a probe.

    Parameters
    ----------
    ejection : EjectionState
        State of the server, modified in place.
    is_prober : bool
        Whether this node probes the server.
    now : Seconds
        Reading of the clock.
    """
    if ejection.stage is Stage.RAMPING:
        if now - ejection.stage_since >= RAMP_DURATION_S:
            ejection.stage = Stage.PROBATION
            ejection.stage_since = now
            yield EjectionChange.HEALTHY
        return
    if not ejection.is_bad or now < ejection.ejected_until:
        return
    if not is_prober:
        if now >= ejection.ejected_until + RECOVERY_VERDICT_TIMEOUT_S:
            ejection.start_ramp(now)
            yield EjectionChange.RAMPING
        return
    if not ejection.probing:
        ejection.probing = True
        yield EjectionChange.PROBING
    if now >= ejection.next_probe:
        yield None


def is_history_expired(ejection: EjectionState, now: Seconds) -> bool:
    """Return whether the past ejections of a server no longer count."""
    expired = now - ejection.stage_since >= EJECTION_HISTORY_S
    return ejection.stage is Stage.PROBATION and expired


def finish_probe(ejection: EjectionState, passed: bool, now: Seconds) -> bool:
    """Record the result of a probe; true when the server is readmitted."""
    ejection.next_probe = now + (PROBE_INTERVAL_S if passed else 1.0)
    ejection.passed_probes = ejection.passed_probes + 1 if passed else 0
    if not ejection.is_bad or ejection.passed_probes < PROBES_NEEDED:
        return False
    if now < ejection.ejected_until:
        return False
    ejection.start_ramp(now)
    return True
