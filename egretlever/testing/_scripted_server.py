"""Backend servers on loopback that respond as scripted, on the same loop."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from egretlever.core import Address
from egretlever.transport import (
    CallerConnection,
    CallerDisconnectedError,
    RequestError,
    RequestHead,
    accept_connections,
    headers,
    open_listener,
    read_clock,
)

_ID_FIELD = headers.REQUEST_ID + b":"
_DISCONNECT_POLL_INTERVAL = 0.01  # seconds between checks of a connection


@dataclasses.dataclass(slots=True)
class ServerExchange:
    """A request received by a scripted server.

    Parameters
    ----------
    server : ScriptedServer
        Server that received the request.
    sock : curio.io.Socket
        Socket of the connection, for raw bytes.
    connection : CallerConnection
        Connection from which the body is read.
    head : RequestHead
        Head of the request.
    """

    server: "ScriptedServer"
    sock: Any
    connection: CallerConnection
    head: RequestHead

    async def read_body(self) -> bytes:
        """Read the complete request body."""
        body = bytearray()
        while data := await self.connection.read_body():
            body += data
        return bytes(body)

    async def send(self, raw: bytes) -> None:
        """Send raw bytes after replacing ``$ID`` by the request id."""
        request_id = self.head.find(headers.REQUEST_ID) or ""
        await self.sock.sendall(raw.replace(b"$ID", request_id.encode()))

    async def simulate_work(self, duration: float) -> None:
        """Simulate processing time, which a closed connection cancels."""
        deadline = read_clock() + duration
        while read_clock() < deadline:
            await curio.sleep(min(_DISCONNECT_POLL_INTERVAL, duration))
            if self.connection.is_disconnected():
                self.server.cancelled_count += 1
                raise CallerDisconnectedError("the node closed the connection")


Step = Callable[[ServerExchange], Awaitable[bool]]


def answer(
    body: bytes = b"ok",
    status: int = 200,
    *lines: bytes,
    after: float = 0.0,
    echo: bool = True,
) -> Step:
    """Make a step that sends a response and keeps the connection open.

    Parameters
    ----------
    body : bytes, default=b"ok"
        Body of the response.
    status : int, default=200
        Status of the response.
    *lines : bytes
        Further header lines; ``$ID`` stands for the request id.
    after : float, default=0.0
        Processing time in seconds.
    echo : bool, default=True
        Whether the response names the request, unless a line does.
    """
    named = any(line.lower().startswith(_ID_FIELD) for line in lines)

    async def step(exchange: ServerExchange) -> bool:
        await exchange.read_body()
        if after:
            await exchange.simulate_work(after)
        length = b"content-length: %d" % len(body)
        head = [b"HTTP/1.1 %d X" % status, length, *lines]
        if echo and not named and exchange.head.find(headers.REQUEST_ID):
            head.append(_ID_FIELD + b" $ID")
        await exchange.send(b"\r\n".join(head) + b"\r\n\r\n" + body)
        return True

    return step


def send_raw(raw: bytes, keep_open: bool = False) -> Step:
    """Make a step that sends raw bytes and may keep the connection open."""

    async def step(exchange: ServerExchange) -> bool:
        await exchange.read_body()
        await exchange.send(raw)
        return keep_open

    return step


async def stay_silent(exchange: ServerExchange) -> bool:
    """Read the request and never respond; a step of a script."""
    await exchange.read_body()
    await exchange.simulate_work(3600.0)
    return False


class ScriptedServer:
    """Server that runs one step of its script for each request.

    Parameters
    ----------
    steps : sequence of Step
        Script; the last step is repeated.

    Attributes
    ----------
    address : Address
        Address on which it listens.
    heads : list of RequestHead
        Heads of all received requests.
    cancelled_count : int
        Number of requests whose connection was closed during processing.
    connections : int
        Number of accepted connections.
    """

    def __init__(self, *steps: Step) -> None:
        self._steps = steps or (answer(),)
        self._listener = open_listener(Address("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname()[:2])
        self.heads: list[RequestHead] = []
        self.cancelled_count = 0
        self.connections = 0

    def replace_steps(self, *steps: Step) -> None:
        """Run another script from the next request on."""
        self._steps = steps
        self.heads.clear()

    async def run(self) -> None:
        """Serve until cancelled."""
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
        except (CallerDisconnectedError, RequestError):
            return
