"""Findings of validation, collected and reported together."""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One problem found while validating settings, parameters or input.

    Parameters
    ----------
    place : str
        Location of the problem, for example ``node.ini [listen] traffic``.
    message : str
        Description of the problem and of what is expected.

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
    """Raised where findings cannot be returned as a value.

    Parameters
    ----------
    findings : iterable of Finding
        All findings, at least one.
    """

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("; ".join(str(finding) for finding in self.findings))
