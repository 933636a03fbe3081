"""Measured lateness of the processes of a relay soak run."""

from collections.abc import Callable, Sequence

import curio

from benchmarks._relay_soak_hosts import SoakHost
from benchmarks._relay_soak_records import AppliedEvent
from egretlever.core import Seconds
from egretlever.transport import read_clock

# Kind of a time in which a process came late to its work.
LATE = "late"
_PROBE_INTERVAL = 0.2  # seconds
_OWN_INTERVAL = 0.05  # seconds
_MAX_LATENESS = Seconds(0.3)


class LatenessMonitor:
    """Records when a relay process or this process came late to its work.

    Parameters
    ----------
    hosts : sequence of SoakHost
        Hosts whose readiness is asked for.
    record : callable
        Called with each event that was found.
    """

    def __init__(
        self,
        hosts: Sequence[SoakHost],
        record: Callable[[AppliedEvent], None],
    ) -> None:
        self._hosts = hosts
        self._record = record

    async def run(self) -> None:
        """Measure until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._watch_own_turns)
            for host in self._hosts:
                await group.spawn(self._watch_host, host)

    async def _watch_host(self, host: SoakHost) -> None:
        while True:
            begun = read_clock()
            await host.is_ready()
            if read_clock() > begun + _MAX_LATENESS:
                self._record(AppliedEvent(LATE, host.name, begun, read_clock()))
            await curio.sleep(_PROBE_INTERVAL)

    async def _watch_own_turns(self) -> None:
        while True:
            begun = read_clock()
            await curio.sleep(_OWN_INTERVAL)
            if read_clock() > begun + _OWN_INTERVAL + _MAX_LATENESS:
                self._record(AppliedEvent(LATE, "", begun, read_clock()))
