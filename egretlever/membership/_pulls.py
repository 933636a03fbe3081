"""Records known to be missing, and flow control for requesting them."""

import dataclasses

from egretlever.core import Incarnation, NodeId, Seconds, Version
from egretlever.membership._messages import RecordVersion

MAX_MISSING = 4096
BATCH_RECORDS = 8
MAX_BATCHES = 8
# A busy peer's queue holds messages worth about 2.5 s of its byte budget.
REQUEST_TIMEOUT_S = 3.0
MIN_WINDOW = 16
INITIAL_WINDOW = 32
MAX_WINDOW = 64


@dataclasses.dataclass(slots=True)
class _Missing:
    version: RecordVersion
    source: NodeId | None
    requested_at: Seconds | None = None


class Pulls:
    """Missing records, with a request window that shrinks on lost answers.

    Without the window, nodes that start together request more than their
    peers may send, and then request late answers again.
    """

    def __init__(self) -> None:
        self._missing: dict[NodeId, _Missing] = {}
        self._window = INITIAL_WINDOW

    def __len__(self) -> int:
        return len(self._missing)

    def add(
        self,
        version: RecordVersion,
        source: NodeId,
        requested_at: Seconds | None = None,
    ) -> None:
        """Add a newer version that a peer reported."""
        known = self._missing.get(version.node)
        if known is not None:
            stamp = (version.incarnation, version.version)
            if (known.version.incarnation, known.version.version) < stamp:
                known.version = version
                known.source = source
            elif known.source is None:
                # A random peer may be starting as well and lack the record.
                known.source = source
            known.requested_at = requested_at or known.requested_at
        elif len(self._missing) < MAX_MISSING:
            self._missing[version.node] = _Missing(
                version, source, requested_at
            )

    def note_arrival(
        self, node: NodeId, stamp: tuple[Incarnation, Version]
    ) -> None:
        """Remove a record that arrived, and widen the window."""
        known = self._missing.get(node)
        if known is None:
            return
        if stamp >= (known.version.incarnation, known.version.version):
            del self._missing[node]
            self._window = min(MAX_WINDOW, self._window + 1)

    def discard(self, node: NodeId) -> None:
        """Remove a missing record."""
        self._missing.pop(node, None)

    def versions(self) -> list[RecordVersion]:
        """Return the missing versions."""
        return [missing.version for missing in self._missing.values()]

    def choose(self, now: Seconds) -> list[tuple[NodeId | None, list[NodeId]]]:
        """Choose the records to request now.

        Returns
        -------
        list of tuple
            Peer to request from, None for a random one, and the nodes whose
            records to request.
        """
        waiting = lost = 0
        due: list[NodeId] = []
        for node, missing in self._missing.items():
            if missing.requested_at is None:
                due.append(node)
            elif now - missing.requested_at < REQUEST_TIMEOUT_S:
                waiting += 1
            else:
                lost += 1
                missing.source = None
                due.append(node)
        if lost * 4 > waiting + lost:
            self._window = max(MIN_WINDOW, self._window // 2)
        batches: dict[NodeId | None, list[NodeId]] = {}
        for node in due[: max(0, self._window - waiting)]:
            missing = self._missing[node]
            batch = batches.setdefault(missing.source, [])
            if len(batch) < BATCH_RECORDS and len(batches) <= MAX_BATCHES:
                batch.append(node)
                missing.requested_at = now
        return [pair for pair in batches.items() if pair[1]]
