"""Attributes bad outcomes that this node observes to their causes."""

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
from egretlever.detection._known_servers import KnownServers
from egretlever.detection._pairs import Pair, PeerGroup
from egretlever.detection._reports import Reporter
from egretlever.detection._types import Cause, EvidenceKind

_MAX_PAIRS = 16384
# A reused connection without response stays suspected for this time, unless a
# fresh attempt or a probe gives the result sooner.
_CONNECTION_SUSPICION_S = 2.0
_DEFAULT_OVERDUE_S = Seconds(1.0)
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
class Attribution:
    """Cause of one bad outcome, and the resulting evidence.

    Parameters
    ----------
    cause : Cause
        Cause that the outcome is attributed to.
    score : float
        Score of the pair's evidence.
    kind : EvidenceKind
        Strongest kind of evidence.
    probe : bool
        Whether the server should be probed.
    newly_blamed : bool
        Whether this outcome led to blaming the region link.
    """

    cause: Cause
    score: float = 0.0
    kind: EvidenceKind = EvidenceKind.FAILED
    probe: bool = False
    newly_blamed: bool = False


class OwnEvidence:
    """Outcomes that this node observes, by server.

    Parameters
    ----------
    known_servers : KnownServers
        Known servers and nodes.
    reporter : Reporter
        Receives bad outcomes that are evidence against a server.
    """

    def __init__(self, known_servers: KnownServers, reporter: Reporter) -> None:
        self._known_servers = known_servers
        self._reporter = reporter
        self.causes = CauseTracker(known_servers.region)
        self.dropped: collections.Counter[str] = collections.Counter()
        self.pairs: dict[ServerId, Pair] = {}
        self._groups: dict[tuple[ServiceName, RegionName], PeerGroup] = {}

    def forget(self, server_id: ServerId) -> None:
        """Discard the evidence about a server."""
        pair = self.pairs.pop(server_id, None)
        if pair is not None:
            pair.group.pairs.pop(server_id, None)

    def clear(self, server_id: ServerId) -> None:
        """Reset the evidence about a readmitted server."""
        pair = self.pairs.get(server_id)
        if pair is not None:
            pair.clear()

    def find_pair(self, server: Server) -> Pair:
        """Return the evidence about a server, creating it if needed."""
        pair = self.pairs.get(server.id)
        if pair is None:
            group = self._find_group(server)
            if len(self.pairs) >= _MAX_PAIRS:
                self.forget(next(iter(self.pairs)))
            pair = Pair(server.id, server.incarnation, group)
            self.pairs[server.id] = group.pairs[server.id] = pair
        return pair

    def _find_group(self, server: Server) -> PeerGroup:
        key = (server.service, server.region)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = PeerGroup(server.region)
        return group

    def overdue_after(self, server: Server | None) -> Seconds:
        """Return the wait after which an attempt is overdue."""
        if server is None:
            return _DEFAULT_OVERDUE_S
        return self._find_group(server).latency.overdue_after

    def observe(self, attempt: Attempt, now: Seconds) -> Attribution | None:
        """Attribute an outcome; None if it is no evidence of a fault."""
        server = self._known_servers.servers.get(attempt.server)
        if server is None or server.incarnation != attempt.incarnation:
            self.dropped["attempt-on-other-incarnation"] += 1
            return None
        result = attempt.result
        # The common result is tested first, because hashing an enum member is
        # slow.
        if result is not AttemptResult.OK and result in _IGNORED:
            return None
        pair = self.find_pair(server)
        self._reporter.register_use(server.service, now)
        if result is AttemptResult.OK:
            latency = pair.group.latency
            latency.observe(attempt.latency)
            if attempt.latency <= latency.slow_after:
                self.causes.observe(server.region, server.id, False, now)
                pair.add_good(now)
                return None
            kind = EvidenceKind.SLOW
            is_very_slow = attempt.latency > latency.overdue_after
            if is_very_slow:
                pair.retract_unreachable()
            if not self.causes.is_own_pause(now - attempt.latency):
                pair.add_slow(is_very_slow, now)
        elif result in _UNREACHABLE:
            kind = EvidenceKind.UNREACHABLE
        else:
            kind = EvidenceKind.FAILED
        if result is AttemptResult.TIMEOUT:
            # A short deadline of the caller is no evidence against the server,
            # and on a fresh connection the attempt was counted when it became
            # overdue.
            overdue = attempt.latency >= pair.group.latency.overdue_after
            if attempt.fresh_connection or not overdue:
                return None
        elif not attempt.fresh_connection and result in (
            AttemptResult.OVERDUE,
            AttemptResult.CUT,
        ):
            return self._suspect_connection(pair, attempt.latency, now)
        return self.add_bad(server, kind, attempt.latency, now)

    def _suspect_connection(
        self, pair: Pair, latency: float, now: Seconds
    ) -> Attribution:
        if self.causes.is_own_pause(now - latency):
            return Attribution(Cause.OWN_PAUSE)
        pair.connection_suspected_at = now
        return Attribution(Cause.CONNECTION, probe=True)

    def add_bad(
        self, server: Server, kind: EvidenceKind, latency: float, now: Seconds
    ) -> Attribution:
        """Attribute a bad outcome to the first cause that explains it."""
        causes = self.causes
        if causes.is_own_pause(now - latency):
            return self._drop_outcome(Cause.OWN_PAUSE)
        unreachable = kind is EvidenceKind.UNREACHABLE
        newly_blamed = causes.observe(
            server.region, server.id, unreachable, now
        )
        if causes.is_link_blamed(server.region, now):
            return self._drop_outcome(Cause.REGION_LINK, newly_blamed)
        if causes.is_overloaded(now):
            self._reporter.clear()
            return self._drop_outcome(Cause.OWN_OVERLOAD)
        pair = self.find_pair(server)
        if (
            unreachable
            and now - pair.connection_suspected_at < _CONNECTION_SUSPICION_S
        ):
            # The connection was not at fault, so its missing response counts
            # against the server too.
            pair.add_bad(kind, now)
            pair.clear_connection_suspicion()
        pair.add_bad(kind, now)
        self._reporter.add(server.service, pair)
        score, kind = pair.score(now)
        return Attribution(Cause.PAIR, score, kind, score >= _SUSPICION_SCORE)

    def _drop_outcome(
        self, cause: Cause, newly_blamed: bool = False
    ) -> Attribution:
        self.dropped[cause.value] += 1
        return Attribution(cause, newly_blamed=newly_blamed)

    def observe_pause(self, duration: Seconds, now: Seconds) -> None:
        """Discard the evidence from a pause that ends now."""
        self.causes.observe_pause(now)
        for pair in self.pairs.values():
            if pair.last_bad >= now - duration:
                pair.clear()
        self._reporter.clear()
