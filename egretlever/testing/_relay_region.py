"""Relay nodes of one region, whose way to the store is a shared link."""

import contextlib
from collections.abc import AsyncIterator, Collection
from typing import Any

import curio
from returns.result import Failure

from egretlever.core import Address, FailureDomain, Seconds, ServerId, Version
from egretlever.placement import HomeServer
from egretlever.platform import Bounds, decode_configuration
from egretlever.relay import RelayNode, make_relay_node
from egretlever.relay._changes import SharedTable, TableChange
from egretlever.relay._codec import encode_row
from egretlever.relay._configuration_follower import ConfigurationFollower
from egretlever.relay._followers import SERVER_TABLE
from egretlever.relay._sharing import TableSharing
from egretlever.schema import settings_pb2
from egretlever.standins import RowsStandIn, SharedLink
from egretlever.testing._fleet import reserve_addresses
from egretlever.testing._relay_doubles import serve_silently
from egretlever.testing.relay_builders import build_home_server
from egretlever.transport import open_listener, send_request

_REGION = "south"
# Host of the requests that the fixture sends.
CLIENT_HOST = "127.0.0.1"
_NO_ROUTE = 404
# Time after which servers announce themselves at the first start.
_HEARTBEAT_TIME = 1.0  # seconds
# Time after which all nodes have read the configuration and the directory, and
# the store has ended the long polls that they have given up.
_SETTLING_TIME = 40.0  # seconds


def _hold_up(sharing: TableSharing, delay: float) -> None:
    publish = sharing.publish

    async def publish_late(change: TableChange) -> None:
        await curio.sleep(delay)
        await publish(change)

    sharing.publish = publish_late  # type: ignore[method-assign]


class RegionNode:
    """A relay node and the row of its server.

    Parameters
    ----------
    number : int
        Number of the node's server.
    failure_domain : FailureDomain
        Failure domain of the node.
    domains : tuple of FailureDomain
        All failure domains of the region.
    store : Address
        Address of the store.
    bounds : Bounds
        Limits that the platform sets.

    Attributes
    ----------
    row : HomeServer
        The node's row in the directory.
    """

    def __init__(
        self,
        number: int,
        failure_domain: FailureDomain,
        domains: tuple[FailureDomain, ...],
        store: Address,
        bounds: Bounds,
    ) -> None:
        self._bounds = bounds
        clients, health, heartbeats, relay, metrics = reserve_addresses(5)
        self._clients = clients
        self.row: HomeServer = build_home_server(
            number, failure_domain=failure_domain, relay=relay
        )
        self._settings = settings_pb2.RelaySettings(
            identity=settings_pb2.RelayIdentitySection(
                node=f"node-{number}",
                failure_domain=failure_domain,
                region=_REGION,
                service=self.row.service,
                regions=[f"{domain}:{_REGION}" for domain in domains],
            ),
            listen=settings_pb2.RelayListenSection(
                clients=str(clients),
                health=str(health),
                announcements=str(heartbeats),
                ip=relay.ip,
                relay_port=relay.port,
                metrics_port=metrics.port,
            ),
            store=settings_pb2.RelayStoreSection(address=str(store)),
        )
        self._task: Any = None
        self._node: RelayNode | None = None

    @property
    def running(self) -> bool:
        """Whether the node was started and not killed."""
        return self._task is not None

    async def start(self) -> None:
        """Start the node."""
        self._node = make_relay_node(self._settings, self._bounds)
        self._task = await curio.spawn(self._node.run, daemon=True)

    async def start_silent(self) -> None:
        """Accept the nodes that follow this one, and send them nothing."""
        self._task = await curio.spawn(
            serve_silently,
            open_listener(self.row.relay),
            SharedTable.CONFIGURATION,
            Version(1),
            daemon=True,
        )

    async def kill(self) -> None:
        """End the node; its connections are closed and refused."""
        task, self._task = self._task, None
        if task is not None:
            await task.cancel()

    def hold_up(self, delay: float) -> None:
        """Pass each change on late from now on, and answer pings as before.

        Parameters
        ----------
        delay : float
            Seconds between the receipt of a change and its sending.
        """
        _hold_up(self._get_follower().sharing, delay)

    def hold_up_directory(self, delay: float) -> None:
        """Do the same with changes of the directory."""
        sharing = self._get_node()._directory._sharing
        assert sharing is not None  # relay nodes share the directory
        _hold_up(sharing, delay)

    def knows_server(self, server: ServerId) -> bool:
        """Tell whether the directory of the node has a server."""
        return self._get_node()._fleet.directory.find(server) is not None

    def overtake(self, body: bytes) -> None:
        """Put a configuration in force that the followers are not told.

        That is what a handover does.
        """
        configuration = decode_configuration(body).unwrap()
        self._get_follower()._holder.replace(configuration)

    def _get_follower(self) -> ConfigurationFollower:
        return self._get_node()._configuration

    def _get_node(self) -> RelayNode:
        if self._node is None:
            raise RuntimeError("the node was not started")
        return self._node

    def read_store_at(self, address: Address) -> None:
        """Use another store from the next start on."""
        self._settings.store.address = str(address)

    async def knows_route(self, path: str) -> bool:
        """Tell whether a request to a path is not answered with 404.

        The host of the route has to be ``CLIENT_HOST``.
        """
        result = await send_request(
            self._clients,
            "GET",
            path,
            headers=(
                (b"x-request-id", b"probe"),
                (b"x-request-deadline", b"1"),
            ),
        )
        if isinstance(result, Failure):
            return False
        reply = result.unwrap()
        return reply.head.status != _NO_ROUTE


