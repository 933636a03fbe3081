"""Parsing of INI files; all findings of a file are reported together."""

import configparser
import pathlib
from typing import TypeVar

from google.protobuf import message
from returns.result import Failure, Result, Success

from egretlever.core import Finding
from egretlever.settings._fields import fill_message

Findings = tuple[Finding, ...]
_Settings = TypeVar("_Settings", bound=message.Message)


def parse_sections(
    text: str, place: str
) -> tuple[dict[str, dict[str, str]], list[Finding]]:
    """Parse INI text into sections of keys.

    Parameters
    ----------
    text : str
        Content of the file.
    place : str
        Name of the file, used in findings.

    Returns
    -------
    sections : dict of str to dict of str to str
        Values by section and key; of duplicate keys the last value.
    findings : list of Finding
        Syntax errors and duplicates.
    """
    findings = _find_duplicates(text, place)
    # Duplicates are found above, because a strict parser stops at the first.
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section="\0"
    )
    # Keys are schema field names, which are case-sensitive.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, place)
    except configparser.MissingSectionHeaderError as error:
        findings.append(
            Finding(f"{place} line {error.lineno}", "stands before any section")
        )
    except configparser.ParsingError as error:
        findings.extend(
            Finding(f"{place} line {line}", f"can't be parsed: {content}")
            for line, content in error.errors
        )
    return {name: dict(parser[name]) for name in parser.sections()}, findings


def _find_duplicates(text: str, place: str) -> list[Finding]:
    findings = []
    seen: set[tuple[str, str]] = set()
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        # Indented lines continue the previous value.
        if not line.strip() or line[0] in "#; \t":
            continue
        header = configparser.ConfigParser.SECTCRE.match(line)
        option = configparser.ConfigParser.OPTCRE.match(line)
        if header:
            section = header.group("header")
            key, location = (section, ""), f"{place} [{section}]"
        elif option:
            name = option.group("option").rstrip()
            key, location = (section, name), f"{place} [{section}] {name}"
        else:
            continue
        if key in seen:
            findings.append(
                Finding(location, f"is given again in line {number}")
            )
        seen.add(key)
    return findings


def parse_settings(
    text: str, place: str, kind: type[_Settings]
) -> Result[_Settings, Findings]:
    """Parse INI text into a settings message.

    Parameters
    ----------
    text : str
        Content of the file.
    place : str
        Name of the file, used in findings.
    kind : type of Message
        Generated settings message, with one field per section.

    Returns
    -------
    Result of Message or tuple of Finding
        The settings, or all findings.
    """
    sections, findings = parse_sections(text, place)
    settings = kind()
    known_sections = [field.name for field in settings.DESCRIPTOR.fields]
    for name in sections:
        if name not in known_sections:
            findings.append(
                Finding(
                    f"{place} [{name}]",
                    f"is unknown; known: {', '.join(known_sections)}",
                )
            )
    for name in known_sections:
        section = getattr(settings, name)
        section.SetInParent()
        location = f"{place} [{name}]"
        found = fill_message(section, sections.get(name, {}), location)
        if found and name not in sections:
            # One finding for all of its required keys.
            found = [Finding(location, "is missing")]
        findings.extend(found)
    if findings:
        return Failure(tuple(findings))
    return Success(settings)


def read_settings(
    path: pathlib.Path, kind: type[_Settings]
) -> Result[_Settings, Findings]:
    """Read an INI file into a settings message.

    Parameters
    ----------
    path : Path
        File to read, encoded in UTF-8.
    kind : type of Message
        Generated settings message.

    Returns
    -------
    Result of Message or tuple of Finding
        The settings, or all findings.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), f"can't be read: {error}"),))
    return parse_settings(text, str(path), kind)
