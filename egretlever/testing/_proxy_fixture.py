"""Test fixture: a node's request path over loopback with scripted servers."""

import dataclasses
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Self, TypeVar

import curio

from egretlever.catalogue import make_snapshot
from egretlever.core import Address, Seconds, Server, ServerId, ServiceName
from egretlever.memory import ProcessLimits, make_byte_account
from egretlever.node._frontend import accept_callers, make_pool, make_proxy
from egretlever.node._parts import make_parts
from egretlever.schema import gossip_pb2, settings_pb2
from egretlever.testing import builders
from egretlever.testing._clock import run_virtual
from egretlever.testing._fakes import FakeTableStore
from egretlever.testing._fleet import reserve_addresses
from egretlever.testing._scripted_server import ScriptedServer, Step
from egretlever.transport import (
    NO_FAULTS,
    BackendConnection,
    RequestHead,
    ResponseHead,
    open_connection,
    open_listener,
    read_clock,
)

_Value = TypeVar("_Value")
_TICK_INTERVAL = 0.05  # seconds, as in the node
_REQUEST_TIMEOUT = Seconds(5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReply:
    """Response that a caller received.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    body : bytes
        Complete body.
    """

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.status

    @property
    def outcome(self) -> str | None:
        """Outcome of the request as reported by the node."""
        return self.head.find(b"egretlever-outcome")


class Caller:
    """A caller with a persistent connection.

    Parameters
    ----------
    sock : curio.io.Socket
        Socket to the node, also for sending raw bytes.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self._connection = BackendConnection(sock)

    async def call(
        self, method: str, target: str, body: bytes = b"", **fields: object
    ) -> CallerReply:
        """Send a request and read the complete response.

        Headers are keyword arguments; underscores in names become dashes.
        """
        named = [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in fields.items()
        ]
        head = RequestHead(
            method,
            target,
            [(b"host", b"x"), (b"content-length", b"%d" % len(body)), *named],
        )
        await self._connection.send_request(head, body)
        return await self.read()

    async def read(self) -> CallerReply:
        """Read one complete response."""
        response = await self._connection.read_response()
        data, ended = self._connection.read_buffered_data()
        while not ended:
            more, ended = await self._connection.read_data()
            data += more
        self._connection.prepare_next()
        return CallerReply(response, data)

    async def read_raw(self) -> bytes:
        """Read raw bytes until the connection ends."""
        data = bytearray()
        while more := await self.sock.recv(65536):
            data += more
        return bytes(data)


class ProxyFixture:
    """The request path of one node, as an asynchronous context manager.

    Parameters
    ----------
    **changes : object
        Fields to set in each service of the catalogue.

    Attributes
    ----------
    catalogue : Snapshot
        Catalogue in force.
    parts : NodeParts
        Decision parts of the node.
    proxy : Proxy
        The proxy under test.
    table : FakeTableStore
        Store of order claims.
    address : Address
        Address that accepts callers.
    """

    def __init__(self, **changes: Any) -> None:
        self._settings = build_node_settings()
        self.table = FakeTableStore()
        randomness = random.Random(1)
        self.parts = make_parts(self._settings, self.table, randomness)
        catalogue = builders.build_catalogue()
        for service in catalogue.services:
            for name, value in changes.items():
                setattr(service, name, value)
        self.catalogue = make_snapshot(catalogue)
        self.pool = make_pool(self._settings.traffic, NO_FAULTS)
        self.proxy = make_proxy(
            self.parts,
            self.pool,
            randomness,
            make_byte_account(ProcessLimits()),
        )
        self._tasks: list[curio.Task] = []
        self._servers = 0
        self._addresses: list[Address] = []
        self._sockets: list[Any] = []

    async def __aenter__(self) -> Self:
        now = read_clock()
        self.parts.catalogue.apply_update(self.catalogue, now)
        self.parts.apply_catalogue(now)
        self._listener = open_listener(Address("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname()[:2])
        await self._spawn(
            accept_callers(
                self._listener, self.proxy, self._settings.traffic, NO_FAULTS
            )
        )
        await self._spawn(self._tick_forever())
        return self

    async def __aexit__(self, *_: object) -> None:
        for sock in self._sockets:
            await sock.close()
        for task in self._tasks:
            await task.cancel()
        await self.pool.close()
        await self._listener.close()

    async def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(await curio.spawn(work, daemon=True))

    async def _tick_forever(self) -> None:
        parts = self.parts
        while True:
            await curio.sleep(_TICK_INTERVAL)
            now = read_clock()
            parts.detector.advance(now)
            parts.router.advance(now)
            await parts.admission_waiter.advance()
            await parts.ledger.flush()

    async def add_server(
        self, *steps: Step, service: str = "catalogue", slots: int = 4
    ) -> ScriptedServer:
        """Start a scripted server and register it with the parts."""
        scripted = ScriptedServer(*steps)
        await self._spawn(scripted.run())
        self.add_address(scripted.address, service, slots)
        return scripted

    def add_address(
        self, address: Address, service: str = "catalogue", slots: int = 4
    ) -> Server:
        """Register a server at an address with the parts."""
        self._servers += 1
        self._addresses.append(address)
        server = builders.build_server(
            4 * self._servers,
            id=ServerId(f"server-{self._servers}"),
            service=ServiceName(service),
            address=address,
            slots=slots,
        )
        now = read_clock()
        self.parts.selection_cache.update(server)
        self.parts.router.update([server], now)
        self.parts.detector.update_servers([server], now)
        return server

    def build_announcement(self, number: int) -> gossip_pb2.Announcement:
        """Build the announcement of the server with this number."""
        address = self._addresses[number - 1]
        return gossip_pb2.Announcement(
            server=f"server-{number}",
            service="catalogue",
            address=gossip_pb2.Endpoint(ip=address.ip, port=address.port),
            state=gossip_pb2.SERVING,
            incarnation=1,
            slots=4,
            connections=330,
            uptime_s=60.0,
        )

    async def connect(self, address: Address | None = None) -> Caller:
        """Open a caller's connection; the fixture closes it on exit."""
        sock = await open_connection(address or self.address, _REQUEST_TIMEOUT)
        self._sockets.append(sock)
        return Caller(sock)

    async def call(
        self, method: str, target: str, body: bytes = b"", **fields: object
    ) -> CallerReply:
        """Send a request on a new connection."""
        caller = await self.connect()
        return await caller.call(method, target, body, **fields)


def build_node_settings() -> settings_pb2.NodeSettings:
    """Build settings of a node on free ports whose platform does not answer."""
    traffic, admin, gossip, platform = map(str, reserve_addresses(4))
    return settings_pb2.NodeSettings(
        identity=settings_pb2.IdentitySection(
            node="node-0",
            host="host-0",
            failure_domain="domain-0",
            region="punjab",
        ),
        listen=settings_pb2.ListenSection(
            traffic=traffic, admin=admin, gossip=gossip
        ),
        members=settings_pb2.MembersSection(
            gossip_interval_s=0.5,
            bandwidth_bytes_per_s=15000,
            announcement_timeout_s=3,
        ),
        platform=settings_pb2.PlatformSection(
            table=platform,
            objects=platform,
            timeout_s=1,
            poll_interval_s=0.5,
        ),
        traffic=settings_pb2.TrafficSection(
            max_connections=2000,
            max_header_bytes=16384,
            header_timeout_s=10,
            body_timeout_s=30,
            idle_timeout_s=60,
            connect_timeout_s=0.25,
            server_idle_timeout_s=20,
            server_connections=16,
            drain_timeout_s=30,
            region_link_bits_per_s=15e6,
        ),
    )


def run_with_proxy(
    scenario: Callable[[ProxyFixture], Awaitable[_Value]], **changes: Any
) -> _Value:
    """Run a coroutine function with a `ProxyFixture` in virtual time.

    Parameters
    ----------
    scenario : callable
        Coroutine function that receives the fixture.
    **changes : object
        Fields to set in each service of the catalogue.

    Returns
    -------
    object
        Result of the scenario.
    """

    async def run() -> _Value:
        async with ProxyFixture(**changes) as fixture:
            return await scenario(fixture)

    return run_virtual(run())
