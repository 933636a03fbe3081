"""A host whose relay node can be restarted, in virtual time."""

import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio
from returns.result import Success

from egretlever.core import Address, Seconds
from egretlever.platform import Bounds
from egretlever.platform.tests.wire_builders import (
    add_customers,
    build_configuration_body,
    build_customer_resource,
    build_heartbeat_body,
)
from egretlever.relay._codec import decode_row
from egretlever.relay._followers import SERVER_TABLE
from egretlever.relay._node import make_relay_node
from egretlever.schema import settings_pb2
from egretlever.standins import RowsStandIn
from egretlever.testing._clock import VirtualClock, run_virtual
from egretlever.testing._fleet import reserve_addresses
from egretlever.testing._relay_fixture import serve
from egretlever.testing._scripted_server import ScriptedServer
from egretlever.transport import Reply, send_request

SERVER = "i-1"


class RelayHost:
    """A host with a relay node and a server, and the platform's store.

    The store and the server outlast the node's process.

    Parameters
    ----------
    number : int, default=1
        Number of the host and of its server.
    store : RowsStandIn, optional
        Store that another host runs; by default the host runs one.
    server_id : str, optional
        Id of the host's server, by default that of the host's number.

    Attributes
    ----------
    store : RowsStandIn
        The store.
    server : ScriptedServer
        The server; it runs all requests with success.
    clients : Address
        Address of the node for clients.
    relay : Address
        Address of the node for other nodes.
    """

    def __init__(
        self,
        number: int = 1,
        store: RowsStandIn | None = None,
        server_id: str = "",
    ) -> None:
        self.server_id = server_id or f"i-{number}"
        self.store = store or RowsStandIn()
        self._runs_store = store is None
        self.server = ScriptedServer(serve())
        self.clients, health, self._announcements, self.relay, metrics = (
            reserve_addresses(5)
        )
        self._settings = settings_pb2.RelaySettings(
            identity=settings_pb2.RelayIdentitySection(
                node=f"host-{number}",
                failure_domain="domain-1",
                region="north",
                service="ordering",
                regions=["domain-1:north"],
            ),
            listen=settings_pb2.RelayListenSection(
                clients=str(self.clients),
                health=str(health),
                announcements=str(self._announcements),
                ip=self.relay.ip,
                relay_port=self.relay.port,
                metrics_port=metrics.port,
            ),
            store=settings_pb2.RelayStoreSection(
                address=str(self.store.address)
            ),
        )
        self._node: Any = None
        self._process: Any = None
        self._requests = 0

    async def configure(self, version: str = "00000007", **spec: Any) -> None:
        """Write a configuration whose route has the given fields."""
        body = build_configuration_body(version, host="127.0.0.1", **spec)
        await self.store.put("op", "config", body)

    async def configure_customer(
        self, version: str = "00000008", **limits: Any
    ) -> None:
        """Write a configuration with a customer that has the given limits."""
        body = build_configuration_body(version, host="127.0.0.1")
        body = add_customers(body, build_customer_resource(**limits))
        await self.store.put("op", "config", body)

    async def start(self) -> None:
        """Start the node's process."""
        self._node = make_relay_node(self._settings, Bounds())
        self._process = await curio.spawn(self._node.run, daemon=True)
        await curio.sleep(0.0)

    async def kill(self) -> None:
        """End the node's process at once."""
        await self._process.cancel()

    async def restart(self) -> None:
        """Kill the node's process and start the next one."""
        await self.kill()
        await self.start()

    async def stop(self, asked_at: Seconds | None = None) -> None:
        """End the node's process as SIGTERM does, received now or earlier."""
        await self._node.stop(asked_at)
        await self._process.join()

    async def announce(
        self, sequence: int = 1, state: str = "ready", **changes: Any
    ) -> int | None:
        """Send a heartbeat of the server; return the status of the reply."""
        fields = build_heartbeat_body(
            address=str(self.server.address),
            status={"state": state, "sequence": sequence},
            **changes,
        )
        return await self._call("PUT", json.dumps(fields).encode())

    async def depart(self, born: int | None = None) -> int | None:
        """Send the departure of the server; return the status of the reply.

        Parameters
        ----------
        born : int, optional
            Unix time of the server's start in milliseconds, if it is named.
        """
        body = b"" if born is None else json.dumps({"born": born}).encode()
        return await self._call("DELETE", body)

    async def _call(self, method: str, body: bytes) -> int | None:
        target = f"/instances/{self.server_id}"
        reply = await _ask(self._announcements, method, target, body)
        return None if reply is None else reply.head.status

    async def serves(self) -> bool:
        """Tell whether an order of a client runs at the server."""
        reply = await self.send()
        return reply is not None and reply.head.status == 200

    async def send(self, key: str = "") -> Reply | None:
        """Send an order of a client, with the key of a customer if any."""
        self._requests += 1
        fields = [(b"authorization", f"Bearer {key}".encode())] if key else []
        return await _ask(
            self.clients,
            "POST",
            "/orders/1",
            b"silk",
            (
                b"x-request-id",
                f"{self.server_id}-{self._requests}".encode(),
            ),
            (b"x-request-deadline", b"4000"),
            *fields,
        )

    def is_marked_leaving(self) -> bool:
        """Tell whether the row of the server says that it leaves."""
        value = self.store.find(SERVER_TABLE, self.server_id)
        return value is not None and decode_row(value).unwrap().draining

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the store, the server and the node within a block."""
        tasks = [
            await curio.spawn(part.run, daemon=True)
            for part in (self.store, self.server)
            if part is self.server or self._runs_store
        ]
        if self._runs_store:
            await self.configure()
        await self.start()
        try:
            yield
        finally:
            await self.kill()
            for task in tasks:
                await task.cancel()


async def _ask(
    address: Address,
    method: str,
    target: str,
    body: bytes,
    *fields: tuple[bytes, bytes],
) -> Reply | None:
    result = await send_request(address, method, target, body, headers=fields)
    return result.unwrap() if isinstance(result, Success) else None


def run_on_host(
    script: Callable[[RelayHost], Awaitable[None]],
    clock: VirtualClock | None = None,
) -> None:
    """Run a script on a host whose node has just started."""

    async def main() -> None:
        host = RelayHost()
        async with host.running():
            await script(host)

    run_virtual(main(), clock)
