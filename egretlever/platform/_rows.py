"""Client of the platform's row store: JSON over HTTP."""

import base64
import dataclasses
import json
import urllib.parse
from typing import Any

from returns.result import Failure, Result, Success

from egretlever.core import Address, Finding, Seconds, Version, make_log
from egretlever.platform._decoding import (
    MAX_NAME_BYTES,
    FieldReader,
    measure_text,
    parse_json,
)
from egretlever.platform._http import HttpClient
from egretlever.platform._interfaces import StoreError, StoreErrorKind

_LOG = make_log("store")
_MAX_VERSION = (1 << 63) - 1
# A request or response has at most 1 MB of rows; base64 and JSON add less than
# another 1 MB.
_MAX_BODY_BYTES = 4 << 20
# Limit of the platform for rows in one response.
MAX_PAGE_ROWS = 500
# Time allowed for a feed response beyond the requested wait. When the store is
# slow, its usual response time of 4 ms grows up to a hundredfold.
_FEED_TIMEOUT_MARGIN = Seconds(2.0)
_REJECTION_STATUSES = frozenset({403, 429, 503})


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


class RowStore:
    """Client of the row store.

    Parameters
    ----------
    client : HttpClient
        HTTP client of the store.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(
        self,
        table: str,
        first: str = "",
        limit: int = MAX_PAGE_ROWS,
        timeout: Seconds | None = None,
    ) -> Result[RowPage, StoreError]:
        """Read rows of a table in key order, starting at a key.

        Parameters
        ----------
        table : str
            Name of the table.
        first : str, default=""
            First key.
        limit : int, default=500
            Largest number of rows.
        timeout : Seconds, optional
            Timeout of this request, by default that of the store.
        """
        query = {"table": table, "part": "", "limit": str(limit)}
        if first:
            query["from"] = first
        return await self._fetch("/rows-get", query, timeout)

    async def watch(
        self,
        table: str,
        after: Version,
        wait: Seconds,
        timeout: Seconds | None = None,
    ) -> Result[RowPage, StoreError]:
        """Wait for changes to a table after a version (long polling).

        Parameters
        ----------
        table : str
            Name of the table.
        after : Version
            Store version that is known.
        wait : Seconds
            Longest time that the store waits for a change.
        timeout : Seconds, optional
            Timeout of this request, by default 2 s longer than the wait.

        Returns
        -------
        Result of RowPage or StoreError
            ``HISTORY_LOST`` when the store no longer keeps the changes after
            the version; the table has to be read again.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait * 1000)),
        }
        if timeout is None:
            timeout = Seconds(wait + _FEED_TIMEOUT_MARGIN)
        return await self._fetch("/rows-feed", query, timeout)

    async def _fetch(
        self, path: str, query: dict[str, str], timeout: Seconds | None
    ) -> Result[RowPage, StoreError]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result = await self._client.request("GET", target, timeout=timeout)
        if isinstance(result, Failure):
            return _make_failure(
                StoreErrorKind.UNAVAILABLE, result.failure().message
            )
        reply = result.unwrap()
        if reply.status == 410:
            return _make_failure(
                StoreErrorKind.HISTORY_LOST,
                "the store no longer keeps the requested changes",
            )
        if reply.status != 200:
            message = f"the row store returned status {reply.status}"
            return _make_failure(StoreErrorKind.UNAVAILABLE, message)
        page = _decode_page(reply.body)
        if page is None:
            message = "the response of the row store cannot be decoded"
            return _make_failure(StoreErrorKind.UNAVAILABLE, message)
        return Success(
            dataclasses.replace(
                page, size=len(reply.body), transfer_time=reply.transfer_time
            )
        )

    async def write(
        self,
        table: str,
        key: str,
        value: bytes | None,
        expected: Version | None = None,
    ) -> Result[Version, StoreError]:
        """Write a row, or delete it when the value is None.

        Parameters
        ----------
        table, key : str
            Table and key of the row.
        value : bytes or None
            New value.
        expected : Version, optional
            Required current version of the row; 0 when it must not exist.

        Returns
        -------
        Result of Version or StoreError
            Store version after the write.
        """
        name = {"table": table, "part": "", "key": key}
        call: dict[str, list[Any]] = {
            "expectedRev": [],
            "writes": [],
            "remove": [],
        }
        if expected is not None:
            call["expectedRev"].append({**name, "ver": expected})
        if value is None:
            call["remove"].append(name)
        else:
            text = base64.b64encode(value).decode()
            call["writes"].append({**name, "value": text})
        result = await self._client.request(
            "POST", "/rows-tx", json.dumps(call).encode()
        )
        if isinstance(result, Failure):
            error = result.failure()
            kind = (
                StoreErrorKind.UNKNOWN_EFFECT
                if error.sent
                else StoreErrorKind.UNAVAILABLE
            )
            return _make_failure(kind, error.message)
        return _interpret_write(result.unwrap().status, result.unwrap().body)

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()


def _make_failure(kind: StoreErrorKind, message: str) -> Failure[StoreError]:
    return Failure(StoreError(kind, message))


def _interpret_write(status: int, body: bytes) -> Result[Version, StoreError]:
    if status == 412:
        message = "the row does not have the expected version"
        return _make_failure(StoreErrorKind.CONDITION_FAILED, message)
    if status in _REJECTION_STATUSES:
        message = f"the row store returned status {status}"
        return _make_failure(StoreErrorKind.UNAVAILABLE, message)
    version = _read_version(_parse_fields(body)) if status == 200 else None
    if version is None:
        message = f"the row store returned status {status} without a version"
        return _make_failure(StoreErrorKind.UNKNOWN_EFFECT, message)
    return Success(version)


def _parse_fields(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; empty when the body is none."""
    parsed = parse_json(body, "response")
    fields = None if isinstance(parsed, Failure) else parsed.unwrap()
    return fields if isinstance(fields, dict) else {}


def _read_version(fields: dict[str, Any]) -> Version | None:
    version = fields.get("ver")
    if type(version) is int and 0 <= version <= _MAX_VERSION:
        return Version(version)
    return None


def _decode_page(body: bytes) -> RowPage | None:
    """Decode a page; rows that another writer left in no format are skipped."""
    fields = _parse_fields(body)
    version, found = _read_version(fields), fields.get("rows")
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
    key, version = fields.get("key"), _read_version(fields)
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


def make_row_store(address: Address, timeout: Seconds) -> RowStore:
    """Make a client of the row store.

    Parameters
    ----------
    address : Address
        Address of the store.
    timeout : Seconds
        Timeout of one request, not counting the wait of a feed.

    Returns
    -------
    RowStore
        Client with pooled connections.
    """
    return RowStore(HttpClient(address, timeout, _MAX_BODY_BYTES))
