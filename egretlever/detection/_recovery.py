"""Probes, readmission and forgiveness of bad servers."""

import math
from collections.abc import Iterator

from egretlever.core import Seconds, ServerId
from egretlever.detection._standings import (
    FORGIVE,
    PROBE_INTERVAL,
    PROBES_NEEDED,
    RAMP,
    SILENT_GRACE,
    Stage,
    Standing,
)
from egretlever.detection._types import Change

# A probe whose result never arrives is given up after this time.
_LOST_PROBE = 2.0
_SUSPICION_INTERVAL = 0.3
# Probes on suspicion, of all servers together. At 25 ms each they cost the
# servers a tenth of a slot per node.
_SUSPICION_RATE = 4.0
_SUSPICION_BURST = 8.0


class ProbePacer:
    """Keeps one probe at a time per server and bounds suspicion probes."""

    def __init__(self) -> None:
        self._open: dict[ServerId, float] = {}
        self._last: dict[ServerId, float] = {}
        self._tokens = _SUSPICION_BURST
        self._at = 0.0

    def is_open(self, server_id: ServerId, now: float) -> bool:
        """Tell whether a probe of a server is under way."""
        return now - self._open.get(server_id, -math.inf) < _LOST_PROBE

    def start(self, server_id: ServerId, now: float) -> bool:
        """Note the start of a probe; false while another is under way."""
        if self.is_open(server_id, now):
            return False
        self._open[server_id] = now
        return True

    def start_suspicion(self, server_id: ServerId, now: float) -> bool:
        """Start a probe on suspicion if the pace allows one."""
        if now - self._last.get(server_id, -math.inf) < _SUSPICION_INTERVAL:
            return False
        elapsed = max(0.0, now - self._at)
        self._tokens = min(
            _SUSPICION_BURST, self._tokens + elapsed * _SUSPICION_RATE
        )
        self._at = now
        if self._tokens < 1 or not self.start(server_id, now):
            return False
        self._tokens -= 1
        self._last.pop(server_id, None)
        self._last[server_id] = now
        if len(self._last) > 64:
            del self._last[next(iter(self._last))]
        return True

    def finish(self, server_id: ServerId) -> None:
        """Note the result of a probe."""
        self._open.pop(server_id, None)

    def expire(self, now: float) -> None:
        """Forget probes whose result never arrived."""
        for server_id, at in list(self._open.items()):
            if now - at >= _LOST_PROBE:
                del self._open[server_id]


def advance_standing(
    standing: Standing, probes_itself: bool, now: Seconds
) -> Iterator[Change | None]:
    """Move one bad server forward; ``None`` asks for a probe.

    Parameters
    ----------
    standing : Standing
        State of the server, changed in place.
    probes_itself : bool
        Whether this node probes the server.
    now : Seconds
        Reading of the clock.
    """
    if standing.stage is Stage.RAMPING:
        if now - standing.since >= RAMP:
            standing.stage = Stage.WATCHED
            standing.since = now
            yield Change.HEALTHY
        return
    if not standing.is_bad or now < standing.until:
        return
    if not probes_itself:
        if now >= standing.until + SILENT_GRACE:
            standing.start_ramp(now)
            yield Change.RAMPING
        return
    if not standing.probing:
        standing.probing = True
        yield Change.PROBING
    if now >= standing.next_probe:
        yield None


def is_forgiven(standing: Standing, now: Seconds) -> bool:
    """Tell whether a server was healthy long enough to forget its strikes."""
    long_ago = now - standing.since >= FORGIVE
    return standing.stage is Stage.WATCHED and long_ago


def finish_probe(standing: Standing, passed: bool, now: Seconds) -> bool:
    """Take in a probe's result; true when the server is readmitted."""
    standing.next_probe = now + (PROBE_INTERVAL if passed else 1.0)
    standing.passed = standing.passed + 1 if passed else 0
    if not standing.is_bad or standing.passed < PROBES_NEEDED:
        return False
    if now < standing.until:
        return False
    standing.start_ramp(now)
    return True
