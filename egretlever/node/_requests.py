"""State of one request on its way through the node."""

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
    """A request and what was done for it so far.

    Parameters
    ----------
    context : RequestContext
        Route, deadline, rank and caller.
    head : RequestHead
        Head as the caller sent it.
    body : RequestBody
        Body, held whole when it is small.
    is_caller_gone : callable
        Tells without waiting whether the answer has no receiver.
    attempts : list of Attempt
        Ended attempts, oldest first.
    exclude : frozenset of ServerId
        Servers to avoid in the next attempt.
    claim : Claim or None
        Claim of an order.
    running : list of RunningAttempt
        Dispatched attempts that have not ended.
    upload_error : Exception or None
        Why the rest of a long body could not be read from the caller.
    """

    context: RequestContext
    head: RequestHead
    body: RequestBody
    is_caller_gone: Callable[[], bool]
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    exclude: frozenset[ServerId] = frozenset()
    claim: Claim | None = None
    running: list[RunningAttempt] = dataclasses.field(default_factory=list)
    upload_error: Exception | None = None

    def is_repeatable(self) -> bool:
        """Whether the request may be sent while it may run elsewhere."""
        return self.context.idempotent and self.body.whole

    def combine(self) -> Outcome:
        """Tell what the attempts prove, when no answer is passed on."""
        outcomes = [classify_attempt(attempt) for attempt in self.attempts]
        outcome = combine_outcomes(outcomes, running=bool(self.running))
        if outcome is Outcome.COMPLETED:
            return Outcome.UNKNOWN
        return outcome
