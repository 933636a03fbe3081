"""Outcomes that a node observes on each server, compared among peers."""

import collections
import math
from collections.abc import Iterable

from egretlever.core import Incarnation, RegionName, Seconds, ServerId
from egretlever.detection._latency import LatencyDistribution
from egretlever.detection._scores import score_excess
from egretlever.detection._types import EvidenceKind, ServerReport

EVIDENCE_LIFETIME_S = 10.0
# Outcomes lose half of their weight in 3.5 s, so that a partial fault is
# evaluated over the last 10 s, which is also the lifetime of evidence.
_DECAY_TIME_S = 5.0
# Expected share of bad outcomes without data from the peers, and the number of
# outcomes that has the same weight as this prior.
_PRIOR_SHARE = {
    EvidenceKind.FAILED: 0.02,
    EvidenceKind.SLOW: 0.04,
    EvidenceKind.UNREACHABLE: 0.01,
}
_PRIOR_WEIGHT = 20.0
_KINDS = tuple(EvidenceKind)
_MAX_RECENT_OUTCOMES = 32
# Routing soon avoids a slow server, so its earlier good outcomes outweigh the
# few slow ones for a long time. A sequential test uses only the latest ones.
# These are the shares of slow and of very slow outcomes on a faulty server, and
# on a healthy server whose peers have fewer.
_FAULTY_SLOW_SHARE = 0.6
_FAULTY_VERY_SLOW_SHARE = 0.3
_USUAL_SLOW_SHARE = 0.03
_USUAL_VERY_SLOW_SHARE = 0.0015
# Log-likelihood ratios of 12.8 to 17 occurred by chance three times in 400
# server-hours at Kapra's size. With this factor a ratio of 20 is needed where
# the threshold is 12.
_SLOWNESS_SCALE = 0.6
# Change of the log-likelihood ratio by a good outcome: half of
# ln((1 - 0.9) / (1 - 0.035)), because a fifth of the outcomes of a server that
# is 5x slow look good.
_GOOD_OUTCOME_STEP = -1.1
# Slow outcomes closer together than this may result from one short stall.
_MIN_SLOW_SPACING_S = 0.05
# Number of outcomes of the peers that has the same weight as the usual shares.
_PEER_PRIOR_WEIGHT = 4.0


