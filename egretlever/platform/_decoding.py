"""Validation of decoded JSON fields, with findings for invalid ones."""

import json
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from egretlever.core import Address, Finding, Seconds
from egretlever.settings import parse_address, parse_duration

MAX_NAME_BYTES = 200  # limit of the platform for keys


class FieldReader:
    """Reads typed fields of a JSON object and collects findings.

    For an invalid field a method adds a finding and returns a placeholder, so
    that all invalid fields of an object are reported together.

    Parameters
    ----------
    fields : object
        Decoded JSON value.
    place : str
        Location of the object, the prefix of field names in findings.
    findings : list of Finding
        List to which findings are appended.
    """

    def __init__(
        self, fields: object, place: str, findings: list[Finding]
    ) -> None:
        self._place = place
        self.findings = findings
        self.fields: Mapping[str, Any] = {}
        if isinstance(fields, dict):
            self.fields = fields
        else:
            findings.append(Finding(place, "is not an object"))

    def report(self, name: str, message: str) -> None:
        """Add a finding about a field."""
        self.findings.append(Finding(f"{self._place} {name}", message))

    def open(self, name: str) -> "FieldReader":
        """Return a reader of a field that is an object."""
        place = f"{self._place} {name}"
        return FieldReader(self.fields.get(name), place, self.findings)

    def read_text(self, name: str) -> str:
        """Read a string of 1 to 200 bytes in UTF-8."""
        value = self.fields.get(name)
        if isinstance(value, str) and 0 < len(value.encode()) <= MAX_NAME_BYTES:
            return value
        self.report(name, f"{value!r} is not a string of 1 to 200 bytes")
        return ""

    def read_number(self, name: str, low: float, high: float) -> float:
        """Read a number in a closed interval."""
        value = self.fields.get(name)
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and low <= value <= high
        ):
            return value
        self.report(
            name, f"{value!r} is not a number between {low:g} and {high:g}"
        )
        return low

    def read_integer(self, name: str, low: int, high: int) -> int:
        """Read an integer in a closed interval."""
        value = self.fields.get(name)
        if type(value) is int and low <= value <= high:
            return value
        self.report(name, f"{value!r} is not an integer in the allowed range")
        return low

    def read_duration(self, name: str) -> Seconds:
        """Read a duration with a unit, such as ``1500ms``."""
        try:
            return parse_duration(str(self.fields.get(name)))
        except ValueError as error:
            self.report(name, str(error))
            return Seconds(0.0)

    def read_address(self, name: str) -> Address:
        """Read an IP address with a port."""
        try:
            return parse_address(str(self.fields.get(name)))
        except ValueError as error:
            self.report(name, str(error))
            return Address("0.0.0.0", 1)


def parse_json(body: bytes, place: str) -> Result[Any, tuple[Finding, ...]]:
    """Parse JSON; return a finding for invalid JSON."""
    try:
        return Success(json.loads(body))
    except (ValueError, RecursionError) as error:
        return Failure((Finding(place, f"is not valid JSON: {error}"),))
