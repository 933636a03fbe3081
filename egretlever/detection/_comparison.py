"""Comparison of the servers of a service based on reported outcomes."""

import collections
import math
from collections.abc import Collection, Mapping, Sequence

from egretlever.core import Incarnation, NodeId, ServerId
from egretlever.detection._scores import estimate_typical, score_excess
from egretlever.detection._types import EvidenceKind

KINDS = tuple(EvidenceKind)
# Total faults show in the shortest window, partial faults in the longer ones.
# The longest is the lifetime of evidence.
WINDOWS_S = (1.0, 3.0, 10.0)
EVIDENCE_LIFETIME_S = WINDOWS_S[-1]
# Expected bad outcomes per second and server, by kind, without other data.
PRIOR_RATES_PER_S = (0.02, 0.02, 0.005)
# A reporter has weight 1 with one bad outcome in a window and 1.5 with more.
# Outcomes of one node are not independent, and a single node with a broken path
# must not get a server ejected.
_MAX_REPORTER_WEIGHT = 1.5
# Reporters weigh more in a region of few nodes: with two nodes, a verdict needs
# about five bad outcomes that both of them observed.
_TOTAL_REPORTER_WEIGHT = 12.0
# Unreachability that is widespread among the peers, as in a flood, varies more
# than a Poisson count, so its score is reduced. The longest window counts too:
# in the shortest one most peers had none while 11 of 17 had some in 10 s.
_WIDESPREAD_MEAN = 0.25
_WIDESPREAD_FACTOR = 0.7
_MAX_EVENTS_PER_SERVER = 64

Counts = tuple[tuple[float, int], ...]
_NO_COUNTS: Counts = ((0.0, 0),) * (len(KINDS) * len(WINDOWS_S))


class ServerEvents:
    """Reported bad outcomes of one server.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the server that the reports are about.
    """

    __slots__ = (
        "conclusive_since",
        "events",
        "suspected_until",
        "incarnation",
        "sent_at",
    )

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        # (time, reporter, index of the kind, number of outcomes)
        self.events: collections.deque[tuple[float, NodeId, int, int]] = (
            collections.deque(maxlen=_MAX_EVENTS_PER_SERVER)
        )
        self.sent_at = -math.inf
        # Time since which the score has been above the threshold.
        self.conclusive_since = math.inf
        self.suspected_until = -math.inf

    def count(
        self,
        now: float,
        ignored: Collection[NodeId],
        max_weight: float = _MAX_REPORTER_WEIGHT,
    ) -> Counts:
        """Return total weight and number of reporters by kind and window.

        Parameters
        ----------
        now : float
            Reading of the clock.
        ignored : collection of NodeId
            Reporters whose outcomes are not counted.
        max_weight : float, default=1.5
            Largest weight of one reporter.
        """
        if not self.events:
            return _NO_COUNTS
        by_reporter: list[dict[NodeId, int]] = [
            {} for _ in range(len(KINDS) * len(WINDOWS_S))
        ]
        for at, reporter, kind, number in self.events:
            if reporter in ignored:
                continue
            for index, window in enumerate(WINDOWS_S):
                if now - at <= window:
                    counts = by_reporter[kind * len(WINDOWS_S) + index]
                    counts[reporter] = counts.get(reporter, 0) + number
        return tuple(
            (
                sum(min(float(n), max_weight) for n in counts.values()),
                len(counts),
            )
            for counts in by_reporter
        )


def find_unreliable_reporters(
    evidence: Mapping[ServerId, ServerEvents],
    servers: Sequence[ServerId],
    now: float,
) -> set[NodeId]:
    """Return reporters that report most servers as bad.

    Such a node is more likely to have been paused or cut off.
    """
    blamed: dict[NodeId, set[ServerId]] = {}
    for server_id in servers:
        events = evidence.get(server_id)
        if events is not None:
            for at, reporter, _, _ in events.events:
                if now - at <= WINDOWS_S[1]:
                    blamed.setdefault(reporter, set()).add(server_id)
    limit = max(4, 0.6 * len(servers))
    return {node for node, named in blamed.items() if len(named) >= limit}


def count_evidence(
    evidence: Mapping[ServerId, ServerEvents],
    servers: Sequence[ServerId],
    now: float,
    node_count: int = 1000,
) -> dict[ServerId, Counts]:
    """Count the evidence on each server, without unreliable reporters.

    The weight of a reporter is larger in a region of few nodes.
    """
    max_weight = max(
        _MAX_REPORTER_WEIGHT, _TOTAL_REPORTER_WEIGHT / max(node_count, 1)
    )
    ignored = find_unreliable_reporters(evidence, servers, now)
    return {
        server: evidence[server].count(now, ignored, max_weight)
        if server in evidence
        else _NO_COUNTS
        for server in servers
    }


def find_strongest_evidence(
    own: Counts,
    peers: Sequence[Counts],
    base_rates: Sequence[float],
    min_reporters: int,
    min_ratio: float,
) -> tuple[float, int, EvidenceKind]:
    """Return score, reporters and kind of the strongest evidence.

    Parameters
    ----------
    own : Counts
        Counts of the evaluated server.
    peers : sequence of Counts
        Counts of the servers it is compared with.
    base_rates : sequence of float
        Usual bad outcomes per second and server, by kind.
    min_reporters : int
        Number of distinct reporters that are needed.
    min_ratio : float
        Minimum ratio of the count to the one expected from the peers.
    """
    best = (0.0, 0, EvidenceKind.FAILED)
    for index, (bad, reporters) in enumerate(own):
        if reporters < min_reporters:
            continue
        kind, window = divmod(index, len(WINDOWS_S))
        rate = max(base_rates[kind], PRIOR_RATES_PER_S[kind])
        typical = estimate_typical([counts[index][0] for counts in peers])
        # The longest window has the smallest estimation error.
        last = kind * len(WINDOWS_S) + len(WINDOWS_S) - 1
        long_term = estimate_typical([counts[last][0] for counts in peers])
        rate = max(rate, long_term / EVIDENCE_LIFETIME_S)
        expected = max(typical, rate * WINDOWS_S[window])
        score = score_excess(bad, expected)
        is_widespread = max(typical, long_term) > _WIDESPREAD_MEAN
        if is_widespread and KINDS[kind] is EvidenceKind.UNREACHABLE:
            score *= _WIDESPREAD_FACTOR
        if bad >= min_ratio * expected and score > best[0]:
            best = (score, reporters, KINDS[kind])
    return best
