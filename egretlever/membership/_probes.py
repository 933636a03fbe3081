"""Failure detection by direct and indirect probes."""

import dataclasses
import random

from egretlever.core import Address, NodeId, Seconds

# Well above the 16 ms round trip between regions, because the event loop of a
# busy node may lag by 250 ms.
DIRECT_TIMEOUT_S = 0.6
INDIRECT_TIMEOUT_S = 1.2
INDIRECT_PROBE_PEERS = 3
# With one stage, 1,000 nodes at 10% loss raised about 3 false suspicions per
# second, whose refutations delayed the news of departures.
INDIRECT_STAGES = 2
MAX_RELAYED = 256


@dataclasses.dataclass(slots=True)
class _Pending:
    node: NodeId
    due: Seconds
    stages: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Relayed:
    requester: Address
    sequence: int
    until: Seconds


class Probes:
    """Pending probes: this node's own, and those relayed for other nodes.

    Parameters
    ----------
    rng : random.Random
        Source of the first sequence number, so that acknowledgements of
        probes from before a restart match no probe.
    """

    def __init__(self, rng: random.Random) -> None:
        self._sequence = rng.getrandbits(30)
        self._pending: dict[int, _Pending] = {}
        self._relayed: dict[int, _Relayed] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def start(self, node: NodeId, now: Seconds) -> int:
        """Start a probe of a node; return its sequence number."""
        self._sequence += 1
        due = Seconds(now + DIRECT_TIMEOUT_S)
        self._pending[self._sequence] = _Pending(node, due)
        return self._sequence

    def relay(self, requester: Address, sequence: int, now: Seconds) -> int:
        """Start a relayed probe for a requester; return its sequence number."""
        self._sequence += 1
        until = Seconds(now + INDIRECT_TIMEOUT_S)
        self._relayed[self._sequence] = _Relayed(requester, sequence, until)
        if len(self._relayed) > MAX_RELAYED:
            del self._relayed[next(iter(self._relayed))]
        return self._sequence

    def acknowledge(self, sequence: int) -> NodeId | tuple[Address, int] | None:
        """Handle an acknowledgement.

        Returns
        -------
        NodeId, tuple of Address and int, or None
            The probed node, or the requester and its sequence number, or
            None for an unknown or replayed acknowledgement.
        """
        pending = self._pending.pop(sequence, None)
        if pending is not None:
            return pending.node
        relayed = self._relayed.pop(sequence, None)
        return (relayed.requester, relayed.sequence) if relayed else None

    def expire(
        self, now: Seconds
    ) -> tuple[list[tuple[int, NodeId]], list[NodeId]]:
        """Advance the probes whose timeout has passed to their next stage.

        Returns
        -------
        tuple of list
            Probes to be retried through other peers, and nodes to suspect.
        """
        indirect, failed = [], []
        for sequence, pending in list(self._pending.items()):
            if pending.due > now:
                continue
            if pending.stages == INDIRECT_STAGES:
                del self._pending[sequence]
                failed.append(pending.node)
            else:
                pending.stages += 1
                pending.due = Seconds(now + INDIRECT_TIMEOUT_S)
                indirect.append((sequence, pending.node))
        for sequence, relayed in list(self._relayed.items()):
            if relayed.until < now:
                del self._relayed[sequence]
        return indirect, failed

    def clear(self) -> None:
        """Discard all pending probes, after a pause of this process."""
        self._pending.clear()
        self._relayed.clear()
