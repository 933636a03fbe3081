"""Sending of records in compressed pages."""

from collections.abc import Iterator, Sequence

from egretlever.core import Address, Incarnation, Seconds, ServerState, Version
from egretlever.membership._liveness import Liveness
from egretlever.membership._messages import (
    MessageFields,
    Priority,
    RecordVersion,
    Suspicion,
)
from egretlever.membership._records import RecordDelta
from egretlever.membership._state import State

# Maximum size of a record before compression, and of a page in a datagram.
MAX_RECORD_BYTES = 4000
MAX_PAGE_BYTES = 1080


class Pages:
    """Packs records and queues them, followed by suspicions about them.

    Parameters
    ----------
    state : State
        Shared state of the member.
    liveness : Liveness
        Source of the suspicions.
    """

    def __init__(self, state: State, liveness: Liveness) -> None:
        self._state = state
        self._liveness = liveness

    def push(
        self, versions: Sequence[RecordVersion], address: Address, now: Seconds
    ) -> None:
        """Send the changes after the given versions, packed."""
        deltas = [
            self._state.delta_after(
                version.node,
                version.incarnation,
                version.version,
                now,
                MAX_RECORD_BYTES,
            )
            for version in versions
        ]
        found = [delta for delta in deltas if delta is not None]
        if found:
            self._send_packed(found, (), address, now)

    def send_bucket(self, bucket: int, address: Address, now: Seconds) -> None:
        """Send all records of a bucket; mark the bucket as served."""
        deltas = [
            self._state.delta_after(
                version.node, Incarnation(0), Version(0), now, MAX_RECORD_BYTES
            )
            for version in self._state.view.versions(bucket)
        ]
        found = [delta for delta in deltas if delta is not None]
        self._send_packed(found, (bucket,), address, now)

    def _send_packed(
        self,
        deltas: Sequence[RecordDelta],
        served: tuple[int, ...],
        address: Address,
        now: Seconds,
    ) -> None:
        urgent = not served and any(
            entry.state is ServerState.DRAINING
            for delta in deltas
            for entry in delta.entries
        )
        priority = Priority.URGENT if urgent else Priority.ORDINARY
        pages = list(self._make_pages(deltas, now)) or [MessageFields()]
        pages[-1]["served"] = served
        for fields in pages:
            self._state.send_address(address, priority, **fields)
        suspicions = self._suspicions_of(deltas, now)
        if suspicions:
            self._state.send_address(
                address, Priority.ORDINARY, suspicions=suspicions
            )

    def _make_pages(
        self, deltas: Sequence[RecordDelta], now: Seconds
    ) -> Iterator[MessageFields]:
        rest = list(deltas)
        while rest:
            page, count = self._state.packer.pack(rest, MAX_PAGE_BYTES)
            if count:
                yield {"page": page}
            else:
                # The compressed record exceeds a page: send the first part of
                # the record instead.
                first = rest[0]
                part = self._state.delta_after(
                    first.node, first.incarnation, first.base, now
                )
                if part is not None:
                    yield {"deltas": (part,)}
            del rest[: max(1, count)]

    def _suspicions_of(
        self, deltas: Sequence[RecordDelta], now: Seconds
    ) -> tuple[Suspicion, ...]:
        return tuple(
            self._liveness.suspicion_of(delta.node, now)
            for delta in deltas
            if self._state.view.version_of(delta.node).dead
        )[:16]
