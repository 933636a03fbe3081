"""Validation of numeric constructor parameters."""

import dataclasses
import math
from collections.abc import Mapping

from egretlever.core._findings import Finding, FindingsError


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """Closed interval of allowed numbers.

    Parameters
    ----------
    low : float
        Smallest allowed value.
    high : float, default=inf
        Largest allowed value.
    """

    low: float
    high: float = math.inf


def check_parameters(
    owner: str,
    values: Mapping[str, float],
    intervals: Mapping[str, Interval],
) -> None:
    """Check numeric parameters against their intervals.

    Parameters
    ----------
    owner : str
        Name of the class whose parameters are checked.
    values : mapping of str to float
        Parameter values by name.
    intervals : mapping of str to Interval
        Allowed interval by parameter name. Other parameters are not checked.

    Raises
    ------
    FindingsError
        With one finding for each parameter outside of its interval.

    Examples
    --------
    >>> check_parameters("Queue", {"limit": 0}, {"limit": Interval(1)})
    Traceback (most recent call last):
    ...
    egretlever.core._findings.FindingsError: Queue limit: 0 is not in [1, inf]
    """
    findings = []
    for name, interval in intervals.items():
        value = values[name]
        if not interval.low <= value <= interval.high:
            findings.append(
                Finding(
                    f"{owner} {name}",
                    f"{value} is not in [{interval.low}, {interval.high}]",
                )
            )
    if findings:
        raise FindingsError(findings)
