"""Catalogue as INI text of operators."""

from collections.abc import Iterable
from typing import Any

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.catalogue._checks import check_entries
from egretlever.catalogue._codec import normalise_catalogue
from egretlever.core import Finding
from egretlever.schema import catalogue_pb2, options_pb2
from egretlever.settings import fill_message, parse_sections

_KEYS = {"rank": "name", "service": "name", "route": "id"}
_MESSAGES: dict[str, type[message.Message]] = {
    "rank": catalogue_pb2.Rank,
    "service": catalogue_pb2.Service,
    "route": catalogue_pb2.Route,
}


def parse_catalogue(
    text: str, place: str
) -> Result[catalogue_pb2.Catalogue, tuple[Finding, ...]]:
    """Parse and check INI text with sections for ranks, services and routes.

    Parameters
    ----------
    text : str
        Sections ``[rank NAME]``, ``[service NAME]`` and ``[route NAME]``.
    place : str
        Name of the file, used in findings.

    Returns
    -------
    Result of Catalogue or tuple of Finding
        The catalogue in normal order without version and edit id, or every
        finding.

    Examples
    --------
    >>> parse_catalogue("[rank a]", "x.ini").failure()[0].place
    'x.ini [rank a] priority'
    """
    sections, findings = parse_sections(text, place)
    catalogue = catalogue_pb2.Catalogue()
    for title, values in sections.items():
        where = f"{place} [{title}]"
        kind, _, name = title.partition(" ")
        if kind not in _KEYS:
            known = ", ".join(f"[{known} NAME]" for known in _KEYS)
            findings.append(Finding(where, f"is unknown; known: {known}"))
            continue
        target = getattr(catalogue, f"{kind}s").add()
        setattr(target, _KEYS[kind], name.strip())
        findings.extend(_fill_entry(target, values, where, _KEYS[kind]))
    # A value that could not be read has its finding already.
    faulty = frozenset(finding.place for finding in findings)
    findings.extend(check_entries(catalogue, place, faulty))
    if findings:
        return Failure(tuple(findings))
    return Success(normalise_catalogue(catalogue))


def check_catalogue(
    catalogue: catalogue_pb2.Catalogue, place: str
) -> tuple[Finding, ...]:
    """Check a catalogue message as strictly as its text.

    Parameters
    ----------
    catalogue : Catalogue
        Message from any source.
    place : str
        Name of the source, used in findings.

    Returns
    -------
    tuple of Finding
        Every finding; empty for a catalogue that may be applied.
    """
    content = normalise_catalogue(catalogue)
    content.ClearField("version")
    content.ClearField("edit_id")
    result = parse_catalogue(render_catalogue(content), place)
    if isinstance(result, Failure):
        return result.failure()
    if result.unwrap() != content:
        return (Finding(place, "holds a value that its text does not keep"),)
    return ()


def render_catalogue(catalogue: catalogue_pb2.Catalogue) -> str:
    """Render a catalogue as INI text.

    Values that equal the schema's default are left out. Version and edit id
    are no part of the text.

    Parameters
    ----------
    catalogue : Catalogue
        Catalogue in any order.

    Returns
    -------
    str
        Text that ``parse_catalogue`` reads into an equal catalogue.
    """
    normal = normalise_catalogue(catalogue)
    ranks = sorted(normal.ranks, key=lambda rank: rank.priority)
    lines = [
        *_render_entries("rank", ranks),
        *_render_entries("service", normal.services),
        *_render_entries("route", normal.routes),
    ]
    return "\n".join(lines)


def render_value(field: Any, value: Any) -> str:
    """Render one value of an entry as it stands in the text."""
    if field.is_repeated:
        return ", ".join(value)
    if field.enum_type is not None:
        known = field.enum_type.values_by_number.get(value)
        return known.name.lower().replace("_", "-") if known else str(value)
    if field.type == field.TYPE_BOOL:
        return "true" if value else "false"
    if field.type == field.TYPE_DOUBLE:
        return repr(value).removesuffix(".0")
    return str(value)


def _fill_entry(
    target: message.Message, values: dict[str, str], where: str, key: str
) -> list[Finding]:
    findings = [
        Finding(f"{where} {name}", "has no value")
        for name, value in values.items()
        if not value
    ]
    known = {name: value for name, value in values.items() if value}
    findings.extend(fill_message(target, known, where, skip=(key,)))
    return findings


def _render_entries(
    kind: str, entries: Iterable[message.Message]
) -> Iterable[str]:
    key = _KEYS[kind]
    default = _MESSAGES[kind]()
    fill_message(default, {}, "", skip=(key,))
    # The generated stubs do not know the types of extensions.
    fields: Any = _MESSAGES[kind].DESCRIPTOR.fields
    for entry in entries:
        yield f"[{kind} {getattr(entry, key)}]"
        for field in fields:
            value = getattr(entry, field.name)
            option: options_pb2.Setting = field.GetOptions().Extensions[
                options_pb2.setting
            ]
            kept = option.required or value != getattr(default, field.name)
            if field.name == key or not kept:
                continue
            yield f"{field.name} = {render_value(field, value)}"
        yield ""
