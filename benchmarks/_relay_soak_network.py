"""Loopback proxies that delay, silence, cut and reset connections."""

import contextlib
import enum
import socket as plain_socket
import struct
from typing import Any

import curio
from curio import socket

from egretlever.core import Address, Seconds
from egretlever.schema import relay_pb2
from egretlever.standins import RowsStandIn
from egretlever.transport import (
    ConnectError,
    accept_connections,
    open_connection,
    open_listener,
)

_READ_SIZE = 65536
_MAX_CONNECTIONS = 1000
_CONNECT_TIMEOUT = Seconds(0.5)
_DELAY = 0.15  # seconds added to each block of data
_CHECK_INTERVAL = 0.02  # seconds between checks of the current fault
# Value of SO_LINGER that closes a socket with a reset.
_RESET = struct.pack("ii", 1, 0)


def hold_address(address: Address) -> plain_socket.socket:
    """Keep a port while the process that listens there is down.

    Other fleets on the machine would find the port free and take it. The held
    socket is bound and does not listen, so that the process can.
    """
    sock = plain_socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.ip, address.port))
    return sock


class LinkFault(enum.Enum):
    """Fault of the connections to one node.

    ``SILENT`` is permanent for connections that are open when it is set: they
    deliver no more data. New connections work.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    CUT_TO = "cut-to"
    CUT_FROM = "cut-from"
    RESET = "reset"


class FaultyProxy:
    """Forwards connections to one node.

    Parameters
    ----------
    target : Address
        Address at which the node listens.
    address : Address
        Address at which the proxy listens.
    """

    def __init__(self, target: Address, address: Address) -> None:
        self._target = target
        self._listener = open_listener(address)
        self.address = address
        self._fault = LinkFault.NONE
        self._silent: set[Any] = set()
        self._open: set[Any] = set()

    async def run(self) -> None:
        """Accept connections until cancelled."""
        try:
            await accept_connections(
                self._listener, self._serve, _MAX_CONNECTIONS
            )
        finally:
            await self._listener.close()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault that is injected."""
        self._fault = fault
        if fault is LinkFault.SILENT:
            self._silent |= self._open
        if fault is LinkFault.RESET:
            for sock in self._open:
                # The peer may have closed it already.
                with contextlib.suppress(OSError), sock.blocking() as raw:
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                    raw.shutdown(socket.SHUT_RDWR)

    async def _serve(self, sock: Any) -> None:
        try:
            outgoing = await open_connection(self._target, _CONNECT_TIMEOUT)
        except ConnectError:
            # The caller sees its connection close, as with a dead node.
            await sock.close()
            return
        self._open |= {sock, outgoing}
        backward_task = await curio.spawn(
            self._forward, outgoing, sock, LinkFault.CUT_FROM, daemon=True
        )
        try:
            await self._forward(sock, outgoing, LinkFault.CUT_TO)
        finally:
            await backward_task.cancel()
            for end in (sock, outgoing):
                self._open.discard(end)
                self._silent.discard(end)
                await end.close()

    async def _forward(self, source: Any, sink: Any, cut: LinkFault) -> None:
        """Forward bytes in one direction until either end closes."""
        try:
            while data := await source.recv(_READ_SIZE):
                if self._fault is LinkFault.DELAY:
                    await curio.sleep(_DELAY)
                while self._fault is cut:
                    await curio.sleep(_CHECK_INTERVAL)
                if source not in self._silent:
                    await sink.sendall(data)
            if source not in self._silent:
                await sink.shutdown(socket.SHUT_RDWR)
        except OSError:
            # One end was reset; the caller of this method closes both.
            return


class SoakStore(RowsStandIn):
    """Row store that replaces the nodes' relay addresses by their proxies."""

    def __init__(self) -> None:
        super().__init__(era=1)
        self.proxies: dict[str, FaultyProxy] = {}

    async def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row."""
        if value is not None and table == "egretlever-servers":
            row = relay_pb2.ServerRow.FromString(value)
            proxy = self.proxies.get(row.relay_address)
            if proxy is not None:
                row.relay_address = str(proxy.address)
            value = row.SerializeToString()
        return await super().put(table, key, value)
