"""Handles catalogue versions that operators' programs send to the node.

An offer claims that the store has accepted a version, so that a node can apply
it without waiting for its next poll or for gossip.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Sequence

import curio
from returns.result import Failure

from egretlever.catalogue import (
    CatalogueReader,
    CatalogueState,
    Delta,
    Head,
    HeadRead,
    ReaderAction,
    RejectionReason,
    Snapshot,
    VersionReceived,
    decode_delta,
    decode_head,
    decode_snapshot,
)
from egretlever.core import make_log
from egretlever.platform import TableStore
from egretlever.schema import admin_pb2, catalogue_pb2
from egretlever.transport import read_clock

_LOG = make_log("catalogue")
_HEAD_KEY = "catalogue/head"
# Largest number of versions that an offer may be ahead when the store does not
# answer. A ready node lags behind the store by the edits of a few seconds; at
# 2,200 edits a day a larger step can't be a missed notification.
_MAX_UNCONFIRMED_STEP = 64
# Seconds. The timeout in the settings may exceed the 4 s within which an
# accepted edit has to be in force.
_STORE_TIMEOUT = 1.0


class Verdict(enum.Enum):
    """Result of an offer, named as in the schema."""

    TAKEN = "taken"
    ALREADY_HELD = "already-held"
    SUPERSEDED = "superseded"
    OTHER_BASE = "other-base"
    LOWER_VERSION = "lower-version"
    CONFLICTING_DIGEST = "conflicting-digest"
    BAD_CONTENT = "bad-content"
    NOT_IN_STORE = "not-in-store"
    UNCONFIRMED = "unconfirmed"


_REJECTIONS = {
    RejectionReason.ALREADY_HELD: Verdict.ALREADY_HELD,
    RejectionReason.LOWER_VERSION: Verdict.LOWER_VERSION,
    RejectionReason.CONFLICTING_DIGEST: Verdict.CONFLICTING_DIGEST,
}


@dataclasses.dataclass(frozen=True, slots=True)
class StoredHead:
    """Result of reading the head from the store.

    Parameters
    ----------
    answered : bool
        Whether the store answered and its head, if any, could be decoded.
    head : Head or None
        Head in the store, None when the store is empty.
    """

    answered: bool
    head: Head | None = None


def decide_offer(
    current: Head | None, offered: Head, store: StoredHead
) -> Verdict:
    """Decide whether to apply an offered version.

    Parameters
    ----------
    current : Head or None
        Head of the version in force at the node.
    offered : Head
        Head of the offered version, which is higher.
    store : StoredHead
        Head in the store.

    Returns
    -------
    Verdict
        ``TAKEN`` when the version is to be applied.

    Examples
    --------
    >>> from egretlever.testing.builders import build_head
    >>> no_answer = StoredHead(False)
    >>> decide_offer(build_head(4), build_head(5), no_answer).value
    'taken'
    >>> decide_offer(None, build_head(5), no_answer).value
    'unconfirmed'
    >>> decide_offer(build_head(4), build_head(5), StoredHead(True)).value
    'not-in-store'
    """
    if not store.answered:
        near = (
            current
            and offered.version - current.version <= _MAX_UNCONFIRMED_STEP
        )
        return Verdict.TAKEN if near else Verdict.UNCONFIRMED
    if store.head is None or store.head.version < offered.version:
        return Verdict.NOT_IN_STORE
    if store.head.version > offered.version:
        return Verdict.SUPERSEDED
    if store.head.digest != offered.digest:
        return Verdict.CONFLICTING_DIGEST
    return Verdict.TAKEN


class OfferHandler:
    """Applies offered versions after checking them against the store.

    Parameters
    ----------
    state : CatalogueState
        Catalogue of the node.
    reader : CatalogueReader
        Receives the version, or the higher head found in the store.
    table : TableStore
        Table service.
    run : callable
        Executes the reader's actions, which disseminate the version.
    """

    def __init__(
        self,
        state: CatalogueState,
        reader: CatalogueReader,
        table: TableStore,
        run: Callable[[Sequence[ReaderAction]], Awaitable[None]],
    ) -> None:
        self._state = state
        self._reader = reader
        self._table = table
        self._run = run

    async def handle(self, offer: admin_pb2.CatalogueOffer) -> Verdict:
        """Check an offer, and apply its version if the checks pass."""
        head = _read_head(offer.head)
        content = _decode_content(offer)
        if head is None or content is None or content.head != head:
            return Verdict.BAD_CONTENT
        rejection = self._state.check_head(head)
        if rejection is not None:
            return _REJECTIONS[rejection]
        if isinstance(content, Delta) and content.base != self._state.head:
            return Verdict.OTHER_BASE
        store = await self._read_stored_head()
        verdict = decide_offer(self._state.head, head, store)
        if verdict is Verdict.TAKEN:
            verdict = await self._install(content)
        elif verdict is Verdict.SUPERSEDED:
            event = HeadRead(store.head)
            await self._run(self._reader.observe(event, read_clock()))
        _LOG.info(
            "offered catalogue version %d: %s, store %s",
            head.version,
            verdict.value,
            "answered" if store.answered else "did not answer",
        )
        return verdict

    async def _install(self, content: Snapshot | Delta) -> Verdict:
        actions = self._reader.observe(VersionReceived(content), read_clock())
        await self._run(actions)
        # Gossip may have delivered a version while the store was read.
        if self._state.head == content.head:
            return Verdict.TAKEN
        if self._state.version > content.head.version:
            return Verdict.SUPERSEDED
        if isinstance(content, Delta) and content.base != self._state.head:
            return Verdict.OTHER_BASE
        return Verdict.BAD_CONTENT

    async def _read_stored_head(self) -> StoredHead:
        result = await curio.ignore_after(
            _STORE_TIMEOUT, self._table.read, _HEAD_KEY
        )
        if result is None or isinstance(result, Failure):
            return StoredHead(False)
        row = result.unwrap()
        if row.version == 0:
            return StoredHead(True)
        head = decode_head(row.value)
        if isinstance(head, Failure):
            return StoredHead(False)
        return StoredHead(True, head.unwrap())


def _read_head(source: catalogue_pb2.CatalogueHead) -> Head | None:
    return decode_head(source.SerializeToString()).value_or(None)


def _decode_content(
    offer: admin_pb2.CatalogueOffer,
) -> Snapshot | Delta | None:
    head = _read_head(offer.head)
    if head is None:
        return None
    if offer.WhichOneof("content") == "delta":
        return decode_delta(offer.delta).value_or(None)
    return decode_snapshot(offer.snapshot, head.digest).value_or(None)
