"""Extracts the log lines about one request from the logs of nodes."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

# Fields that are shown separately or are the same for all lines.
_OMITTED_FIELDS = frozenset(
    {"time", "level", "message", "part", "event", "request"}
)


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class LogEntry:
    """One log line about a request.

    Parameters
    ----------
    time : str
        Logged time.
    source : str
        Name of the log file.
    text : str
        Part (name of the logger), event and fields.
    """

    time: str
    source: str
    text: str


def find_log_entries(
    request: str, source: str, lines: Iterable[str]
) -> list[LogEntry]:
    """Find the log lines about a request.

    Parameters
    ----------
    request : str
        Id of the request.
    source : str
        Name of the file.
    lines : iterable of str
        Lines of the file. Text before the JSON object of a line is ignored;
        lines without a JSON object are skipped.

    Returns
    -------
    list of LogEntry
        Lines in the order of the file.

    Examples
    --------
    >>> line = '{"time": "1", "part": "entry", "event": "ended", '
    >>> line += '"request": "r-1", "status": 503}'
    >>> find_log_entries("r-1", "a", [line, "other"])[0].text
    'entry ended status=503'
    """
    log_entries = []
    for line in lines:
        # A substring search is far cheaper than parsing each line.
        if request not in line:
            continue
        fields = _parse(line)
        if fields.get("request") == request:
            parts = [f"{fields.get('part')} {fields.get('event')}"]
            parts += [
                f"{name}={value}"
                for name, value in fields.items()
                if name not in _OMITTED_FIELDS
            ]
            time = str(fields.get("time", ""))
            log_entries.append(LogEntry(time, source, " ".join(parts)))
    return log_entries


def _parse(line: str) -> dict[str, Any]:
    start = line.find("{")
    try:
        fields = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
