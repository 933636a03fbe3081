"""The record that this node owns."""

import dataclasses

from egretlever.core import (
    Address,
    Incarnation,
    NodeState,
    Seconds,
    ServerId,
    ServerState,
    ServiceName,
    Version,
)
from egretlever.membership._records import (
    STATE_ORDER,
    NodeHeader,
    NodeRecord,
    ServerEntry,
)

REMOVAL_TIMEOUT_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnnouncement:
    """State that a backend server announces to the node on its host.

    Parameters
    ----------
    id, service, address, state, incarnation, slots, connections
        See `egretlever.core.Server`.
    uptime : float
        Time for which the server has been serving, in seconds.
    """

    id: ServerId
    service: ServiceName
    address: Address
    state: ServerState
    incarnation: Incarnation
    slots: int
    connections: int
    uptime: float = 0.0


class OwnRecord:
    """The record of this node; each change gives it a new version.

    Parameters
    ----------
    header : NodeHeader
        Identity and addresses.
    incarnation : Incarnation
        Must increase with each start of the node.
    silence_timeout : float
        Time without announcement after which a server is marked silent, in
        seconds.
    max_gossiped_uptime : float
        Age up to which a server's uptime is gossiped, in seconds.
    """

    def __init__(
        self,
        header: NodeHeader,
        incarnation: Incarnation,
        silence_timeout: float,
        max_gossiped_uptime: float,
    ) -> None:
        self.record = NodeRecord(
            header, incarnation, Version(1), NodeState.ALIVE, {}
        )
        self._silence_timeout = silence_timeout
        self._max_gossiped_uptime = max_gossiped_uptime
        self._last_announced: dict[ServerId, Seconds] = {}

    def announce(
        self, announcement: ServerAnnouncement, now: Seconds
    ) -> ServerEntry | None:
        """Update the record from an announcement.

        Returns
        -------
        ServerEntry or None
            The changed entry; None when nothing changed or the announcement
            is out of date.
        """
        held = self.record.entries.get(announcement.id)
        if held is not None and _is_stale(held, announcement):
            return None
        self._last_announced[announcement.id] = now
        in_ramp = announcement.uptime < self._max_gossiped_uptime
        entry = ServerEntry(
            announcement.id,
            announcement.service,
            announcement.address,
            announcement.state,
            announcement.incarnation,
            announcement.slots,
            announcement.connections,
            uptime=announcement.uptime if in_ramp else None,
        )
        if held is not None:
            same = dataclasses.replace(
                entry, changed=held.changed, uptime=held.uptime
            )
            if same == held:
                return None
        return self._write(entry)

    def find_silent(self, now: Seconds) -> list[ServerEntry]:
        """Mark servers without announcements; after 10 min, mark them stopped.

        Returns
        -------
        list of ServerEntry
            The changed entries.
        """
        changed = []
        for server, last_announced in list(self._last_announced.items()):
            entry = self.record.entries[server]
            silence = now - last_announced
            if silence >= REMOVAL_TIMEOUT_S:
                del self._last_announced[server]
                stopped = ServerState.STOPPED
                changed.append(
                    self._write(dataclasses.replace(entry, state=stopped))
                )
            elif silence >= self._silence_timeout and not entry.silent:
                changed.append(
                    self._write(dataclasses.replace(entry, silent=True))
                )
        return changed

    def reset_silence_timers(self, now: Seconds) -> None:
        """Restart all silence timers, after a pause of this process."""
        self._last_announced = dict.fromkeys(self._last_announced, now)

    def raise_version(self, above: Version) -> None:
        """Raise the version above a suspected one, to refute a suspicion."""
        version = Version(max(self.record.version, above) + 1)
        self.record = dataclasses.replace(self.record, version=version)

    def leave(self) -> None:
        """Mark this node as having left the fleet."""
        self.raise_version(self.record.version)
        self.record = dataclasses.replace(self.record, state=NodeState.LEFT)

    def _write(self, entry: ServerEntry) -> ServerEntry:
        version = Version(self.record.version + 1)
        entry = dataclasses.replace(entry, changed=version)
        entries = {**self.record.entries, entry.id: entry}
        self.record = dataclasses.replace(
            self.record, version=version, entries=entries
        )
        return entry


def _is_stale(held: ServerEntry, announcement: ServerAnnouncement) -> bool:
    if held.incarnation != announcement.incarnation:
        return announcement.incarnation < held.incarnation
    return STATE_ORDER[announcement.state] < STATE_ORDER[held.state]
