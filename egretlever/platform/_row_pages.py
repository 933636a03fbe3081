"""Rows of the platform's row store, and their decoding."""

import base64
import dataclasses
from typing import Any

from returns.result import Failure, Result, Success

from egretlever.core import Finding, Seconds, Version, make_log
from egretlever.platform._decoding import (
    MAX_NAME_BYTES,
    FieldReader,
    measure_text,
    parse_json,
)

_LOG = make_log("store")
_MAX_VERSION = (1 << 63) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the store.

    Parameters
    ----------
    key : str
        Key within its table.
    value : bytes
        Value; empty for a deleted row.
    version : Version
        Version of the transaction that wrote it.
    removed : bool
        Whether the row was deleted.
    """

    key: str
    value: bytes
    version: Version
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of one response.

    Parameters
    ----------
    rows : tuple of StoredRow
        Rows in key order, or changes in version order.
    version : Version
        Store version up to which the response is complete.
    more : bool
        Whether further rows follow the last key.
    size : int
        Size of the response's body in bytes.
    transfer_time : Seconds
        Time between the head of the response and its last byte.
    last_key : str
        Last key of the response, also of a row that was skipped.
    clock : Seconds or None
        Reading of the store's clock when it made the response, if it names one.
    """

    rows: tuple[StoredRow, ...]
    version: Version
    more: bool = False
    size: int = 0
    transfer_time: Seconds = Seconds(0.0)
    last_key: str = ""
    clock: Seconds | None = None


def parse_fields(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; empty when the body is none."""
    parsed = parse_json(body, "response")
    fields = None if isinstance(parsed, Failure) else parsed.unwrap()
    return fields if isinstance(fields, dict) else {}


def read_version(fields: dict[str, Any]) -> Version | None:
    """Read the number of a version; None when there is none in range."""
    version = fields.get("ver")
    if type(version) is int and 0 <= version <= _MAX_VERSION:
        return Version(version)
    return None


def decode_page(body: bytes) -> RowPage | None:
    """Decode a page; rows that another writer left in no format are skipped."""
    fields = parse_fields(body)
    version, found = read_version(fields), fields.get("rows")
    if version is None or not isinstance(found, list):
        return None
    rows = []
    for row in found:
        decoded = _decode_row(row)
        if isinstance(decoded, Failure):
            _LOG.warning("Skipped a row: %s.", decoded.failure())
        else:
            rows.append(decoded.unwrap())
    more = fields.get("hasMore") is True
    return RowPage(
        tuple(rows),
        version,
        more,
        last_key=_find_last_key(found),
        clock=_read_clock(fields),
    )


def _read_clock(fields: dict[str, Any]) -> Seconds | None:
    findings: list[Finding] = []
    clock = FieldReader(fields, "response", findings).read_duration("now")
    return None if findings else clock


def _find_last_key(found: list[Any]) -> str:
    """Return the key of the last row that has one, after which a page ends."""
    for row in reversed(found):
        key = row.get("key") if isinstance(row, dict) else None
        if isinstance(key, str) and measure_text(key) <= MAX_NAME_BYTES:
            return key
    return ""


def _decode_row(fields: Any) -> Result[StoredRow, str]:
    if not isinstance(fields, dict):
        return Failure("it is not an object")
    key, version = fields.get("key"), read_version(fields)
    if not isinstance(key, str) or not 0 < measure_text(key) <= MAX_NAME_BYTES:
        return Failure("its key is not a text of 1 to 200 bytes")
    if version is None:
        return Failure(f"the version of {key!r} is not a number in range")
    removed = fields.get("tombstone") is True
    text = "" if removed else fields.get("value")
    if not isinstance(text, str):
        return Failure(f"the value of {key!r} is not a text")
    try:
        value = base64.b64decode(text, validate=True)
    except ValueError:
        return Failure(f"the value of {key!r} is not in base64")
    return Success(StoredRow(key, value, version, removed))
