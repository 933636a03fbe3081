"""Summary of a load run by rank."""

import dataclasses
from collections.abc import Iterable

from egretlever.core import Outcome
from egretlever.schema import standins_pb2


@dataclasses.dataclass(slots=True)
class RankSummary:
    """Counts of one rank, taking each request's last attempt.

    Parameters
    ----------
    rank : str
        Name of the rank.
    sent, on_time, late, not_run, unknown, failed, foreign : int
        Requests sent; answered whole in time or late; told not run; of
        unknown outcome or without any answer; answered with an error; with
        a whole answer that is not their own.
    """

    rank: str
    sent: int = 0
    on_time: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    foreign: int = 0

    def __str__(self) -> str:
        return (
            f"{self.rank or '-'}: sent {self.sent}, on time {self.on_time}, "
            f"late {self.late}, not run {self.not_run}, "
            f"unknown {self.unknown}, failed {self.failed}, "
            f"foreign {self.foreign}"
        )


def _count(summary: RankSummary, result: standins_pb2.LoadResult) -> None:
    summary.sent += 1
    if result.on_time:
        summary.on_time += 1
    elif result.whole:
        summary.late += 1
    elif result.outcome == Outcome.NOT_RUN.value:
        summary.not_run += 1
    elif result.outcome in ("", Outcome.UNKNOWN.value):
        summary.unknown += 1
    elif result.status == 200:
        summary.foreign += 1
    else:
        summary.failed += 1


def summarize_results(
    results: Iterable[standins_pb2.LoadResult],
) -> list[RankSummary]:
    """Summarize results by rank.

    Parameters
    ----------
    results : iterable of LoadResult
        Results of all attempts.

    Returns
    -------
    list of RankSummary
        One for each rank, sorted by name.
    """
    last: dict[int, standins_pb2.LoadResult] = {}
    for result in results:
        known = last.get(result.number)
        if known is None or known.attempt < result.attempt:
            last[result.number] = result
    summaries: dict[str, RankSummary] = {}
    for result in last.values():
        summary = summaries.setdefault(result.rank, RankSummary(result.rank))
        _count(summary, result)
    return [summaries[rank] for rank in sorted(summaries)]
