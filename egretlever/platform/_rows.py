"""Client of the platform's row store: JSON over HTTP."""

import base64
import dataclasses
import json
import urllib.parse
from typing import Any

import curio
from returns.result import Failure, Result, Success

from egretlever.core import (
    Address,
    Seconds,
    StoreEra,
    Version,
    find_era,
    find_number,
    join_version,
)
from egretlever.platform import _headers as headers
from egretlever.platform._eras import StoreEras, parse_era
from egretlever.platform._http import HttpClient, HttpError, HttpReply
from egretlever.platform._interfaces import StoreError, StoreErrorKind
from egretlever.platform._row_pages import (
    RowPage,
    decode_page,
    parse_fields,
    read_version,
)

# A request or response has at most 1 MB of rows; base64 and JSON add less than
# another 1 MB.
_MAX_BODY_BYTES = 4 << 20
# Limit of the platform for rows in one response.
MAX_PAGE_ROWS = 500
# Time allowed for a feed response beyond the requested wait. When the store is
# slow, its usual response time of 4 ms grows up to a hundredfold.
_FEED_TIMEOUT_MARGIN = Seconds(2.0)
_REJECTION_STATUSES = frozenset({403, 429, 503})


class RowStore:
    """Client of the row store.

    Versions are made of the era and the number that the store names. Nothing
    that rests on an earlier era than the newest one known is sent or returned.

    Parameters
    ----------
    client : HttpClient
        HTTP client of the store.

    Attributes
    ----------
    eras : StoreEras
        Newest era of the store.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self.eras = StoreEras()

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
            the version, and ``RESTORED`` when the version is of an earlier
            era, also one that ends during the wait; the table has to be read
            again.
        """
        era = find_era(after)
        if era < self.eras.current:
            return _make_restored_failure()
        query = {
            "table": table,
            "after": str(find_number(after)),
            "waitMs": str(int(wait * 1000)),
        }
        if timeout is None:
            timeout = Seconds(wait + _FEED_TIMEOUT_MARGIN)
        fetch = self._fetch("/rows-feed", query, timeout)
        async with curio.TaskGroup(wait=any) as group:
            fetch_task = await group.spawn(fetch)
            await group.spawn(self.eras.wait_beyond, era)
        if group.exception is not None:
            raise group.exception
        if find_era(after) < self.eras.current:
            return _make_restored_failure()
        result: Result[RowPage, StoreError] = fetch_task.result
        return result

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: Seconds | None = None,
    ) -> tuple[Result[HttpReply, HttpError], StoreEra]:
        """Make a call; return its result and the era of the answer.

        An answer that names no era counts for the newest one known.
        """
        result = await self._client.request(method, target, body, timeout)
        era = None
        if isinstance(result, Success):
            era = parse_era(result.unwrap().find(headers.STORE_ERA))
            if era is not None:
                await self.eras.observe(era, "the store")
        return result, self.eras.current if era is None else era

    async def _fetch(
        self, path: str, query: dict[str, str], timeout: Seconds | None
    ) -> Result[RowPage, StoreError]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result, era = await self._call("GET", target, timeout=timeout)
        if isinstance(result, Failure):
            return _make_failure(
                StoreErrorKind.UNAVAILABLE, result.failure().message
            )
        if era < self.eras.current:
            return _make_restored_failure()
        reply = result.unwrap()
        if reply.status == 410:
            return _make_failure(
                StoreErrorKind.HISTORY_LOST,
                "the store no longer keeps the requested changes",
            )
        if reply.status != 200:
            message = f"the row store returned status {reply.status}"
            return _make_failure(StoreErrorKind.UNAVAILABLE, message)
        page = decode_page(reply.body)
        if page is None:
            message = "the response of the row store cannot be decoded"
            return _make_failure(StoreErrorKind.UNAVAILABLE, message)
        return Success(
            dataclasses.replace(
                page,
                rows=tuple(
                    dataclasses.replace(
                        row, version=join_version(era, row.version)
                    )
                    for row in page.rows
                ),
                version=join_version(era, page.version),
                size=len(reply.body),
                transfer_time=reply.transfer_time,
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
            Store version after the write. ``RESTORED`` when the required
            version is of an earlier era: nothing was sent, or the write may
            have taken effect although the condition was void.
        """
        # That a row must not exist means the same in every era.
        condition_era = find_era(expected) if expected else None
        if condition_era is not None and condition_era != self.eras.current:
            return _make_restored_failure()
        name = {"table": table, "part": "", "key": key}
        call: dict[str, list[Any]] = {
            "expectedRev": [],
            "writes": [],
            "remove": [],
        }
        if expected is not None:
            call["expectedRev"].append({**name, "ver": find_number(expected)})
        if value is None:
            call["remove"].append(name)
        else:
            text = base64.b64encode(value).decode()
            call["writes"].append({**name, "value": text})
        result, era = await self._call(
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
        if era < self.eras.current or condition_era not in (None, era):
            return _make_restored_failure()
        return _interpret_write(
            result.unwrap().status, result.unwrap().body
        ).map(lambda version: join_version(era, version))

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()


def _make_failure(kind: StoreErrorKind, message: str) -> Failure[StoreError]:
    return Failure(StoreError(kind, message))


def _make_restored_failure() -> Failure[StoreError]:
    message = "the store was restored from an older copy"
    return _make_failure(StoreErrorKind.RESTORED, message)


def _interpret_write(status: int, body: bytes) -> Result[Version, StoreError]:
    if status == 412:
        message = "the row does not have the expected version"
        return _make_failure(StoreErrorKind.CONDITION_FAILED, message)
    if status in _REJECTION_STATUSES:
        message = f"the row store returned status {status}"
        return _make_failure(StoreErrorKind.UNAVAILABLE, message)
    version = read_version(parse_fields(body)) if status == 200 else None
    if version is None:
        message = f"the row store returned status {status} without a version"
        return _make_failure(StoreErrorKind.UNKNOWN_EFFECT, message)
    return Success(version)


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
