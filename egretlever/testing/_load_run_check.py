"""Checks of the results of a load run against the servers' records."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from egretlever.core import Outcome
from egretlever.schema import standins_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRunCheck:
    """Contradictions between the results and the records of a load run.

    Parameters
    ----------
    duplicate_orders : tuple of str
        Keys of orders that started to run more than once.
    lost_orders : tuple of str
        Keys of orders with a complete, correct response that no server ran.
    not_run_but_ran : tuple of str
        Requests that were reported as not run although a server ran them.
    wrong_answers : int
        Completed responses whose body belongs to another request or is
        truncated.
    """

    duplicate_orders: tuple[str, ...]
    lost_orders: tuple[str, ...]
    not_run_but_ran: tuple[str, ...]
    wrong_answers: int

    @property
    def is_clean(self) -> bool:
        """Whether no contradiction was found."""
        return not (
            self.duplicate_orders
            or self.lost_orders
            or self.not_run_but_ran
            or self.wrong_answers
        )


def check_load_run(
    results: Iterable[standins_pb2.LoadResult],
    records: Mapping[str, Sequence[standins_pb2.BackendRecord]],
) -> LoadRunCheck:
    """Compare the callers' results with the servers' records.

    Parameters
    ----------
    results : iterable of LoadResult
        Result of each attempt.
    records : mapping of str to sequence of BackendRecord
        Requests that each server ran, by server.

    Returns
    -------
    LoadRunCheck
        Contradictions that were found.
    """
    runs = [record for items in records.values() for record in items]
    run_counts = Counter(run.order_key for run in runs if run.order_key)
    request_ids = {run.request_id for run in runs}
    lost_orders = set()
    not_run_but_ran = set()
    wrong_answers = 0
    for result in results:
        completed = result.outcome == Outcome.COMPLETED.value
        if (
            result.order_key
            and result.whole
            and not run_counts[result.order_key]
        ):
            lost_orders.add(result.order_key)
        if result.outcome == Outcome.NOT_RUN.value and (
            result.request_id in request_ids
        ):
            not_run_but_ran.add(result.request_id)
        if completed and result.status == 200 and not result.whole:
            wrong_answers += 1
    return LoadRunCheck(
        tuple(sorted(key for key, count in run_counts.items() if count > 1)),
        tuple(sorted(lost_orders)),
        tuple(sorted(not_run_but_ran)),
        wrong_answers,
    )
