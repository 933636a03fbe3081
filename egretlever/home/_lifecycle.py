"""Which server stands behind a home node, as its heartbeats say."""

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

# Departed servers are remembered for as long as one of their heartbeats may
# still be on its way. One minute is far above the platform's seconds of delay.
_DEPARTED_KEPT = Seconds(60.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a server says of itself.

    Parameters
    ----------
    id : ServerId
        Name of the server.
    address : Address
        Where it accepts requests.
    service : ServiceName
        Service that it runs.
    failure_domain : FailureDomain
        Failure domain of its host.
    slots : int
        Requests that it runs at the same time.
    draining : bool
        Whether it is about to leave.
    sequence : int
        Grows with each heartbeat of one incarnation.
    incarnation : Incarnation
        Unix time of its start, in milliseconds; 0 when it does not say.
    cold_for : Seconds
        How much longer it is slow after its start.
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
    """What a heartbeat or a departure changed."""

    STARTED = "started"
    CHANGED = "changed"
    REPEATED = "repeated"
    STALE = "stale"
    DEPARTED = "departed"


class LocalServer:
    """The server behind one home node.

    Only one server runs on a host at a time. A heartbeat that was delayed may
    arrive after its sender has been replaced at the same address, and after
    its sender has left; neither brings the old server back.

    Attributes
    ----------
    current : Heartbeat or None
        Newest heartbeat of the present server; None before the first one and
        after a departure.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._departed: dict[ServerId, tuple[Incarnation, Seconds]] = {}

    def observe(self, beat: Heartbeat, now: Seconds) -> HeartbeatEffect:
        """Take a heartbeat and tell what it changed."""
        self._forget_departed(now)
        departed = self._departed.get(beat.id)
        if departed is not None and beat.incarnation <= departed[0]:
            return HeartbeatEffect.STALE
        held = self.current
        if held is None:
            self.current = beat
            return HeartbeatEffect.STARTED
        same = (held.id, held.incarnation) == (beat.id, beat.incarnation)
        if not same:
            if beat.incarnation < held.incarnation:
                return HeartbeatEffect.STALE
            self._departed[held.id] = (held.incarnation, now)
            self.current = beat
            return HeartbeatEffect.STARTED
        if beat.sequence < held.sequence:
            return HeartbeatEffect.STALE
        # Draining is never undone within one incarnation: the confirmation of
        # the first such heartbeat binds.
        draining = held.draining or beat.draining
        self.current = dataclasses.replace(beat, draining=draining)
        changed = (draining, beat.slots, beat.address) != (
            held.draining,
            held.slots,
            held.address,
        )
        return HeartbeatEffect.CHANGED if changed else HeartbeatEffect.REPEATED

    def depart(
        self,
        server_id: ServerId,
        now: Seconds,
        incarnation: Incarnation | None = None,
    ) -> HeartbeatEffect:
        """Take the departure of a server.

        Parameters
        ----------
        server_id : ServerId
            Name of the server.
        now : Seconds
            Reading of the clock.
        incarnation : Incarnation, optional
            Start of the server that leaves; an older one has been replaced.
        """
        held = self.current
        if held is None or held.id != server_id:
            return HeartbeatEffect.STALE
        if incarnation is None or incarnation >= held.incarnation:
            self._departed[server_id] = (held.incarnation, now)
            self.current = None
            return HeartbeatEffect.DEPARTED
        return HeartbeatEffect.STALE

    def _forget_departed(self, now: Seconds) -> None:
        self._departed = {
            server_id: entry
            for server_id, entry in self._departed.items()
            if now - entry[1] < _DEPARTED_KEPT
        }
