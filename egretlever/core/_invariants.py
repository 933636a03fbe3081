"""Invariants asserted while the program runs."""

import prometheus_client

INVARIANT_FAILURES = prometheus_client.Counter(
    "egretlever_invariant_failures",
    "Invariants found broken while running.",
    ["invariant"],
)


class InvariantError(AssertionError):
    """Raised when the program finds one of its own invariants broken."""


def require(invariant: str, holds: bool, detail: str = "") -> None:
    """Assert an invariant of the running program.

    Unlike the ``assert`` statement, the check also runs under ``python -O``
    and a failure is counted in ``egretlever_invariant_failures_total``.

    Parameters
    ----------
    invariant : str
        Short fixed name, used as the metric's label.
    holds : bool
        Whether the invariant holds.
    detail : str, optional
        The state that broke it.

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
        raise InvariantError(f"invariant {invariant} is broken: {detail}")
