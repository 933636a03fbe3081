"""Planned stops of backend servers, as requested by operators."""

import dataclasses
import enum

from egretlever.core import Incarnation, ServerId, ServerState, make_log
from egretlever.membership import ServerAnnouncement

_LOG = make_log("stops")
_DEPARTING = frozenset({ServerState.DRAINING, ServerState.STOPPED})


class StopVerdict(enum.Enum):
    """Result of an operator's command, named as in the schema."""

    STOPPED_NOW = "stopped"
    STARTED_NOW = "started"
    ALREADY_STOPPED = "already-stopped"
    UNKNOWN_SERVER = "unknown-server"
    NOT_STOPPED_HERE = "not-stopped-here"
    LEAVES_ITSELF = "leaves-itself"


class PlannedStops:
    """Keeps servers of this host out of service until an operator starts them.

    A server that has left never returns under the same incarnation, so that a
    delayed message can't revive it. A start therefore adds an offset to the
    incarnation that the node announces, which also discards older evidence
    about the server. The offset is at least the Unix time, because a
    restarted node does not remember the offsets that it used before.

    Examples
    --------
    >>> from egretlever.testing.builders import build_announcement
    >>> stops = PlannedStops()
    >>> announcement = build_announcement(id="kapra-1", incarnation=5)
    >>> stops.adjust(announcement).state.name
    'SERVING'
    >>> verdict, announced = stops.stop("kapra-1")
    >>> verdict.value, announced.state.name
    ('stopped', 'DRAINING')
    >>> verdict, announced = stops.start("kapra-1", ServerState.DRAINING, 9)
    >>> verdict.value, announced.state.name, announced.incarnation
    ('started', 'SERVING', 14)
    """

    def __init__(self) -> None:
        self._announcements: dict[ServerId, ServerAnnouncement] = {}
        self._stopped: set[ServerId] = set()
        self._incarnation_offsets: dict[ServerId, int] = {}

    def adjust(self, announcement: ServerAnnouncement) -> ServerAnnouncement:
        """Return the announcement to publish for one that a server sent."""
        latest = self._announcements.get(announcement.id)
        if latest is None or announcement.incarnation >= latest.incarnation:
            self._announcements[announcement.id] = announcement
        offset = self._incarnation_offsets.get(announcement.id, 0)
        state = announcement.state
        if announcement.id in self._stopped and state not in _DEPARTING:
            state = ServerState.DRAINING
        return dataclasses.replace(
            announcement,
            state=state,
            incarnation=Incarnation(announcement.incarnation + offset),
        )

    def stop(
        self, server: ServerId
    ) -> tuple[StopVerdict, ServerAnnouncement | None]:
        """Take a server out of service; return the announcement to publish."""
        announcement = self._announcements.get(server)
        if announcement is None:
            return StopVerdict.UNKNOWN_SERVER, None
        if server in self._stopped or announcement.state in _DEPARTING:
            return StopVerdict.ALREADY_STOPPED, None
        self._stopped.add(server)
        _LOG.info("operator stopped server %s", server)
        return StopVerdict.STOPPED_NOW, self.adjust(announcement)

    def start(
        self, server: ServerId, known: ServerState | None, unix_s: int
    ) -> tuple[StopVerdict, ServerAnnouncement | None]:
        """Return a server to service; return the announcement to publish.

        Parameters
        ----------
        server : ServerId
            Server of this host.
        known : ServerState or None
            State in the records of the fleet. They still contain a stop that
            this node has forgotten in a restart.
        unix_s : int
            Unix time in seconds.
        """
        announcement = self._announcements.get(server)
        if announcement is None:
            return StopVerdict.UNKNOWN_SERVER, None
        if announcement.state in _DEPARTING:
            return StopVerdict.LEAVES_ITSELF, None
        if server not in self._stopped and known not in _DEPARTING:
            return StopVerdict.NOT_STOPPED_HERE, None
        self._stopped.discard(server)
        self._incarnation_offsets[server] = max(
            unix_s, self._incarnation_offsets.get(server, 0) + 1
        )
        _LOG.info("operator started server %s", server)
        return StopVerdict.STARTED_NOW, self.adjust(announcement)
