"""Acknowledged delivery of evidence, with resends through a relay."""

import collections
import dataclasses
import random

from egretlever.core import Incarnation, NodeId, Seconds
from egretlever.membership._messages import Evidence

RESEND_INTERVAL_S = 0.3
MAX_ATTEMPTS = 3
MAX_PENDING = 256
MAX_SEEN = 4096


@dataclasses.dataclass(slots=True)
class _Pending:
    evidence: Evidence
    attempts: int
    due: Seconds


class EvidenceOutbox:
    """Unacknowledged evidence, and the sequence numbers already received.

    Parameters
    ----------
    node : NodeId
        This node.
    incarnation : Incarnation
        Incarnation of this node.
    rng : random.Random
        Source of the first sequence number.
    """

    def __init__(
        self, node: NodeId, incarnation: Incarnation, rng: random.Random
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._sequence = rng.getrandbits(30)
        self._pending: dict[int, _Pending] = {}
        self._seen: collections.OrderedDict[
            tuple[NodeId, Incarnation, int], None
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._pending)

    def start(self, target: NodeId, payload: bytes, now: Seconds) -> Evidence:
        """Start a delivery; return the evidence to send."""
        self._sequence += 1
        evidence = Evidence(
            self._node, self._incarnation, self._sequence, target, payload
        )
        due = Seconds(now + RESEND_INTERVAL_S)
        self._pending[self._sequence] = _Pending(evidence, 1, due)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        return evidence

    def acknowledge(self, sequence: int) -> bool:
        """End a delivery; return whether it was pending."""
        return self._pending.pop(sequence, None) is not None

    def is_new(self, evidence: Evidence) -> bool:
        """Record received evidence; return False for a replay."""
        key = (evidence.origin, evidence.incarnation, evidence.sequence)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        return True

    def due(self, now: Seconds) -> list[Evidence]:
        """Return the evidence to be resent through a relay."""
        again = []
        for sequence, pending in list(self._pending.items()):
            if pending.due > now:
                continue
            if pending.attempts >= MAX_ATTEMPTS:
                del self._pending[sequence]
                continue
            pending.attempts += 1
            pending.due = Seconds(now + RESEND_INTERVAL_S)
            again.append(pending.evidence)
        return again
