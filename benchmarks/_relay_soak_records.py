"""What callers and servers of a soak have seen, and the promises on it."""

import collections
import dataclasses

from egretlever.core import RequestId, Seconds, ServerId

# Statuses that promise that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A server that leaves gets no new work after this time.
_DRAIN_TIME = Seconds(2.0)
# A request that crosses the end of its connection is not read.
_CROSSING_TIME = Seconds(0.2)
# Time after a planned stop at which a process may be killed.
_GRACE = Seconds(6.0)
# Other faults this near to a stop explain a lost request.
_NEAR = Seconds(8.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a server began to run."""

    request: RequestId
    server: ServerId
    at: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request of a caller and its end.

    Parameters
    ----------
    request : RequestId
        Its id.
    host : str
        Host whose node it was sent to.
    idempotent : bool
        Whether it may run more than once.
    kept : bool
        Whether its connection had carried requests before.
    begun, ended : Seconds
        When it was sent, and when its answer or the end of its connection came.
    status : int
        Status of the answer, 0 without a whole one.
    body : bytes
        Body of the answer.
    signed : bool
        Whether the answer bears a server's signature.
    """

    request: RequestId
    host: str
    idempotent: bool
    kept: bool
    begun: Seconds
    ended: Seconds
    status: int = 0
    body: bytes = b""
    signed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """Something that was done to the fleet.

    Parameters
    ----------
    kind : str
        What was done.
    subject : str
        Host that it was done to, empty for the store.
    begun, ended : Seconds
        Its time.
    """

    kind: str
    subject: str
    begun: Seconds
    ended: Seconds


@dataclasses.dataclass(slots=True)
class Records:
    """Everything that was seen in one run."""

    # Ids of all requests, those without an end included.
    started: set[RequestId] = dataclasses.field(default_factory=set)
    runs: list[Run] = dataclasses.field(default_factory=list)
    sent: list[Sent] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    # When the leaving of a server was first acknowledged.
    departures: dict[ServerId, Seconds] = dataclasses.field(
        default_factory=dict
    )

    def find_violations(self) -> list[str]:
        """Return a line for each broken promise."""
        return [
            *self._check_runs(),
            *self._check_answers(),
            *self._check_departures(),
            *self._check_stops(),
        ]

    def _check_runs(self) -> list[str]:
        counts = collections.Counter(run.request for run in self.runs)
        found = []
        for sent in self.sent:
            count = counts[sent.request]
            if not sent.idempotent and count > 1:
                found.append(f"{sent.request} ran {count} times")
            refused = sent.status in _NOT_RUN_STATUSES
            if refused and not sent.idempotent and count:
                found.append(f"{sent.request} ran and got {sent.status}")
        found += [
            f"{request} ran and was not sent"
            for request in counts
            if request not in self.started
        ]
        return found

    def _check_answers(self) -> list[str]:
        ran = {(run.request, run.server) for run in self.runs}
        found = []
        for sent in self.sent:
            if sent.status != 200:
                continue
            request, _, server = sent.body.decode().partition(" ")
            if not sent.signed or request != sent.request:
                found.append(f"{sent.request} got the answer {sent.body!r}")
            elif (sent.request, ServerId(server)) not in ran:
                found.append(f"{sent.request} got an answer without a run")
        return found

    def _check_departures(self) -> list[str]:
        return [
            f"{run.request} reached {run.server} after it had left"
            for run in self.runs
            if run.server in self.departures
            and run.at > self.departures[run.server] + _DRAIN_TIME
        ]

    def _check_stops(self) -> list[str]:
        """Check that planned stops alone lose no request that was read."""
        found = []
        for stop in self.disturbances:
            if stop.kind != "stop" or self._is_disturbed(stop):
                continue
            found += [
                f"{sent.request} was lost by the planned stop of {sent.host}"
                for sent in self.sent
                if sent.host == stop.subject
                and sent.status == 0
                and sent.kept
                and stop.begun <= sent.begun <= stop.begun + _GRACE
                and sent.ended - sent.begun > _CROSSING_TIME
            ]
        return found

    def _is_disturbed(self, stop: Disturbance) -> bool:
        return any(
            other is not stop
            and other.begun < stop.begun + _NEAR
            and other.ended > stop.begun - _NEAR
            for other in self.disturbances
        )
