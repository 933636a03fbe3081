"""Faults of links, injected for tests: cuts, delay and loss."""

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
_RESEND_DELAY = 0.2  # seconds, the smallest retransmission timeout of Linux
_CONNECT_CHECK = 0.02  # seconds between looks whether a cut has ended


class Direction(enum.Enum):
    """Direction of traffic as seen by the node."""

    SENDING = faults_pb2.SENDING
    RECEIVING = faults_pb2.RECEIVING


class FaultInjector(DatagramFaults, Protocol):
    """Stands between a node and its links."""

    async def await_connect(self, peer: Address) -> None:
        """Wait until a connection to an address can be established."""

    def wrap(self, sock: Any, peer: Address) -> Any:
        """Return the socket to use instead of a connected one."""


class NoLinkFaults(NoFaults):
    """Injector of production, which changes nothing."""

    async def await_connect(self, peer: Address) -> None:
        """Return at once."""

    def wrap(self, sock: Any, peer: Address) -> Any:
        """Return the socket itself, so that no call passes through here."""
        return sock


class LinkFaultInjector:
    """Injector that applies a list of faults, for tests.

    Parameters
    ----------
    randomness : random.Random
        Chooses what is lost.

    Examples
    --------
    >>> injector = LinkFaultInjector(random.Random(1))
    >>> fault = faults_pb2.LinkFault(ip="127.0.0.1", cut=True)
    >>> injector.replace([fault])
    >>> injector.admits(Address("127.0.0.1", 80))
    False
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._faults: tuple[faults_pb2.LinkFault, ...] = ()

    @property
    def faults(self) -> tuple[faults_pb2.LinkFault, ...]:
        """Faults in force."""
        return self._faults

    def replace(self, faults: Sequence[faults_pb2.LinkFault]) -> None:
        """Replace all faults."""
        self._faults = tuple(faults)
        _LOG.info("%d link faults are in force.", len(self._faults))

    def judge(self, peer: Address, direction: Direction) -> LinkEffect:
        """Judge what happens to traffic at this moment."""
        cut, lost, delay = False, False, 0.0
        for fault in self._faults:
            if not _applies(fault, peer, direction):
                continue
            cut = cut or fault.cut
            delay += fault.delay_s
            lost = lost or self._randomness.random() < fault.loss_share
        return LinkEffect(cut, lost, Seconds(delay))

    def is_cut(self, peer: Address, direction: Direction) -> bool:
        """Tell whether nothing gets through in one direction."""
        return any(
            fault.cut and _applies(fault, peer, direction)
            for fault in self._faults
        )

    async def await_connect(self, peer: Address) -> None:
        """Wait while either direction is cut: a handshake needs both."""
        while any(self.is_cut(peer, direction) for direction in Direction):
            await curio.sleep(_CONNECT_CHECK)
        effects = [self.judge(peer, direction) for direction in Direction]
        await curio.sleep(
            sum(
                effect.delay + _RESEND_DELAY * effect.lost for effect in effects
            )
        )

    def wrap(self, sock: Any, peer: Address) -> Any:
        """Return a socket whose reads and writes meet the faults."""
        return FaultySocket(
            sock,
            lambda: self._plan_stream(peer, Direction.SENDING),
            lambda: self._plan_stream(peer, Direction.RECEIVING),
        )

    def _plan_stream(
        self, peer: Address, direction: Direction
    ) -> Seconds | None:
        if self.is_cut(peer, direction):
            return None
        effect = self.judge(peer, direction)
        return Seconds(effect.delay + _RESEND_DELAY * effect.lost)

    def decide(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return the delay of a sent datagram, None to lose it."""
        effect = self.judge(receiver, Direction.SENDING)
        return None if effect.cut or effect.lost else effect.delay

    def admits(self, sender: Address) -> bool:
        """Return whether a datagram that arrived is taken.

        A delay of this direction is left out: the wait would hold up the
        datagrams of all other nodes.
        """
        effect = self.judge(sender, Direction.RECEIVING)
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


def make_fault_injector(
    enabled: bool, randomness: random.Random
) -> FaultInjector:
    """Make the injector of a node.

    Parameters
    ----------
    enabled : bool
        Whether faults can be injected; only tests do that.
    randomness : random.Random
        Chooses what is lost.

    Returns
    -------
    FaultInjector
        `LinkFaultInjector` when enabled, else `NoLinkFaults`.
    """
    return LinkFaultInjector(randomness) if enabled else NO_FAULTS
