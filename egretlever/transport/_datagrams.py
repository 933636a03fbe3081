"""UDP datagrams on curio, with fault injection for tests."""

from collections.abc import Iterable
from typing import Any

import curio
from curio import socket

from egretlever.core import Address, Seconds, make_log
from egretlever.transport._faults import NO_FAULTS, Direction, FaultInjector

MAX_RECEIVED_BYTES = 65536

_LOG = make_log("datagrams")


class DatagramEndpoint:
    """A bound UDP socket.

    Parameters
    ----------
    address : Address
        Address to bind; port 0 chooses a free one.
    faults : FaultInjector, optional
        Faults of the links, which only tests inject.

    Attributes
    ----------
    failed : int
        Datagrams that the system refused to send.
    sent_bytes, received_bytes : int
        Content of all datagrams so far, in bytes.
    """

    def __init__(
        self, address: Address, faults: FaultInjector = NO_FAULTS
    ) -> None:
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        self._socket: Any = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.bind((address.ip, address.port))
        self.address = Address(*self._socket.getsockname()[:2])
        self._faults = faults
        self.failed = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(self, receiver: Address, data: bytes) -> None:
        """Send a datagram; a refusal of the system is counted as a loss."""
        delay = self._faults.plan_datagram(receiver, Direction.SENDING)
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
                data, peer = await self._socket.recvfrom(MAX_RECEIVED_BYTES)
            except ConnectionError:
                # An earlier datagram met a closed port; nothing was received.
                continue
            sender = Address(*peer[:2])
            # A delay is added at the sending side only, because waiting here
            # would hold up the datagrams of all other nodes.
            planned = self._faults.plan_datagram(sender, Direction.RECEIVING)
            if planned is not None:
                self.received_bytes += len(data)
                return data, sender

    async def close(self) -> None:
        """Close the socket."""
        await self._socket.close()

    async def _send_late(
        self, receiver: Address, data: bytes, delay: Seconds
    ) -> None:
        await curio.sleep(delay)
        await self._send_now(receiver, data)

    async def _send_now(self, receiver: Address, data: bytes) -> None:
        self.sent_bytes += len(data)
        try:
            await self._socket.sendto(data, (receiver.ip, receiver.port))
        except OSError as error:
            self.failed += 1
            _LOG.debug("datagram to %s was not sent: %s", receiver, error)
