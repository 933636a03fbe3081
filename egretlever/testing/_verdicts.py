"""Checks of the results of a load run against the servers' records."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from egretlever.core import Outcome
from egretlever.schema import standins_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Contradictions between the results and the records of a load run.

    Parameters
    ----------
    doubled : tuple of str
        Keys of orders that started to run more than once.
    lost : tuple of str
        Keys of orders with a complete, correct response that no server ran.
    not_run_but_ran : tuple of str
        Requests that were reported as not run although a server ran them.
    foreign : int
        Completed responses whose body belongs to another request or is
        truncated.
    """

    doubled: tuple[str, ...]
    lost: tuple[str, ...]
    not_run_but_ran: tuple[str, ...]
    foreign: int

    @property
    def sound(self) -> bool:
        """Whether no contradiction was found."""
        return not (
            self.doubled or self.lost or self.not_run_but_ran or self.foreign
        )


def judge_run(
    results: Iterable[standins_pb2.LoadResult],
    records: Mapping[str, Sequence[standins_pb2.BackendRecord]],
) -> Verdict:
    """Compare the callers' results with the servers' records.

    Parameters
    ----------
    results : iterable of LoadResult
        Result of each attempt.
    records : mapping of str to sequence of BackendRecord
        Requests that each server ran, by server.

    Returns
    -------
    Verdict
        Contradictions that were found.
    """
    runs = [record for items in records.values() for record in items]
    run_counts = Counter(run.order_key for run in runs if run.order_key)
    request_ids = {run.request_id for run in runs}
    lost = set()
    not_run_but_ran = set()
    foreign = 0
    for result in results:
        completed = result.outcome == Outcome.COMPLETED.value
        if (
            result.order_key
            and result.whole
            and not run_counts[result.order_key]
        ):
            lost.add(result.order_key)
        if result.outcome == Outcome.NOT_RUN.value and (
            result.request_id in request_ids
        ):
            not_run_but_ran.add(result.request_id)
        if completed and result.status == 200 and not result.whole:
            foreign += 1
    return Verdict(
        tuple(sorted(key for key, count in run_counts.items() if count > 1)),
        tuple(sorted(lost)),
        tuple(sorted(not_run_but_ran)),
        foreign,
    )
