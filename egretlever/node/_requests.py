"""State of one request while the node processes it."""

import dataclasses
from collections.abc import Callable

from egretlever.core import Attempt, Outcome, ServerId
from egretlever.node._bodies import RequestBody
from egretlever.node._context import RequestContext
from egretlever.orders import Claim
from egretlever.retry import (
    RunningAttempt,
    classify_attempt,
    combine_outcomes,
)
from egretlever.transport import RequestHead


@dataclasses.dataclass(slots=True)
class Request:
    """A request and its attempts so far.

    Parameters
    ----------
    context : RequestContext
        Route, deadline, rank and caller.
    head : RequestHead
        Request line and headers as the caller sent them.
    body : RequestBody
        Body, buffered completely when it is small.
    is_caller_disconnected : callable
        Returns without blocking whether the caller has disconnected.
    attempts : list of Attempt
        Ended attempts, oldest first.
    exclude : frozenset of ServerId
        Servers that the next attempt avoids while others are available.
    claim : Claim or None
        Claim of an order in the table service.
    running : list of RunningAttempt
        Dispatched attempts that have not ended.
    upload_error : Exception or None
        Why the rest of a streamed body could not be read from the caller.
    """

    context: RequestContext
    head: RequestHead
    body: RequestBody
    is_caller_disconnected: Callable[[], bool]
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    exclude: frozenset[ServerId] = frozenset()
    claim: Claim | None = None
    running: list[RunningAttempt] = dataclasses.field(default_factory=list)
    upload_error: Exception | None = None

    def allows_parallel_attempts(self) -> bool:
        """Whether the request may be sent while another attempt is running."""
        return self.context.idempotent and self.body.complete

    def combine(self) -> Outcome:
        """Return what the attempts prove when no response is forwarded."""
        outcomes = [classify_attempt(attempt) for attempt in self.attempts]
        outcome = combine_outcomes(outcomes, running=bool(self.running))
        if outcome is Outcome.COMPLETED:
            return Outcome.UNKNOWN
        return outcome
