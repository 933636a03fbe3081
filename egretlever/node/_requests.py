"""State of one request on its way through the node."""

import dataclasses
from collections.abc import Callable

from egretlever.core import Attempt, Outcome, ServerId
from egretlever.node._bodies import RequestBody
from egretlever.node._context import RequestContext
from egretlever.orders import Claim
from egretlever.retry import classify_attempt, combine_outcomes
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
    """

    context: RequestContext
    head: RequestHead
    body: RequestBody
    is_caller_gone: Callable[[], bool]
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    exclude: frozenset[ServerId] = frozenset()
    claim: Claim | None = None

    def combine(self) -> Outcome:
        """Tell what the ended attempts prove together."""
        outcomes = [classify_attempt(attempt) for attempt in self.attempts]
        return combine_outcomes(outcomes, running=False)
