"""Findings of checks, collected with their place and reported together."""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault found by a check.

    Parameters
    ----------
    place : str
        Where the fault is, for example ``node.ini [listen] traffic``.
    message : str
        What is wrong and what is expected.

    Examples
    --------
    >>> str(Finding("node.ini [listen] traffic", "has no port"))
    'node.ini [listen] traffic: has no port'
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class FindingsError(ValueError):
    """Raised where findings can't be returned.

    Parameters
    ----------
    findings : iterable of Finding
        All faults found, at least one.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(str(finding) for finding in self.findings))
