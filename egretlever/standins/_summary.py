"""Summary of the results of a load run by rank."""

import dataclasses
from collections.abc import Iterable

from egretlever.core import Outcome
from egretlever.schema import standins_pb2


@dataclasses.dataclass(slots=True)
class RankSummary:
    """Requests of one rank, counted by the result of their last attempt.

    Parameters
    ----------
    rank : str
        Name of the rank.
    sent, on_time, late, not_run, unknown, failed, wrong_answers : int
        Requests sent; with a complete and correct response by the deadline,
        or after it; reported as not run; with an unknown outcome or no
        response; with an error response; with status 200 and a body that is
        not theirs or not complete.
    """

    rank: str
    sent: int = 0
    on_time: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    wrong_answers: int = 0

    def __str__(self) -> str:
        return (
            f"{self.rank or '-'}: sent {self.sent}, on time {self.on_time}, "
            f"late {self.late}, not run {self.not_run}, "
            f"unknown {self.unknown}, failed {self.failed}, "
            f"foreign {self.wrong_answers}"
        )


def _add_result(summary: RankSummary, result: standins_pb2.LoadResult) -> None:
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
        summary.wrong_answers += 1
    else:
        summary.failed += 1


def summarize_results(
    results: Iterable[standins_pb2.LoadResult],
) -> list[RankSummary]:
    """Count the results of the requests of each rank.

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
        previous = last.get(result.number)
        if previous is None or previous.attempt < result.attempt:
            last[result.number] = result
    summaries: dict[str, RankSummary] = {}
    for result in last.values():
        summary = summaries.setdefault(result.rank, RankSummary(result.rank))
        _add_result(summary, result)
    return [summaries[rank] for rank in sorted(summaries)]
