"""Outcomes proved by attempts, after section 5.4 of the design."""

from collections.abc import Iterable

from egretlever.core import Attempt, AttemptResult, Outcome

# Results that end an attempt. Without a byte sent they prove "not run".
_ENDED = frozenset(
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
    """Tell what one attempt proves about its request.

    Parameters
    ----------
    attempt : Attempt
        An ended attempt, or an overdue one.

    Returns
    -------
    Outcome
        NOT_RUN only after a shed reply, or when the attempt ended before any
        byte was written. A refused connection with the sent flag set
        contradicts itself and proves nothing.

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
        # An error without a status had no complete response.
        return Outcome.COMPLETED if attempt.status else Outcome.UNKNOWN
    if attempt.result is AttemptResult.SHED:
        return Outcome.NOT_RUN
    if attempt.result in _ENDED and not attempt.sent:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def combine_outcomes(outcomes: Iterable[Outcome], running: bool) -> Outcome:
    """Tell what all attempts together prove about the request.

    Parameters
    ----------
    outcomes : iterable of Outcome
        Outcomes of the ended attempts.
    running : bool
        Whether an attempt still waits.

    Returns
    -------
    Outcome
        NOT_RUN only when every attempt proves it and none still waits.
    """
    found = set(outcomes)
    if Outcome.COMPLETED in found:
        return Outcome.COMPLETED
    if running or Outcome.UNKNOWN in found:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
