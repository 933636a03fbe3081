"""Time line of one request from the log lines of several nodes."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

# Keys of a line that its place in the time line says already.
_PLACED = frozenset({"time", "level", "message", "part", "event", "request"})


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Moment:
    """One line about a request.

    Parameters
    ----------
    time : str
        Time of day, as logged.
    source : str
        File that the line stands in.
    text : str
        Part, event and fields.
    """

    time: str
    source: str
    text: str


def find_moments(
    request: str, source: str, lines: Iterable[str]
) -> list[Moment]:
    """Find the lines about a request.

    Parameters
    ----------
    request : str
        Id of the request.
    source : str
        Name of the file.
    lines : iterable of str
        Lines of the file. Text before a line's JSON object is skipped, and
        lines without one are left out.

    Returns
    -------
    list of Moment
        Lines in the order of the file.

    Examples
    --------
    >>> line = '{"time": "1", "part": "entry", "event": "ended", '
    >>> line += '"request": "r-1", "status": 503}'
    >>> find_moments("r-1", "a", [line, "other"])[0].text
    'entry ended status=503'
    """
    moments = []
    for line in lines:
        # A search in the text is far cheaper than parsing each line.
        if request not in line:
            continue
        fields = _parse(line)
        if fields.get("request") == request:
            parts = [f"{fields.get('part')} {fields.get('event')}"]
            parts += [
                f"{name}={value}"
                for name, value in fields.items()
                if name not in _PLACED
            ]
            time = str(fields.get("time", ""))
            moments.append(Moment(time, source, " ".join(parts)))
    return moments


def _parse(line: str) -> dict[str, Any]:
    start = line.find("{")
    try:
        fields = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
