"""Simulated row store of the platform, for tests within one process."""

import base64
import dataclasses
import enum
import json
import urllib.parse
from typing import Any

import curio

from egretlever.core import Address
from egretlever.transport import (
    Answer,
    Handler,
    RequestHead,
    open_listener,
    read_clock,
    serve_requests,
)

_NO_RESPONSE_TIME_S = 3600.0  # time for which an unanswered call is open
_PAGE_ROWS = 500


class RowsFault(enum.Enum):
    """Fault injected into all calls.

    ``LOST`` executes a transaction and sends no response. ``LATE`` does the
    same after ``delay``.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOST = "lost"
    LATE = "late"
    GARBLED = "garbled"


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """Write or removal of a row, as kept in the history."""

    table: str
    key: str
    value: str
    version: int
    removed: bool
    at: float = 0.0  # clock time


class SharedLink:
    """Link of limited bandwidth that all answers of a store share.

    Parameters
    ----------
    bytes_per_second : float
        Bandwidth.

    Attributes
    ----------
    carried_bytes : int
        Bytes of all answers so far.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0
        self.carried_bytes = 0

    async def carry(self, size: int) -> None:
        """Wait until an answer of a size in bytes has passed the link."""
        now = read_clock()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_second
        self.carried_bytes += size
        await curio.sleep(self._free_at - now)


