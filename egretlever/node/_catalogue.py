"""Keeps the node's copy of the catalogue in step with the store and peers."""

from collections.abc import Callable, Sequence

from returns.result import Failure, Success

from egretlever.catalogue import (
    Accepted,
    Announce,
    AskPeers,
    CatalogueReader,
    CatalogueState,
    FetchFailed,
    FetchFromStore,
    Head,
    HeadRead,
    HeadUnavailable,
    NoPeers,
    ReaderAction,
    ReadHead,
    VersionReceived,
    decode_delta,
    decode_head,
    decode_snapshot,
    encode_delta,
)
from egretlever.core import Digest, Seconds, Version, make_log
from egretlever.membership import CatalogueHead, CatalogueUpdate
from egretlever.node import _metrics as metrics
from egretlever.platform import ObjectStore, StoreError, TableStore
from egretlever.transport import read_clock

_LOG = make_log("catalogue")
_HEAD_KEY = "catalogue/head"
_NO_HEAD = CatalogueHead(Version(0), Digest(""))


class CatalogueCopy:
    """Copy of the catalogue, as gossip reads and updates it.

    Parameters
    ----------
    state : CatalogueState
        Catalogue version in force.
    on_applied : callable
        Called after a new version came into force.
    """

    def __init__(
        self, state: CatalogueState, on_applied: Callable[[], None]
    ) -> None:
        self._state = state
        self._on_applied = on_applied

    def head(self) -> CatalogueHead:
        """Return the head of the copy, with version 0 when it is empty."""
        head = self._state.head
        if head is None:
            return _NO_HEAD
        return CatalogueHead(head.version, head.digest)

    def apply_update(self, update: CatalogueUpdate, now: Seconds) -> bool:
        """Apply a delta to its base version; return whether it took effect."""
        decoded = decode_delta(update.delta)
        if not isinstance(decoded, Success):
            return False
        return self._accept(self._state.apply_update(decoded.unwrap(), now))

    def load(self, head: CatalogueHead, content: bytes, now: Seconds) -> bool:
        """Replace the complete content; return whether it was accepted."""
        decoded = decode_snapshot(content, head.digest)
        if not isinstance(decoded, Success):
            return False
        return self._accept(self._state.apply_update(decoded.unwrap(), now))

    def content(self) -> bytes:
        """Return the complete content of the copy."""
        snapshot = self._state.snapshot_
        return snapshot.to_bytes() if snapshot is not None else b""

    def _accept(self, result: object) -> bool:
        accepted = isinstance(result, Accepted)
        if accepted:
            self._on_applied()
        return accepted


class CatalogueSync:
    """Executes the actions of the catalogue reader.

    Parameters
    ----------
    reader : CatalogueReader
        Decides what to read and fetch.
    table, objects
        Table service and object service of the platform.
    publish : callable
        Disseminates a version that the node read from the store.
    is_joined : callable
        Returns whether the node has received the state of its peers.
    on_applied : callable
        Called after a new version came into force.
    """

    def __init__(
        self,
        reader: CatalogueReader,
        table: TableStore,
        objects: ObjectStore,
        publish: Callable[[CatalogueUpdate], object],
        is_joined: Callable[[], bool],
        on_applied: Callable[[], None],
    ) -> None:
        self._reader = reader
        self._table = table
        self._objects = objects
        self._publish = publish
        self._is_joined = is_joined
        self._on_applied = on_applied

    async def run(self, actions: Sequence[ReaderAction]) -> None:
        """Execute actions, and those that follow from their results."""
        waiting = list(actions)
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, ReadHead):
                waiting.extend(await self._read_head())
            elif isinstance(action, FetchFromStore):
                waiting.extend(await self._fetch(action.head))
            elif isinstance(action, AskPeers):
                if self._is_joined():
                    waiting.extend(
                        self._reader.observe(NoPeers(), read_clock())
                    )
            elif isinstance(action, Announce):
                self._announce(action)

    async def _read_head(self) -> list[ReaderAction]:
        result = await self._table.read(_HEAD_KEY)
        if isinstance(result, Failure):
            self._count(result.failure())
            return self._reader.observe(HeadUnavailable(), read_clock())
        row = result.unwrap()
        if row.version == 0:
            return self._reader.observe(HeadRead(None), read_clock())
        head = decode_head(row.value)
        if isinstance(head, Failure):
            _LOG.error("Catalogue head in the store can't be decoded.")
            return self._reader.observe(HeadUnavailable(), read_clock())
        return self._reader.observe(HeadRead(head.unwrap()), read_clock())

    async def _fetch(self, head: Head) -> list[ReaderAction]:
        result = await self._objects.get(head.digest)
        if isinstance(result, Failure):
            self._count(result.failure())
            return self._reader.observe(FetchFailed(head), read_clock())
        snapshot = decode_snapshot(result.unwrap(), head.digest)
        if isinstance(snapshot, Failure):
            _LOG.error(
                "Catalogue version %d: %s.", head.version, snapshot.failure()
            )
            return self._reader.observe(FetchFailed(head), read_clock())
        return self._reader.observe(
            VersionReceived(snapshot.unwrap()), read_clock()
        )

    def _announce(self, action: Announce) -> None:
        self._on_applied()
        delta = encode_delta(action.delta) if action.delta else b""
        base = action.delta.base.version if action.delta else Version(0)
        head = CatalogueHead(action.head.version, action.head.digest)
        self._publish(CatalogueUpdate(head, base, delta))

    def _count(self, error: StoreError) -> None:
        metrics.STORE_ERRORS.labels(error.kind.value).inc()
