"""Scheduling of ranks: strict priority with minimum shares."""

import math
from collections.abc import Sequence

from egretlever.admission._flows import RankQueue
from egretlever.admission._interface import RankPolicy
from egretlever.core import Finding, FindingsError

# A shed or late attempt doesn't count towards its rank's minimum share: its
# credit is refunded. Refunds are limited to this fraction of the share, so that
# the least urgent work can't take over a service whose answers are all late.
_REFUND_FRACTION = 0.25
_MAX_REFUNDS = 4.0

# Keeps the estimated wait finite.
_MIN_SHARE = 0.001


def check_ranks(ranks: Sequence[RankPolicy]) -> None:
    """Check the ranks of a catalogue together.

    Parameters
    ----------
    ranks : sequence of RankPolicy
        All ranks.

    Raises
    ------
    FindingsError
        When a priority is used twice, a share is out of [0, 1], or the
        shares add up to more than 1.
    """
    findings = []
    priorities = [rank.priority for rank in ranks]
    for rank in ranks:
        place = f"rank {rank.name}"
        if priorities.count(rank.priority) > 1:
            findings.append(
                Finding(place, f"priority {rank.priority} is used twice")
            )
        if not 0.0 <= rank.minimum_share <= 1.0:
            findings.append(
                Finding(place, f"share {rank.minimum_share} is not in [0, 1]")
            )
    total = sum(rank.minimum_share for rank in ranks)
    if total > 1.0:
        findings.append(
            Finding("ranks", f"minimum shares add up to more than 1: {total}")
        )
    if not ranks:
        findings.append(Finding("ranks", "at least one rank is required"))
    if findings:
        raise FindingsError(findings)


class RankSchedule:
    """Strict priority between ranks, with a minimum share for each.

    Each dispatch adds the minimum share of every other backlogged rank to its
    credit. A rank with a credit of 1 or more is dispatched before more urgent
    ranks. An empty queue keeps its credit: resetting it would cost a rank with
    bursty arrivals a tenth of its share.

    Parameters
    ----------
    ranks : sequence of RankPolicy
        All ranks.
    queues : sequence of RankQueue
        Queue of each rank in the same order, most urgent first.
    """

    __slots__ = ("_credits", "_queues", "_refundable", "_shares")

    def __init__(
        self, ranks: Sequence[RankPolicy], queues: Sequence[RankQueue]
    ) -> None:
        self._shares = [rank.minimum_share for rank in ranks]
        self._queues = queues
        self._credits = [0.0] * len(ranks)
        self._refundable = [0.0] * len(ranks)

    def rebuild(
        self,
        ranks: Sequence[RankPolicy],
        queues: Sequence[RankQueue],
        old_positions: Sequence[int | None],
    ) -> "RankSchedule":
        """Make the schedule of new ranks; ranks that stay keep their credit.

        Parameters
        ----------
        ranks, queues
            As for the constructor.
        old_positions : sequence of int or None
            Position of each rank before the change, None for a new rank.
        """
        changed = RankSchedule(ranks, queues)
        for position, old in enumerate(old_positions):
            if old is not None:
                changed._credits[position] = self._credits[old]
                changed._refundable[position] = self._refundable[old]
        return changed

    def choose(self) -> int | None:
        """Return the position of the rank to be dispatched next."""
        most_urgent = None
        for position, queue in enumerate(self._queues):
            if not queue:
                continue
            if self._credits[position] >= 1.0:
                return position
            if most_urgent is None:
                most_urgent = position
        return most_urgent

    def record_dispatch(self, position: int) -> None:
        """Record a dispatch of the rank at a position."""
        for other, queue in enumerate(self._queues):
            if other == position:
                # Dispatches by priority also count towards the share.
                self._credits[other] = max(
                    0.0, self._credits[other] + self._shares[other] - 1.0
                )
            elif queue:
                share = self._shares[other]
                self._credits[other] += share
                refunds = self._refundable[other] + _REFUND_FRACTION * share
                self._refundable[other] = min(refunds, _MAX_REFUNDS)

    def refund(self, position: int) -> None:
        """Return the credit of an attempt that was shed, failed or late."""
        refund = min(1.0, self._refundable[position])
        self._refundable[position] -= refund
        self._credits[position] += refund

    def count_reserved(self, position: int, queue_limit: int) -> int:
        """Return the queue places reserved for a rank."""
        return math.floor(self._shares[position] * queue_limit)

    def estimate_shares(
        self, position: int, more_urgent_share: float
    ) -> tuple[float, float]:
        """Estimate the shares of dispatches that a rank gets.

        Parameters
        ----------
        position : int
            Position of the rank.
        more_urgent_share : float
            Recent share of dispatches of more urgent ranks.

        Returns
        -------
        tuple of (float, float)
            Share that more urgent ranks and the minimum shares of less urgent
            ones leave, and the rank's own minimum share.
        """
        reserved = sum(
            self._shares[other]
            for other in range(position + 1, len(self._shares))
            if self._queues[other]
        )
        available = max(1.0 - more_urgent_share - reserved, _MIN_SHARE)
        return available, max(self._shares[position], _MIN_SHARE)
