"""Doubles of what a home node and an entry node know of the fleet."""

from egretlever.core import Address, Seconds, ServerId, ServiceName
from egretlever.placement import HomeNotice


class SingleHome:
    """Information about a fleet of one home node."""

    def count_homes(self, service: ServiceName) -> int:
        """Count the home nodes of a service."""
        del service
        return 1

    def measure_host_share(self, service: ServiceName) -> float:
        """Return the share of the hosts that have a server of a service."""
        del service
        return 1.0

    def measure_retry_usage(
        self, service: ServiceName, own: float
    ) -> float | None:
        """Return None: no other home node reports its usage."""
        del service, own
        return None


class NoticeRecorder:
    """Records the notices that an entry node receives."""

    def __init__(self) -> None:
        self.received: list[HomeNotice] = []
        self.lost: list[ServerId] = []

    def observe(self, notice: HomeNotice) -> None:
        """Record a notice."""
        self.received.append(notice)

    def end_notices(self, server_id: ServerId) -> None:
        """Record that a home node sends no further notices."""
        self.lost.append(server_id)


class NoSource:
    """Chooses no node to follow, as on the only node of a region."""

    def choose(self, now: Seconds) -> Address | None:
        """Return None: this node reads the store itself."""
        del now
        return None

    def exclude(self, relay: Address, now: Seconds) -> None:
        """Ignore a node that failed."""

    def observe_change(self, relay: Address) -> None:
        """Ignore a change of a node."""