class Pair:
    """Evidence of this node about one server.

    A pair is the path from this node to that server.

    Parameters
    ----------
    server_id : ServerId
        Server that receives the attempts.
    incarnation : Incarnation
        Incarnation that the evidence belongs to.
    group : PeerGroup
        Servers it is compared with.
    """

    __slots__ = (
        "decayed_at",
        "decayed_attempts_",
        "decayed_bad_",
        "bad_outcomes",
        "group",
        "incarnation",
        "last_bad",
        "last_good",
        "connection_suspected_at",
        "reported_at",
        "unreachable_streak",
        "server_id",
        "since_report",
        "outcomes",
        "last_slow",
        "slow_counts",
        "slow_run_start",
        "slow_peer_start",
        "slow_log_ratio",
        "suspected_until",
    )

    def __init__(
        self, server_id: ServerId, incarnation: Incarnation, group: "PeerGroup"
    ) -> None:
        self.server_id = server_id
        self.incarnation = incarnation
        self.group = group
        self.suspected_until = -math.inf
        self.since_report = [0, 0, 0, 0]
        self.reported_at = 0.0
        self.outcomes = 0
        self.bad_outcomes = 0
        self.clear()

    def clear(self) -> None:
        """Discard the evidence."""
        self.decayed_at = 0.0
        self.decayed_attempts_ = 0.0
        self.decayed_bad_: list[float] | None = None
        self.unreachable_streak = 0
        self.slow_log_ratio = 0.0
        self.last_slow = -math.inf
        self.slow_run_start = -math.inf
        self.slow_counts = (0, 0)
        self.slow_peer_start = (0, 0)
        self.connection_suspected_at = -math.inf
        self.last_bad = -math.inf
        self.last_good = -math.inf
        self.since_report = [0, 0, 0, 0]

    def clear_connection_suspicion(self) -> None:
        """End the suspicion that a reused connection is broken."""
        self.connection_suspected_at = -math.inf

    def _decay(self, now: float) -> None:
        factor = math.exp((self.decayed_at - now) / _DECAY_TIME_S)
        self.decayed_at = now
        self.decayed_attempts_ *= factor
        if self.decayed_bad_ is not None:
            self.decayed_bad_ = [value * factor for value in self.decayed_bad_]

    def _count_outcome(self, is_good: bool, now: float) -> None:
        group = self.group
        group.recent_outcomes.append((now, self.server_id, is_good))
        group.outcomes += 1
        self.outcomes += 1
        if not is_good:
            group.bad_outcomes += 1
            self.bad_outcomes += 1

    def add_good(self, now: float) -> None:
        """Count a good outcome."""
        self._count_outcome(True, now)
        self._decay(now)
        self.decayed_attempts_ += 1
        self.unreachable_streak = 0
        if self.slow_log_ratio:
            self.slow_log_ratio = max(
                0.0, self.slow_log_ratio + _GOOD_OUTCOME_STEP
            )
        self.last_good = now
        self.connection_suspected_at = -math.inf
        self.since_report[3] += 1

    def add_bad(self, kind: EvidenceKind, now: float) -> None:
        """Count a bad outcome of a kind."""
        self._count_outcome(False, now)
        self._decay(now)
        self.decayed_attempts_ += 1
        if self.decayed_bad_ is None:
            self.decayed_bad_ = [0.0] * len(_KINDS)
        index = _KINDS.index(kind)
        self.decayed_bad_[index] += 1
        recent = (
            self.unreachable_streak
            if now - self.last_bad < EVIDENCE_LIFETIME_S
            else 0
        )
        self.unreachable_streak = (
            recent + 1 if kind is EvidenceKind.UNREACHABLE else 0
        )
        self.last_bad = now
        self.since_report[index] += 1

    def add_slow(self, is_very_slow: bool, now: float) -> None:
        """Count a slow response in the sequential test, before ``add_bad``.

        Parameters
        ----------
        is_very_slow : bool
            Whether the response came after it was overdue.
        now : float
            Reading of the clock.
        """
        if now - self.last_slow < _MIN_SLOW_SPACING_S:
            return
        if (
            self.slow_log_ratio <= 0
            or now - self.slow_run_start >= EVIDENCE_LIFETIME_S
        ):
            self.slow_log_ratio = 0.0
            self.slow_run_start = now
            self.slow_counts = (0, 0)
            self.slow_peer_start = self._count_peers()
        slow, very_slow = self.slow_counts
        self.slow_counts = (slow + (not is_very_slow), very_slow + is_very_slow)
        usual = _USUAL_VERY_SLOW_SHARE if is_very_slow else _USUAL_SLOW_SHARE
        faulty = _FAULTY_VERY_SLOW_SHARE if is_very_slow else _FAULTY_SLOW_SHARE
        self.slow_log_ratio += math.log(faulty / usual)
        self.last_slow = now

    def score_slowness(self, now: float) -> float:
        """Score the sequential test, corrected for slowness of the peers.

        Outcomes of the peers count from the first slow response on. Good ones
        from before the onset of a flood must not count.
        """
        if now - self.slow_run_start >= EVIDENCE_LIFETIME_S:
            return 0.0
        score = self.slow_log_ratio
        usual = (_USUAL_SLOW_SHARE, _USUAL_VERY_SLOW_SHARE)
        for count, share in zip(self.slow_counts, usual, strict=True):
            if count:
                raised = self.estimate_bad_share(share)
                score -= count * math.log(raised / share)
        return _SLOWNESS_SCALE * max(0.0, score)

    def _count_peers(self) -> tuple[int, int]:
        """Return the numbers of all and of bad outcomes of the peers."""
        group = self.group
        bad = group.bad_outcomes - self.bad_outcomes
        return group.outcomes - self.outcomes, bad

    def estimate_bad_share(self, usual: float) -> float:
        """Estimate the share of bad outcomes of the peers in the slow run.

        Parameters
        ----------
        usual : float
            Share without outcomes of the peers; also the minimum result.
        """
        total, total_bad = self._count_peers()
        outcomes = total - self.slow_peer_start[0]
        bad = total_bad - self.slow_peer_start[1]
        weight = _PEER_PRIOR_WEIGHT
        return max(usual, (bad + usual * weight) / (outcomes + weight))

    def retract_unreachable(self) -> None:
        """Undo an overdue attempt whose response arrived later."""
        if self.decayed_bad_ is not None:
            index = _KINDS.index(EvidenceKind.UNREACHABLE)
            self.decayed_bad_[index] = max(0.0, self.decayed_bad_[index] - 1)
            if self.since_report[index] > 0:
                self.since_report[index] -= 1

    def measure(self, now: float) -> tuple[float, tuple[float, ...]]:
        """Return the decayed number of attempts, and of bad ones by kind."""
        factor = math.exp((self.decayed_at - now) / _DECAY_TIME_S)
        bad = self.decayed_bad_ or (0.0, 0.0, 0.0)
        return self.decayed_attempts_ * factor, tuple(
            value * factor for value in bad
        )

    def success_share(self, now: float) -> float:
        """Return the recent share of good outcomes; 1 without attempts."""
        attempts, bad = self.measure(now)
        worst = max(sum(bad), float(self.unreachable_streak))
        return max(0.0, 1.0 - worst / max(attempts, worst, 1.0))

    def take_report(self, now: float) -> ServerReport:
        """Return the outcomes since the last report and reset the counts."""
        failed, slow, unreachable, good = self.since_report
        window = min(now - self.reported_at, 10.0)
        self.since_report = [0, 0, 0, 0]
        self.reported_at = now
        return ServerReport(
            self.server_id,
            self.incarnation,
            good,
            failed,
            slow,
            unreachable,
            Seconds(window),
        )

    def score(self, now: float) -> tuple[float, EvidenceKind]:
        """Return the highest score of a kind of evidence, and the kind."""
        attempts, bad = self.measure(now)
        expected = self.group.expect_shares(self, now)
        best = (0.0, EvidenceKind.FAILED)
        for kind, count, share in zip(_KINDS, bad, expected, strict=True):
            value = score_excess(count, max(attempts, 1.0) * share)
            lasting = (
                self.unreachable_streak
                and now - self.last_bad < EVIDENCE_LIFETIME_S
            )
            if kind is EvidenceKind.UNREACHABLE and lasting:
                value = max(
                    value,
                    score_excess(
                        self.unreachable_streak, self.unreachable_streak * share
                    ),
                )
            if kind is EvidenceKind.SLOW and self.slow_log_ratio:
                value = max(value, self.score_slowness(now))
            best = max(best, (value, kind), key=lambda item: item[0])
        return best


