"""Polls the admin pages of all nodes during the randomised run."""

import time
from collections.abc import Mapping

import curio

from benchmarks._soak_events import Events
from benchmarks._soak_fleet import SoakFleet
from benchmarks._soak_history import History, Sample
from egretlever.schema import admin_pb2, gossip_pb2

_INTERVAL = 1.0  # seconds between readings of one node
_METRICS_EVERY = 5  # readings of the status per reading of the metrics
_INVARIANTS = "egretlever_invariant_failures_total{"
_TOLERANCE = 1e-6  # slots; shares such as 0.6 are not exact in binary


class NodeMonitor:
    """Samples the status of each node and checks each sample.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet to read.
    history : History
        Record to which samples and violations are added.
    events : Events
        Events, which know the processes that they have stopped.
    floors : mapping of str to float
        Floor share by service.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        history: History,
        events: Events,
        floors: Mapping[str, float],
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._events = events
        self._floors = floors

    async def run(self, node: str) -> None:
        """Sample a node until cancelled."""
        readings = 0
        while True:
            await self.sample(node)
            if readings % _METRICS_EVERY == 0:
                await self.check_metrics(node)
            readings += 1
            if node not in self._events.down and not self._fleet.is_running(
                node
            ):
                self._history.report("no node ends by itself", node)
            await curio.sleep(_INTERVAL)

    async def sample(self, node: str) -> bool:
        """Read the status of a node; return whether it is ready."""
        requested_at = time.time()
        status = await self._fleet.fetch_status(node)
        answered_at = time.time()
        if status is None:
            self._history.samples.append(
                Sample(node, requested_at, answered_at, None)
            )
            return False
        self._history.samples.append(
            Sample(
                node,
                requested_at,
                answered_at,
                status.ready,
                status.catalogue_version,
            )
        )
        for breach in find_floor_breaches(status, self._floors):
            self._history.report(
                "ejection leaves the floor",
                f"{node} {requested_at:.3f} {breach}",
            )
        return status.ready

    async def check_metrics(self, node: str) -> None:
        """Check a node's count of broken invariants."""
        for line in (await self._fleet.fetch_metrics(node)).splitlines():
            if line.startswith(_INVARIANTS) and float(line.split()[-1]) > 0:
                self._history.report("no invariant breaks", f"{node} {line}")


def find_floor_breaches(
    status: admin_pb2.FleetStatus, floors: Mapping[str, float]
) -> list[str]:
    """Find services whose ejections leave less capacity than the floor.

    Parameters
    ----------
    status : FleetStatus
        Status of the fleet as seen by a node.
    floors : mapping of str to float
        Floor share by service.

    Returns
    -------
    list of str
        One line for each violation.

    Examples
    --------
    >>> status = admin_pb2.FleetStatus()
    >>> for weight in (1.0, 0.0):
    ...     _ = status.servers.add(
    ...         service="a", state="SERVING", slots=4, weight=weight
    ...     )
    >>> find_floor_breaches(status, {"a": 0.5})
    []
    >>> find_floor_breaches(status, {"a": 0.6})
    ['a: 4 of 8 slots remain of a floor of 0.6']
    """
    breaches = []
    for service, share in floors.items():
        servers = [item for item in status.servers if item.service == service]
        known_slots = sum(item.slots for item in servers)
        serving = [item for item in servers if item.state == gossip_pb2.SERVING]
        remaining_slots = sum(item.slots for item in serving if item.weight > 0)
        ejected = any(item.weight <= 0 for item in serving)
        if ejected and remaining_slots < share * known_slots - _TOLERANCE:
            breaches.append(
                f"{service}: {remaining_slots} of {known_slots} slots remain"
                f" of a floor of {share:g}"
            )
    return breaches
