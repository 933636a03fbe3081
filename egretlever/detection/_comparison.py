"""Comparison of the servers of a service with one another."""

import collections
import math
from collections.abc import Collection, Mapping, Sequence

from egretlever.core import Incarnation, NodeId, ServerId
from egretlever.detection._scores import estimate_typical, score_excess
from egretlever.detection._types import EvidenceKind

KINDS = tuple(EvidenceKind)
# Total faults show in the shortest window and partial faults in the longer
# ones. The longest is the lifetime of evidence.
WINDOWS = (1.0, 3.0, 10.0)
LIFETIME = WINDOWS[-1]
# Expected bad outcomes per second of a server while nothing is known.
PRIOR_RATE = (0.02, 0.02, 0.005)
# A reporter weighs 1 with one bad outcome in a window and 1.5 with more. The
# outcomes of one node are not independent, and a single node with a broken
# path must not convict a server.
_CONFIRMED = 1.5
# A region of few nodes has few reporters, and each counts for more: with two
# nodes some five bad outcomes are needed that both of them saw.
_WEIGHT_OF_ALL = 12.0
# Unreachability that the peers show as well, as in a flood, varies more than
# chance alone explains, and its score counts less. The longest window tells:
# in the shortest one most peers have none while 11 of 17 had some in 10 s.
_TROUBLED = 0.25
_TROUBLED_FACTOR = 0.7
_EVENTS_PER_SERVER = 64

Counts = tuple[tuple[float, int], ...]
_NOTHING: Counts = ((0.0, 0),) * (len(KINDS) * len(WINDOWS))


class ServerEvents:
    """Reported bad outcomes of one server.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the server that the reports are about.
    """

    __slots__ = ("crossed", "events", "hinted_until", "incarnation", "sent")

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        # (time, reporter, index of the kind, number of outcomes)
        self.events: collections.deque[tuple[float, NodeId, int, int]] = (
            collections.deque(maxlen=_EVENTS_PER_SERVER)
        )
        self.sent = -math.inf
        # Time since which the score is above the threshold.
        self.crossed = math.inf
        self.hinted_until = -math.inf

    def count(
        self, now: float, ignored: Collection[NodeId], most: float = _CONFIRMED
    ) -> Counts:
        """Return weight and number of reporters for each kind and window.

        Parameters
        ----------
        now : float
            Reading of the clock.
        ignored : collection of NodeId
            Reporters whose outcomes do not count.
        most : float, default=1.5
            Largest weight of one reporter.
        """
        if not self.events:
            return _NOTHING
        by_reporter: list[dict[NodeId, int]] = [
            {} for _ in range(len(KINDS) * len(WINDOWS))
        ]
        for at, reporter, kind, number in self.events:
            if reporter in ignored:
                continue
            for index, window in enumerate(WINDOWS):
                if now - at <= window:
                    counts = by_reporter[kind * len(WINDOWS) + index]
                    counts[reporter] = counts.get(reporter, 0) + number
        return tuple(
            (
                sum(min(float(n), most) for n in counts.values()),
                len(counts),
            )
            for counts in by_reporter
        )


def find_doubtful(
    evidence: Mapping[ServerId, ServerEvents],
    servers: Sequence[ServerId],
    now: float,
) -> set[NodeId]:
    """Return reporters that blame most servers: paused, or cut off."""
    blamed: dict[NodeId, set[ServerId]] = {}
    for server_id in servers:
        events = evidence.get(server_id)
        if events is not None:
            for at, reporter, _, _ in events.events:
                if now - at <= WINDOWS[1]:
                    blamed.setdefault(reporter, set()).add(server_id)
    limit = max(4, 0.6 * len(servers))
    return {node for node, named in blamed.items() if len(named) >= limit}


def count_all(
    evidence: Mapping[ServerId, ServerEvents],
    servers: Sequence[ServerId],
    now: float,
    nodes: int = 1000,
) -> dict[ServerId, Counts]:
    """Count the evidence on each server, without doubtful reporters.

    The fewer nodes the region has, the more a reporter weighs.
    """
    most = max(_CONFIRMED, _WEIGHT_OF_ALL / max(nodes, 1))
    ignored = find_doubtful(evidence, servers, now)
    return {
        server: evidence[server].count(now, ignored, most)
        if server in evidence
        else _NOTHING
        for server in servers
    }


def find_worst(
    own: Counts,
    peers: Sequence[Counts],
    base: Sequence[float],
    min_reporters: int,
    min_ratio: float,
) -> tuple[float, int, EvidenceKind]:
    """Return score, reporters and kind of the strongest evidence.

    Parameters
    ----------
    own : Counts
        Counts of the judged server.
    peers : sequence of Counts
        Counts of the servers that it is compared with.
    base : sequence of float
        Usual bad outcomes per second and server, by kind.
    min_reporters : int
        Distinct reporters that are needed.
    min_ratio : float
        Least ratio to what is expected from the peers.
    """
    best = (0.0, 0, EvidenceKind.FAILED)
    for index, (bad, reporters) in enumerate(own):
        if reporters < min_reporters:
            continue
        kind, window = divmod(index, len(WINDOWS))
        rate = max(base[kind], PRIOR_RATE[kind])
        typical = estimate_typical([counts[index][0] for counts in peers])
        # The longest window has the least error of estimation.
        last = kind * len(WINDOWS) + len(WINDOWS) - 1
        lasting = estimate_typical([counts[last][0] for counts in peers])
        rate = max(rate, lasting / LIFETIME)
        expected = max(typical, rate * WINDOWS[window])
        score = score_excess(bad, expected)
        troubled = max(typical, lasting) > _TROUBLED
        if troubled and KINDS[kind] is EvidenceKind.UNREACHABLE:
            score *= _TROUBLED_FACTOR
        if bad >= min_ratio * expected and score > best[0]:
            best = (score, reporters, KINDS[kind])
    return best
