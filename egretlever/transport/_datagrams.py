"""UDP datagrams on curio, with fault injection for tests."""

import random
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import curio

from egretlever.core import Address, Seconds, make_log

MAX_RECEIVED_BYTES = 65536

_LOG = make_log("datagrams")


class DatagramFaults(Protocol):
    """Decides what happens to each datagram."""

    def decide(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return the delay of a sent datagram, None to lose it."""

    def admits(self, sender: Address) -> bool:
        """Return whether a datagram that arrived is taken."""


class NoFaults:
    """Delivers everything at once."""

    def decide(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return no delay."""
        return Seconds(0.0)

    def admits(self, sender: Address) -> bool:
        """Take every datagram."""
        return True


class InjectedFaults:
    """Loss, delay and one-way cuts for tests.

    Parameters
    ----------
    rng : random.Random
        Source of the losses.
    loss : float, default=0
        Share of datagrams lost.
    delay : Seconds, default=0
        Delay of each datagram in seconds.

    Attributes
    ----------
    cuts : set of tuple of Address
        Directions (sender, receiver) that lose everything.
    """

    def __init__(
        self,
        rng: random.Random,
        loss: float = 0.0,
        delay: Seconds = Seconds(0.0),  # noqa: B008
    ) -> None:
        self._rng = rng
        self.loss = loss
        self.delay = delay
        self.cuts: set[tuple[Address, Address]] = set()

    def decide(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return the delay of a datagram in seconds, None to lose it."""
        if (sender, receiver) in self.cuts or self._rng.random() < self.loss:
            return None
        return self.delay

    def admits(self, sender: Address) -> bool:
        """Take every datagram: the sending side decides on the faults."""
        return True


class DatagramEndpoint:
    """A bound UDP socket.

    Parameters
    ----------
    address : Address
        Address to bind; port 0 chooses a free one.
    faults : DatagramFaults, optional
        Faults injected by tests.

    Attributes
    ----------
    failed : int
        Datagrams that the system refused to send.
    """

    def __init__(
        self, address: Address, faults: DatagramFaults | None = None
    ) -> None:
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        self._socket = curio.socket.socket(family, socket.SOCK_DGRAM)
        self._socket.bind((address.ip, address.port))
        self.address = Address(*self._socket.getsockname()[:2])
        self._faults = faults or NoFaults()
        self.failed = 0

    async def send(self, receiver: Address, data: bytes) -> None:
        """Send a datagram; a refusal of the system is counted as a loss."""
        delay = self._faults.decide(self.address, receiver)
        if delay is None:
            return
        if delay > 0:
            await curio.spawn(
                self._send_late, receiver, data, delay, daemon=True
            )
            return
        await self._send_now(receiver, data)

    async def send_all(
        self, datagrams: Iterable[tuple[Address, bytes]]
    ) -> None:
        """Send several datagrams."""
        for receiver, data in datagrams:
            await self.send(receiver, data)

    async def receive(self) -> tuple[bytes, Address]:
        """Wait for a datagram; return it with its sender."""
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_RECEIVED_BYTES)
            except ConnectionError:
                # An earlier datagram met a closed port; nothing was received.
                continue
            peer = Address(*sender[:2])
            if self._faults.admits(peer):
                return data, peer

    async def serve(
        self,
        take: Callable[[bytes, Address], Awaitable[None]],
    ) -> None:
        """Hand each received datagram to a coroutine function, forever."""
        while True:
            data, sender = await self.receive()
            await take(data, sender)

    async def close(self) -> None:
        """Close the socket."""
        await self._socket.close()

    async def _send_late(
        self, receiver: Address, data: bytes, delay: Seconds
    ) -> None:
        await curio.sleep(delay)
        await self._send_now(receiver, data)

    async def _send_now(self, receiver: Address, data: bytes) -> None:
        try:
            await self._socket.sendto(data, (receiver.ip, receiver.port))
        except OSError as error:
            self.failed += 1
            _LOG.debug("datagram to %s was not sent: %s", receiver, error)
