"""What an attempt proves about its request (docs/design.md, section 5.4)."""

from collections.abc import Iterable

from egretlever.core import Attempt, AttemptResult, Outcome

# Results after which the attempt sends nothing more. If no byte was sent
# before, they prove that the request did not run.
_TERMINAL_RESULTS = frozenset(
    {
        AttemptResult.REFUSED,
        AttemptResult.CONNECT_TIMEOUT,
        AttemptResult.TIMEOUT,
        AttemptResult.CUT,
        AttemptResult.CANCELLED,
        AttemptResult.STALE_CONNECTION,
    }
)


def classify_attempt(attempt: Attempt) -> Outcome:
    """Return what one attempt proves about its request.

    Parameters
    ----------
    attempt : Attempt
        An ended attempt, or an overdue one.

    Returns
    -------
    Outcome
        NOT_RUN only after a shed reply, or if the attempt ended before any
        byte was sent. A refused connection with the ``sent`` flag set is a
        contradiction and proves nothing.

    Examples
    --------
    >>> from egretlever.testing import builders
    >>> classify_attempt(builders.build_attempt(result=AttemptResult.SHED))
    <Outcome.NOT_RUN: 'not-run'>
    >>> classify_attempt(builders.build_attempt(result=AttemptResult.TIMEOUT))
    <Outcome.UNKNOWN: 'unknown'>
    """
    if attempt.result is AttemptResult.OK:
        return Outcome.COMPLETED
    if attempt.result is AttemptResult.ERROR:
        # Without a status there was no complete response.
        return Outcome.COMPLETED if attempt.status else Outcome.UNKNOWN
    if attempt.result is AttemptResult.SHED:
        return Outcome.NOT_RUN
    if attempt.result in _TERMINAL_RESULTS and not attempt.sent:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def combine_outcomes(outcomes: Iterable[Outcome], running: bool) -> Outcome:
    """Return what all attempts together prove about the request.

    Parameters
    ----------
    outcomes : iterable of Outcome
        Outcomes of the ended attempts.
    running : bool
        Whether an attempt is still in flight.

    Returns
    -------
    Outcome
        NOT_RUN only if every attempt proves it and none is in flight.
    """
    found = set(outcomes)
    if Outcome.COMPLETED in found:
        return Outcome.COMPLETED
    if running or Outcome.UNKNOWN in found:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
