"""One node's view of the fleet: servers, their home nodes and distances."""

import random
from collections.abc import Callable, Mapping
from typing import Protocol

from egretlever.core import (
    Address,
    FailureDomain,
    RegionName,
    ServerId,
    ServiceName,
)
from egretlever.placement import (
    Directory,
    Distance,
    DistanceGroups,
    HomeNotice,
    HomeSelector,
    HomeServer,
    ServersByDistance,
)
from egretlever.transport import read_clock


class Neighbours(Protocol):
    """Provides a home node with information about the other home nodes."""

    def count_homes(self, service: ServiceName) -> int | None:
        """Count the home nodes of a service, None while they are unknown."""
        ...

    def measure_host_share(self, service: ServiceName) -> float:
        """Return the share of the hosts that have a server of a service."""
        ...


class NoticeObserver(Protocol):
    """Receives the notices of home nodes."""

    def observe(self, notice: HomeNotice) -> None:
        """Record a notice."""
        ...

    def end_notices(self, server_id: ServerId) -> None:
        """Record that a home node will send no further notices."""
        ...


class FleetView:
    """Servers of the fleet and the reports of their home nodes.

    Parameters
    ----------
    selector : HomeSelector
        Chooses home nodes and holds their reports.
    find_local : callable
        Returns the server on this host, None when there is none or it is
        leaving.
    rng : random.Random
        Source of random choices.

    Attributes
    ----------
    directory : Directory
        Servers according to their rows in the platform's store.
    selector : HomeSelector
        The given selector.
    """

    def __init__(
        self,
        selector: HomeSelector,
        find_local: Callable[[], HomeServer | None],
        rng: random.Random,
    ) -> None:
        self.selector = selector
        self.directory = Directory()
        self._find_local = find_local
        self._groups = DistanceGroups(
            self.directory, selector.measure_distance, rng
        )

    def reload(self, regions: Mapping[FailureDomain, RegionName]) -> None:
        """Replace the regions of the failure domains."""
        self.selector.reload(regions)
        self._groups.clear()

    def find_servers(self, service: ServiceName) -> ServersByDistance:
        """Return the servers of a service in the directory."""
        return self._groups.find(service)

    def sample_servers(self, service: ServiceName) -> ServersByDistance:
        """Return the servers of a service that a request considers.

        The local server is among them, by its heartbeats.
        """
        groups = self._groups.find(service)
        servers = self.selector.sample(groups, read_clock())
        local = self.find_local(service)
        if local is not None:
            near = servers[Distance.OWN_DOMAIN]
            near[:] = [server for server in near if server.id != local.id]
            near.append(local)
        return servers

    def find_local(self, service: ServiceName) -> HomeServer | None:
        """Return the server on this host if it runs a service."""
        local = self._find_local()
        return local if local and local.service == service else None

    def has_local(self) -> bool:
        """Tell whether this host has a server that is not leaving."""
        return self._find_local() is not None

    def is_in_own_domain(self, server: HomeServer) -> bool:
        """Tell whether a server is in this node's failure domain."""
        distance = self.selector.measure_distance(server)
        return distance is Distance.OWN_DOMAIN

    def is_in_own_region(self, server: HomeServer) -> bool:
        """Tell whether a server is in this node's region."""
        distance = self.selector.measure_distance(server)
        return distance is not Distance.OTHER_REGION

    def is_own(self, relay: Address) -> bool:
        """Tell whether a relay address belongs to this node."""
        return self.selector.own_relay == relay

    def forget(self, server_id: ServerId) -> None:
        """Drop the reports about a server that left the directory."""
        self.selector.forget(server_id)

    def observe(self, notice: HomeNotice) -> None:
        """Record a notice."""
        self.selector.observe(notice, read_clock())

    def end_notices(self, server_id: ServerId) -> None:
        """Record that a home node will send no further notices."""
        self.selector.end_notices(server_id)

    def count_homes(self, service: ServiceName) -> int | None:
        """Count the home nodes of a service.

        Returns
        -------
        int or None
            None while the directory was not read or names none of them.
        """
        if not self.directory.complete:
            return None
        return self._groups.count(service) or None

    def measure_host_share(self, service: ServiceName) -> float:
        """Return the share of the hosts that have a server of a service."""
        return self._groups.measure_share(service)
