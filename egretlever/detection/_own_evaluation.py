"""Ejection of servers based on the outcomes that this node observes."""

from egretlever.core import Seconds, Server, ServerId
from egretlever.detection._ejections import Ejections
from egretlever.detection._known_servers import KnownServers
from egretlever.detection._own_evidence import Attribution, OwnEvidence
from egretlever.detection._types import Cause, EjectionChange, EvidenceKind

# Factor of the threshold for a suspected or ramping server.
_SUSPECTED_FACTOR = 0.75
# Time for which the score must stay above the threshold. A flood (a surge of
# requests that overloads all servers) or a lost link shows on the peers as well
# within this time.
_CONFIRMATION_TIME_S = 0.15
# Errors and slow responses are far more frequent on healthy servers than
# unreachability, so their threshold is higher by this factor.
_FREQUENT_KIND_FACTOR = 1.5
# Peers must have mostly good outcomes for at least this time before the last
# error, because errors accumulate over a longer time than unreachability.
_ERROR_PEER_WINDOW_S = 1.5
# Largest share of bad outcomes of the peers at which a slow server is ejected.
# In a flood the share is larger until the latency thresholds have adapted.
_MAX_PEER_BAD_SHARE = 0.25


class OwnEvidenceEvaluator:
    """Marks servers as bad when only they have lasting bad outcomes.

    Parameters
    ----------
    known_servers : KnownServers
        Known servers and nodes.
    own : OwnEvidence
        Outcomes observed by this node.
    ejections : Ejections
        Ejection states that are updated.
    threshold : float
        Score from which an unreachable server is marked as bad.
    """

    def __init__(
        self,
        known_servers: KnownServers,
        own: OwnEvidence,
        ejections: Ejections,
        threshold: float,
    ) -> None:
        self._known_servers = known_servers
        self._own = own
        self._ejections = ejections
        self._threshold = threshold
        # Time at which the score of a server reached the threshold.
        self._pending: dict[ServerId, Seconds] = {}

    def observe(
        self, server: Server, attribution: Attribution, now: Seconds
    ) -> None:
        """Process the attribution of one bad outcome."""
        if attribution.newly_blamed:
            evidence = f"most servers of region {server.region} are unreachable"
            self._ejections.log(server.id, EjectionChange.LINK_BLAMED, evidence)
        needed = self._find_threshold(server.id, attribution.kind, now)
        if attribution.score >= needed:
            self._pending.setdefault(server.id, now)

    def _find_threshold(
        self, server_id: ServerId, kind: EvidenceKind, now: Seconds
    ) -> float:
        needed = self._threshold
        if kind is not EvidenceKind.UNREACHABLE:
            needed *= _FREQUENT_KIND_FACTOR
        pair = self._own.pairs.get(server_id)
        suspected = pair is not None and now < pair.suspected_until
        if suspected or self._ejections.is_ramping(server_id):
            return needed * _SUSPECTED_FACTOR
        return needed

    def advance(self, now: Seconds) -> None:
        """Mark servers whose score stayed above the threshold as bad."""
        for server_id, since in list(self._pending.items()):
            if now - since < _CONFIRMATION_TIME_S:
                continue
            pair = self._own.pairs.get(server_id)
            server = self._known_servers.servers.get(server_id)
            if pair is None or server is None:
                del self._pending[server_id]
                continue
            score, kind = pair.score(now)
            if score < self._find_threshold(server_id, kind, now):
                del self._pending[server_id]
                continue
            if kind is EvidenceKind.FAILED:
                since = Seconds(
                    min(since, pair.last_bad - _ERROR_PEER_WINDOW_S)
                )
            elif kind is EvidenceKind.SLOW and pair.slow_log_ratio:
                if pair.estimate_bad_share(0.0) > _MAX_PEER_BAD_SHARE:
                    continue
                since = Seconds(pair.slow_run_start)
            if pair.group.has_good_peers(server_id, since):
                del self._pending[server_id]
                self._ejections.mark_bad(
                    server, Cause.PAIR, kind, score, 1, now
                )
