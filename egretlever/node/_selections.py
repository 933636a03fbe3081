"""Servers of each service that routing may use, kept for a short time."""

import dataclasses
import math

from egretlever.catalogue import CatalogueState
from egretlever.core import Seconds, Server, ServerId, ServerState, ServiceName
from egretlever.detection import Detector, Selection

_LIFETIME = 0.05  # seconds; longer would delay the effect of an ejection
_EMPTY = Selection({})


@dataclasses.dataclass(slots=True)
class _Kept:
    selection: Selection
    until: Seconds


class Selections:
    """Asks the detector which servers of a service are eligible.

    Parameters
    ----------
    catalogue : CatalogueState
        Gives the floor of each service.
    detector : Detector
        Decides what is ejected above the floor.
    """

    def __init__(self, catalogue: CatalogueState, detector: Detector) -> None:
        self._catalogue = catalogue
        self._detector = detector
        self._servers: dict[ServiceName, dict[ServerId, Server]] = {}
        self._kept: dict[ServiceName, _Kept] = {}

    def update(self, server: Server) -> None:
        """Take in a new or changed server; a stopped one is removed."""
        servers = self._servers.setdefault(server.service, {})
        if server.state is ServerState.STOPPED:
            servers.pop(server.id, None)
        else:
            servers[server.id] = server
        self._kept.pop(server.service, None)

    def forget(self, server: Server) -> None:
        """Remove a server whose record is gone."""
        self._servers.get(server.service, {}).pop(server.id, None)
        self._kept.pop(server.service, None)

    def invalidate(self) -> None:
        """Drop what is kept, after the detector changed its mind."""
        self._kept.clear()

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services whose selection is kept."""
        return tuple(self._kept)

    def find(self, service: ServiceName, now: Seconds) -> Selection:
        """Find the eligible servers of a service.

        Parameters
        ----------
        service : ServiceName
            Service that a server is needed of.
        now : Seconds
            Reading of the clock.

        Returns
        -------
        Selection
            Weights of the eligible servers.
        """
        kept = self._kept.get(service)
        if kept is not None and now < kept.until:
            return kept.selection
        servers = tuple(self._servers.get(service, {}).values())
        if not servers:
            return _EMPTY
        selection = self._detector.select(
            servers, self._compute_floor(service, servers), now
        )
        self._kept[service] = _Kept(selection, Seconds(now + _LIFETIME))
        return selection

    def _compute_floor(
        self, service: ServiceName, servers: tuple[Server, ...]
    ) -> int:
        entry = self._catalogue.service(service)
        share = entry.floor_share if entry is not None else 1.0
        # Rounding guards against a share such as 0.6 of 10 giving 7.
        slots = sum(server.slots for server in servers)
        return math.ceil(round(share * slots, 6))
