"""An ended attempt and the server slot that it still occupies."""

import dataclasses

from egretlever.admission import Ticket
from egretlever.core import AttemptResult
from egretlever.node._exchange import AttemptOutcome
from egretlever.routing import Placement

_RESULTS_WITH_RESPONSE = frozenset({AttemptResult.OK, AttemptResult.ERROR})


@dataclasses.dataclass(slots=True)
class EndedAttempt:
    """An ended attempt of a request.

    Parameters
    ----------
    outcome : AttemptOutcome
        Result; its connection delivers the rest of a long response.
    placement : Placement
        Slot that the attempt occupies until it is finished.
    ticket : Ticket
        Admission ticket of the attempt.
    finished : bool
        Whether the slot has been released and the result reported.
    """

    outcome: AttemptOutcome
    placement: Placement
    ticket: Ticket
    finished: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the server responded without an error."""
        return self.outcome.attempt.result is AttemptResult.OK

    @property
    def has_response(self) -> bool:
        """Whether there is a response to forward, an error included."""
        return self.outcome.attempt.result in _RESULTS_WITH_RESPONSE
