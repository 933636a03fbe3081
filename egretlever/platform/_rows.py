"""Client of the platform's row store: JSON over HTTP."""

import base64
import binascii
import dataclasses
import json
import urllib.parse
from typing import Any

from returns.result import Failure, Result, Success

from egretlever.core import Address, Seconds, Version
from egretlever.platform._http import HttpClient
from egretlever.platform._interfaces import StoreError, StoreErrorKind

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
    """

    rows: tuple[StoredRow, ...]
    version: Version
    more: bool = False
    size: int = 0
    transfer_time: Seconds = Seconds(0.0)


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
    version = _decode_version(body) if status == 200 else None
    if version is None:
        message = f"the row store returned status {status} without a version"
        return _make_failure(StoreErrorKind.UNKNOWN_EFFECT, message)
    return Success(version)


def _decode_version(body: bytes) -> Version | None:
    try:
        return Version(int(json.loads(body)["ver"]))
    except (ValueError, KeyError, TypeError):
        return None


def _decode_page(body: bytes) -> RowPage | None:
    try:
        fields = json.loads(body)
        rows = tuple(_decode_row(row) for row in fields["rows"])
        more = bool(fields.get("hasMore", False))
        return RowPage(rows, Version(int(fields["ver"])), more)
    except (ValueError, KeyError, TypeError, binascii.Error):
        return None


def _decode_row(fields: Any) -> StoredRow:
    removed = bool(fields.get("tombstone", False))
    text = "" if removed else fields["value"]
    return StoredRow(
        str(fields["key"]),
        base64.b64decode(text, validate=True),
        Version(int(fields["ver"])),
        removed,
    )


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
