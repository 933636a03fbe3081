"""Versions of the catalogue that an operator's program offers to the node."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Sequence

import curio
from returns.result import Failure

from egretlever.catalogue import (
    Action,
    CatalogueReader,
    CatalogueState,
    Delta,
    Head,
    HeadRead,
    RefusalReason,
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
# A ready node trails the store by the edits of a few seconds. At 2,200 edits a
# day a larger step can't be a missed notification.
_TRUSTED_STEP = 64
# Seconds. The store's timeout in the settings may exceed the 4 s in which an
# accepted edit has to be in force.
_STORE_PATIENCE = 1.0


class Verdict(enum.Enum):
    """What a node did with an offer, named as in the schema."""

    TAKEN = "taken"
    ALREADY_HELD = "already-held"
    SUPERSEDED = "superseded"
    OTHER_BASE = "other-base"
    LOWER_VERSION = "lower-version"
    CONFLICTING_DIGEST = "conflicting-digest"
    BAD_CONTENT = "bad-content"
    NOT_IN_STORE = "not-in-store"
    UNCONFIRMED = "unconfirmed"


_REFUSALS = {
    RefusalReason.ALREADY_HELD: Verdict.ALREADY_HELD,
    RefusalReason.LOWER_VERSION: Verdict.LOWER_VERSION,
    RefusalReason.CONFLICTING_DIGEST: Verdict.CONFLICTING_DIGEST,
}


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswer:
    """What the store said of its head.

    Parameters
    ----------
    answered : bool
        Whether the store answered.
    head : Head or None
        Head of the store, None for an empty store.
    """

    answered: bool
    head: Head | None = None


def judge_claim(
    held: Head | None, offered: Head, store: StoreAnswer
) -> Verdict:
    """Decide whether the claim that a version was accepted is believed.

    Parameters
    ----------
    held : Head or None
        Version in force at the node.
    offered : Head
        Higher version that the operator's program names.
    store : StoreAnswer
        What the store says.

    Returns
    -------
    Verdict
        ``TAKEN`` when the claim is believed.

    Examples
    --------
    >>> from egretlever.testing.builders import build_head
    >>> away = StoreAnswer(False)
    >>> judge_claim(build_head(4), build_head(5), away).value
    'taken'
    >>> judge_claim(None, build_head(5), away).value
    'unconfirmed'
    >>> judge_claim(build_head(4), build_head(5), StoreAnswer(True)).value
    'not-in-store'
    """
    if not store.answered:
        near = held and offered.version - held.version <= _TRUSTED_STEP
        return Verdict.TAKEN if near else Verdict.UNCONFIRMED
    if store.head is None or store.head.version < offered.version:
        return Verdict.NOT_IN_STORE
    if store.head.version > offered.version:
        return Verdict.SUPERSEDED
    if store.head.digest != offered.digest:
        return Verdict.CONFLICTING_DIGEST
    return Verdict.TAKEN


class OfferHandler:
    """Takes offered versions after a look at the store.

    Parameters
    ----------
    state : CatalogueState
        Copy of the node.
    reader : CatalogueReader
        Takes the version, or the higher head of the store.
    table : TableStore
        Table service.
    run : callable
        Runs the reader's actions, which spread the version.
    """

    def __init__(
        self,
        state: CatalogueState,
        reader: CatalogueReader,
        table: TableStore,
        run: Callable[[Sequence[Action]], Awaitable[None]],
    ) -> None:
        self._state = state
        self._reader = reader
        self._table = table
        self._run = run

    async def take(self, offer: admin_pb2.CatalogueOffer) -> Verdict:
        """Check an offer, and take it when its claim is believed."""
        head = _read_head(offer.head)
        content = _decode_content(offer)
        if head is None or content is None or content.head != head:
            return Verdict.BAD_CONTENT
        refusal = self._state.compare(head)
        if refusal is not None:
            return _REFUSALS[refusal]
        if isinstance(content, Delta) and content.base != self._state.head:
            return Verdict.OTHER_BASE
        store = await self._ask_store()
        verdict = judge_claim(self._state.head, head, store)
        if verdict is Verdict.TAKEN:
            verdict = await self._install(content)
        elif verdict is Verdict.SUPERSEDED:
            event = HeadRead(store.head)
            await self._run(self._reader.observe(event, read_clock()))
        _LOG.info(
            "offered version %d: %s, store %s",
            head.version,
            verdict.value,
            "answered" if store.answered else "away",
        )
        return verdict

    async def _install(self, content: Snapshot | Delta) -> Verdict:
        actions = self._reader.observe(VersionReceived(content), read_clock())
        await self._run(actions)
        # Gossip may have brought a version while the store was asked.
        if self._state.head == content.head:
            return Verdict.TAKEN
        if self._state.version > content.head.version:
            return Verdict.SUPERSEDED
        if isinstance(content, Delta) and content.base != self._state.head:
            return Verdict.OTHER_BASE
        return Verdict.BAD_CONTENT

    async def _ask_store(self) -> StoreAnswer:
        result = await curio.ignore_after(
            _STORE_PATIENCE, self._table.read, _HEAD_KEY
        )
        if result is None or isinstance(result, Failure):
            return StoreAnswer(False)
        row = result.unwrap()
        if row.version == 0:
            return StoreAnswer(True)
        head = decode_head(row.value)
        if isinstance(head, Failure):
            return StoreAnswer(False)
        return StoreAnswer(True, head.unwrap())


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
