"""An ended attempt with the slot that it occupies."""

import dataclasses

from egretlever.admission import Ticket
from egretlever.core import AttemptResult
from egretlever.node._exchange import AttemptOutcome
from egretlever.routing import Placement

_ANSWERS = frozenset({AttemptResult.OK, AttemptResult.ERROR})


@dataclasses.dataclass(slots=True)
class Served:
    """An ended attempt of a request.

    Parameters
    ----------
    outcome : AttemptOutcome
        How it ended; its connection holds the rest of a long answer.
    placement : Placement
        Slot that the attempt occupies until it is finished.
    ticket : Ticket
        Admission of the attempt.
    finished : bool
        Whether the slot was given back.
    """

    outcome: AttemptOutcome
    placement: Placement
    ticket: Ticket
    finished: bool = False

    @property
    def is_good(self) -> bool:
        """Whether a server answered without an error."""
        return self.outcome.attempt.result is AttemptResult.OK

    @property
    def is_answer(self) -> bool:
        """Whether there is an answer to pass on, an error included."""
        return self.outcome.attempt.result in _ANSWERS
