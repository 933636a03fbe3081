"""Checks of planned stops and of servers' signals in a relay soak run."""

import collections
import dataclasses
import math
from collections.abc import Iterator

from benchmarks._relay_soak_disruptions import (
    CONTACT,
    has_unplanned_disruption,
    is_in_touch,
)
from benchmarks._relay_soak_records import (
    AppliedEvent,
    Records,
    SentRequest,
    ServerRun,
)
from egretlever.core import RequestId, Seconds, ServerId

# A request that crosses the close of its connection ends within this time.
_CLOSE_RACE_TIME = Seconds(0.2)
# Grace period of a planned stop, after which a process may be killed.
_STOP_GRACE = Seconds(6.0)
# Requests are checked until this time after the grace period.
_AFTER_GRACE = Seconds(1.0)
# A request that was sent until then is not counted when its server works on it
# until the last sixth of the grace period.
_EARLY_REQUESTS = Seconds(3.0)
_LAST_SIXTH = Seconds(_STOP_GRACE * 5 / 6)
# Statuses that a node gives in place of an answer, and that of a server whose
# time limit is over.
_OWN_FAILURE_STATUSES = frozenset({502, 503, 504})
_TIME_LIMIT_SLACK = Seconds(0.05)
_LEAVING_LIMIT = Seconds(2.0)
_LIMIT_WINDOW = Seconds(4.0)
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5


def find_lost_requests(records: Records) -> list[str]:
    """Return a line for each request that a planned stop lost.

    Planned work on the same and on other hosts excuses none.
    """
    unanswered = [sent for sent in records.sent if sent.status == 0]
    return [
        f"{sent.request} {sent.path} was lost by {_describe(sent, stop)}"
        for sent, stop, runs in _list_owed(records, unanswered)
        if not any(_is_in_last_sixth(sent, stop, run) for run in runs)
    ]


def find_abandoned_requests(records: Records) -> list[str]:
    """Return a line for each request given up while its server was at work.

    The node has answered it after its SIGTERM in place of the server.
    """
    given_up = [
        sent for sent in records.sent if sent.status in _OWN_FAILURE_STATUSES
    ]
    return [
        f"{sent.request} {sent.path} got {sent.status} while its server was at"
        f" work, by {_describe(sent, stop)}"
        for sent, stop, runs in _list_owed(records, given_up)
        if any(
            run.abandoned
            and run.ended >= stop.begun
            and not _is_in_last_sixth(sent, stop, run)
            for run in runs
        )
    ]


def _is_in_last_sixth(
    sent: SentRequest, stop: AppliedEvent, run: ServerRun
) -> bool:
    """Return whether the end of the grace period may end a server's work."""
    return (
        sent.begun <= stop.begun + _EARLY_REQUESTS
        and run.ended >= stop.begun + _LAST_SIXTH
    )


def _describe(sent: SentRequest, stop: AppliedEvent) -> str:
    return (
        f"the planned stop of {sent.host}, sent {sent.begun - stop.begun:.2f} s"
        f" and ended {sent.ended - stop.begun:.2f} s after it"
    )


def _list_owed(
    records: Records, candidates: list[SentRequest]
) -> Iterator[tuple[SentRequest, AppliedEvent, list[ServerRun]]]:
    """Yield the requests that a planned stop had to serve, with their runs."""
    runs: dict[RequestId, list[ServerRun]] = collections.defaultdict(list)
    for run in records.arrivals:
        runs[run.request].append(run)
    for stop in records.applied_events:
        if stop.kind != "stop":
            continue
        until = stop.begun + _STOP_GRACE + _AFTER_GRACE
        for sent in candidates:
            if (
                sent.host == stop.subject
                and stop.begun <= sent.ended <= until
                and _is_owed(sent, runs[sent.request])
                and not has_unplanned_disruption(
                    records.applied_events, sent.begun, sent.ended
                )
            ):
                yield sent, stop, runs[sent.request]


def _is_owed(sent: SentRequest, runs: list[ServerRun]) -> bool:
    """Return whether neither the client nor a server has ended a request."""
    if not runs and sent.behind:
        return False
    if not runs and sent.ended - sent.begun <= _CLOSE_RACE_TIME:
        return False
    if sent.ended - sent.begun >= sent.limit - _TIME_LIMIT_SLACK:
        return False
    return not any(run.broke_off for run in runs)


@dataclasses.dataclass(slots=True)
class ServerSignal:
    """What a server says in all its answers, from a time on.

    Parameters
    ----------
    server : ServerId
        The server.
    host : str
        Host of the server.
    begun, ended : Seconds
        When the first answer with the signal was written, and when the signal
        ended.
    limit : float, optional
        Requests per second that the server takes; None when it leaves.
    """

    server: ServerId
    host: str
    begun: Seconds
    ended: Seconds = Seconds(math.inf)
    limit: float | None = None


def find_ignored_signals(
    records: Records, signals: list[ServerSignal]
) -> list[str]:
    """Return a line for each signal of a server that its node ignored."""
    found = []
    for signal in signals:
        arrivals = sorted(
            run.at
            for run in records.arrivals
            if run.server == signal.server
            and signal.begun < run.at < signal.ended
        )
        if signal.limit is None:
            found += _check_leaving(records, signal, arrivals)
        else:
            found += _check_limit(records, signal, signal.limit, arrivals)
    return found


def _check_leaving(
    records: Records, signal: ServerSignal, arrivals: list[Seconds]
) -> list[str]:
    return [
        f"a request reached {signal.server} {at - signal.begun:.2f} s after its"
        " answer had said that it leaves"
        for at in arrivals
        if at > signal.begun + _LEAVING_LIMIT
        and is_in_touch(
            records.applied_events,
            signal.host,
            Seconds(signal.begun + CONTACT),
            at,
        )
    ]


def _check_limit(
    records: Records,
    signal: ServerSignal,
    limit: float,
    arrivals: list[Seconds],
) -> list[str]:
    allowed = _LIMIT_FACTOR * limit * _LIMIT_WINDOW + _LIMIT_SLACK
    counts = [
        sum(begun <= at < begun + _LIMIT_WINDOW for at in arrivals)
        for begun in arrivals
        if begun >= signal.begun + CONTACT
        and is_in_touch(
            records.applied_events,
            signal.host,
            begun,
            Seconds(begun + _LIMIT_WINDOW),
        )
    ]
    if max(counts, default=0) <= allowed:
        return []
    return [
        f"{max(counts)} requests reached {signal.server} in 4 s with a limit of"
        f" {limit:.1f} per second"
    ]
