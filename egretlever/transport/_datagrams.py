"""UDP endpoints on curio, with fault injection for tests."""

import random
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import curio

from egretlever.core import Address, Seconds, make_log

MAX_RECEIVED_BYTES = 65536

_LOG = make_log("datagrams")


class DatagramFaults(Protocol):
    """Decides which datagrams are dropped or delayed."""

    def find_delay(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return the delay of an outgoing datagram, None to drop it."""

    def accepts(self, sender: Address) -> bool:
        """Return whether an incoming datagram is accepted."""


class NoFaults:
    """Delivers every datagram without delay."""

    def find_delay(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return a delay of zero."""
        return Seconds(0.0)

    def accepts(self, sender: Address) -> bool:
        """Accept every datagram."""
        return True


class InjectedFaults:
    """Random loss, delay and one-way partitions for tests.

    Parameters
    ----------
    rng : random.Random
        Random generator that selects the dropped datagrams.
    loss : float, default=0
        Probability that a datagram is dropped.
    delay : Seconds, default=0
        Delay of each datagram in seconds.

    Attributes
    ----------
    cuts : set of tuple of Address
        Pairs of sender and receiver between which all datagrams are dropped.
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

    def find_delay(self, sender: Address, receiver: Address) -> Seconds | None:
        """Return the delay of a datagram in seconds, None to drop it."""
        if (sender, receiver) in self.cuts or self._rng.random() < self.loss:
            return None
        return self.delay

    def accepts(self, sender: Address) -> bool:
        """Accept every datagram: faults apply on the sending side."""
        return True


class DatagramEndpoint:
    """A bound UDP socket.

    Parameters
    ----------
    address : Address
        Address to bind; port 0 selects a free port.
    faults : DatagramFaults, optional
        Faults injected by tests.

    Attributes
    ----------
    send_error_count : int
        Number of datagrams that the operating system failed to send.
    """

    def __init__(
        self, address: Address, faults: DatagramFaults | None = None
    ) -> None:
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        self._socket = curio.socket.socket(family, socket.SOCK_DGRAM)
        self._socket.bind((address.ip, address.port))
        self.address = Address(*self._socket.getsockname()[:2])
        self._faults = faults or NoFaults()
        self.send_error_count = 0

    async def send(self, receiver: Address, data: bytes) -> None:
        """Send a datagram; a send error is counted and not raised."""
        delay = self._faults.find_delay(self.address, receiver)
        if delay is None:
            return
        if delay > 0:
            await curio.spawn(
                self._send_after_delay, receiver, data, delay, daemon=True
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
        """Wait for a datagram and return it with its sender."""
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_RECEIVED_BYTES)
            except ConnectionError:
                # ICMP error for an earlier datagram to a closed port: nothing
                # was received.
                continue
            peer = Address(*sender[:2])
            if self._faults.accepts(peer):
                return data, peer

    async def serve(
        self,
        handle: Callable[[bytes, Address], Awaitable[None]],
    ) -> None:
        """Pass received datagrams to a coroutine function until cancelled."""
        while True:
            data, sender = await self.receive()
            await handle(data, sender)

    async def close(self) -> None:
        """Close the socket."""
        await self._socket.close()

    async def _send_after_delay(
        self, receiver: Address, data: bytes, delay: Seconds
    ) -> None:
        await curio.sleep(delay)
        await self._send_now(receiver, data)

    async def _send_now(self, receiver: Address, data: bytes) -> None:
        try:
            await self._socket.sendto(data, (receiver.ip, receiver.port))
        except OSError as error:
            self.send_error_count += 1
            _LOG.debug(
                "Sending a datagram to %s failed: %s.",
                receiver,
                error,
            )
