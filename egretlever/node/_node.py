"""Connects the decision parts of a node with its sockets and loops."""

import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import curio

from egretlever.core import (
    Address,
    NodeId,
    RegionName,
    Seconds,
    ServerId,
    make_log,
)
from egretlever.membership import CatalogueUpdate, DatagramPort, Send
from egretlever.memory import ProcessLimits, make_byte_account
from egretlever.node import _metrics as metrics
from egretlever.node._admin import serve_admin
from egretlever.node._catalogue import CatalogueCopy, CatalogueSync
from egretlever.node._catalogue_offers import OfferHandler
from egretlever.node._evidence import EvidenceTransport
from egretlever.node._frontend import accept_callers, make_pool, make_proxy
from egretlever.node._maintenance import StoreMaintenance
from egretlever.node._operations import Operations
from egretlever.node._parts import make_member, make_parts
from egretlever.node._status import describe_fleet
from egretlever.orders import make_claim_sweep
from egretlever.platform import make_object_store, make_table_store
from egretlever.schema import admin_pb2, catalogue_pb2, settings_pb2
from egretlever.settings import parse_address
from egretlever.transport import (
    DatagramEndpoint,
    make_fault_injector,
    open_listener,
    read_clock,
)

_LOG = make_log("node")
_TICK_INTERVAL = 0.05  # seconds between calls of parts that act on time
_FLUSH_INTERVAL = 0.05  # seconds between writes of deferred order rows
_MAINTENANCE_INTERVAL = 1.0  # seconds between maintenance runs
_ROLE_INTERVAL = 30.0  # seconds between choices of maintenance roles
# Seconds of event loop lag beyond which the node's own evidence about servers
# is discarded.
_MAX_LOOP_LAG = 0.25
_LEAVE_DELAY = 3.0  # seconds until other nodes and callers know it leaves
# Time at the end of a planned stop in which requests without a response get one
# of the node's own, and the largest share of the time to drain for it.
_ANSWER_TIME = Seconds(0.5)
_MAX_ANSWER_SHARE = 0.15

Datagrams = Sequence[tuple[Address, bytes]]


