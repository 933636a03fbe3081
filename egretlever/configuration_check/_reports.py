"""Lines of a report on a configuration, and their codes."""

import dataclasses
import enum
from collections.abc import Collection


class Severity(enum.Enum):
    """How much a line of a report matters."""

    DIFFERENCE = "difference"
    WARNING = "warning"
    ERROR = "error"


_EXIT_CODES = {
    Severity.DIFFERENCE: 0,
    Severity.WARNING: 1,
    Severity.ERROR: 2,
}


class Code(enum.Enum):
    """Stable codes of the lines of a report."""

    FILE = "file"
    INVALID = "invalid"
    ENTRY_OMITTED = "entry-omitted"
    NAME_REPEATED = "name-repeated"
    ROUTE_HIDDEN = "route-hidden"
    WEIGHT_ZERO = "weight-zero"
    SERVICE_UNKNOWN = "service-without-servers"
    SERVICE_UNUSED = "service-without-route"
    CUSTOMER_WITHOUT_KEY = "customer-without-key"
    KEY_SHARED = "key-shared"
    TIMEOUT_BELOW_TARGET = "timeout-below-target"
    TIMEOUT_ABOVE_GRACE = "timeout-above-grace"
    NO_TIME = "no-time"
    ATTEMPTS_WITHOUT_TIME = "attempts-without-time"
    BURST_WITHOUT_RATE = "burst-without-rate"
    ALLOTMENT_BELOW_ONE = "allotment-below-one"
    LIMIT_BELOW_ROUTE = "limit-below-route"
    VERSION_NOT_NEWER = "version-not-newer"
    ROUTE_ADDED = "route-added"
    ROUTE_DROPPED = "route-dropped"
    ROUTE_MOVED = "route-moved"
    ROUTE_CHANGED = "route-changed"
    WEIGHTS_CHANGED = "weights-changed"
    LIMIT_LOWERED = "limit-lowered"
    LIMIT_RAISED = "limit-raised"
    CUSTOMER_ADDED = "customer-added"
    CUSTOMER_REMOVED = "customer-removed"
    CUSTOMER_CHANGED = "customer-changed"
    KEYS_ADDED = "keys-added"
    KEYS_REMOVED = "keys-removed"


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLine:
    """One line of a report.

    Parameters
    ----------
    severity : Severity
        How much it matters.
    code : Code
        What was found.
    file : str
        File that it is about.
    line : int
        Line of the entry, 1 if it can't be told.
    entry : str
        Name of the entry, empty for the whole file.
    message : str
        Description.
    """

    severity: Severity
    code: Code
    file: str
    line: int
    entry: str
    message: str

    def __str__(self) -> str:
        about = f" {self.entry}" if self.entry else ""
        text = (
            f"{self.file}:{self.line}: {self.severity.value}"
            f" [{self.code.value}]{about}: {self.message}"
        )
        return "".join(
            one if one.isprintable() else one.encode("unicode_escape").decode()
            for one in text
        )

    def describe(self) -> dict[str, str | int]:
        """Return the fields for JSON."""
        return {
            "severity": self.severity.value,
            "code": self.code.value,
            "file": self.file,
            "line": self.line,
            "entry": self.entry,
            "message": self.message,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All lines about a configuration."""

    lines: tuple[ReportLine, ...]

    @property
    def exit_code(self) -> int:
        """Exit code of the command: 0, 1 for warnings, 2 for errors."""
        return max(
            (_EXIT_CODES[line.severity] for line in self.lines), default=0
        )


def make_file_error(file: str, message: str) -> ReportLine:
    """Make the line about a file that can't be read."""
    return ReportLine(Severity.ERROR, Code.FILE, file, 1, "", message)


class SecretFilter:
    """Replaces keys in lines, such as one that was given as a name.

    Parameters
    ----------
    secrets : collection of str
        Texts that may be keys.

    Examples
    --------
    >>> SecretFilter({"k-1"}).clean("k-1 is not k-12")
    '*** is not k-12'
    """

    def __init__(self, secrets: Collection[str]) -> None:
        self._secrets = frozenset(secrets)
        self._lengths = sorted({len(one) for one in secrets}, reverse=True)

    def apply(self, line: ReportLine) -> ReportLine:
        """Return a line without keys."""
        return dataclasses.replace(
            line, entry=self.clean(line.entry), message=self.clean(line.message)
        )

    def clean(self, text: str) -> str:
        """Replace each key that stands as a word of its own."""
        kept: list[str] = []
        place = 0
        while place < len(text):
            length = self._find_secret(text, place)
            kept.append("***" if length else text[place])
            place += length or 1
        return "".join(kept)

    def _find_secret(self, text: str, place: int) -> int:
        """Return the length of the key at a place, 0 if there is none."""
        if text[place - 1 : place].isalnum():
            return 0
        for length in self._lengths:
            end = place + length
            if (
                text[place:end] in self._secrets
                and not text[end : end + 1].isalnum()
            ):
                return length
        return 0
