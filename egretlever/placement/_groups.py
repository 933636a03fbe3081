"""Servers of each service, grouped by their distance from the entry node."""

import random
from collections.abc import Callable, Mapping, Sequence

from egretlever.core import ServiceName
from egretlever.placement._directory import Directory
from egretlever.placement._records import HomeServer
from egretlever.placement._search import Distance

ServersByDistance = Mapping[Distance, Sequence[HomeServer]]


class DistanceGroups:
    """Groups the servers of the directory, anew only when it has changed.

    Requests come far more often than changes, and a service may have hundreds
    of servers.

    Parameters
    ----------
    directory : Directory
        Known servers.
    measure_distance : callable
        Returns the distance of a server's home node.
    rng : random.Random
        Source of the order within each group.
    """

    def __init__(
        self,
        directory: Directory,
        measure_distance: Callable[[HomeServer], Distance],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._measure_distance = measure_distance
        self._rng = rng
        self._groups: dict[ServiceName, ServersByDistance] = {}
        self._hosts_nearby: int | None = None
        self._revision = directory.revision

    def find(self, service: ServiceName) -> ServersByDistance:
        """Return the servers of a service by distance, in random order.

        Every distance is present, with an empty group if need be.
        """
        if self._revision != self._directory.revision:
            self.clear()
        groups = self._groups.get(service)
        if groups is None:
            groups = self._groups[service] = self._build(service)
        return groups

    def _build(self, service: ServiceName) -> ServersByDistance:
        groups: dict[Distance, list[HomeServer]] = {
            distance: [] for distance in Distance
        }
        for server in self._directory.list_servers(service):
            groups[self._measure_distance(server)].append(server)
        for group in groups.values():
            self._rng.shuffle(group)
        return groups

    def count(self, service: ServiceName) -> int:
        """Count the servers of a service."""
        return sum(map(len, self.find(service).values()))

    def measure_share(self, service: ServiceName) -> float:
        """Return the share of all servers that belong to a service.

        The share in the own failure domain is taken when it is larger.
        """
        own = self.find(service)[Distance.OWN_DOMAIN]
        if self._hosts_nearby is None:
            self._hosts_nearby = sum(
                self._measure_distance(server) is Distance.OWN_DOMAIN
                for server in self._directory.list_all()
            )
        share = self.count(service) / max(1, len(self._directory))
        return max(share, len(own) / max(1, self._hosts_nearby))

    def clear(self) -> None:
        """Forget the groups, since distances have changed."""
        self._groups.clear()
        self._hosts_nearby = None
        self._revision = self._directory.revision
