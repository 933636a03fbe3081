"""Checks of a load run against what the backend servers ran."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from egretlever.core import Outcome
from egretlever.schema import standins_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Broken promises found in a run; all empty when it is sound.

    Parameters
    ----------
    doubled : tuple of str
        Keys of orders that began to run more than once.
    lost : tuple of str
        Keys of orders that a caller was told are completed, and none ran.
    not_run_but_ran : tuple of str
        Requests that a caller was told were not run, and that ran.
    foreign : int
        Answers that were whole but belonged to another request, or were
        passed on as whole though they were cut.
    """

    doubled: tuple[str, ...]
    lost: tuple[str, ...]
    not_run_but_ran: tuple[str, ...]
    foreign: int

    @property
    def sound(self) -> bool:
        """Whether every promise was kept."""
        return not (
            self.doubled or self.lost or self.not_run_but_ran or self.foreign
        )


def judge_run(
    results: Iterable[standins_pb2.LoadResult],
    records: Mapping[str, Sequence[standins_pb2.BackendRecord]],
) -> Verdict:
    """Compare what callers were told with what the servers ran.

    Parameters
    ----------
    results : iterable of LoadResult
        Result of each attempt of a caller.
    records : mapping of str to sequence of BackendRecord
        Runs by server.

    Returns
    -------
    Verdict
        Promises that were broken.
    """
    runs = [record for items in records.values() for record in items]
    keys = Counter(run.order_key for run in runs if run.order_key)
    requests = {run.request_id for run in runs}
    lost = set()
    not_run_but_ran = set()
    foreign = 0
    for result in results:
        completed = result.outcome == Outcome.COMPLETED.value
        if result.order_key and result.whole and not keys[result.order_key]:
            lost.add(result.order_key)
        if result.outcome == Outcome.NOT_RUN.value and (
            result.request_id in requests
        ):
            not_run_but_ran.add(result.request_id)
        if completed and result.status == 200 and not result.whole:
            foreign += 1
    return Verdict(
        tuple(sorted(key for key, count in keys.items() if count > 1)),
        tuple(sorted(lost)),
        tuple(sorted(not_run_but_ran)),
        foreign,
    )
