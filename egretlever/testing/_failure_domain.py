"""Nodes of one failure domain that follow the directory, and their store."""

import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import curio
from returns.result import Failure, Result

from egretlever.core import (
    Address,
    FailureDomain,
    Incarnation,
    Seconds,
    Version,
)
from egretlever.placement import Directory, HomeServer, ReaderSelector
from egretlever.platform import (
    Bounds,
    RowPage,
    RowStore,
    StoreError,
    StoreErrorKind,
    make_row_store,
)
from egretlever.relay._acceptor import RelayAcceptor
from egretlever.relay._changes import SharedTable
from egretlever.relay._codec import encode_row
from egretlever.relay._followers import (
    SERVER_TABLE,
    describe_table,
    make_directory_follower,
)
from egretlever.relay._home import make_home_node
from egretlever.relay._links import LinkPool
from egretlever.relay._orphans import OrphanRemover
from egretlever.relay._sharing import TableSharing
from egretlever.standins import RowsStandIn
from egretlever.testing._relay_doubles import (
    NoticeRecorder,
    SingleHome,
    serve_silently,
)
from egretlever.testing.relay_builders import build_home_server
from egretlever.transport import open_listener

_Value = TypeVar("_Value")

DOMAIN = FailureDomain("domain-0")
# Time after which the nodes know each other and follow the reader.
_SETTLING_TIME = 10.0  # seconds
_CALL_TIMEOUT = Seconds(2.0)
_CUT_OFF = Failure(StoreError(StoreErrorKind.UNAVAILABLE, "cut off"))


class _CutOffStore:
    """Client of the store on a host that loses its way to the store."""

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self.eras = store.eras
        self.reachable = True

    async def read(
        self, table: str, first: str = "", timeout: Seconds | None = None
    ) -> Result[RowPage, StoreError]:
        """Read rows of a table."""
        if not self.reachable:
            return _CUT_OFF
        return self._check(
            await self._store.read(table, first, timeout=timeout)
        )

    async def watch(
        self,
        table: str,
        after: Version,
        wait: Seconds,
        timeout: Seconds | None = None,
    ) -> Result[RowPage, StoreError]:
        """Wait for changes."""
        if not self.reachable:
            return _CUT_OFF
        return self._check(await self._store.watch(table, after, wait, timeout))

    async def write(
        self, table: str, key: str, value: bytes | None, expected: Version
    ) -> Result[Version, StoreError]:
        """Write or remove a row."""
        if not self.reachable:
            return _CUT_OFF
        return self._check(await self._store.write(table, key, value, expected))

    def _check(
        self, result: Result[_Value, StoreError]
    ) -> Result[_Value, StoreError]:
        return result if self.reachable else _CUT_OFF


class FollowingNode:
    """The parts of a relay node that follow the directory.

    Parameters
    ----------
    number : int
        Number of the node's server.
    store : Address
        Address of the store.

    Attributes
    ----------
    row : HomeServer
        The node's row in the directory.
    directory : Directory
        What the node knows.
    """

    def __init__(self, number: int, store: Address) -> None:
        self._listener = open_listener(Address("127.0.0.1", 0))
        self.relay = Address(*self._listener.getsockname()[:2])
        self.row: HomeServer = build_home_server(
            number, failure_domain=DOMAIN, relay=self.relay
        )
        self.directory = Directory()
        self.store = _CutOffStore(make_row_store(store, _CALL_TIMEOUT))
        self._links = LinkPool(NoticeRecorder())
        self._tasks: list[Any] = []

    async def start(self) -> None:
        """Follow the directory, and accept connections of other nodes."""
        sharing = TableSharing(
            SharedTable.DIRECTORY,
            self.relay,
            ReaderSelector(self.directory, DOMAIN, self.relay),
            self._links,
            eras=self.store.eras,
            describe_whole=lambda: describe_table(self.directory),
        )
        follower = make_directory_follower(
            self.store,  # type: ignore[arg-type]
            self.directory,
            lambda server_id: None,
            random.Random(self.row.id),
            sharing=sharing,
        )
        acceptor = RelayAcceptor(
            make_home_node(Bounds(), SingleHome()),
            Incarnation(1),
            {SharedTable.DIRECTORY: sharing},
        )
        await self._spawn(lambda: acceptor.serve_forever(self._listener))
        await self._spawn(follower.follow_forever)
        await self._spawn(self._links.expire_forever)
        remover = OrphanRemover(
            self.store,  # type: ignore[arg-type]
            self.directory,
            DOMAIN,
            self.relay,
            sharing,
            self._links,
        )
        await self._spawn(remover.remove_forever)

    async def start_silent(self, version: Version) -> None:
        """Accept subscriptions and send nothing but one store version."""
        await self._spawn(
            lambda: serve_silently(
                self._listener, SharedTable.DIRECTORY, version
            )
        )

    async def _spawn(self, part: Callable[[], Awaitable[Any]]) -> None:
        self._tasks.append(await curio.spawn(part, daemon=True))

    async def kill(self) -> None:
        """End the node; its connections are reset and refused."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        await self._links.close()
        await self._listener.close()


class DomainFixture:
    """A failure domain of nodes and the store that they follow.

    Parameters
    ----------
    count : int
        Number of nodes.
    silent_version : Version, optional
        Makes the reader a node that only acknowledges its subscribers, with
        this store version.
    silent_followers : int, default=0
        Number of nodes that accept connections and follow nobody.

    Attributes
    ----------
    reader : FollowingNode
        The node that reads the store for the others.
    followers : list of FollowingNode
        The others.
    """

    def __init__(
        self,
        count: int,
        silent_version: Version | None = None,
        silent_followers: int = 0,
    ) -> None:
        self.store = RowsStandIn()
        self._silent_version = silent_version
        self._silent_followers = silent_followers
        self.nodes = sorted(
            (
                FollowingNode(number, self.store.address)
                for number in range(count)
            ),
            key=lambda node: node.relay.port,
        )
        self.reader, *self.followers = self.nodes

    async def put(self, server: HomeServer) -> None:
        """Write the row of a server."""
        await self.store.put(SERVER_TABLE, server.id, encode_row(server))

    async def remove(self, server: HomeServer) -> None:
        """Remove the row of a server."""
        await self.store.put(SERVER_TABLE, server.id, None)

    def list_rows(self) -> list[FollowingNode]:
        """List the nodes whose rows the store holds."""
        return [
            node
            for node in self.nodes
            if self.store.find(SERVER_TABLE, node.row.id) is not None
        ]

    def count_polls(self) -> int:
        """Count the long polls since the fixture settled."""
        return sum("feed" in call for call in self.store.calls)

    def count_informed(self, server: HomeServer) -> int:
        """Count the followers that know a row of a server."""
        return sum(
            node.directory.find(server.id) == server for node in self.followers
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["DomainFixture"]:
        """Run the store and all nodes, which know each other."""
        store = await curio.spawn(self.store.run, daemon=True)
        for node in self.nodes:
            await self.put(node.row)
        silent = self.nodes[len(self.nodes) - self._silent_followers :]
        for node in self.nodes:
            if node is self.reader and self._silent_version is not None:
                await node.start_silent(self._silent_version)
            elif node in silent:
                await node.start_silent(Version(0))
            else:
                await node.start()
        await curio.sleep(_SETTLING_TIME)
        self.store.calls.clear()
        try:
            yield self
        finally:
            for node in self.nodes:
                await node.kill()
            await store.cancel()
