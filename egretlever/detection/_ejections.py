"""Ejection of bad servers within the floor, and their readmission."""

from collections.abc import Callable, Iterator, Sequence

from egretlever.core import (
    Health,
    Seconds,
    Server,
    ServerId,
    ServerState,
)
from egretlever.detection._ejection_states import EjectionState, Stage
from egretlever.detection._floor import choose_ejected
from egretlever.detection._recovery import advance_ejection, is_history_expired
from egretlever.detection._types import (
    Cause,
    EjectionChange,
    EvidenceKind,
    LogChange,
    Selection,
    ServerEjection,
)

_ROUTABLE = frozenset({ServerState.SERVING, ServerState.COLD})
_MIN_HELD_WEIGHT = 0.02


class Ejections:
    """Ejection states of the servers that were found bad.

    Conclusive evidence marks a server as bad. It is removed from routing when
    ``select`` finds that the floor allows it.

    Parameters
    ----------
    clear_evidence : callable
        Discards the node's own evidence about a server that is readmitted.
    """

    def __init__(self, clear_evidence: Callable[[ServerId], None]) -> None:
        self._clear_evidence = clear_evidence
        self.by_server: dict[ServerId, EjectionState] = {}
        self._changes: list[LogChange] = []

    def log(
        self, server_id: ServerId, change: EjectionChange, evidence: str
    ) -> None:
        """Add a log line to the actions that are due."""
        self._changes.append(LogChange(server_id, change, evidence))

    def take_changes(self) -> list[LogChange]:
        """Return the log lines that are due."""
        changes, self._changes = self._changes, []
        return changes

    def forget(self, server_id: ServerId) -> None:
        """Discard the ejection state of a server."""
        self.by_server.pop(server_id, None)

    def find_bad(self, server_id: ServerId) -> EjectionState | None:
        """Return the ejection state of a server that is bad now."""
        ejection = self.by_server.get(server_id)
        return ejection if ejection is not None and ejection.is_bad else None

    def is_ramping(self, server_id: ServerId) -> bool:
        """Return whether a server is being readmitted."""
        ejection = self.by_server.get(server_id)
        return ejection is not None and ejection.stage is Stage.RAMPING

    def mark_bad(
        self,
        server: Server,
        cause: Cause,
        kind: EvidenceKind,
        badness: float,
        reporters: int,
        now: Seconds,
    ) -> EjectionState:
        """Record conclusive evidence against a server."""
        ejection = self.by_server.get(server.id)
        if ejection is None:
            ejection = EjectionState(
                server.id, server.service, server.incarnation
            )
            self.by_server[server.id] = ejection
        elif ejection.is_bad and ejection.cause is Cause.SERVER:
            cause = Cause.SERVER
            reporters = max(reporters, ejection.reporters)
        ejection.mark_bad(cause, kind, badness, reporters, now)
        return ejection

    def readmit(self, ejection: EjectionState, now: Seconds) -> None:
        """Readmit a server with a growing weight."""
        ejection.start_ramp(now)
        self._clear_evidence(ejection.server)
        self.log(ejection.server, EjectionChange.RAMPING, ejection.evidence())

    def advance(
        self, is_prober: Callable[[EjectionState], bool], now: Seconds
    ) -> Iterator[EjectionState]:
        """Advance all ejection states and yield those due for a probe."""
        for ejection in list(self.by_server.values()):
            if is_history_expired(ejection, now):
                del self.by_server[ejection.server]
                continue
            probes_server = ejection.is_bad and is_prober(ejection)
            for change in advance_ejection(ejection, probes_server, now):
                if change is None:
                    yield ejection
                else:
                    if change is EjectionChange.RAMPING:
                        self._clear_evidence(ejection.server)
                    self.log(ejection.server, change, ejection.evidence())

    def select(
        self,
        servers: Sequence[Server],
        floor_slots: int,
        is_link_fault: Callable[[Server, EjectionState], bool],
        success_share: Callable[[ServerId], float],
        now: Seconds,
    ) -> Selection:
        """Decide which servers of one service may receive requests."""
        by_server = self.by_server
        eligible = {s.id: 1.0 for s in servers if s.state in _ROUTABLE}
        if not by_server or by_server.keys().isdisjoint(eligible):
            return Selection(eligible)
        bad = [
            server
            for server in servers
            if server.id in eligible
            and self.find_bad(server.id) is not None
            and not is_link_fault(server, by_server[server.id])
        ]
        ejected, held = choose_ejected(
            servers, bad, floor_slots, lambda item: by_server[item.id].badness
        )
        for server in ejected:
            del eligible[server.id]
            self._record_ejection(by_server[server.id])
        for server in held:
            ejection = by_server[server.id]
            self._record_hold(ejection, floor_slots)
            share = success_share(server.id)
            eligible[server.id] = _weigh_held(ejection, share)
        for server_id in eligible:
            if self.is_ramping(server_id):
                eligible[server_id] = by_server[server_id].weigh(now)
        return Selection(
            eligible,
            tuple(server.id for server in ejected),
            tuple(server.id for server in held),
        )

    def _record_ejection(self, ejection: EjectionState) -> None:
        if ejection.stage is Stage.EJECTION_PENDING:
            ejection.stage = Stage.EJECTED
            ejection.is_held = False
            self.log(
                ejection.server, EjectionChange.EJECTED, ejection.evidence()
            )

    def _record_hold(self, ejection: EjectionState, floor_slots: int) -> None:
        if ejection.is_held:
            return
        change = EjectionChange.HELD_BY_FLOOR
        if ejection.stage is Stage.EJECTED:
            change = EjectionChange.READMITTED_BY_FLOOR
            ejection.stage = Stage.EJECTION_PENDING
        ejection.is_held = True
        evidence = f"floor {floor_slots} slots, {ejection.evidence()}"
        self.log(ejection.server, change, evidence)

    def describe(self, now: Seconds) -> tuple[ServerEjection, ...]:
        """Return a snapshot of all servers that were found bad."""
        return tuple(
            ServerEjection(
                ejection.server,
                ejection.health(now),
                ejection.cause,
                ejection.evidence(),
                ejection.ejection_count,
                Seconds(ejection.ejected_until),
            )
            for ejection in self.by_server.values()
        )

    def health(self, server_id: ServerId, now: Seconds) -> Health | None:
        """Return the health of a server, None if it was not found bad."""
        ejection = self.by_server.get(server_id)
        return None if ejection is None else ejection.health(now)


def _weigh_held(ejection: EjectionState, success_share: float) -> float:
    """Return the weight of a server held by the floor.

    It is the recent success share, but at most the share that is typical for
    the kind of evidence, because this node may have no outcomes of its own.
    """
    typical = {
        EvidenceKind.UNREACHABLE: 0.0,
        EvidenceKind.SLOW: 0.2,
        EvidenceKind.FAILED: 0.5,
    }[ejection.kind]
    return max(_MIN_HELD_WEIGHT, min(success_share, typical))
