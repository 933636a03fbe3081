"""Planned stops of backend servers that an operator asked for at the node."""

import dataclasses
import enum

from egretlever.core import Incarnation, ServerId, ServerState, make_log
from egretlever.membership import ServerAnnouncement

_LOG = make_log("stops")
_DEPARTING = frozenset({ServerState.DRAINING, ServerState.STOPPED})


class StopVerdict(enum.Enum):
    """What a node did with an operator's order, named as in the schema."""

    STOPPED_NOW = "stopped"
    STARTED_NOW = "started"
    ALREADY_STOPPED = "already-stopped"
    UNKNOWN_SERVER = "unknown-server"
    NOT_STOPPED_HERE = "not-stopped-here"
    LEAVES_ITSELF = "leaves-itself"


class PlannedStops:
    """Keeps servers of this host out of service until an operator starts them.

    A departure is never undone in the records of the fleet, so that a late
    message can't revive a server. A start therefore raises the incarnation
    under which the node announces the server, which also voids the evidence
    of the time before. The Unix time is added to it, because a node that was
    restarted does not remember how far it was raised before.

    Examples
    --------
    >>> from egretlever.testing.builders import build_announcement
    >>> stops = PlannedStops()
    >>> said = build_announcement(id="kapra-1", incarnation=5)
    >>> stops.adapt(said).state.name
    'SERVING'
    >>> verdict, announced = stops.stop("kapra-1")
    >>> verdict.value, announced.state.name
    ('stopped', 'DRAINING')
    >>> verdict, announced = stops.start("kapra-1", ServerState.DRAINING, 9)
    >>> verdict.value, announced.state.name, announced.incarnation
    ('started', 'SERVING', 14)
    """

    def __init__(self) -> None:
        self._said: dict[ServerId, ServerAnnouncement] = {}
        self._stopped: set[ServerId] = set()
        self._raised: dict[ServerId, int] = {}

    def adapt(self, said: ServerAnnouncement) -> ServerAnnouncement:
        """Return what the node announces for what a server says of itself."""
        held = self._said.get(said.id)
        if held is None or said.incarnation >= held.incarnation:
            self._said[said.id] = said
        raised = self._raised.get(said.id, 0)
        state = said.state
        if said.id in self._stopped and state not in _DEPARTING:
            state = ServerState.DRAINING
        return dataclasses.replace(
            said,
            state=state,
            incarnation=Incarnation(said.incarnation + raised),
        )

    def stop(
        self, server: ServerId
    ) -> tuple[StopVerdict, ServerAnnouncement | None]:
        """Take a server out of service; return what is announced then."""
        said = self._said.get(server)
        if said is None:
            return StopVerdict.UNKNOWN_SERVER, None
        if server in self._stopped or said.state in _DEPARTING:
            return StopVerdict.ALREADY_STOPPED, None
        self._stopped.add(server)
        _LOG.info("%s is stopped by an operator", server)
        return StopVerdict.STOPPED_NOW, self.adapt(said)

    def start(
        self, server: ServerId, known: ServerState | None, unix_s: int
    ) -> tuple[StopVerdict, ServerAnnouncement | None]:
        """Return a server to service; return what is announced then.

        Parameters
        ----------
        server : ServerId
            Server of this host.
        known : ServerState or None
            State in the records of the fleet. A node that was restarted finds
            a stop there that it does not remember itself.
        unix_s : int
            Unix time in seconds.
        """
        said = self._said.get(server)
        if said is None:
            return StopVerdict.UNKNOWN_SERVER, None
        if said.state in _DEPARTING:
            return StopVerdict.LEAVES_ITSELF, None
        if server not in self._stopped and known not in _DEPARTING:
            return StopVerdict.NOT_STOPPED_HERE, None
        self._stopped.discard(server)
        self._raised[server] = max(unix_s, self._raised.get(server, 0) + 1)
        _LOG.info("%s is started by an operator", server)
        return StopVerdict.STARTED_NOW, self.adapt(said)