class RegionFixture:
    """A region of relay nodes in two failure domains, and the far store.

    Parameters
    ----------
    count : int
        Number of nodes.
    bytes_per_second : float
        Bandwidth of the link to the store, for all nodes together.
    bounds : Bounds, optional
        Limits that the platform sets.
    turned_away : collection of int, optional
        Places of the nodes in `nodes` that reach the store by `door`.

    Attributes
    ----------
    store : RowsStandIn
        The store.
    door : StoreDoor
        Address of the store that may turn nodes away.
    link : SharedLink
        Link of the nodes to the store.
    nodes : list of RegionNode
        All nodes, by failure domain and relay address.
    """

    def __init__(
        self,
        count: int,
        bytes_per_second: float,
        bounds: Bounds | None = None,
        turned_away: Collection[int] = (),
    ) -> None:
        self.link = SharedLink(bytes_per_second)
        self.store = RowsStandIn(self.link)
        domains = (FailureDomain("south-a"), FailureDomain("south-b"))
        self.nodes = sorted(
            (
                RegionNode(
                    number,
                    domains[number % len(domains)],
                    domains,
                    self.store.address,
                    bounds or Bounds(configuration=Seconds(3.0)),
                )
                for number in range(count)
            ),
            key=lambda node: (node.row.failure_domain, node.row.relay.port),
        )
        self.door = self.store.open_door()
        for place in turned_away:
            self.nodes[place].read_store_at(self.door.address)

    async def count_without(self, path: str) -> int:
        """Count the nodes that do not know a route."""
        known = [
            await node.knows_route(path) for node in self.nodes if node.running
        ]
        return known.count(False)

    async def configure(self, body: bytes) -> None:
        """Write a configuration as the operator would."""
        await self.store.put("op", "config", body)

    @contextlib.asynccontextmanager
    async def running(self, body: bytes) -> AsyncIterator["RegionFixture"]:
        """Run the store and all nodes with a first configuration."""
        stores = [
            await curio.spawn(part.run, daemon=True)
            for part in (self.store, self.door)
        ]
        await self.configure(body)
        # At the first start of a fleet the store knows no server yet.
        for node in self.nodes:
            await node.start()
        await curio.sleep(_HEARTBEAT_TIME)
        for node in self.nodes:
            await self.store.put(
                SERVER_TABLE, node.row.id, encode_row(node.row)
            )
        await curio.sleep(_SETTLING_TIME)
        self.store.calls.clear()
        try:
            yield self
        finally:
            for node in self.nodes:
                await node.kill()
            for store in stores:
                await store.cancel()
