"""Admin pages of a node: health, metrics, fleet state and commands."""

from typing import Any, Protocol

from google.protobuf import json_format
from google.protobuf.message import DecodeError, Message

from egretlever.node import _metrics as metrics
from egretlever.node._fault_page import answer_faults
from egretlever.schema import admin_pb2, catalogue_pb2, gossip_pb2
from egretlever.transport import (
    NO_FAULTS,
    Answer,
    CallerConnection,
    FaultInjector,
    Handler,
    RequestHead,
    accept_connections,
    answer_requests,
)

_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_MAX_CONNECTIONS = 256
# A catalogue snapshot at the design size of 5,100 routes takes about 0.5 MB.
_MAX_BODY_BYTES = 16 << 20


class StatusSource(Protocol):
    """Source of the state that the admin pages show."""

    @property
    def ready(self) -> bool:
        """Whether the node is ready for requests."""

    def describe(self) -> admin_pb2.FleetStatus:
        """Return the state of the fleet as known to the node."""

    def describe_catalogue(self) -> catalogue_pb2.CatalogueHead:
        """Return the head of the catalogue version in force."""


class OperationHandler(Protocol):
    """Executes what is posted to the admin pages."""

    def handle_announcement(self, announcement: gossip_pb2.Announcement) -> str:
        """Announce a backend server; return an error, empty on success."""

    def handle_order(
        self, order: admin_pb2.ServerOrder
    ) -> admin_pb2.ServerOrderAnswer:
        """Stop or start a backend server of this host for an operator."""

    async def handle_offer(
        self, offer: admin_pb2.CatalogueOffer
    ) -> admin_pb2.CatalogueOfferAnswer:
        """Apply a catalogue version that the store is said to have accepted."""


async def serve_admin(
    listener: Any,
    node: StatusSource,
    operations: OperationHandler,
    faults: FaultInjector = NO_FAULTS,
) -> None:
    """Serve the admin pages on a listening socket until cancelled."""
    handle = make_admin_handler(node, operations, faults)

    async def serve(sock: Any) -> None:
        connection = CallerConnection(sock)
        await answer_requests(
            connection, handle, _MAX_BODY_BYTES, metrics.count_bad_request
        )

    await accept_connections(
        listener, serve, _MAX_CONNECTIONS, metrics.count_bad_request
    )


def make_admin_handler(
    node: StatusSource,
    operations: OperationHandler,
    faults: FaultInjector = NO_FAULTS,
) -> Handler:
    """Create the handler of a node's admin pages.

    ``GET /healthz`` shows that the process is alive, ``GET /readyz`` whether it
    is ready for requests. ``GET /metrics`` returns metrics, ``GET /fleet`` a
    `FleetStatus` as JSON, and ``GET /catalogue`` the `CatalogueHead` in force
    as JSON. ``POST /announce`` accepts an `Announcement`, ``POST /server`` a
    `ServerOrder` and ``POST /catalogue`` a `CatalogueOffer`, each in binary
    form; the last two return JSON. ``/faults`` reads and replaces `LinkFaults`
    as JSON when fault injection is enabled for tests, and is unknown otherwise.
    """

    async def handle(head: RequestHead, body: bytes) -> Answer:
        if head.path == "/faults":
            return answer_faults(faults, head.method, body)
        if head.method == "POST":
            return await _handle_post(operations, head.path, body)
        if head.method not in ("GET", "HEAD"):
            return Answer(405, b"method not allowed\n")
        return _handle_get(node, head.path)

    return handle


def _handle_get(node: StatusSource, path: str) -> Answer:
    if path == "/healthz":
        return Answer(body=b"ok\n")
    if path == "/readyz":
        if node.ready:
            return Answer(body=b"ready\n")
        return Answer(503, b"not ready\n")
    if path == "/metrics":
        return Answer(200, metrics.render_metrics(), _METRICS_TYPE)
    if path == "/fleet":
        return _answer_json(node.describe())
    if path == "/catalogue":
        return _answer_json(node.describe_catalogue())
    return Answer(404, b"unknown page\n")


async def _handle_post(
    operations: OperationHandler, path: str, body: bytes
) -> Answer:
    try:
        if path == "/announce":
            announcement = gossip_pb2.Announcement.FromString(body)
            refusal = operations.handle_announcement(announcement)
            if refusal:
                return Answer(400, f"{refusal}\n".encode())
            return Answer(body=b"announced\n")
        if path == "/server":
            order = admin_pb2.ServerOrder.FromString(body)
            return _answer_json(operations.handle_order(order))
        if path == "/catalogue":
            offer = admin_pb2.CatalogueOffer.FromString(body)
            return _answer_json(await operations.handle_offer(offer))
    except DecodeError:
        return Answer(400, b"the body can't be decoded\n")
    return Answer(405, b"method not allowed\n")


def _answer_json(message: Message) -> Answer:
    text = json_format.MessageToJson(message, preserving_proto_field_name=True)
    return Answer(200, text.encode(), "application/json")
