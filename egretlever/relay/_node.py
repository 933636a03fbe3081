"""Relay node: entry node, home node and store followers in one process."""

import random
import socket
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from egretlever.allotments import AllotmentLimits
from egretlever.core import (
    Address,
    FailureDomain,
    Incarnation,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    make_log,
)
from egretlever.memory import ProcessLimits, make_byte_account
from egretlever.placement import (
    Configuration,
    EvenLoad,
    HomeSelector,
    HomeServer,
    ReaderSelector,
    TreeSelector,
)
from egretlever.platform import Bounds, make_row_store
from egretlever.relay import _metrics as metrics
from egretlever.relay._acceptor import RelayAcceptor
from egretlever.relay._allotments import AllotmentExchange
from egretlever.relay._announcements import AnnouncementPage
from egretlever.relay._changes import SharedTable
from egretlever.relay._clients import ClientConnection
from egretlever.relay._configuration import ConfigurationHolder
from egretlever.relay._configuration_follower import (
    make_configuration_follower,
)
from egretlever.relay._connection_ends import ConnectionEndLog
from egretlever.relay._departures import DepartureRecorder
from egretlever.relay._entry import EntryNode
from egretlever.relay._fleet import FleetView
from egretlever.relay._followers import (
    describe_table,
    make_directory_follower,
)
from egretlever.relay._handover import HandoverExchange
from egretlever.relay._home import make_home_node
from egretlever.relay._late_turns import count_late_turns
from egretlever.relay._links import LinkPool
from egretlever.relay._orphans import OrphanRemover
from egretlever.relay._publishing import ServerPublisher
from egretlever.relay._sharing import TableSharing
from egretlever.relay._stopping import PlannedStop, plan_stop
from egretlever.schema import logs_pb2, settings_pb2
from egretlever.settings import parse_address
from egretlever.transport import (
    Answer,
    RequestHead,
    accept_connections,
    adopt_listener,
    open_listener,
    read_clock,
    serve_requests,
)

_LOG = make_log("node")
_STORE_TIMEOUT = Seconds(2.0)  # of one call; a slow store takes 0.4 s
# Time within which a node has read the directory after its start, unless the
# store is unavailable. Servers wait for a reply to a heartbeat for a second.
_FIRST_READ_TIME = Seconds(0.5)
# Bound of the accept loop; the account admits fewer connections.
_MAX_CLIENTS = 4000
_RESTART_DELAY = 0.5  # seconds before a component that ended runs again


