"""A node's own evidence about the servers that it tries."""

import collections
import math
from collections.abc import Iterable

from egretlever.core import Incarnation, RegionName, Seconds, ServerId
from egretlever.detection._latency import LatencyDistribution
from egretlever.detection._scores import score_excess
from egretlever.detection._types import EvidenceKind, ServerReport

LIFETIME = 10.0
# Outcomes lose half of their weight in 3.5 s, so that a partial fault is
# judged from the last 10 s, in which evidence also expires.
_DECAY = 5.0
# Expected share of bad outcomes without knowledge of the peers, and the
# number of outcomes that this expectation weighs as much as.
_PRIOR_SHARE = {
    EvidenceKind.FAILED: 0.02,
    EvidenceKind.SLOW: 0.04,
    EvidenceKind.UNREACHABLE: 0.01,
}
_PRIOR_WEIGHT = 20.0
_KINDS = tuple(EvidenceKind)
_RECENT = 32
# Routing soon avoids a slow server, so that its earlier good outcomes outweigh
# the few slow ones for long. A sequential test judges the latest ones alone:
# these are the shares of slow and of very slow outcomes on a faulty server,
# and on a healthy one while its peers have fewer.
_FAULTY_SLOW = 0.6
_FAULTY_VERY_SLOW = 0.3
_USUAL_SLOW = 0.03
_USUAL_VERY_SLOW = 0.0015
# Sums of 12.8 to 17 came up by chance three times in 400 server-hours at
# Kapra's size. With this factor a sum of 20 is needed where others need 12.
_SLOW_SCALE = 0.6
# Score that a good outcome takes back: ln((1 - 0.9) / (1 - 0.035)), halved
# since a fifth of the outcomes of a server that is 5x slow look good.
_GOOD_STEP = -1.1
# Slow outcomes closer than this may share one short stall of the server.
_STALL = 0.05
# Outcomes that the usual shares weigh as much as in the contrast with peers.
_CONTRAST_WEIGHT = 4.0


