"""Ejection of bad servers above the floor, and their way back."""

from collections.abc import Callable, Iterator, Sequence

from egretlever.core import (
    Health,
    Seconds,
    Server,
    ServerId,
    ServerState,
)
from egretlever.detection._floor import choose_ejected
from egretlever.detection._recovery import advance_standing, is_forgiven
from egretlever.detection._standings import Stage, Standing
from egretlever.detection._types import (
    Cause,
    Change,
    EvidenceKind,
    LogChange,
    Selection,
    ServerStanding,
)

_ROUTABLE = frozenset({ServerState.SERVING, ServerState.COLD})
_LEAST_MERIT = 0.02


class Ejections:
    """Standings of the servers that were found bad.

    A server is condemned by evidence and leaves service when ``select`` finds
    that the floor allows it.

    Parameters
    ----------
    clear_evidence : callable
        Voids the node's own evidence about a server that is readmitted.
    """

    def __init__(self, clear_evidence: Callable[[ServerId], None]) -> None:
        self._clear_evidence = clear_evidence
        self.standings: dict[ServerId, Standing] = {}
        self._changes: list[LogChange] = []

    def log(self, server_id: ServerId, change: Change, evidence: str) -> None:
        """Add a log line to the actions that are due."""
        self._changes.append(LogChange(server_id, change, evidence))

    def take_changes(self) -> list[LogChange]:
        """Return the log lines that are due."""
        changes, self._changes = self._changes, []
        return changes

    def forget(self, server_id: ServerId) -> None:
        """Drop the standing of a server."""
        self.standings.pop(server_id, None)

    def find_bad(self, server_id: ServerId) -> Standing | None:
        """Return the standing of a server if it is bad now."""
        standing = self.standings.get(server_id)
        return standing if standing is not None and standing.is_bad else None

    def is_ramping(self, server_id: ServerId) -> bool:
        """Tell whether a server is being readmitted."""
        standing = self.standings.get(server_id)
        return standing is not None and standing.stage is Stage.RAMPING

    def mark_bad(
        self,
        server: Server,
        cause: Cause,
        kind: EvidenceKind,
        badness: float,
        reporters: int,
        now: Seconds,
    ) -> Standing:
        """Take in conclusive evidence against a server."""
        standing = self.standings.get(server.id)
        if standing is None:
            standing = Standing(server.id, server.service, server.incarnation)
            self.standings[server.id] = standing
        elif standing.is_bad and standing.cause is Cause.SERVER:
            cause = Cause.SERVER
            reporters = max(reporters, standing.reporters)
        standing.mark_bad(cause, kind, badness, reporters, now)
        return standing

    def readmit(self, standing: Standing, now: Seconds) -> None:
        """Start the ramp of a server."""
        standing.start_ramp(now)
        self._clear_evidence(standing.server)
        self.log(standing.server, Change.RAMPING, standing.evidence())

    def advance(
        self, probes_itself: Callable[[Standing], bool], now: Seconds
    ) -> Iterator[Standing]:
        """Move all standings forward; yield those that are to be probed."""
        for standing in list(self.standings.values()):
            if is_forgiven(standing, now):
                del self.standings[standing.server]
                continue
            itself = standing.is_bad and probes_itself(standing)
            for change in advance_standing(standing, itself, now):
                if change is None:
                    yield standing
                else:
                    if change is Change.RAMPING:
                        self._clear_evidence(standing.server)
                    self.log(standing.server, change, standing.evidence())

    def select(
        self,
        servers: Sequence[Server],
        floor_slots: int,
        is_blameless: Callable[[Server, Standing], bool],
        success_share: Callable[[ServerId], float],
        now: Seconds,
    ) -> Selection:
        """Decide which servers of one service may receive requests."""
        standings = self.standings
        eligible = {s.id: 1.0 for s in servers if s.state in _ROUTABLE}
        if not standings or standings.keys().isdisjoint(eligible):
            return Selection(eligible)
        bad = [
            server
            for server in servers
            if server.id in eligible
            and self.find_bad(server.id) is not None
            and not is_blameless(server, standings[server.id])
        ]
        ejected, held = choose_ejected(
            servers, bad, floor_slots, lambda item: standings[item.id].badness
        )
        for server in ejected:
            del eligible[server.id]
            self._note_ejected(standings[server.id])
        for server in held:
            standing = standings[server.id]
            self._note_held(standing, floor_slots)
            share = success_share(server.id)
            eligible[server.id] = _weigh_merit(standing, share)
        for server_id in eligible:
            if self.is_ramping(server_id):
                eligible[server_id] = standings[server_id].weigh(now)
        return Selection(
            eligible,
            tuple(server.id for server in ejected),
            tuple(server.id for server in held),
        )

    def _note_ejected(self, standing: Standing) -> None:
        if standing.stage is Stage.CONDEMNED:
            standing.stage = Stage.OUT
            standing.held = False
            self.log(standing.server, Change.EJECTED, standing.evidence())

    def _note_held(self, standing: Standing, floor_slots: int) -> None:
        if standing.held:
            return
        change = Change.HELD_BY_FLOOR
        if standing.stage is Stage.OUT:
            change = Change.READMITTED_BY_FLOOR
            standing.stage = Stage.CONDEMNED
        standing.held = True
        evidence = f"floor {floor_slots} slots, {standing.evidence()}"
        self.log(standing.server, change, evidence)

    def describe(self, now: Seconds) -> tuple[ServerStanding, ...]:
        """Return a snapshot of all servers that were found bad."""
        return tuple(
            ServerStanding(
                standing.server,
                standing.health(now),
                standing.cause,
                standing.evidence(),
                standing.strikes,
                Seconds(standing.until),
            )
            for standing in self.standings.values()
        )

    def health(self, server_id: ServerId, now: Seconds) -> Health | None:
        """Return the health of a server, None when it was not found bad."""
        standing = self.standings.get(server_id)
        return None if standing is None else standing.health(now)


def _weigh_merit(standing: Standing, success_share: float) -> float:
    """Weigh a server held by the floor by its recent success share.

    Without own outcomes the kind of the pooled evidence stands for them.
    """
    typical = {
        EvidenceKind.UNREACHABLE: 0.0,
        EvidenceKind.SLOW: 0.2,
        EvidenceKind.FAILED: 0.5,
    }[standing.kind]
    return max(_LEAST_MERIT, min(success_share, typical))
