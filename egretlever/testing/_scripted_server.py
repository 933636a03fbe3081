"""Backend servers on loopback that answer by a script, in the same loop."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from egretlever.core import Address
from egretlever.transport import (
    CallerConnection,
    CallerGoneError,
    RequestError,
    RequestHead,
    accept_connections,
    headers,
    open_listener,
    read_clock,
)

_CANCEL_CHECK = 0.01  # seconds between looks for a closed connection


@dataclasses.dataclass(slots=True)
class ServerExchange:
    """One request that a scripted server received.

    Parameters
    ----------
    server : ScriptedServer
        The server.
    sock : curio.io.Socket
        Its connection, to send raw bytes.
    connection : CallerConnection
        Reads the body of the request.
    head : RequestHead
        Head of the request.
    """

    server: "ScriptedServer"
    sock: Any
    connection: CallerConnection
    head: RequestHead

    async def read_body(self) -> bytes:
        """Read the whole body of the request."""
        body = bytearray()
        while data := await self.connection.read_body():
            body += data
        return bytes(body)

    async def send(self, raw: bytes) -> None:
        """Send raw bytes, with ``$ID`` replaced by the request's id."""
        found = self.head.find(headers.REQUEST_ID) or ""
        await self.sock.sendall(raw.replace(b"$ID", found.encode()))

    async def work(self, duration: float) -> None:
        """Work for some time, or until the connection is closed."""
        until = read_clock() + duration
        while read_clock() < until:
            await curio.sleep(min(_CANCEL_CHECK, duration))
            if self.connection.is_gone():
                self.server.cancelled += 1
                raise CallerGoneError("the node closed the connection")


Step = Callable[[ServerExchange], Awaitable[bool]]


def answer(
    body: bytes = b"ok", status: int = 200, *lines: bytes, after: float = 0.0
) -> Step:
    """Make a step that answers with a content length and keeps going."""

    async def step(exchange: ServerExchange) -> bool:
        await exchange.read_body()
        if after:
            await exchange.work(after)
        length = b"content-length: %d" % len(body)
        head = [b"HTTP/1.1 %d X" % status, length, *lines]
        await exchange.send(b"\r\n".join(head) + b"\r\n\r\n" + body)
        return True

    return step


def send_raw(raw: bytes, keep: bool = False) -> Step:
    """Make a step that sends raw bytes and closes unless told otherwise."""

    async def step(exchange: ServerExchange) -> bool:
        await exchange.read_body()
        await exchange.send(raw)
        return keep

    return step


async def stay_silent(exchange: ServerExchange) -> bool:
    """Read the request and never answer; a step for a script."""
    await exchange.read_body()
    await exchange.work(3600.0)
    return False


class ScriptedServer:
    """A server that runs one step of its script for each request.

    Parameters
    ----------
    steps : sequence of Step
        The last one is repeated.

    Attributes
    ----------
    address : Address
        Where it listens.
    heads : list of RequestHead
        Heads of all requests that it received.
    cancelled : int
        Requests whose connection was closed while it worked.
    connections : int
        Connections that it accepted.
    """

    def __init__(self, *steps: Step) -> None:
        self._steps = steps or (answer(),)
        self._listener = open_listener(Address("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname()[:2])
        self.heads: list[RequestHead] = []
        self.cancelled = 0
        self.connections = 0

    async def run(self) -> None:
        """Serve for ever."""
        try:
            await accept_connections(self._listener, self._serve, 1000)
        finally:
            await self._listener.close()

    async def _serve(self, sock: Any) -> None:
        self.connections += 1
        try:
            while True:
                connection = CallerConnection(sock)
                head = await connection.read_request()
                if head is None:
                    return
                self.heads.append(head)
                step = self._steps[min(len(self.heads), len(self._steps)) - 1]
                if not await step(ServerExchange(self, sock, connection, head)):
                    return
        except (CallerGoneError, RequestError):
            return
