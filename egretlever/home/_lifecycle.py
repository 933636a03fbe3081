"""Tracking of the server behind a home node by its heartbeats."""

import dataclasses
import enum

from egretlever.core import (
    Address,
    FailureDomain,
    Incarnation,
    Seconds,
    ServerId,
    ServiceName,
)

# Departed servers are remembered while a delayed heartbeat of theirs may still
# arrive. The platform delays heartbeats by seconds, far less than a minute.
_DEPARTED_RETENTION = Seconds(60.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that a server announces about itself.

    Parameters
    ----------
    id : ServerId
        Id of the server.
    address : Address
        Address at which it accepts requests.
    service : ServiceName
        Service that it runs.
    failure_domain : FailureDomain
        Failure domain of its host.
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        Whether it is about to leave the fleet.
    sequence : int
        Sequence number, which increases within one incarnation.
    incarnation : Incarnation
        Unix time of its start, in milliseconds; 0 when not announced.
    cold_for : Seconds
        Remaining time for which it is slow after its start.
    """

    id: ServerId
    address: Address
    service: ServiceName
    failure_domain: FailureDomain
    slots: int
    draining: bool
    sequence: int
    incarnation: Incarnation
    cold_for: Seconds


class HeartbeatEffect(enum.Enum):
    """Effect of a heartbeat or a departure on the tracked server."""

    STARTED = "started"
    CHANGED = "changed"
    REPEATED = "repeated"
    STALE = "stale"
    DEPARTED = "departed"
    UNCONFIRMED = "unconfirmed"


class LocalServer:
    """The server behind one home node.

    Only one server runs on a host at a time. A delayed heartbeat may arrive
    after its sender has been replaced at the same address or has departed; it
    is ignored as stale in both cases.

    Attributes
    ----------
    current : Heartbeat or None
        Latest heartbeat of the current server; None before the first one and
        after a departure.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._departed: dict[ServerId, tuple[Incarnation, Seconds]] = {}
        self._unconfirmed: Heartbeat | None = None

    def observe(
        self,
        heartbeat: Heartbeat,
        now: Seconds,
        departures_known: bool = True,
    ) -> HeartbeatEffect:
        """Process a heartbeat and return its effect.

        Parameters
        ----------
        heartbeat : Heartbeat
            The heartbeat.
        now : Seconds
            Current time.
        departures_known : bool, default=True
            Whether the departures that former processes have acknowledged are
            known. Otherwise the first heartbeat of a new server may be a
            delayed one of a server that has departed, and it takes a second
            one, which only a server that runs sends after a rejection.
        """
        self._expire_departed(now)
        departed = self._departed.get(heartbeat.id)
        if departed is not None and heartbeat.incarnation <= departed[0]:
            return HeartbeatEffect.STALE
        current = self.current
        if current is None or not _is_same_server(current, heartbeat):
            if current and heartbeat.incarnation < current.incarnation:
                return HeartbeatEffect.STALE
            if not departures_known and not self._confirm(heartbeat):
                return HeartbeatEffect.UNCONFIRMED
            if current is not None:
                self._departed[current.id] = (current.incarnation, now)
            self.current = heartbeat
            return HeartbeatEffect.STARTED
        # Draining is final within an incarnation, also when the draining
        # heartbeat arrives late: it is confirmed to its sender.
        draining = current.draining or heartbeat.draining
        if heartbeat.sequence < current.sequence:
            if draining is current.draining:
                return HeartbeatEffect.STALE
            heartbeat = current
        self.current = dataclasses.replace(heartbeat, draining=draining)
        changed = (draining, heartbeat.slots, heartbeat.address) != (
            current.draining,
            current.slots,
            current.address,
        )
        return HeartbeatEffect.CHANGED if changed else HeartbeatEffect.REPEATED

    def _confirm(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat follows one of the same server."""
        first, self._unconfirmed = self._unconfirmed, heartbeat
        return heartbeat.draining or (
            first is not None
            and _is_same_server(first, heartbeat)
            and first.sequence < heartbeat.sequence
        )

    def depart(
        self,
        server_id: ServerId,
        now: Seconds,
        incarnation: Incarnation | None = None,
    ) -> HeartbeatEffect:
        """Process the departure of a server.

        It is remembered for servers without a heartbeat, too: this process may
        have started after the latest one, or a delayed one may still arrive.

        Parameters
        ----------
        server_id : ServerId
            Id of the server.
        now : Seconds
            Current time.
        incarnation : Incarnation, optional
            Latest incarnation that departs, by default that of the current
            server. The departure is stale when a newer one has replaced it.
        """
        current = self.current
        if incarnation is None:
            if current is None or current.id != server_id:
                return HeartbeatEffect.STALE
            incarnation = current.incarnation
        departed = self._departed.get(server_id)
        if departed is not None and incarnation <= departed[0]:
            return HeartbeatEffect.STALE
        self._departed[server_id] = (incarnation, now)
        if current is None:
            return HeartbeatEffect.DEPARTED
        if incarnation < current.incarnation or (
            current.id != server_id and incarnation == current.incarnation
        ):
            return HeartbeatEffect.STALE
        if current.id != server_id:
            # The departed server had replaced the current one.
            self._departed[current.id] = (current.incarnation, now)
        self.current = None
        return HeartbeatEffect.DEPARTED

    def drain(self, server_id: ServerId, incarnation: Incarnation) -> bool:
        """Mark the current server as leaving, as an earlier process knew.

        Parameters
        ----------
        server_id : ServerId
            Server that was leaving.
        incarnation : Incarnation
            Its incarnation then.

        Returns
        -------
        bool
            Whether the current server is that one and was not marked before.
        """
        current = self.current
        if (
            current is None
            or current.draining
            or current.id != server_id
            or current.incarnation > incarnation
        ):
            return False
        self.current = dataclasses.replace(current, draining=True)
        return True

    def _expire_departed(self, now: Seconds) -> None:
        self._departed = {
            server_id: entry
            for server_id, entry in self._departed.items()
            if now - entry[1] < _DEPARTED_RETENTION
        }


def _is_same_server(one: Heartbeat, other: Heartbeat) -> bool:
    return (one.id, one.incarnation) == (other.id, other.incarnation)
