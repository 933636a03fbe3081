"""Choice of the rank that is dispatched next."""

import math
from collections.abc import Sequence

from egretlever.admission._flows import RankQueue
from egretlever.admission._interface import RankPolicy
from egretlever.core import Finding, FindingsError

# A shed or late attempt doesn't count for its rank's minimum share. Refunds
# are at most this part of the share, so that a service whose answers are all
# late can't be filled with its least urgent work.
_REFUND_PART = 0.25
_MOST_REFUNDS = 4.0

# Keeps the expected wait finite.
_LEAST_SHARE = 0.001


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
        findings.append(Finding("ranks", f"minimum shares add up to {total}"))
    if not ranks:
        findings.append(Finding("ranks", "there is no rank"))
    if findings:
        raise FindingsError(findings)


class RankSchedule:
    """Strict priority between ranks, with a minimum share for each.

    Each dispatch gives every other backlogged rank credit of its minimum
    share. A rank with a whole credit is dispatched before more urgent ones.
    Credit is kept while a queue is empty for a moment: taking it away cost a
    rank whose work arrives in bursts a tenth of its share.

    Parameters
    ----------
    ranks : sequence of RankPolicy
        All ranks.
    queues : sequence of RankQueue
        Queue of each rank in the same order, most urgent first.
    """

    __slots__ = ("_credits", "_queues", "_refunds", "_shares")

    def __init__(
        self, ranks: Sequence[RankPolicy], queues: Sequence[RankQueue]
    ) -> None:
        self._shares = [rank.minimum_share for rank in ranks]
        self._queues = queues
        self._credits = [0.0] * len(ranks)
        self._refunds = [0.0] * len(ranks)

    def change(
        self,
        ranks: Sequence[RankPolicy],
        queues: Sequence[RankQueue],
        kept: Sequence[int | None],
    ) -> "RankSchedule":
        """Make the schedule of changed ranks, which keep their credit.

        Parameters
        ----------
        ranks, queues
            As for the constructor.
        kept : sequence of int or None
            Position of each rank before the change, None for a new one.
        """
        changed = RankSchedule(ranks, queues)
        for position, before in enumerate(kept):
            if before is not None:
                changed._credits[position] = self._credits[before]
                changed._refunds[position] = self._refunds[before]
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

    def record(self, position: int) -> None:
        """Record a dispatch of the rank at a position."""
        for other, queue in enumerate(self._queues):
            if other == position:
                # Work dispatched by priority also counts for the share.
                self._credits[other] = max(
                    0.0, self._credits[other] + self._shares[other] - 1.0
                )
            elif queue:
                share = self._shares[other]
                self._credits[other] += share
                refunds = self._refunds[other] + _REFUND_PART * share
                self._refunds[other] = min(refunds, _MOST_REFUNDS)

    def refund(self, position: int) -> None:
        """Give back the credit of an attempt that brought nothing in time."""
        refund = min(1.0, self._refunds[position])
        self._refunds[position] -= refund
        self._credits[position] += refund

    def reserved(self, position: int, queue_limit: int) -> int:
        """Return the waiting places of a rank that no other rank takes."""
        return math.floor(self._shares[position] * queue_limit)

    def find_shares(
        self, position: int, urgent_share: float
    ) -> tuple[float, float]:
        """Return the shares of dispatches that a rank can expect.

        Parameters
        ----------
        position : int
            Position of the rank.
        urgent_share : float
            Share of dispatches taken by more urgent ranks lately.

        Returns
        -------
        tuple of (float, float)
            Share left by more urgent ranks and by minimum shares, and the
            rank's own minimum share.
        """
        kept = sum(
            self._shares[other]
            for other in range(position + 1, len(self._shares))
            if self._queues[other]
        )
        left = max(1.0 - urgent_share - kept, _LEAST_SHARE)
        return left, max(self._shares[position], _LEAST_SHARE)
