"""The UDP socket of the gossip overlay."""

from collections.abc import Sequence
from typing import Any

import curio
from curio import socket

from egretlever.core import Address, Seconds, make_log
from egretlever.node import _metrics as metrics
from egretlever.transport import Direction, FaultInjector

_LOG = make_log("node")
_DATAGRAM_SIZE = 65536

Datagrams = Sequence[tuple[Address, bytes]]


class GossipSocket:
    """Sends and receives datagrams and counts their bytes.

    Parameters
    ----------
    address : Address
        Address to bind.
    faults : FaultInjector
        Faults of the links, which only tests inject.
    """

    def __init__(self, address: Address, faults: FaultInjector) -> None:
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        self._sock: Any = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.bind((address.ip, address.port))
        self._faults = faults

    async def receive(self) -> tuple[bytes, Address]:
        """Receive a datagram with the address of its sender."""
        while True:
            data, peer = await self._sock.recvfrom(_DATAGRAM_SIZE)
            sender = Address(peer[0], peer[1])
            # A delay is added at the sending side only, because waiting here
            # would hold up the datagrams of all other nodes.
            if (
                self._faults.plan_datagram(sender, Direction.RECEIVING)
                is not None
            ):
                metrics.GOSSIP_BYTES.labels("received").inc(len(data))
                return data, sender

    async def send(self, datagrams: Datagrams) -> None:
        """Send datagrams; one that can't be sent is dropped."""
        for address, data in datagrams:
            delay = self._faults.plan_datagram(address, Direction.SENDING)
            if delay is None:
                continue
            if delay:
                await curio.spawn(
                    self._send_later, address, data, delay, daemon=True
                )
            else:
                await self._send(address, data)

    async def _send_later(
        self, address: Address, data: bytes, delay: Seconds
    ) -> None:
        await curio.sleep(delay)
        await self._send(address, data)

    async def _send(self, address: Address, data: bytes) -> None:
        metrics.GOSSIP_BYTES.labels("sent").inc(len(data))
        try:
            await self._sock.sendto(data, (address.ip, address.port))
        except OSError as error:
            _LOG.debug("No datagram to %s: %s.", address, error)

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