class Node:
    """A node of the fleet.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    randomness : random.Random
        Source of all random choices.
    """

    def __init__(
        self, settings: settings_pb2.NodeSettings, randomness: random.Random
    ) -> None:
        self._settings = settings
        self._faults = make_fault_injector(
            settings.testing.fault_injection, randomness
        )
        platform = settings.platform
        timeout = Seconds(platform.timeout_s)
        self._table = make_table_store(parse_address(platform.table), timeout)
        self._objects = make_object_store(
            parse_address(platform.objects), timeout
        )
        self._parts = make_parts(settings, self._table, randomness)
        self._evidence = EvidenceTransport(
            self._parts.detector,
            self._parts.sender,
            self._send_evidence,
            self._find_address,
            self._parts.selection_cache.invalidate,
            self._faults,
        )
        copy = CatalogueCopy(self._parts.catalogue, self._apply_catalogue)
        self._member = make_member(
            settings, self._parts, copy, self._evidence, randomness
        )
        self._port = DatagramPort(self._member)
        self._sync = CatalogueSync(
            self._parts.reader,
            self._table,
            self._objects,
            self._publish,
            self._is_joined,
            self._apply_catalogue,
        )
        self._operations = Operations(
            self._parts.sender.node,
            self._member,
            self._parts,
            OfferHandler(
                self._parts.catalogue,
                self._parts.reader,
                self._table,
                self._sync.run,
            ),
            self._encode_and_enqueue,
        )
        self._maintenance = StoreMaintenance(
            self._parts.sender.node,
            RegionName(settings.identity.region),
            self._parts.maintenance,
            self._table,
            make_claim_sweep(self._table, self._parts.sender.node),
            self._member,
            randomness,
        )
        self._outgoing: list[tuple[Address, bytes]] = []
        self._stopped = curio.Event()
        self._stopping = False
        self._acceptor: curio.Task | None = None
        self._account = make_byte_account(
            ProcessLimits(
                settings.limits.memory_mb, settings.limits.max_open_files
            ),
            settings.traffic.max_connections,
            metrics.count_pressure,
        )
        self._pool = make_pool(settings.traffic, self._faults)
        self._proxy = make_proxy(
            self._parts, self._pool, randomness, self._account
        )

    @property
    def operations(self) -> Operations:
        """Handler of announcements from servers and commands of operators."""
        return self._operations

    @property
    def ready(self) -> bool:
        """Whether the node is ready for requests."""
        return (
            not self._stopping
            and self._parts.reader.ready
            and self._member.is_ready(read_clock())
        )

    def _is_joined(self) -> bool:
        return bool(self._member.is_ready(read_clock()))

    def _apply_catalogue(self) -> None:
        self._parts.apply_catalogue(read_clock())
        metrics.CATALOGUE_VERSION.set(self._parts.catalogue.version)

    def _publish(self, update: CatalogueUpdate) -> None:
        sends = self._member.publish_catalogue(update, read_clock())
        self._enqueue(self._port.encode(sends))

    def _send_evidence(self, to: Sequence[NodeId], payload: bytes) -> None:
        own = self._parts.sender.node
        now = read_clock()
        if own in to:
            self._evidence.receive(own, payload, now)
        others = [node for node in to if node != own]
        sends = self._member.send_evidence(others, payload, now)
        self._enqueue(self._port.encode(sends))

    def _find_address(self, server: ServerId) -> Address | None:
        found = self._parts.view.servers.get(server)
        return found.address if found is not None else None

    def _enqueue(self, datagrams: Datagrams) -> None:
        self._outgoing.extend(datagrams)

    def _encode_and_enqueue(self, sends: Sequence[Send]) -> None:
        self._enqueue(self._port.encode(sends))

    async def run(self) -> None:
        """Run until a graceful stop is complete."""
        listen = self._settings.listen
        traffic = open_listener(parse_address(listen.traffic))
        admin = open_listener(parse_address(listen.admin))
        gossip = DatagramEndpoint(parse_address(listen.gossip), self._faults)
        _LOG.info(
            "Node %s accepts callers on %s.",
            self._parts.sender.node,
            listen.traffic,
        )
        async with curio.TaskGroup(wait=any) as tasks:
            self._acceptor = await curio.spawn(
                self._accept, traffic, daemon=True
            )
            await tasks.spawn(
                serve_admin, admin, self, self._operations, self._faults
            )
            await tasks.spawn(self._receive_gossip, gossip)
            await tasks.spawn(self._tick_forever, gossip)
            await tasks.spawn(
                _run_periodically, _FLUSH_INTERVAL, self._parts.ledger.flush
            )
            await tasks.spawn(
                _run_periodically,
                _MAINTENANCE_INTERVAL,
                self._expire_and_update_gauges,
            )
            await tasks.spawn(
                _run_periodically, _MAINTENANCE_INTERVAL, self._maintenance.run
            )
            await tasks.spawn(
                _run_periodically, _ROLE_INTERVAL, self._choose_roles
            )
            await tasks.spawn(self._stopped.wait)
        for sock in (admin, gossip):
            await sock.close()
        if tasks.exception:
            raise tasks.exception

    async def _accept(self, listener: Any) -> None:
        try:
            await accept_callers(
                listener, self._proxy, self._settings.traffic, self._faults
            )
        finally:
            # The system would go on accepting connections on an open socket,
            # and they would never be served.
            await listener.close()

    async def _receive_gossip(self, gossip: DatagramEndpoint) -> None:
        while True:
            data, sender = await gossip.receive()
            metrics.GOSSIP_BYTES.labels("received").inc(len(data))
            self._enqueue(self._port.receive(data, sender, read_clock()))
            await self._send_gossip(gossip)

    async def _send_gossip(self, gossip: DatagramEndpoint) -> None:
        outgoing, self._outgoing = self._outgoing, []
        sent = sum(len(data) for _, data in outgoing)
        metrics.GOSSIP_BYTES.labels("sent").inc(sent)
        await gossip.send_all(outgoing)

    async def _tick_forever(self, gossip: DatagramEndpoint) -> None:
        last = read_clock()
        while True:
            await curio.sleep(_TICK_INTERVAL)
            now = read_clock()
            lag = now - last - _TICK_INTERVAL
            last = now
            if lag > _MAX_LOOP_LAG:
                self._observe_pause(Seconds(lag), now)
            await self._tick(now)
            await self._send_gossip(gossip)

    def _observe_pause(self, lag: Seconds, now: Seconds) -> None:
        _LOG.warning("The event loop was blocked for %.2f s.", lag)
        metrics.LOOP_PAUSES.inc()
        self._parts.detector.observe_pause(lag, now)
        self._parts.admission_waiter.observe_pause(lag, now)

    async def _tick(self, now: Seconds) -> None:
        parts = self._parts
        self._enqueue(self._port.advance(now))
        parts.view.refresh(self._member, now)
        await self._evidence.run(parts.detector.advance(now))
        parts.router.advance(now)
        await parts.admission_waiter.advance()
        actions = parts.reader.advance(now)
        if actions:
            await curio.spawn(self._sync.run, actions, daemon=True)

    async def _choose_roles(self) -> None:
        region = RegionName(self._settings.identity.region)
        readers = self._member.readers(region)
        self._maintenance.choose_roles(
            readers, self._member.nodes(), read_clock()
        )

    async def _expire_and_update_gauges(self) -> None:
        now = read_clock()
        parts = self._parts
        await self._pool.expire(now)
        readers = self._member.readers(
            RegionName(self._settings.identity.region)
        )
        parts.reader.set_polling(parts.sender.node in readers, now)
        for kind, size in self._account.used_by_kind.items():
            metrics.HELD_BYTES.labels(kind.value).set(size)
        metrics.IN_FLIGHT.set(self._proxy.in_flight)
        metrics.WAITING.set(parts.admission_waiter.waiting_count)
        selections = [
            parts.selection_cache.find(service, now)
            for service in parts.selection_cache.services()
        ]
        metrics.EJECTED.set(sum(len(item.ejected) for item in selections))
        metrics.HELD_BY_FLOOR.set(
            sum(len(item.held_by_floor) for item in selections)
        )

    def describe(self) -> admin_pb2.FleetStatus:
        """Return the state of the fleet as known to this node."""
        return describe_fleet(
            self._parts,
            self._member,
            self.ready,
            self._proxy.in_flight,
            read_clock(),
        )

    def describe_catalogue(self) -> catalogue_pb2.CatalogueHead:
        """Return the head of the catalogue version in force."""
        head = self._parts.catalogue.head
        if head is None:
            return catalogue_pb2.CatalogueHead()
        return catalogue_pb2.CatalogueHead(
            version=head.version, edit_id=head.edit_id, digest=head.digest
        )

    async def stop(self) -> None:
        """Leave the fleet, finish the requests in flight, then end `run`."""
        if self._stopping:
            return
        self._stopping = True
        _LOG.info("Node %s is leaving the fleet.", self._parts.sender.node)
        self._enqueue(self._port.encode(self._member.leave(read_clock())))
        self._proxy.start_draining()
        # Callers that do not know it yet are still served during this delay.
        await curio.sleep(_LEAVE_DELAY)
        if self._acceptor is not None:
            await self._acceptor.cancel()
        await self._proxy.stop()
        timeout = self._settings.traffic.drain_timeout_s
        until = Seconds(read_clock() + timeout)
        await self._await_connections(
            Seconds(until - min(_ANSWER_TIME, _MAX_ANSWER_SHARE * timeout))
        )
        await self._proxy.end_requests()
        await self._await_connections(until)
        while await self._parts.ledger.flush():
            pass
        await self._stopped.set()

    async def _await_connections(self, until: Seconds) -> None:
        """Wait until callers have closed their connections.

        A response has arrived only when its connection has ended: if the
        process exits with unread input, bytes already sent may be lost.
        """
        while self._proxy.connections and read_clock() < until:
            await curio.sleep(_TICK_INTERVAL)


async def _run_periodically(interval: float, work: Callable[[], Any]) -> None:
    while True:
        await curio.sleep(interval)
        await work()


def make_node(
    settings: settings_pb2.NodeSettings, seed: int | None = None
) -> Node:
    """Create a node.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    seed : int, optional
        Seed of its random choices; by default its name and the time.

    Returns
    -------
    Node
        Node that does nothing before `run`.
    """
    if seed is None:
        return Node(
            settings,
            random.Random(f"{settings.identity.node}/{time.time_ns()}"),
        )
    return Node(settings, random.Random(seed))
