"""Doubles of what a home node and an entry node know of the fleet."""

from typing import Any

import curio

from egretlever.core import Address, Seconds, ServerId, ServiceName, Version
from egretlever.placement import HomeNotice, OverdueReport
from egretlever.relay._change_codec import TABLES_BY_SUBSCRIPTION, encode_change
from egretlever.relay._changes import SharedTable, TableChange
from egretlever.relay._frames import FrameStream
from egretlever.schema import relay_pb2
from egretlever.transport import accept_connections, read_clock


class SingleHome:
    """Information about a fleet of one home node."""

    def count_homes(self, service: ServiceName) -> int:
        """Count the home nodes of a service."""
        del service
        return 1

    def measure_host_share(self, service: ServiceName) -> float:
        """Return the share of the hosts that have a server of a service."""
        del service
        return 1.0


class NoticeRecorder:
    """Records the notices that an entry node receives."""

    def __init__(self) -> None:
        self.received: list[HomeNotice] = []
        self.lost: list[ServerId] = []

    def observe(self, notice: HomeNotice) -> None:
        """Record a notice."""
        self.received.append(notice)

    def end_notices(self, server_id: ServerId) -> None:
        """Record that a home node sends no further notices."""
        self.lost.append(server_id)


class ProgressRecorder:
    """Records how an offer proceeds before its reply.

    Attributes
    ----------
    overdue : list of OverdueReport
        Reports that it is overdue.
    """

    def __init__(self) -> None:
        self.overdue: list[OverdueReport] = []
        self._has_overdue = curio.Event()

    async def observe_overdue(self, report: OverdueReport) -> None:
        """Record that the offer is overdue."""
        self.overdue.append(report)
        await self._has_overdue.set()

    async def wait_overdue(self) -> OverdueReport:
        """Wait until the offer is overdue."""
        await self._has_overdue.wait()
        return self.overdue[-1]


class ChangeRecorder:
    """Records the changes that a subscriber is sent."""

    def __init__(self) -> None:
        self.changes: list[TableChange] = []

    async def send_change(
        self, table: SharedTable, change: TableChange
    ) -> None:
        """Record a change."""
        del table
        self.changes.append(change)


class NoSource:
    """Chooses no node to follow, as on the only node of a region."""

    def choose(self, now: Seconds) -> Address | None:
        """Return None: this node reads the store itself."""
        del now
        return None

    def exclude(self, relay: Address, now: Seconds) -> None:
        """Ignore a node that failed."""

    def observe_change(self, relay: Address) -> None:
        """Ignore a change of a node."""


class QueueLink:
    """Connection whose changes a test puts into a queue."""

    def __init__(self) -> None:
        self.changes = curio.Queue()
        self.closed = False

    async def follow_table(
        self, table: SharedTable, own_relay: Address, known: Version
    ) -> None:
        """Subscribe to the changes of a table."""

    async def leave_table(self, table: SharedTable) -> None:
        """End the subscription."""

    async def read_change(self, table: SharedTable) -> TableChange | None:
        """Return the next change of the queue."""
        change: TableChange | None = await self.changes.get()
        return change

    def is_silent(self, duration: Seconds) -> bool:
        """Return False: the connection lives."""
        del duration
        return False


class QueueLinkPool:
    """Has one connection to all nodes.

    Parameters
    ----------
    link : QueueLink
        The connection.
    """

    def __init__(self, link: QueueLink) -> None:
        self._link = link

    async def acquire(self, relay: Address) -> QueueLink:
        """Return the connection."""
        del relay
        return self._link


async def serve_silently(
    listener: Any, table: SharedTable, version: Version
) -> None:
    """Accept nodes that follow a table, and send them only a version of it.

    Parameters
    ----------
    listener : curio.io.Socket
        Listening socket.
    table : SharedTable
        Table that the nodes follow.
    version : Version
        Version by which each subscription is acknowledged.
    """

    async def serve(sock: Any) -> None:
        stream = FrameStream(sock)
        writer = await curio.spawn(stream.write_forever, daemon=True)
        hello = relay_pb2.Hello(incarnation=1)
        await stream.post(relay_pb2.RelayFrame(hello=hello))
        while (frame := await stream.read()) is not None:
            if TABLES_BY_SUBSCRIPTION.get(frame.WhichOneof("kind")) is table:
                change = TableChange(version, version)
                await stream.post(encode_change(table, change, read_clock()))
        await writer.cancel()
        await stream.close()

    await accept_connections(listener, serve, 100, cancel_connections=True)
