"""Invariants checked at run time."""

import prometheus_client

INVARIANT_FAILURES = prometheus_client.Counter(
    "egretlever_invariant_failures",
    "Invariants found broken while running.",
    ["invariant"],
)


class InvariantError(AssertionError):
    """Raised when an invariant of the program is violated."""


def require(invariant: str, holds: bool, detail: str = "") -> None:
    """Check an invariant of the running program.

    Unlike the ``assert`` statement, the check also runs under ``python -O``
    and a failure is counted in ``egretlever_invariant_failures_total``.

    Parameters
    ----------
    invariant : str
        Short constant name, used as a label of the metric.
    holds : bool
        Whether the invariant holds.
    detail : str, optional
        State that violates the invariant.

    Raises
    ------
    InvariantError
        When ``holds`` is false.

    Examples
    --------
    >>> require("slots-not-negative", True)
    """
    if not holds:
        INVARIANT_FAILURES.labels(invariant).inc()
        raise InvariantError(f"invariant {invariant} is violated: {detail}")
