"""Lines and raw entries of a configuration file, for reports on it."""

import dataclasses
import enum
import json
import re
from collections.abc import Iterator
from typing import Any

_SPACE = re.compile(r"[ \t\n\r]*")


class EntryKind(enum.Enum):
    """Kind of an entry of the operator's configuration."""

    ROUTE = "routes"
    CUSTOMER = "tenants"
    SERVICE = "services"
    LIMITS = "limits"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class SourceEntry:
    """An entry as it stands in the file.

    Parameters
    ----------
    line : int
        Line on which it begins.
    kind : EntryKind
        Its kind.
    name : str
        Its name, empty if it has none.
    unused_services : tuple of str
        Services of a route with a weight of 0.
    secrets : frozenset of str
        Texts in it that may be keys.
    """

    line: int
    kind: EntryKind
    name: str
    unused_services: tuple[str, ...] = ()
    secrets: frozenset[str] = frozenset()


def read_source_entries(body: bytes) -> tuple[SourceEntry, ...]:
    """Return the entries of a configuration in their order.

    Parameters
    ----------
    body : bytes
        Content of the file.

    Returns
    -------
    tuple of SourceEntry
        Empty if the file can't be parsed; `decode_configuration` says why.
    """
    try:
        text = body.decode(json.detect_encoding(body), "surrogatepass")
        found = _find_resources(text)
        return tuple(_read_entries(text, found))
    except (ValueError, RecursionError):
        return ()


def _find_resources(text: str) -> list[tuple[int, Any]]:
    """Return the offset and value of each element of the list of resources.

    The last list counts, as for the decoder.
    """
    found: list[tuple[int, Any]] = []
    decoder = json.JSONDecoder()
    place = _skip(text, 0)
    if text[place : place + 1] != "{":
        return []
    place = _skip(text, place + 1)
    while text[place : place + 1] == '"':
        name, place = decoder.raw_decode(text, place)
        place = _skip(text, _skip(text, place) + 1)  # the colon
        if name == "resources":
            found = []
        if name == "resources" and text[place : place + 1] == "[":
            place = _skip(text, place + 1)
            while text[place : place + 1] not in ("]", ""):
                value, end = decoder.raw_decode(text, place)
                found.append((place, value))
                place = _skip_comma(text, end)
            place += 1
        else:
            _, place = decoder.raw_decode(text, place)
        place = _skip_comma(text, place)
    return found


def _skip(text: str, place: int) -> int:
    found = _SPACE.match(text, place)
    return place if found is None else found.end()


def _skip_comma(text: str, place: int) -> int:
    place = _skip(text, place)
    return _skip(text, place + 1) if text[place : place + 1] == "," else place


def _read_entries(
    text: str, found: list[tuple[int, Any]]
) -> Iterator[SourceEntry]:
    line, before = 1, 0
    for place, value in found:
        line += text.count("\n", before, place)
        before = place
        yield _read_entry(line, value)


def _read_entry(line: int, value: Any) -> SourceEntry:
    entry = _as_object(value)
    kind = entry.get("type")
    kinds = {kind.value: kind for kind in EntryKind}
    name = _as_object(entry.get("metadata")).get("name")
    return SourceEntry(
        line,
        kinds.get(kind, EntryKind.OTHER)
        if isinstance(kind, str)
        else EntryKind.OTHER,
        name if isinstance(name, str) else "",
        tuple(_list_unused(_as_object(entry.get("spec")))),
        frozenset(_list_secrets(value, False)),
    )


def _as_object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _list_unused(spec: dict[str, Any]) -> Iterator[str]:
    splits = spec.get("trafficSplit")
    for split in splits if isinstance(splits, list) else ():
        fields = _as_object(split)
        if fields.get("weight") == 0:
            yield str(fields.get("service", ""))


def _list_secrets(value: Any, in_keys: bool) -> Iterator[str]:
    """Return all texts below a field of keys, wherever it stands."""
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _list_secrets(part, in_keys or name == "apiKeys")
    elif isinstance(value, list):
        for part in value:
            yield from _list_secrets(part, in_keys)
    elif in_keys and value is not None and str(value):
        yield str(value)
