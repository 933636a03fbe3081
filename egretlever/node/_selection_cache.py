"""Short-lived cache of the servers that routing may use for each service."""

import dataclasses
import math

from egretlever.catalogue import CatalogueState
from egretlever.core import Seconds, Server, ServerId, ServerState, ServiceName
from egretlever.detection import Detector, Selection

_CACHE_LIFETIME = 0.05  # seconds; a longer time would delay ejections
_EMPTY = Selection({})


@dataclasses.dataclass(slots=True)
class _CacheEntry:
    selection: Selection
    expires_at: Seconds


class SelectionCache:
    """Asks the detector which servers of a service are eligible.

    Parameters
    ----------
    catalogue : CatalogueState
        Provides the share of each service's slots that must stay in service.
    detector : Detector
        Decides which servers are ejected while the floor allows it.
    """

    def __init__(self, catalogue: CatalogueState, detector: Detector) -> None:
        self._catalogue = catalogue
        self._detector = detector
        self._servers: dict[ServiceName, dict[ServerId, Server]] = {}
        self._cache: dict[ServiceName, _CacheEntry] = {}

    def update(self, server: Server) -> None:
        """Add or update a server; a stopped one is removed."""
        servers = self._servers.setdefault(server.service, {})
        if server.state is ServerState.STOPPED:
            servers.pop(server.id, None)
        else:
            servers[server.id] = server
        self._cache.pop(server.service, None)

    def remove(self, server: Server) -> None:
        """Remove a server whose record has expired."""
        self._servers.get(server.service, {}).pop(server.id, None)
        self._cache.pop(server.service, None)

    def invalidate(self) -> None:
        """Clear the cache, for instance after an ejection."""
        self._cache.clear()

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that have a cached selection."""
        return tuple(self._cache)

    def find(self, service: ServiceName, now: Seconds) -> Selection:
        """Find the eligible servers of a service.

        Parameters
        ----------
        service : ServiceName
            Service to find servers for.
        now : Seconds
            Time on the local clock.

        Returns
        -------
        Selection
            Weights of the eligible servers.
        """
        cached = self._cache.get(service)
        if cached is not None and now < cached.expires_at:
            return cached.selection
        servers = tuple(self._servers.get(service, {}).values())
        if not servers:
            return _EMPTY
        selection = self._detector.select(
            servers, self._compute_floor(service, servers), now
        )
        self._cache[service] = _CacheEntry(
            selection, Seconds(now + _CACHE_LIFETIME)
        )
        return selection

    def _compute_floor(
        self, service: ServiceName, servers: tuple[Server, ...]
    ) -> int:
        entry = self._catalogue.service(service)
        share = entry.floor_share if entry is not None else 1.0
        # Without rounding, floating-point error makes 0.6 of 10 slots give 7.
        slots = sum(server.slots for server in servers)
        return math.ceil(round(share * slots, 6))
