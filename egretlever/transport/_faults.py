"""Link faults injected by tests: cuts (no traffic passes), delay and loss."""

import enum
import random
from collections.abc import Sequence
from typing import Any, Protocol

import curio

from egretlever.core import Address, Seconds, make_log
from egretlever.schema import faults_pb2
from egretlever.transport._datagrams import DatagramFaults, NoFaults
from egretlever.transport._faulty_socket import FaultySocket, LinkEffect

_LOG = make_log("faults")
_RETRANSMISSION_DELAY = 0.2  # seconds, minimum retransmission timeout of Linux
_CUT_POLL_INTERVAL = 0.02  # seconds between checks for the end of a cut


class Direction(enum.Enum):
    """Direction of traffic from the point of view of the node."""

    SENDING = faults_pb2.SENDING
    RECEIVING = faults_pb2.RECEIVING


class FaultInjector(DatagramFaults, Protocol):
    """Applies link faults to the sockets of a node."""

    async def await_connect(self, peer: Address) -> None:
        """Wait until a connection to the peer can be established."""

    def wrap(self, sock: Any, peer: Address) -> Any:
        """Return the socket to use in place of a connected one."""


class NoLinkFaults(NoFaults):
    """Injector without faults, as used in production."""

    async def await_connect(self, peer: Address) -> None:
        """Return immediately."""

    def wrap(self, sock: Any, peer: Address) -> Any:
        """Return the socket itself, so that its calls have no overhead."""
        return sock


class LinkFaultInjector:
    """Injector that applies a list of link faults, for tests.

    Parameters
    ----------
    rng : random.Random
        Random generator that selects what is lost.

    Examples
    --------
    >>> injector = LinkFaultInjector(random.Random(1))
    >>> fault = faults_pb2.LinkFault(ip="127.0.0.1", cut=True)
    >>> injector.replace([fault])
    >>> injector.accepts(Address("127.0.0.1", 80))
    False
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._faults: tuple[faults_pb2.LinkFault, ...] = ()

    @property
    def faults(self) -> tuple[faults_pb2.LinkFault, ...]:
        """Active faults."""
        return self._faults

    def replace(self, faults: Sequence[faults_pb2.LinkFault]) -> None:
        """Replace all active faults."""
        self._faults = tuple(faults)
        _LOG.info("%d link faults are active.", len(self._faults))

    def compute_effect(self, peer: Address, direction: Direction) -> LinkEffect:
        """Compute the combined effect of all faults on the next traffic."""
        cut, lost, delay = False, False, 0.0
        for fault in self._faults:
            if not _applies(fault, peer, direction):
                continue
            cut = cut or fault.cut
            delay += fault.delay_s
            lost = lost or self._rng.random() < fault.loss_share
        return LinkEffect(cut, lost, Seconds(delay))

    def is_cut(self, peer: Address, direction: Direction) -> bool:
        """Return whether a cut blocks one direction."""
        return any(
            fault.cut and _applies(fault, peer, direction)
            for fault in self._faults
        )

    async def await_connect(self, peer: Address) -> None:
        """Wait while either direction is cut: a TCP handshake needs both."""
        while any(self.is_cut(peer, direction) for direction in Direction):
            await curio.sleep(_CUT_POLL_INTERVAL)
        effects = [
            self.compute_effect(peer, direction) for direction in Direction
        ]
        await curio.sleep(
            sum(
                effect.delay + _RETRANSMISSION_DELAY * effect.lost
                for effect in effects
            )
        )

    def wrap(self, sock: Any, peer: Address) -> Any:
        """Return a socket that applies the faults to reads and writes."""
        return FaultySocket(
            sock,
            lambda: self._find_stream_delay(peer, Direction.SENDING),
            lambda: self._find_stream_delay(peer, Direction.RECEIVING),
        )

    def _find_stream_delay(
        self, peer: Address, direction: Direction
    ) -> Seconds | None:
        if self.is_cut(peer, direction):
            return None
        effect = self.compute_effect(peer, direction)
        return Seconds(effect.delay + _RETRANSMISSION_DELAY * effect.lost)

    def find_delay(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return the delay of an outgoing datagram, None to drop it."""
        effect = self.compute_effect(receiver, Direction.SENDING)
        return None if effect.cut or effect.lost else effect.delay

    def accepts(self, sender: Address) -> bool:
        """Return whether an incoming datagram is accepted.

        Delays of this direction are ignored: waiting would delay the
        datagrams of all other nodes.
        """
        effect = self.compute_effect(sender, Direction.RECEIVING)
        return not (effect.cut or effect.lost)


def _applies(
    fault: faults_pb2.LinkFault, peer: Address, direction: Direction
) -> bool:
    return (
        fault.ip == peer.ip
        and fault.port in (0, peer.port)
        and fault.direction in (faults_pb2.BOTH, direction.value)
    )


NO_FAULTS = NoLinkFaults()


def make_fault_injector(enabled: bool, rng: random.Random) -> FaultInjector:
    """Make the fault injector of a node.

    Parameters
    ----------
    enabled : bool
        Whether tests can inject faults.
    rng : random.Random
        Random generator that selects what is lost.

    Returns
    -------
    FaultInjector
        `LinkFaultInjector` when enabled, else `NoLinkFaults`.
    """
    return LinkFaultInjector(rng) if enabled else NO_FAULTS
