"""Validation of decoded JSON fields, with findings for invalid ones."""

import json
import math
import re
import reprlib
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from egretlever.core import Address, Finding, Seconds
from egretlever.settings import parse_address, parse_duration

MAX_NAME_BYTES = 200  # limit of the platform for keys
# Values of the platform are nested less deeply. Beyond about 1,000 levels the
# parser of JSON fails.
_MAX_DEPTH = 50
# Integers with more digits are taken for infinite. The parser of Python fails
# above 4,300 digits.
_MAX_DIGITS = 300
_BRACKET_OR_STRING = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[][{}]', re.DOTALL)


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
        if isinstance(value, str) and 0 < measure_text(value) <= MAX_NAME_BYTES:
            return value
        text = _describe(value)
        self.report(name, f"{text} is not a string of 1 to 200 bytes")
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
        text = _describe(value)
        self.report(
            name, f"{text} is not a number between {low:g} and {high:g}"
        )
        return low

    def read_integer(self, name: str, low: int, high: int) -> int:
        """Read an integer in a closed interval."""
        value = self.fields.get(name)
        if type(value) is int and low <= value <= high:
            return value
        text = _describe(value)
        self.report(name, f"{text} is not an integer in the allowed range")
        return low

    def read_flag(self, name: str) -> bool:
        """Read a boolean; a missing one is false."""
        value = self.fields.get(name, False)
        if isinstance(value, bool):
            return value
        self.report(name, f"{_describe(value)} is neither true nor false")
        return False

    def read_duration(self, name: str) -> Seconds:
        """Read a duration with a unit, such as ``1500ms``."""
        try:
            return parse_duration(_describe(self.fields.get(name)))
        except ValueError as error:
            self.report(name, str(error))
            return Seconds(0.0)

    def read_address(self, name: str) -> Address:
        """Read an IP address with a port."""
        try:
            return parse_address(_describe(self.fields.get(name)))
        except ValueError as error:
            self.report(name, str(error))
            return Address("0.0.0.0", 1)


def _describe(value: object) -> str:
    """Return a text as it is, and anything else in a short notation."""
    if isinstance(value, str) and measure_text(value) <= MAX_NAME_BYTES:
        return value
    return reprlib.repr(value)


def measure_text(text: str) -> int:
    """Return the length in bytes of UTF-8, above any limit if it has none.

    JSON may hold half of a surrogate pair, which can't be encoded.
    """
    try:
        return len(text.encode())
    except UnicodeEncodeError:
        return MAX_NAME_BYTES + len(text)


def parse_json(body: bytes, place: str) -> Result[Any, tuple[Finding, ...]]:
    """Parse JSON; return a finding for invalid JSON.

    Values that are nested too deeply are null, and integers that are too large
    are infinite, so that they are found where they are used.
    """
    try:
        return Success(json.loads(body, parse_int=_parse_integer))
    except RecursionError:
        return _parse_nested(body, place)
    except ValueError as error:
        return Failure((Finding(place, f"is not valid JSON: {error}"),))


def _parse_integer(digits: str) -> float:
    return int(digits) if len(digits) <= _MAX_DIGITS else math.inf


def _parse_nested(body: bytes, place: str) -> Result[Any, tuple[Finding, ...]]:
    """Parse JSON without the values that are nested too deeply."""
    try:
        text = _cut_nesting(body.decode())
        return Success(json.loads(text, parse_int=_parse_integer))
    except ValueError as error:
        return Failure((Finding(place, f"is not valid JSON: {error}"),))


def _cut_nesting(text: str) -> str:
    """Replace the lists and objects beyond the greatest depth by null."""
    kept: list[str] = []
    depth = begin = 0
    for found in _BRACKET_OR_STRING.finditer(text):
        if found[0] in ("[", "{"):
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept += (text[begin : found.start()], "null")
        elif found[0] in ("]", "}"):
            depth -= 1
            if depth == _MAX_DEPTH:
                begin = found.end()
    if depth <= _MAX_DEPTH:
        kept.append(text[begin:])
    return "".join(kept)
