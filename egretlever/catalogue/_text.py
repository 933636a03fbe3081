"""INI text of the catalogue, as written by operators."""

from collections.abc import Iterable
from typing import Any

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.catalogue._checks import check_entries
from egretlever.catalogue._codec import normalise_catalogue
from egretlever.core import Finding
from egretlever.schema import catalogue_pb2, options_pb2
from egretlever.settings import fill_message, parse_sections

_NAME_FIELDS = {"rank": "name", "service": "name", "route": "id"}
_MESSAGE_TYPES: dict[str, type[message.Message]] = {
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
        The normalised catalogue without version and edit id, or every
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
        if kind not in _NAME_FIELDS:
            known = ", ".join(f"[{known} NAME]" for known in _NAME_FIELDS)
            findings.append(Finding(where, f"is unknown; known: {known}"))
            continue
        target = getattr(catalogue, f"{kind}s").add()
        setattr(target, _NAME_FIELDS[kind], name.strip())
        findings.extend(_fill_entry(target, values, where, _NAME_FIELDS[kind]))
    # Values that could not be parsed have a finding already.
    reported_places = frozenset(finding.place for finding in findings)
    findings.extend(check_entries(catalogue, place, reported_places))
    if findings:
        return Failure(tuple(findings))
    return Success(normalise_catalogue(catalogue))


def check_catalogue(
    catalogue: catalogue_pb2.Catalogue, place: str
) -> tuple[Finding, ...]:
    """Check a catalogue message as strictly as INI text.

    Parameters
    ----------
    catalogue : Catalogue
        Message from any source.
    place : str
        Name of the source, used in findings.

    Returns
    -------
    tuple of Finding
        Every finding; empty for a valid catalogue.
    """
    content = normalise_catalogue(catalogue)
    content.ClearField("version")
    content.ClearField("edit_id")
    result = parse_catalogue(render_catalogue(content), place)
    if isinstance(result, Failure):
        return result.failure()
    if result.unwrap() != content:
        return (
            Finding(place, "has a value that its INI text cannot represent"),
        )
    return ()


def render_catalogue(catalogue: catalogue_pb2.Catalogue) -> str:
    """Render a catalogue as INI text.

    Values equal to the default in the schema are omitted. Version and edit id
    are not part of the text.

    Parameters
    ----------
    catalogue : Catalogue
        Catalogue with entries in any order.

    Returns
    -------
    str
        Text that ``parse_catalogue`` parses into an equal catalogue.
    """
    normalised = normalise_catalogue(catalogue)
    ranks = sorted(normalised.ranks, key=lambda rank: rank.priority)
    lines = [
        *_render_entries("rank", ranks),
        *_render_entries("service", normalised.services),
        *_render_entries("route", normalised.routes),
    ]
    return "\n".join(lines)


def render_value(field: Any, value: Any) -> str:
    """Render a value of an entry as in INI text."""
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
    key = _NAME_FIELDS[kind]
    default = _MESSAGE_TYPES[kind]()
    fill_message(default, {}, "", skip=(key,))
    # The generated stubs lack the types of extensions.
    fields: Any = _MESSAGE_TYPES[kind].DESCRIPTOR.fields
    for entry in entries:
        yield f"[{kind} {getattr(entry, key)}]"
        for field in fields:
            value = getattr(entry, field.name)
            option: options_pb2.Setting = field.GetOptions().Extensions[
                options_pb2.setting
            ]
            is_written = option.required or value != getattr(
                default, field.name
            )
            if field.name == key or not is_written:
                continue
            yield f"{field.name} = {render_value(field, value)}"
        yield ""
