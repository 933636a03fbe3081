"""Records of callers and servers of a relay soak run, and their checks."""

import collections
import dataclasses
import math

from egretlever.core import RequestId, Seconds, ServerId, ServiceName

# Statuses that promise that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A leaving server gets no new requests after this time.
_DRAIN_LIMIT = Seconds(2.0)


@dataclasses.dataclass(slots=True)
class ServerRun:
    """A request that a server began to run.

    Parameters
    ----------
    request : RequestId
        Id of the request.
    server : ServerId
        Server that ran it.
    at : Seconds
        When it began.
    service : ServiceName
        Service of the server.
    ended : Seconds
        When the server ended its work; infinite before that.
    broke_off : bool
        Whether the server closed the connection instead of answering.
    abandoned : bool
        Whether the node ended it while the server was at work: it closed the
        connection, or the time limit that it had passed on was over.
    """

    request: RequestId
    server: ServerId
    at: Seconds
    service: ServiceName = ServiceName("")
    ended: Seconds = Seconds(math.inf)
    broke_off: bool = False
    abandoned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request of a caller and its outcome.

    Parameters
    ----------
    request : RequestId
        Id of the request.
    host : str
        Host whose node received the request.
    idempotent : bool
        Whether the request may run more than once.
    reused : bool
        Whether its connection had carried other requests before.
    begun, ended : Seconds
        When the request was sent, and when it was answered or its connection
        ended.
    status : int
        Status of the answer, 0 without a complete answer.
    body : bytes
        Body of the answer.
    signed : bool
        Whether the answer has a server's signature header.
    path : str
        Path of the request.
    behind : bool
        Whether it was sent before the answer to another request of its
        connection had ended, or after an answer that announced the close.
    limit : Seconds
        Time that its client or its route allows.
    start : int
        Number of the start of the host's process, 0 when it was started again
        before the request ended.
    """

    request: RequestId
    host: str
    idempotent: bool
    reused: bool
    begun: Seconds
    ended: Seconds
    status: int = 0
    body: bytes = b""
    signed: bool = False
    path: str = ""
    behind: bool = False
    limit: Seconds = Seconds(3.0)
    start: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedEvent:
    """An event that was applied to the fleet.

    Parameters
    ----------
    kind : str
        Value of the event's kind.
    subject : str
        Name of the host, empty for all hosts or the store.
    begun, ended : Seconds
        When the event began and ended.
    """

    kind: str
    subject: str
    begun: Seconds
    ended: Seconds


@dataclasses.dataclass(slots=True)
class Records:
    """Everything that callers and servers observed in one run."""

    # Ids of all requests, including those without an outcome.
    started: set[RequestId] = dataclasses.field(default_factory=set)
    runs: list[ServerRun] = dataclasses.field(default_factory=list)
    sent: list[SentRequest] = dataclasses.field(default_factory=list)
    applied_events: list[AppliedEvent] = dataclasses.field(default_factory=list)
    # Requests that reached a server, with those that it refused.
    arrivals: list[ServerRun] = dataclasses.field(default_factory=list)
    # When the node first acknowledged that a server is draining.
    departures: dict[ServerId, Seconds] = dataclasses.field(
        default_factory=dict
    )

    def find_violations(self) -> list[str]:
        """Return a line for each broken promise."""
        return [
            *self._check_runs(),
            *self._check_answers(),
            *self._check_departures(),
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
            and run.at > self.departures[run.server] + _DRAIN_LIMIT
        ]