class PeerGroup:
    """Servers of one service in one region, which are compared as peers.

    Servers of different regions are not compared, so that a slow or lost
    region link singles out none of them.

    Parameters
    ----------
    region : RegionName
        Region of the servers.
    """

    __slots__ = (
        "bad_outcomes",
        "latency",
        "outcomes",
        "pairs",
        "recent_outcomes",
        "region",
    )

    def __init__(self, region: RegionName) -> None:
        self.region = region
        self.latency = LatencyDistribution()
        self.outcomes = 0
        self.bad_outcomes = 0
        self.pairs: dict[ServerId, Pair] = {}
        self.recent_outcomes: collections.deque[
            tuple[float, ServerId, bool]
        ] = collections.deque(maxlen=_MAX_RECENT_OUTCOMES)

    def has_good_peers(self, judged: ServerId, since: float) -> bool:
        """Return whether peers did well while this server had bad outcomes.

        Otherwise a flood or a lost link is as likely a cause as the server.
        Good outcomes after the last bad one are ignored, because the fault may
        have ended in between.
        """
        good = bad = 0
        until = self.pairs[judged].last_bad
        for at, server_id, is_good in self.recent_outcomes:
            if since <= at <= until and server_id != judged:
                good += is_good
                bad += not is_good
        return good >= 2 and good >= 2 * bad

    def expect_shares(self, judged: Pair, now: float) -> list[float]:
        """Estimate the share of bad outcomes of a server's peers, by kind.

        The worst quarter of the peers is excluded, so that a few bad servers
        do not mask one another.
        """
        peers = [
            pair.measure(now)
            for pair in self.pairs.values()
            if pair is not judged and now - pair.decayed_at < 3 * _DECAY_TIME_S
        ]
        peers.sort(key=lambda peer: sum(peer[1]) / max(peer[0], 1.0))
        peers = peers[: len(peers) - (len(peers) + 3) // 4]
        return [
            _expect_share(peers, index, _PRIOR_SHARE[kind])
            for index, kind in enumerate(_KINDS)
        ]


def _expect_share(
    peers: Iterable[tuple[float, tuple[float, ...]]], index: int, prior: float
) -> float:
    attempts = _PRIOR_WEIGHT
    bad = _PRIOR_WEIGHT * prior
    for peer_attempts, peer_bad in peers:
        attempts += peer_attempts
        bad += peer_bad[index]
    return min(max(bad / attempts, prior), 1.0)
