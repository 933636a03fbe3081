"""Conversion of text values to fields of a generated message."""

import ipaddress
import math
import re
from collections.abc import Mapping
from typing import Any

from google.protobuf import descriptor, message

from egretlever.core import Address, Finding, Seconds
from egretlever.schema import options_pb2

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_UNITS = {"ms": 0.001, "s": 1.0}  # seconds
_BOOLEANS = {
    "true": True,
    "yes": True,
    "on": True,
    "false": False,
    "no": False,
    "off": False,
}


def parse_address(text: str) -> Address:
    """Parse an IP address with a port.

    Parameters
    ----------
    text : str
        For example ``127.0.0.1:8080`` or ``[::1]:8080``.

    Returns
    -------
    Address
        Parsed address.

    Raises
    ------
    ValueError
        When the text is not an IP address with a port.

    Examples
    --------
    >>> parse_address("[::1]:8080")
    Address(ip='::1', port=8080)
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} has no port between 1 and 65535")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise ValueError(f"{ip!r} is not an IP number") from None
    return Address(ip, int(port))


def parse_duration(text: str) -> Seconds:
    """Parse a number with the unit ``ms`` or ``s`` to seconds.

    Parameters
    ----------
    text : str
        For example ``1500ms`` or ``2.5s``.

    Returns
    -------
    Seconds
        Duration in seconds.

    Raises
    ------
    ValueError
        When the text is not a number with one of the two units.

    Examples
    --------
    >>> parse_duration("1500ms")
    1.5
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    duration = float(match[1]) * _UNITS[match[2]]
    if not math.isfinite(duration):
        raise ValueError(f"{text!r} is too long a duration")
    return Seconds(duration)


def _check_kind(kind: int, text: str) -> None:
    if kind == options_pb2.ADDRESS:
        parse_address(text)
    elif kind == options_pb2.NAME and not _NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a name of letters, digits, '.', '_' and '-'"
        )
    elif kind == options_pb2.PATH_PREFIX and not text.startswith("/"):
        raise ValueError(f"{text!r} does not start with '/'")
    elif kind == options_pb2.DURATION:
        parse_duration(text)


def _parse_number(text: str, convert: type, option: options_pb2.Setting) -> Any:
    try:
        value = convert(text)
    except ValueError:
        kind = "an integer" if convert is int else "a number"
        raise ValueError(f"{text!r} is not {kind}") from None
    low = option.minimum if option.HasField("minimum") else None
    high = option.maximum if option.HasField("maximum") else None
    unit = f" {option.unit}" if option.unit else ""
    if value != value or (low is not None and value < low):
        raise ValueError(f"{text} is below the minimum of {low:g}{unit}")
    if high is not None and value > high:
        raise ValueError(f"{text} is above the maximum of {high:g}{unit}")
    return value


def _parse_scalar(
    field: descriptor.FieldDescriptor,
    option: options_pb2.Setting,
    text: str,
) -> Any:
    if field.enum_type is not None:
        name = text.strip().upper().replace("-", "_")
        if name not in field.enum_type.values_by_name:
            known = ", ".join(
                value.name.lower().replace("_", "-")
                for value in field.enum_type.values
            )
            raise ValueError(f"{text!r} is none of {known}")
        return field.enum_type.values_by_name[name].number
    if field.type == field.TYPE_BOOL:
        if text.lower() not in _BOOLEANS:
            raise ValueError(f"{text!r} is neither true nor false")
        return _BOOLEANS[text.lower()]
    if field.type == field.TYPE_STRING:
        _check_kind(option.kind, text)
        return text
    if field.type in (field.TYPE_DOUBLE, field.TYPE_FLOAT):
        return _parse_number(text, float, option)
    value = _parse_number(text, int, option)
    if not 0 <= value < 1 << (32 if field.type == field.TYPE_UINT32 else 64):
        raise ValueError(f"{text} is out of the range of the setting")
    return value


def fill_message(
    target: message.Message,
    values: Mapping[str, str],
    place: str,
    skip: tuple[str, ...] = (),
) -> list[Finding]:
    """Fill a message from text values, with defaults from the schema.

    Parameters
    ----------
    target : Message
        Message to modify, whose fields have ``setting`` options.
    values : mapping of str to str
        Text by field name; lists are comma-separated.
    place : str
        Location of the values, the prefix of keys in findings.
    skip : tuple of str, optional
        Fields that are not settings.

    Returns
    -------
    list of Finding
        One for each unknown key, missing key and invalid value.
    """
    findings = []
    # The generated stubs lack the types of extensions.
    fields: dict[str, Any] = {
        field.name: field
        for field in target.DESCRIPTOR.fields
        if field.name not in skip
    }
    for key in values:
        if key not in fields:
            findings.append(
                Finding(
                    f"{place} {key}",
                    f"is unknown; known: {_join_sorted(fields)}",
                )
            )
    for name, field in fields.items():
        option: options_pb2.Setting = field.GetOptions().Extensions[
            options_pb2.setting
        ]
        text = values.get(name)
        if text is None and option.HasField("default"):
            text = option.default
        if text is None or (text == "" and not option.required):
            if option.required:
                findings.append(Finding(f"{place} {name}", "is missing"))
            continue
        try:
            _set_field(target, field, option, text)
        except ValueError as error:
            findings.append(Finding(f"{place} {name}", str(error)))
    return findings


def _set_field(
    target: message.Message,
    field: descriptor.FieldDescriptor,
    option: options_pb2.Setting,
    text: str,
) -> None:
    if field.is_repeated:
        parts = [part.strip() for part in text.split(",") if part.strip()]
        values = [_parse_scalar(field, option, part) for part in parts]
        getattr(target, field.name).extend(values)
        return
    setattr(target, field.name, _parse_scalar(field, option, text.strip()))


def _join_sorted(names: Mapping[str, object]) -> str:
    return ", ".join(sorted(names))