class Pair:
    """Evidence of this node about one server.

    Parameters
    ----------
    server_id : ServerId
        Server that is tried.
    incarnation : Incarnation
        Incarnation that the evidence belongs to.
    group : Group
        Servers that it is compared with.
    """

    __slots__ = (
        "at",
        "attempts_",
        "bad_",
        "bad_outcomes",
        "group",
        "incarnation",
        "last_bad",
        "last_good",
        "provisional",
        "reported_at",
        "run",
        "server_id",
        "since_report",
        "outcomes",
        "slow_at",
        "slow_counts",
        "slow_since",
        "slow_start",
        "slow_sum",
        "suspected_until",
    )

    def __init__(
        self, server_id: ServerId, incarnation: Incarnation, group: "Group"
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
        """Void the evidence."""
        self.at = 0.0
        self.attempts_ = 0.0
        self.bad_: list[float] | None = None
        self.run = 0
        self.slow_sum = 0.0
        self.slow_at = -math.inf
        self.slow_since = -math.inf
        self.slow_counts = (0, 0)
        self.slow_start = (0, 0)
        self.provisional = -math.inf
        self.last_bad = -math.inf
        self.last_good = -math.inf
        self.since_report = [0, 0, 0, 0]

    def clear_doubt(self) -> None:
        """Note that the reused connection is no longer in doubt."""
        self.provisional = -math.inf

    def _decay(self, now: float) -> None:
        factor = math.exp((self.at - now) / _DECAY)
        self.at = now
        self.attempts_ *= factor
        if self.bad_ is not None:
            self.bad_ = [value * factor for value in self.bad_]

    def _count(self, is_good: bool, now: float) -> None:
        group = self.group
        group.recent.append((now, self.server_id, is_good))
        group.outcomes += 1
        self.outcomes += 1
        if not is_good:
            group.bad_outcomes += 1
            self.bad_outcomes += 1

    def add_good(self, now: float) -> None:
        """Count an attempt that ended well."""
        self._count(True, now)
        self._decay(now)
        self.attempts_ += 1
        self.run = 0
        if self.slow_sum:
            self.slow_sum = max(0.0, self.slow_sum + _GOOD_STEP)
        self.last_good = now
        self.provisional = -math.inf
        self.since_report[3] += 1

    def add_bad(self, kind: EvidenceKind, now: float) -> None:
        """Count an attempt that ended badly."""
        self._count(False, now)
        self._decay(now)
        self.attempts_ += 1
        if self.bad_ is None:
            self.bad_ = [0.0] * len(_KINDS)
        index = _KINDS.index(kind)
        self.bad_[index] += 1
        recent = self.run if now - self.last_bad < LIFETIME else 0
        self.run = recent + 1 if kind is EvidenceKind.UNREACHABLE else 0
        self.last_bad = now
        self.since_report[index] += 1

    def add_slow(self, very: bool, now: float) -> None:
        """Count a slow answer, before ``add_bad``, in the sequential test.

        Parameters
        ----------
        very : bool
            Whether the answer came after it was overdue.
        now : float
            Reading of the clock.
        """
        if now - self.slow_at < _STALL:
            return
        if self.slow_sum <= 0 or now - self.slow_since >= LIFETIME:
            self.slow_sum = 0.0
            self.slow_since = now
            self.slow_counts = (0, 0)
            self.slow_start = self._count_peers()
        slow, very_slow = self.slow_counts
        self.slow_counts = (slow + (not very), very_slow + very)
        usual = _USUAL_VERY_SLOW if very else _USUAL_SLOW
        faulty = _FAULTY_VERY_SLOW if very else _FAULTY_SLOW
        self.slow_sum += math.log(faulty / usual)
        self.slow_at = now

    def score_slowness(self, now: float) -> float:
        """Score the sequential test, less what the peers show as well.

        Peers count from the first slow answer on: at the onset of a flood the
        good outcomes before it say nothing.
        """
        if now - self.slow_since >= LIFETIME:
            return 0.0
        score = self.slow_sum
        usual = (_USUAL_SLOW, _USUAL_VERY_SLOW)
        for count, share in zip(self.slow_counts, usual, strict=True):
            if count:
                raised = self.estimate_bad_share(share)
                score -= count * math.log(raised / share)
        return _SLOW_SCALE * max(0.0, score)

    def _count_peers(self) -> tuple[int, int]:
        """Return all outcomes of the peers so far, and the bad ones."""
        group = self.group
        bad = group.bad_outcomes - self.bad_outcomes
        return group.outcomes - self.outcomes, bad

    def estimate_bad_share(self, usual: float) -> float:
        """Return the share of bad outcomes of the peers in the slow run.

        Parameters
        ----------
        usual : float
            Share without outcomes of peers, and least result.
        """
        total, total_bad = self._count_peers()
        outcomes = total - self.slow_start[0]
        bad = total_bad - self.slow_start[1]
        weight = _CONTRAST_WEIGHT
        return max(usual, (bad + usual * weight) / (outcomes + weight))

    def retract_unreachable(self) -> None:
        """Take back one overdue attempt whose answer came after all."""
        if self.bad_ is not None:
            index = _KINDS.index(EvidenceKind.UNREACHABLE)
            self.bad_[index] = max(0.0, self.bad_[index] - 1)
            if self.since_report[index] > 0:
                self.since_report[index] -= 1

    def measure(self, now: float) -> tuple[float, tuple[float, ...]]:
        """Return the decayed numbers of attempts and of bad ones by kind."""
        factor = math.exp((self.at - now) / _DECAY)
        bad = self.bad_ or (0.0, 0.0, 0.0)
        return self.attempts_ * factor, tuple(value * factor for value in bad)

    def success_share(self, now: float) -> float:
        """Return the recent share of good outcomes, 1 without attempts."""
        attempts, bad = self.measure(now)
        worst = max(sum(bad), float(self.run))
        return max(0.0, 1.0 - worst / max(attempts, worst, 1.0))

    def take_report(self, now: float) -> ServerReport:
        """Return the outcomes since the last report and start anew."""
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
        """Score the evidence against the peers of the group."""
        attempts, bad = self.measure(now)
        expected = self.group.expect_shares(self, now)
        best = (0.0, EvidenceKind.FAILED)
        for kind, count, share in zip(_KINDS, bad, expected, strict=True):
            value = score_excess(count, max(attempts, 1.0) * share)
            lasting = self.run and now - self.last_bad < LIFETIME
            if kind is EvidenceKind.UNREACHABLE and lasting:
                value = max(value, score_excess(self.run, self.run * share))
            if kind is EvidenceKind.SLOW and self.slow_sum:
                value = max(value, self.score_slowness(now))
            best = max(best, (value, kind), key=lambda item: item[0])
        return best


class Group:
    """Servers of one service in one region, compared with one another.

    Servers of another region are compared among themselves, so that a slow or
    lost region link makes none of them stand out.

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
        "recent",
        "region",
    )

    def __init__(self, region: RegionName) -> None:
        self.region = region
        self.latency = LatencyDistribution()
        self.outcomes = 0
        self.bad_outcomes = 0
        self.pairs: dict[ServerId, Pair] = {}
        self.recent: collections.deque[tuple[float, ServerId, bool]] = (
            collections.deque(maxlen=_RECENT)
        )

    def has_good_peers(self, judged: ServerId, since: float) -> bool:
        """Tell whether other servers did well while this one did badly.

        Without this contrast a flood or a lost link is as likely a cause as
        the server. Good outcomes after the last bad one prove nothing, because
        the fault may have ended in between.
        """
        good = bad = 0
        until = self.pairs[judged].last_bad
        for at, server_id, is_good in self.recent:
            if since <= at <= until and server_id != judged:
                good += is_good
                bad += not is_good
        return good >= 2 and good >= 2 * bad

    def expect_shares(self, judged: Pair, now: float) -> list[float]:
        """Return the share of bad outcomes by kind of a server's peers.

        The worst quarter of the peers is left out, so that a few bad servers
        do not hide one another.
        """
        peers = [
            pair.measure(now)
            for pair in self.pairs.values()
            if pair is not judged and now - pair.at < 3 * _DECAY
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