class RelayNode:
    """A node whose server is reachable from its own host only.

    Parameters
    ----------
    settings : RelaySettings
        Validated settings.
    bounds : Bounds
        Limits that the platform sets.
    listener : socket, optional
        Listener for clients that is already open.
    """

    def __init__(
        self,
        settings: settings_pb2.RelaySettings,
        bounds: Bounds,
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._bounds = bounds
        rng = random.Random(f"{settings.identity.node}-{time.time_ns()}")
        self._relay = Address(settings.listen.ip, settings.listen.relay_port)
        failure_domain = FailureDomain(settings.identity.failure_domain)
        selector = HomeSelector(
            failure_domain,
            _parse_regions(settings),
            self._relay,
            rng,
            EvenLoad(rng) if settings.choices.even_load else None,
        )
        self._fleet = FleetView(selector, self._find_local, rng)
        self._account = make_byte_account(
            ProcessLimits(
                settings.limits.memory_mb, settings.limits.max_open_files
            ),
            count=metrics.count_pressure,
        )
        self._home = make_home_node(
            bounds,
            self._fleet,
            settings.bounds.first_start,
            self._publish_leaving,
            self._account,
        )
        directory = self._fleet.directory
        configuration = ConfigurationHolder(self._configure)
        self._handovers = HandoverExchange(
            directory, configuration, self._is_synced, rng
        )
        self._links = LinkPool(self._fleet, self._handovers.describe)
        self._allotments = AllotmentExchange(
            AllotmentLimits(
                bounds.quota_window, bounds.quota_overage, bounds.quota_slack
            ),
            self._relay,
            self._fleet,
            self._links,
        )
        self._entry = EntryNode(
            ServiceName(settings.identity.service),
            self._fleet,
            self._home,
            self._links,
            rng,
            self._allotments,
        )
        store = make_row_store(
            parse_address(settings.store.address), _STORE_TIMEOUT
        )
        metrics.STORE_ERA.set_function(lambda: store.eras.current)
        directory_sharing = TableSharing(
            SharedTable.DIRECTORY,
            self._relay,
            ReaderSelector(directory, failure_domain, self._relay),
            self._links,
            eras=store.eras,
            describe_whole=lambda: describe_table(directory),
        )
        self._configuration = make_configuration_follower(
            store,
            configuration,
            self._relay,
            TreeSelector(
                directory,
                failure_domain,
                self._relay,
                selector.is_in_own_region,
            ),
            self._links,
            rng,
            bounds.configuration,
        )
        self._directory = make_directory_follower(
            store,
            directory,
            self._fleet.forget,
            rng,
            leader=self._configuration,
            sharing=directory_sharing,
        )
        self._publisher = ServerPublisher(
            store,
            self._find_published,
            self._mark_leaving,
            directory,
            self._directory,
            rng,
        )
        self._departures = DepartureRecorder(
            store,
            directory,
            failure_domain,
            directory_sharing,
            self._directory,
        )
        self._orphan_remover = OrphanRemover(
            store,
            directory,
            failure_domain,
            self._relay,
            directory_sharing,
            self._links,
        )
        self._acceptor = RelayAcceptor(
            self._home,
            Incarnation(time.time_ns() // 1000),
            {
                SharedTable.DIRECTORY: directory_sharing,
                SharedTable.CONFIGURATION: self._configuration.sharing,
            },
            self._handovers,
            self._allotments.answer,
            self._account,
        )
        self._client_connections: set[ClientConnection] = set()
        self._connection_ends = ConnectionEndLog()
        self._planned_stop = PlannedStop(
            self._entry, self._home, self._acceptor, self._client_connections
        )
        self._started_at = read_clock()
        self._stopping = False
        self._ended = curio.Event()

    def _configure(self, configuration: Configuration) -> bool:
        applied = self._entry.configure(configuration)
        if applied:
            self._allotments.configure(configuration.customers)
        return applied

    def _is_synced(self) -> bool:
        return self._configuration.synced and self._directory.synced

    def _find_local(self) -> HomeServer | None:
        """Return the server on this host, None when it is leaving."""
        server = self._find_published()
        return None if server is None or server.draining else server

    def _find_published(self) -> HomeServer | None:
        """Return the server on this host, None when it has left.

        A planned stop of the node does not matter here: the server may keep
        running beside the next process.
        """
        server = self._home.local.current
        if server is None:
            return None
        return HomeServer(
            id=server.id,
            service=server.service,
            failure_domain=server.failure_domain,
            relay=self._relay,
            slots=server.slots,
            incarnation=server.incarnation,
            draining=server.draining,
        )

    async def _publish_leaving(self) -> None:
        """Write to the server's row that it leaves, without waiting for it."""
        await self._publisher.notify()

    async def _record_leaving(
        self, server_id: ServerId, incarnation: Incarnation
    ) -> bool:
        """Write to the row of a server that it leaves."""
        identity = self._settings.identity
        return await self._publisher.record_leaving(
            HomeServer(
                id=server_id,
                service=ServiceName(identity.service),
                failure_domain=FailureDomain(identity.failure_domain),
                relay=self._relay,
                slots=1,
                incarnation=incarnation,
                draining=True,
            )
        )

    async def _learn_departures(self) -> bool:
        """Tell whether the departures that the fleet acknowledged are known.

        Right after the start, it waits for the store.
        """
        if self._settings.bounds.first_start:
            return True
        left = self._started_at + _FIRST_READ_TIME - read_clock()
        if left > 0:
            async with curio.ignore_after(left):
                await self._directory.wait_synced()
        return self._directory.synced

    def _mark_leaving(
        self, server_id: ServerId, incarnation: Incarnation
    ) -> None:
        """Stop offering a server that was leaving before this process began."""
        if self._home.local.drain(server_id, incarnation):
            self._home.apply_heartbeat()

    async def run(self) -> None:
        """Run until the planned stop is complete."""
        count_late_turns()
        listen = self._settings.listen
        page = AnnouncementPage(
            self._home,
            self._publisher.notify,
            self._record_leaving,
            self._learn_departures,
        )
        clients = (
            open_listener(parse_address(listen.clients))
            if self._listener is None
            else adopt_listener(self._listener)
        )
        health = open_listener(parse_address(listen.health))
        heartbeats = open_listener(parse_address(listen.announcements))
        relay = open_listener(self._relay)
        metrics_listener = open_listener(
            Address(listen.ip, listen.metrics_port)
        )
        components: list[
            tuple[Callable[..., Awaitable[Any]], tuple[Any, ...]]
        ] = [
            (self._serve_clients, (clients,)),
            (serve_requests, (health, self._answer_health)),
            (serve_requests, (heartbeats, page.handle)),
            (serve_requests, (metrics_listener, self._answer_metrics)),
            (self._acceptor.serve_forever, (relay,)),
            (self._configuration.follow_forever, (self._directory,)),
            (self._directory.follow_forever, ()),
            (self._publisher.publish_forever, ()),
            (self._orphan_remover.remove_forever, ()),
            (self._departures.record_forever, ()),
            (self._home.slots.expire_forever, ()),
            (self._home.notice_publisher.publish_forever, ()),
            (self._home.jobs.expire_forever, ()),
            (self._home.maintain_forever, ()),
            (self._links.expire_forever, ()),
            *(
                (self._allotments.run_forever, (group,))
                for group in self._allotments.groups
            ),
        ]
        self._log("start", reason=str(self._bounds), address=str(self._relay))
        tasks = [
            await curio.spawn(self._supervise, component, values, daemon=True)
            for component, values in components
        ]
        tasks.append(
            await curio.spawn(self._handovers.request_until_synced, daemon=True)
        )
        try:
            await self._ended.wait()
        finally:
            for task in tasks:
                await task.cancel()
            for listener in (
                clients,
                health,
                heartbeats,
                relay,
                metrics_listener,
            ):
                await listener.close()
            await self._links.close()
        self._log("stopped")

    def _log(self, event: str, reason: str = "", address: str = "") -> None:
        _LOG.event(
            logs_pb2.StateLine(
                event=event,
                subject=self._settings.identity.node,
                reason=reason,
                address=address,
            )
        )

    async def _supervise(
        self, component: Callable[..., Awaitable[Any]], values: tuple[Any, ...]
    ) -> None:
        """Run a component forever; its failure must not end the others."""
        while True:
            try:
                await component(*values)
            except curio.CancelledError:
                raise
            except Exception:
                _LOG.error("A component failed:\n%s", traceback.format_exc())
            await curio.sleep(_RESTART_DELAY)

    async def _serve_clients(self, listener: Any) -> None:
        await accept_connections(
            listener, self._serve_client, _MAX_CLIENTS, cancel_connections=True
        )

    async def _serve_client(self, sock: Any) -> None:
        connection = ClientConnection(
            sock,
            self._entry.handle,
            self._entry.intake.read_limits,
            lambda: self._stopping,
            self._connection_ends.report,
            self._account,
        )
        self._client_connections.add(connection)
        try:
            await connection.run()
        finally:
            self._client_connections.remove(connection)

    async def _answer_health(self, head: RequestHead, body: bytes) -> Answer:
        del body
        if head.path != "/readiness":
            return Answer(404)
        ready = self._entry.configured and not self._stopping
        return Answer(200 if ready else 503)

    async def _answer_metrics(self, head: RequestHead, body: bytes) -> Answer:
        del head, body
        for kind, size in self._account.used_by_kind.items():
            metrics.HELD_BYTES.labels(kind.value).set(size)
        return Answer(200, metrics.render())

    def reload(
        self, settings: settings_pb2.RelaySettings, bounds: Bounds
    ) -> None:
        """Apply changed settings as far as possible without a restart.

        Parameters
        ----------
        settings : RelaySettings
            Validated settings.
        bounds : Bounds
            Limits that the platform sets.
        """
        self._bounds = bounds
        self._fleet.reload(_parse_regions(settings))
        self._home.reload(bounds)
        unapplied = [
            section.name
            for section in settings.DESCRIPTOR.fields
            if section.name != "bounds"
            and getattr(settings, section.name)
            != getattr(self._settings, section.name)
        ]
        # Addresses and names take effect at the next start.
        self._log("reload", reason=f"waiting: {', '.join(unapplied) or 'none'}")

    async def stop(self, asked_at: Seconds | None = None) -> None:
        """Stop gracefully: requests that were received are finished.

        Parameters
        ----------
        asked_at : Seconds, optional
            Clock time from which the grace period counts; by default now.
        """
        begins_at = read_clock() if asked_at is None else asked_at
        late = read_clock() - begins_at
        self._log("stop", reason=f"{late:.3f} s after the signal")
        self._stopping = True
        self._allotments.stop()
        await self._publisher.stop()
        await self._planned_stop.run(plan_stop(begins_at, self._bounds.grace))
        await self._links.close()
        await self._home.close()
        await self._ended.set()


def _parse_regions(
    settings: settings_pb2.RelaySettings,
) -> dict[FailureDomain, RegionName]:
    regions = {}
    for line in settings.identity.regions:
        domain, _, region = line.partition(":")
        regions[FailureDomain(domain)] = RegionName(region)
    return regions


def make_relay_node(
    settings: settings_pb2.RelaySettings,
    bounds: Bounds,
    listener: socket.socket | None = None,
) -> RelayNode:
    """Make a relay node.

    Parameters
    ----------
    settings : RelaySettings
        Validated settings.
    bounds : Bounds
        Limits that the platform sets.
    listener : socket, optional
        Listener for clients that is already open.

    Returns
    -------
    RelayNode
        A node, to be started by `RelayNode.run`.
    """
    return RelayNode(settings, bounds, listener)
