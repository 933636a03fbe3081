"""Builds the request path: proxy, engine, dispatcher and connections."""

import random
from typing import Any

from egretlever.core import Address, Seconds
from egretlever.memory import ByteAccount
from egretlever.node import _metrics as metrics
from egretlever.node._attempts import AttemptRunner
from egretlever.node._dispatch import Dispatcher, RequestParts
from egretlever.node._engine import Engine
from egretlever.node._orders import OrderHandler
from egretlever.node._parts import NodeParts
from egretlever.node._proxy import Proxy
from egretlever.schema import settings_pb2
from egretlever.transport import (
    CallerConnection,
    ConnectionPool,
    FaultInjector,
    accept_connections,
    read_clock,
)

# The account bounds the connections; those that are being closed are counted
# in the accept loop only.
_CLOSING_FACTOR = 2


def make_pool(
    traffic: settings_pb2.TrafficSection, faults: FaultInjector
) -> ConnectionPool:
    """Create the pool of connections to backend servers."""
    return ConnectionPool(
        Seconds(traffic.connect_timeout_s),
        Seconds(traffic.server_idle_timeout_s),
        traffic.server_connections,
        faults,
    )


def make_proxy(
    parts: NodeParts,
    pool: ConnectionPool,
    randomness: random.Random,
    account: ByteAccount,
) -> Proxy:
    """Create the proxy of a node from its decision parts."""
    runner = AttemptRunner(
        pool, lambda attempt: parts.detector.observe(attempt, read_clock())
    )
    dispatcher = Dispatcher(
        RequestParts(
            parts.catalogue,
            parts.admission_waiter,
            parts.selection_cache,
            parts.router,
            parts.detector,
            parts.retry,
        ),
        runner,
    )
    engine = Engine(
        parts.catalogue, parts.retry, dispatcher, OrderHandler(parts.ledger)
    )
    return Proxy(parts.catalogue, engine, randomness, account)


async def accept_callers(
    listener: Any,
    proxy: Proxy,
    traffic: settings_pb2.TrafficSection,
    faults: FaultInjector,
) -> None:
    """Accept callers' connections until cancelled.

    The listener is closed at the end, so that the system refuses later
    connections: one left in the accept queue would be reset with its request.
    """

    async def serve(sock: Any) -> None:
        peer = sock.getpeername()
        connection = CallerConnection(
            faults.wrap(sock, Address(peer[0], peer[1])),
            traffic.max_header_bytes,
            Seconds(traffic.header_timeout_s),
            Seconds(traffic.body_timeout_s),
            Seconds(traffic.idle_timeout_s),
        )
        await proxy.serve(connection, peer[0])

    try:
        await accept_connections(
            listener,
            serve,
            _CLOSING_FACTOR * traffic.max_connections,
            metrics.count_bad_request,
        )
    finally:
        await listener.close()
