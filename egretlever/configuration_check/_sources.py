"""A configuration with the lines of its entries."""

import re
from collections.abc import Iterator

from returns.result import Failure

from egretlever.configuration_check._reports import Code, ReportLine, Severity
from egretlever.core import Finding
from egretlever.placement import Configuration
from egretlever.platform import (
    EntryKind,
    SourceEntry,
    decode_configuration,
    read_source_entries,
)

_PLACE = re.compile(r"resource (\d+)\b ?(.*)", re.DOTALL)


# Stands for an entry that only the decoder could read.
_UNREAD_ENTRY = SourceEntry(1, EntryKind.CUSTOMER, "")


class CheckedFile:
    """A configuration file, decoded as nodes decode it.

    Parameters
    ----------
    name : str
        Name of the file, for the report.
    body : bytes
        Its content.

    Attributes
    ----------
    name : str
        The given name.
    configuration : Configuration or None
        None if it has an error.
    entries : tuple of SourceEntry
        Its entries in their order.
    """

    def __init__(self, name: str, body: bytes) -> None:
        self.name = name
        self.entries = read_source_entries(body)
        self._lines = {
            (
                entry.kind,
                "" if entry.kind is EntryKind.LIMITS else entry.name,
            ): entry.line
            for entry in self.entries
        }
        result = decode_configuration(body)
        self._errors: tuple[Finding, ...] = ()
        self.configuration: Configuration | None = None
        if isinstance(result, Failure):
            self._errors = result.failure()
        else:
            self.configuration = result.unwrap()

    def list_errors(self) -> Iterator[ReportLine]:
        """Return a line for each finding of the decoder."""
        for finding in self._errors:
            yield self._report(finding, Severity.ERROR, Code.INVALID)
        if self.configuration is not None:
            for finding in self.configuration.omissions:
                yield self._report(finding, Severity.ERROR, Code.ENTRY_OMITTED)

    def _report(
        self, finding: Finding, severity: Severity, code: Code
    ) -> ReportLine:
        found = _PLACE.fullmatch(finding.place)
        if found is None:
            return ReportLine(severity, code, self.name, 1, "", str(finding))
        number, message = int(found[1]), finding.message
        entry = (
            self.entries[number]
            if number < len(self.entries)
            else _UNREAD_ENTRY
        )
        if entry.secrets or entry.kind is EntryKind.CUSTOMER:
            # The decoder begins with the value, which may hold a key.
            _, found_is, rest = message.rpartition("is not ")
            message = f"is not {rest}" if found_is else "is not valid"
        return ReportLine(
            severity,
            code,
            self.name,
            entry.line,
            entry.name or f"resource {number}",
            f"{found[2]}: {message}" if found[2] else message,
        )

    def make_line(
        self,
        severity: Severity,
        code: Code,
        kind: EntryKind,
        name: str,
        message: str,
    ) -> ReportLine:
        """Make a line about the last entry of a kind and name."""
        return ReportLine(
            severity, code, self.name, self.find_line(kind, name), name, message
        )

    def find_line(self, kind: EntryKind, name: str) -> int:
        """Return the line of the last entry of a kind and name, else 1."""
        return self._lines.get((kind, name), 1)

    def list_entries(self, kind: EntryKind) -> list[SourceEntry]:
        """Return the entries of a kind."""
        return [entry for entry in self.entries if entry.kind is kind]

    def list_secrets(self) -> frozenset[str]:
        """Return all texts that may be keys."""
        return frozenset().union(*(entry.secrets for entry in self.entries))
