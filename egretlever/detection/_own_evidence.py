"""Attribution of a node's own outcomes to their cause."""

import collections
import dataclasses

from egretlever.core import (
    Attempt,
    AttemptResult,
    RegionName,
    Seconds,
    Server,
    ServerId,
    ServiceName,
)
from egretlever.detection._causes import CauseTracker
from egretlever.detection._directory import Directory
from egretlever.detection._pairs import Group, Pair
from egretlever.detection._reports import Reporter
from egretlever.detection._types import Cause, EvidenceKind

_PAIRS = 16384
# A reused connection that went silent is doubted for this time; a fresh
# attempt or a probe decides sooner.
_PROVISIONAL = 2.0
_UNKNOWN_OVERDUE = Seconds(1.0)
_SUSPICION_SCORE = 3.0
_IGNORED = frozenset(
    {
        AttemptResult.SHED,
        AttemptResult.CANCELLED,
        AttemptResult.STALE_CONNECTION,
    }
)
_UNREACHABLE = frozenset(
    {
        AttemptResult.REFUSED,
        AttemptResult.CONNECT_TIMEOUT,
        AttemptResult.TIMEOUT,
        AttemptResult.OVERDUE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Result of one outcome.

    Parameters
    ----------
    cause : Cause
        Cause that the outcome is attributed to.
    score : float
        Score of the pair's evidence.
    kind : EvidenceKind
        Strongest kind of evidence.
    probe : bool
        Whether a probe would tell more.
    newly_blamed : bool
        Whether the outcome made the region link blamed.
    """

    cause: Cause
    score: float = 0.0
    kind: EvidenceKind = EvidenceKind.FAILED
    probe: bool = False
    newly_blamed: bool = False


class OwnEvidence:
    """Own outcomes of this node by server.

    Parameters
    ----------
    directory : Directory
        Known servers and nodes.
    reporter : Reporter
        Is told of bad outcomes that speak against a server.
    """

    def __init__(self, directory: Directory, reporter: Reporter) -> None:
        self._directory = directory
        self._reporter = reporter
        self.causes = CauseTracker(directory.region)
        self.dropped: collections.Counter[str] = collections.Counter()
        self.pairs: dict[ServerId, Pair] = {}
        self._groups: dict[tuple[ServiceName, RegionName], Group] = {}

    def forget(self, server_id: ServerId) -> None:
        """Void the evidence about a server."""
        pair = self.pairs.pop(server_id, None)
        if pair is not None:
            pair.group.pairs.pop(server_id, None)

    def clear(self, server_id: ServerId) -> None:
        """Start anew with a server that is readmitted."""
        pair = self.pairs.get(server_id)
        if pair is not None:
            pair.clear()

    def find_pair(self, server: Server) -> Pair:
        """Return the evidence on a server, making it when needed."""
        pair = self.pairs.get(server.id)
        if pair is None:
            group = self._find_group(server)
            if len(self.pairs) >= _PAIRS:
                self.forget(next(iter(self.pairs)))
            pair = Pair(server.id, server.incarnation, group)
            self.pairs[server.id] = group.pairs[server.id] = pair
        return pair

    def _find_group(self, server: Server) -> Group:
        key = (server.service, server.region)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = Group(server.region)
        return group

    def overdue_after(self, server: Server | None) -> Seconds:
        """Return the wait after which an attempt is overdue."""
        if server is None:
            return _UNKNOWN_OVERDUE
        return self._find_group(server).latency.overdue_after

    def observe(self, attempt: Attempt, now: Seconds) -> Judgement | None:
        """Attribute an outcome; None when it speaks against nothing."""
        server = self._directory.servers.get(attempt.server)
        if server is None or server.incarnation != attempt.incarnation:
            self.dropped["attempt-on-other-incarnation"] += 1
            return None
        result = attempt.result
        # The common result first: the hash of an enum member is slow.
        if result is not AttemptResult.OK and result in _IGNORED:
            return None
        pair = self.find_pair(server)
        self._reporter.use(server.service, now)
        if result is AttemptResult.OK:
            latency = pair.group.latency
            latency.observe(attempt.latency)
            if attempt.latency <= latency.slow_after:
                self.causes.observe(server.region, server.id, False, now)
                pair.add_good(now)
                return None
            kind = EvidenceKind.SLOW
            very = attempt.latency > latency.overdue_after
            if very:
                pair.retract_unreachable()
            if not self.causes.is_own_pause(now - attempt.latency):
                pair.add_slow(very, now)
        elif result in _UNREACHABLE:
            kind = EvidenceKind.UNREACHABLE
        else:
            kind = EvidenceKind.FAILED
        if result is AttemptResult.TIMEOUT:
            # A short deadline of the caller says nothing of the server, and on
            # a fresh connection the wait was counted when it was overdue.
            overdue = attempt.latency >= pair.group.latency.overdue_after
            if attempt.fresh_connection or not overdue:
                return None
        elif not attempt.fresh_connection and result in (
            AttemptResult.OVERDUE,
            AttemptResult.CUT,
        ):
            return self._doubt_connection(pair, attempt.latency, now)
        return self.add_bad(server, kind, attempt.latency, now)

    def _doubt_connection(
        self, pair: Pair, latency: float, now: Seconds
    ) -> Judgement:
        if self.causes.is_own_pause(now - latency):
            return Judgement(Cause.OWN_PAUSE)
        pair.provisional = now
        return Judgement(Cause.CONNECTION, probe=True)

    def add_bad(
        self, server: Server, kind: EvidenceKind, latency: float, now: Seconds
    ) -> Judgement:
        """Attribute a bad outcome to the first cause that explains it."""
        causes = self.causes
        if causes.is_own_pause(now - latency):
            return self._drop(Cause.OWN_PAUSE)
        unreachable = kind is EvidenceKind.UNREACHABLE
        newly = causes.observe(server.region, server.id, unreachable, now)
        if causes.is_link_blamed(server.region, now):
            return self._drop(Cause.REGION_LINK, newly)
        if causes.is_overloaded(now):
            self._reporter.clear()
            return self._drop(Cause.OWN_OVERLOAD)
        pair = self.find_pair(server)
        if unreachable and now - pair.provisional < _PROVISIONAL:
            # The doubted connection was not at fault: its silence counts too.
            pair.add_bad(kind, now)
            pair.clear_doubt()
        pair.add_bad(kind, now)
        self._reporter.add(server.service, pair)
        score, kind = pair.score(now)
        return Judgement(Cause.PAIR, score, kind, score >= _SUSPICION_SCORE)

    def _drop(self, cause: Cause, newly_blamed: bool = False) -> Judgement:
        self.dropped[cause.value] += 1
        return Judgement(cause, newly_blamed=newly_blamed)

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Void the evidence of a pause that ends now."""
        self.causes.observe_pause(now)
        for pair in self.pairs.values():
            if pair.last_bad >= now - duration:
                pair.clear()
        self._reporter.clear()
