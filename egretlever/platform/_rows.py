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

# One call carries at most 1 MB of rows; base64 and JSON add less than that.
_MAX_BODY_BYTES = 4 << 20
# Rows in one answer, the platform's bound.
PAGE_ROWS = 500
# How much longer than a feed's own wait its answer may take. Slow days of the
# store multiply its 4 ms by up to a hundred.
_FEED_MARGIN = Seconds(2.0)
_REFUSED = frozenset({403, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the store.

    Parameters
    ----------
    key : str
        Key within its table.
    value : bytes
        Content; empty for a removed row.
    version : Version
        Version of the transaction that wrote it.
    removed : bool
        Whether the row was removed.
    """

    key: str
    value: bytes
    version: Version
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of one answer.

    Parameters
    ----------
    rows : tuple of StoredRow
        Rows, or changes in order.
    version : Version
        Store version up to which the answer is complete.
    more : bool
        Whether further rows follow the last key.
    """

    rows: tuple[StoredRow, ...]
    version: Version
    more: bool = False


class RowStore:
    """Calls of the row store.

    Parameters
    ----------
    client : HttpClient
        Connections to the store.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(
        self, table: str, first: str = "", limit: int = PAGE_ROWS
    ) -> Result[RowPage, StoreError]:
        """Read rows of a table in the order of keys, from a key on."""
        query = {"table": table, "part": "", "limit": str(limit)}
        if first:
            query["from"] = first
        return await self._fetch("/rows-get", query, None)

    async def follow(
        self, table: str, after: Version, wait: Seconds
    ) -> Result[RowPage, StoreError]:
        """Wait for changes of a table after a version.

        Returns
        -------
        Result of RowPage or StoreError
            ``HISTORY_LOST`` when changes after the version are no longer
            kept, so that the table has to be read again.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait * 1000)),
        }
        limit = Seconds(wait + _FEED_MARGIN)
        return await self._fetch("/rows-feed", query, limit)

    async def _fetch(
        self, path: str, query: dict[str, str], timeout: Seconds | None
    ) -> Result[RowPage, StoreError]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result = await self._client.request("GET", target, timeout=timeout)
        if isinstance(result, Failure):
            return _fail(StoreErrorKind.UNAVAILABLE, result.failure().message)
        reply = result.unwrap()
        if reply.status == 410:
            return _fail(StoreErrorKind.HISTORY_LOST, "the history is dropped")
        if reply.status != 200:
            message = f"the store answered {reply.status}"
            return _fail(StoreErrorKind.UNAVAILABLE, message)
        page = _decode_page(reply.body)
        if page is None:
            message = "the store's answer can't be decoded"
            return _fail(StoreErrorKind.UNAVAILABLE, message)
        return Success(page)

    async def write(
        self,
        table: str,
        key: str,
        value: bytes | None,
        expected: Version | None = None,
    ) -> Result[Version, StoreError]:
        """Write a row, or remove it when the value is None.

        Parameters
        ----------
        table, key : str
            Table and key of the row.
        value : bytes or None
            New content.
        expected : Version, optional
            Version that the row must have; 0 when it must not exist.

        Returns
        -------
        Result of Version or StoreError
            Store version of the write.
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
            return _fail(kind, error.message)
        return _interpret_write(result.unwrap().status, result.unwrap().body)

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()


def _fail(kind: StoreErrorKind, message: str) -> Failure[StoreError]:
    return Failure(StoreError(kind, message))


def _interpret_write(status: int, body: bytes) -> Result[Version, StoreError]:
    if status == 412:
        message = "a row has another version"
        return _fail(StoreErrorKind.REFUSED_CONDITION, message)
    if status in _REFUSED:
        message = f"the store answered {status}"
        return _fail(StoreErrorKind.UNAVAILABLE, message)
    version = _decode_version(body) if status == 200 else None
    if version is None:
        message = f"the store answered {status} without a version"
        return _fail(StoreErrorKind.UNKNOWN_EFFECT, message)
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
        Limit of one call, without the wait of a feed.

    Returns
    -------
    RowStore
        A client that keeps its connections.
    """
    return RowStore(HttpClient(address, timeout, _MAX_BODY_BYTES))
