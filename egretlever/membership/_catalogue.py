"""Dissemination of catalogue updates, and fetching of missing content."""

import collections
import dataclasses
from collections.abc import Callable

from egretlever.core import Digest, Seconds, Version
from egretlever.membership._interfaces import CatalogueCopy
from egretlever.membership._messages import (
    CatalogueHead,
    CatalogueUpdate,
    ContentChunk,
    ContentRequest,
    Drop,
)

CHUNK_BYTES = 900
MAX_CONTENT_BYTES = 16 * 1024 * 1024
MAX_RECENT_UPDATES = 32
MAX_REQUESTS_PER_CALL = 8
RETRY_TIMEOUT_S = 1.0


class NoCatalogue:
    """Empty catalogue copy of a node that does not use the catalogue."""

    def head(self) -> CatalogueHead:
        """Return version 0."""
        return CatalogueHead(Version(0), Digest(""))

    def apply_update(self, update: CatalogueUpdate, now: Seconds) -> bool:
        """Reject the update."""
        return False

    def load(self, head: CatalogueHead, content: bytes, now: Seconds) -> bool:
        """Reject the content."""
        return False

    def content(self) -> bytes:
        """Return empty content."""
        return b""


@dataclasses.dataclass(slots=True)
class _Fetch:
    update: CatalogueUpdate
    name: str
    total: int | None = None
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)
    requested_at: dict[int, Seconds] = dataclasses.field(default_factory=dict)


class CatalogueDissemination:
    """Serves recent updates to peers and fetches updates that are missing.

    Parameters
    ----------
    copy : CatalogueCopy
        This node's copy.
    count : callable
        Counts a dropped message by its reason.
    """

    def __init__(
        self, copy: CatalogueCopy, count: Callable[[Drop], None]
    ) -> None:
        self.copy = copy
        self._count = count
        self._recent: collections.OrderedDict[Version, CatalogueUpdate] = (
            collections.OrderedDict()
        )
        self._fetch: _Fetch | None = None
        self.highest_version = copy.head().version

    @property
    def version(self) -> Version:
        """Version of the copy."""
        return self.copy.head().version

    @property
    def fetching(self) -> bool:
        """Whether content is being fetched."""
        return self._fetch is not None

    def publish(self, update: CatalogueUpdate) -> CatalogueUpdate:
        """Store an update for peers; return it in the form to disseminate.

        A change that does not fit into one chunk is left out; peers fetch it.
        """
        self._recent[update.base] = update
        while len(self._recent) > MAX_RECENT_UPDATES:
            self._recent.popitem(last=False)
        self.highest_version = max(self.highest_version, update.head.version)
        if len(update.delta) > CHUNK_BYTES:
            return dataclasses.replace(update, delta=b"")
        return update

    def receive(
        self, update: CatalogueUpdate, now: Seconds
    ) -> tuple[bool, ContentRequest | None]:
        """Handle an update received from a peer.

        Returns
        -------
        tuple
            Whether the update is newer than any seen and has to be forwarded,
            and a request to the sender when an earlier update is missing.
        """
        held = self.version
        if update.head.version <= held:
            return False, None
        is_newer = update.head.version > self.highest_version
        self.highest_version = max(self.highest_version, update.head.version)
        if update.base == held and update.delta:
            if self._apply(update, now):
                return True, None
            self._count(Drop.CATALOGUE_REFUSED)
            self._start_fetch(dataclasses.replace(update, base=Version(0)))
        elif not update.delta and update.base in (0, held):
            self._start_fetch(update)
        else:
            return is_newer, self.request_next()
        return is_newer, None

    def request_next(self) -> ContentRequest:
        """Return a request for the update that follows the copy's version."""
        return ContentRequest(f"delta/{self.version}", 0)

    def answer(
        self, request: ContentRequest
    ) -> tuple[CatalogueUpdate | None, ContentChunk | None]:
        """Answer a request with an update, a chunk, or both."""
        kind, _, number = request.name.partition("/")
        if not number.isdecimal() or request.offset < 0:
            self._count(Drop.REQUEST)
            return None, None
        version = Version(int(number))
        if kind == "delta" and version in self._recent:
            update = self._recent[version]
            if len(update.delta) <= CHUNK_BYTES:
                return update, None
            chunk = _make_chunk(request.name, update.delta, request.offset)
            return dataclasses.replace(update, delta=b""), chunk
        head = self.copy.head()
        if kind == "content" and version == head.version:
            return None, _make_chunk(
                request.name, self.copy.content(), request.offset
            )
        if version < head.version:
            return CatalogueUpdate(head, Version(0), b""), None
        return None, None

    def receive_chunk(self, chunk: ContentChunk, now: Seconds) -> bool:
        """Store a chunk; return whether the copy reached a new version."""
        fetch = self._fetch
        if fetch is None or chunk.name != fetch.name:
            self._count(Drop.CHUNK)
            return False
        if (
            not 0 < chunk.total <= MAX_CONTENT_BYTES
            or chunk.offset % CHUNK_BYTES
            or fetch.total not in (None, chunk.total)
            or len(chunk.data) != min(CHUNK_BYTES, chunk.total - chunk.offset)
        ):
            self._count(Drop.CHUNK)
            return False
        fetch.total = chunk.total
        fetch.parts[chunk.offset] = chunk.data
        if sum(map(len, fetch.parts.values())) < chunk.total:
            return False
        self._fetch = None
        content = b"".join(fetch.parts[key] for key in sorted(fetch.parts))
        return self._finish(fetch.update, content, now)

    def due_requests(self, now: Seconds) -> list[ContentRequest]:
        """Return the chunk requests of the current fetch that are due."""
        fetch = self._fetch
        if fetch is None:
            return []
        if fetch.update.head.version <= self.version:
            self._fetch = None
            return []
        total = CHUNK_BYTES if fetch.total is None else fetch.total
        due = []
        for offset in range(0, total, CHUNK_BYTES):
            if offset in fetch.parts:
                continue
            requested_at = fetch.requested_at.get(offset)
            if (
                requested_at is not None
                and now - requested_at < RETRY_TIMEOUT_S
            ):
                continue
            fetch.requested_at[offset] = now
            due.append(ContentRequest(fetch.name, offset))
            if len(due) == MAX_REQUESTS_PER_CALL:
                break
        return due

    def _start_fetch(self, update: CatalogueUpdate) -> None:
        name = f"delta/{update.base}"
        if update.base == 0:
            name = f"content/{update.head.version}"
        if self._fetch is None or (
            self._fetch.name != name
            and self._fetch.update.head.version <= update.head.version
        ):
            self._fetch = _Fetch(update, name)

    def _apply(self, update: CatalogueUpdate, now: Seconds) -> bool:
        if not self.copy.apply_update(update, now):
            return False
        self.publish(update)
        return True

    def _finish(
        self, update: CatalogueUpdate, content: bytes, now: Seconds
    ) -> bool:
        if update.head.version <= self.version:
            return False
        if update.base and update.base == self.version:
            update = dataclasses.replace(update, delta=content)
            done = self._apply(update, now)
        else:
            done = self.copy.load(update.head, content, now)
        if not done:
            self._count(Drop.CATALOGUE_REFUSED)
        return done


def _make_chunk(name: str, content: bytes, offset: int) -> ContentChunk | None:
    if offset >= len(content):
        return None
    data = content[offset : offset + CHUNK_BYTES]
    return ContentChunk(name, offset, len(content), data)
