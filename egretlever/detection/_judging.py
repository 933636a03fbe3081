"""Conviction of a server on the node's own evidence."""

from egretlever.core import Seconds, Server, ServerId
from egretlever.detection._directory import Directory
from egretlever.detection._ejections import Ejections
from egretlever.detection._own_evidence import Judgement, OwnEvidence
from egretlever.detection._types import Cause, Change, EvidenceKind

# Share of the threshold that is enough against a suspected server.
_HINTED = 0.75
# Time for which own evidence has to stay conclusive, in which a flood or a
# lost link shows on the peers as well.
_SETTLE = 0.15
# Errors and slow answers occur on healthy servers far more often than
# unreachability does, and need a score higher by this factor.
_FREQUENT = 1.5
# Errors count against a server over a longer time, in which its peers have to
# do well.
_CONTRAST = 1.5
# Largest share of bad outcomes of the peers while one server is slow. A flood
# makes more of them bad until the latency thresholds have followed it.
_MOST_BAD = 0.25


class PairJudge:
    """Condemns servers whose own evidence lasts while their peers do well.

    Parameters
    ----------
    directory : Directory
        Known servers and nodes.
    own : OwnEvidence
        Evidence of this node.
    ejections : Ejections
        Takes the condemned servers.
    threshold : float
        Score that condemns a server as unreachable.
    """

    def __init__(
        self,
        directory: Directory,
        own: OwnEvidence,
        ejections: Ejections,
        threshold: float,
    ) -> None:
        self._directory = directory
        self._own = own
        self._ejections = ejections
        self._threshold = threshold
        # Servers with conclusive own evidence, and since when.
        self._pending: dict[ServerId, Seconds] = {}

    def observe(
        self, server: Server, judgement: Judgement, now: Seconds
    ) -> None:
        """Take in the judgement of one bad outcome."""
        if judgement.newly_blamed:
            evidence = f"most servers of region {server.region} are unreachable"
            self._ejections.log(server.id, Change.LINK_BLAMED, evidence)
        needed = self._find_threshold(server.id, judgement.kind, now)
        if judgement.score >= needed:
            self._pending.setdefault(server.id, now)

    def _find_threshold(
        self, server_id: ServerId, kind: EvidenceKind, now: Seconds
    ) -> float:
        needed = self._threshold
        if kind is not EvidenceKind.UNREACHABLE:
            needed *= _FREQUENT
        pair = self._own.pairs.get(server_id)
        hinted = pair is not None and now < pair.suspected_until
        if hinted or self._ejections.is_ramping(server_id):
            return needed * _HINTED
        return needed

    def advance(self, now: Seconds) -> None:
        """Condemn servers whose evidence has settled."""
        for server_id, since in list(self._pending.items()):
            if now - since < _SETTLE:
                continue
            pair = self._own.pairs.get(server_id)
            server = self._directory.servers.get(server_id)
            if pair is None or server is None:
                del self._pending[server_id]
                continue
            score, kind = pair.score(now)
            if score < self._find_threshold(server_id, kind, now):
                del self._pending[server_id]
                continue
            if kind is EvidenceKind.FAILED:
                since = Seconds(min(since, pair.last_bad - _CONTRAST))
            elif kind is EvidenceKind.SLOW and pair.slow_sum:
                if pair.estimate_bad_share(0.0) > _MOST_BAD:
                    continue
                since = Seconds(pair.slow_since)
            if pair.group.has_good_peers(server_id, since):
                del self._pending[server_id]
                self._ejections.mark_bad(
                    server, Cause.PAIR, kind, score, 1, now
                )