class RowsStandIn:
    """In-memory row store with the HTTP interface of the platform's.

    Parameters
    ----------
    link : SharedLink, optional
        Link over which the answers are sent; without one they take no time.
    era : int, default=0
        Number of the store's history in the header ``Store-Era`` of all
        answers; 0 for an earlier kind of store, which sends no such header.

    Attributes
    ----------
    address : Address
        Listening address.
    fault : RowsFault
        Fault that is injected now.
    delay : float
        Delay of the transactions under ``RowsFault.LATE``, in seconds.
    answer_delay : float
        Time in seconds that an answer takes after it was made.
    era : int
        Era at present.
    calls : list of str
        Method and path of each call, in order of arrival.
    polled_tables : list of str
        Table of each call that waits for changes, in order of arrival.
    link : SharedLink or None
        The given link.
    odd_rows : list of str
        Rows as JSON text that another writer left in all tables.
    """

    def __init__(self, link: SharedLink | None = None, era: int = 0) -> None:
        self.link = link
        self.era = era
        self._listener = open_listener(Address("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname()[:2])
        self.fault = RowsFault.NONE
        self.delay = 0.0
        self.answer_delay = 0.0
        self.calls: list[str] = []
        self.polled_tables: list[str] = []
        self.odd_rows: list[str] = []
        self._rows: dict[tuple[str, str], _Change] = {}
        self._history: list[_Change] = []
        # All changes of the present era and those before it that remain.
        self._journal: list[_Change] = []
        self._version = 1
        self._dropped_version = 0
        self._changed = curio.Event()
        self._losses = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            await serve_requests(self._listener, self._handle)
        finally:
            await self._listener.close()

    async def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row as the operator or another node would."""
        self._version += 1
        text = "" if value is None else base64.b64encode(value).decode()
        change = _Change(
            table, key, text, self._version, value is None, read_clock()
        )
        self._history.append(change)
        self._journal.append(change)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = change
        await self._changed.set()
        self._changed = curio.Event()
        return self._version

    def find(self, table: str, key: str) -> bytes | None:
        """Find the value of a row."""
        row = self._rows.get((table, key))
        return None if row is None else base64.b64decode(row.value)

    def forget_history(self) -> None:
        """Drop the history, so that feed readers must read all rows again."""
        self._history.clear()
        self._dropped_version = self._version

    async def restore(self, age: float) -> None:
        """Restore the store from a copy of an age in seconds.

        Later writes are lost, and their versions are assigned again. Calls that
        wait for changes go on, also those after a version that is lost.
        """
        taken_at = read_clock() - age
        self._journal = [row for row in self._journal if row.at <= taken_at]
        self._rows = {(row.table, row.key): row for row in self._journal}
        for place, row in list(self._rows.items()):
            if row.removed:
                del self._rows[place]
        self._version = max((row.version for row in self._journal), default=1)
        self._dropped_version = min(self._dropped_version, self._version)
        self._history = [
            row for row in self._journal if row.version > self._dropped_version
        ]
        self.era += 1
        await self._changed.set()
        self._changed = curio.Event()

    def fall_silent(self) -> None:
        """Answer no call from now on, nor those that wait for changes."""
        self.fault = RowsFault.SILENT
        self._losses += 1

    def open_door(self) -> "StoreDoor":
        """Open another address of this store, with faults of its own."""
        return StoreDoor(self._handle)

    async def _handle(self, head: RequestHead, body: bytes) -> Answer:
        reply = await self._execute(head, body)
        if self.era:
            era = (b"store-era", b"%d" % self.era)
            reply = dataclasses.replace(reply, headers=(era,))
        if self.link is not None:
            await self.link.carry(len(reply.body))
        if self.answer_delay:
            await curio.sleep(self.answer_delay)
        return reply

    async def _execute(self, head: RequestHead, body: bytes) -> Answer:
        url = urllib.parse.urlsplit(head.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append(f"{head.method} {url.path}")
        if self.fault is RowsFault.BUSY:
            return Answer(503)
        if self.fault is RowsFault.SILENT:
            await curio.sleep(_NO_RESPONSE_TIME_S)
        if self.fault is RowsFault.GARBLED:
            return Answer(200, b"{")
        if url.path == "/rows-tx":
            return await self._transact(json.loads(body))
        if url.path == "/rows-feed":
            return await self._feed(query)
        return self._get(query)

    async def _transact(self, call: dict[str, Any]) -> Answer:
        fault = self.fault
        if fault is RowsFault.LATE:
            await curio.sleep(self.delay)
        for row in call["expectedRev"]:
            current = self._rows.get((row["table"], row["key"]))
            if row["ver"] != (0 if current is None else current.version):
                return Answer(412, json.dumps({"rows": []}).encode())
        for row in call["writes"]:
            value = base64.b64decode(row["value"])
            await self.put(row["table"], row["key"], value)
        for row in call["remove"]:
            await self.put(row["table"], row["key"], None)
        if fault in (RowsFault.LOST, RowsFault.LATE):
            await curio.sleep(_NO_RESPONSE_TIME_S)
        return self._answer([])

    async def _feed(self, query: dict[str, str]) -> Answer:
        self.polled_tables.append(query["table"])
        after = int(query["after"])
        losses = self._losses
        try:
            async with curio.timeout_after(int(query["waitMs"]) / 1000):
                while not self._list_changes(query["table"], after):
                    if not self._dropped_version <= after <= self._version:
                        return Answer(410)
                    await self._changed.wait()
        except curio.TaskTimeout:
            # Nothing has changed; the answer has no rows.
            pass
        if losses != self._losses:
            await curio.sleep(_NO_RESPONSE_TIME_S)
        return self._answer(self._list_changes(query["table"], after))

    def _list_changes(self, table: str, after: int) -> list[_Change]:
        return [
            change
            for change in self._history
            if change.table == table and change.version > after
        ]

    def _get(self, query: dict[str, str]) -> Answer:
        first = query.get("from", "")
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and key >= first
        ]
        limit = min(int(query.get("limit", _PAGE_ROWS)), _PAGE_ROWS)
        return self._answer(rows[:limit], len(rows) > limit)

    def _answer(self, rows: list[_Change], has_more: bool = False) -> Answer:
        found = [
            {
                "table": row.table,
                "part": "",
                "key": row.key,
                "value": row.value,
                "ver": row.version,
                "tombstone": row.removed,
            }
            for row in rows
        ]
        rows_text = ", ".join([*self.odd_rows, *map(json.dumps, found)])
        text = (
            f'{{"rows": [{rows_text}], "hasMore": {json.dumps(has_more)},'
            f' "ver": {self._version}, "now": "{read_clock():.3f}s"}}'
        )
        return Answer(200, text.encode(), "application/json")


class StoreDoor:
    """Another address of a store, which may turn its callers away.

    Parameters
    ----------
    handle : Handler
        Handles the calls in the store.

    Attributes
    ----------
    address : Address
        Listening address.
    busy : bool
        Whether calls are answered with 503 from now on.
    turned_away : int
        Number of calls that were answered so.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._listener = open_listener(Address("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname()[:2])
        self.busy = False
        self.turned_away = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            await serve_requests(self._listener, self._answer)
        finally:
            await self._listener.close()

    async def _answer(self, head: RequestHead, body: bytes) -> Answer:
        if not self.busy:
            return await self._handle(head, body)
        self.turned_away += 1
        return Answer(503)
