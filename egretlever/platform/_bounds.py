"""Decoding of the time limits and retry budget that the platform sets."""

import dataclasses
from collections.abc import Iterable

from returns.result import Failure, Result, Success

from egretlever.core import Finding, Seconds
from egretlever.platform._decoding import FieldReader
from egretlever.settings import Findings


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform expects the fleet to keep.

    Parameters
    ----------
    drain : Seconds
        Time until a draining server gets no new requests.
    grace : Seconds
        Time from SIGTERM to SIGKILL.
    configuration : Seconds
        Time until a new configuration has to be in force.
    retry_ratio : float
        Retry budget of a service, as a share of its requests.
    retry_slack : float
        Number of retries allowed beyond that share, in the whole fleet.
    retry_window : Seconds
        Window over which retries are counted.
    quota_window : Seconds
        Window over which the requests of a customer are counted.
    quota_overage : float
        Share by which they may exceed the customer's allotment.
    quota_slack : float
        Number of requests allowed beyond that.
    """

    drain: Seconds = Seconds(2.0)
    grace: Seconds = Seconds(6.0)
    configuration: Seconds = Seconds(2.0)
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window: Seconds = Seconds(10.0)
    quota_window: Seconds = Seconds(5.0)
    quota_overage: float = 0.1
    quota_slack: float = 20.0

    def __str__(self) -> str:
        return (
            f"retries {self.retry_ratio:g} and {self.retry_slack:g} in"
            f" {self.retry_window:g} s, drain {self.drain:g} s, grace"
            f" {self.grace:g} s, configuration {self.configuration:g} s,"
            f" allotments {self.quota_overage:g} and {self.quota_slack:g} in"
            f" {self.quota_window:g} s"
        )


def decode_bounds(lines: Iterable[str]) -> Result[Bounds, Findings]:
    """Decode lines of the form ``NAME=VALUE``; unknown names are ignored.

    Examples
    --------
    >>> decode_bounds(["grace=7s"]).unwrap().grace
    7.0
    """
    findings: list[Finding] = []
    fields: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.partition("=")
        if not separator:
            findings.append(Finding("bounds", f"{line!r} is not NAME=VALUE"))
        fields[name.strip()] = value.strip()
    reader = FieldReader(fields, "bounds", findings)
    defaults = Bounds()

    def read_duration(name: str, default: Seconds) -> Seconds:
        return reader.read_duration(name) if name in fields else default

    def read_number(name: str, default: float) -> float:
        try:
            return float(fields.get(name, default))
        except ValueError:
            reader.report(name, f"{fields[name]!r} is not a number")
            return default

    bounds = Bounds(
        drain=read_duration("drain", defaults.drain),
        grace=read_duration("grace", defaults.grace),
        configuration=read_duration("configApply", defaults.configuration),
        retry_ratio=read_number("retryBudgetRatio", defaults.retry_ratio),
        retry_slack=read_number("budgetSlack", defaults.retry_slack),
        retry_window=read_duration("budgetWindow", defaults.retry_window),
        quota_window=read_duration("quotaWindow", defaults.quota_window),
        quota_overage=read_number("quotaOverage", defaults.quota_overage),
        quota_slack=read_number("quotaSlack", defaults.quota_slack),
    )
    return Failure(tuple(findings)) if findings else Success(bounds)
