"""Ends of client requests at an entry node: counts and log lines."""

from egretlever.core import RequestId, Seconds, Version, make_log
from egretlever.relay import _metrics as metrics
from egretlever.relay._client_messages import ClientAnswer
from egretlever.relay._outcomes import Ending
from egretlever.relay._request_task import PlannedEnd, RequestTask
from egretlever.relay._sampling import RequestSampler
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("entry")
_ANSWERED_OR_NOT_RUN = frozenset(
    {
        Ending.ANSWERED,
        Ending.REJECTED,
        Ending.NOT_READY,
        Ending.UNKNOWN_KEY,
        Ending.OVER_ALLOTMENT,
    }
)


class EndingLog:
    """Counts and logs how requests end.

    Parameters
    ----------
    sampler : RequestSampler
        Samples the requests that are logged.
    planned_end : PlannedEnd
        Planned stop of this node.

    Attributes
    ----------
    version : Version or None
        Version of the configuration in force, None before the first one.
    """

    def __init__(self, sampler: RequestSampler, planned_end: PlannedEnd):
        self._sampler = sampler
        self._planned_end = planned_end
        self.version: Version | None = None

    def finish(
        self,
        ending: Ending,
        request_id: str | None,
        task: RequestTask | None,
        answer: ClientAnswer,
        reason: str = "",
    ) -> ClientAnswer:
        """Count and log the end of a request, and return its answer.

        Parameters
        ----------
        ending : Ending
            How it ended.
        request_id : str or None
            Its id, None when it has none.
        task : RequestTask or None
            Its state, None when it was not begun.
        answer : ClientAnswer
            Its answer.
        reason : str, default=""
            Reason for the log.
        """
        metrics.REQUESTS.labels(ending.value, str(answer.status)).inc()
        if task is not None and task.age:
            metrics.RETURNED_REQUESTS.labels(ending.value).inc()
        now = read_clock()
        stopped_for = self._planned_end.measure_age(now)
        # Those that a planned stop may have lost are few, and always logged.
        is_sampled = self._sampler.decide(RequestId(request_id or ""), now)
        if not is_sampled and (
            stopped_for is None or ending in _ANSWERED_OR_NOT_RUN
        ):
            return answer
        line = logs_pb2.RequestLine(
            event="ended",
            request=request_id or "",
            outcome=ending.value,
            reason=reason,
            status=answer.status,
            configuration=(
                "" if self.version is None else f"{self.version:08x}"
            ),
        )
        if task is not None:
            _describe_task(line, task, now)
        if stopped_for is not None:
            line.since_stop_s = round(stopped_for, 4)
        _LOG.event(line)
        return answer


def _describe_task(
    line: logs_pb2.RequestLine, task: RequestTask, now: Seconds
) -> None:
    line.route = task.route.id
    line.service = task.service
    line.rank = task.search.rank
    line.customer = "" if task.customer is None else task.customer.id
    line.age_s = round(task.age, 4)
    line.attempts = task.history.attempts
    line.time_left_s = round(task.answer_by - now, 4)
    line.took_s = round(now - task.request.received_at, 4)
    if ended_by := task.history.ended_by:
        line.ended_by = ended_by.value
        line.at_work_s = round(task.history.at_work, 4)
