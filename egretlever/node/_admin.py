"""Admin pages of a node: health, metrics, announcements and its view."""

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
# A snapshot at the design size of 5,100 routes has about half a megabyte.
_MAX_BODY_BYTES = 16 << 20


class Administered(Protocol):
    """What the admin pages show of a node."""

    @property
    def ready(self) -> bool:
        """Whether the node may get requests."""

    def describe(self) -> admin_pb2.FleetStatus:
        """Describe the fleet as the node sees it."""

    def describe_catalogue(self) -> catalogue_pb2.CatalogueHead:
        """Describe the version of the catalogue in force."""


class Operated(Protocol):
    """What the admin pages do at a node."""

    def take_announcement(self, announcement: gossip_pb2.Announcement) -> str:
        """Take what a backend server says of itself; empty when accepted."""

    def take_order(
        self, order: admin_pb2.ServerOrder
    ) -> admin_pb2.ServerOrderAnswer:
        """Stop or start a server of this host for an operator."""

    async def take_offer(
        self, offer: admin_pb2.CatalogueOffer
    ) -> admin_pb2.CatalogueOfferAnswer:
        """Take a version of the catalogue that the store accepted."""


async def serve_admin(
    listener: Any,
    node: Administered,
    operated: Operated,
    faults: FaultInjector = NO_FAULTS,
) -> None:
    """Serve the admin pages on a listening socket for ever."""
    handle = make_admin(node, operated, faults)

    async def serve(sock: Any) -> None:
        connection = CallerConnection(sock)
        await answer_requests(
            connection, handle, _MAX_BODY_BYTES, metrics.count_bad_request
        )

    await accept_connections(
        listener, serve, _MAX_CONNECTIONS, metrics.count_bad_request
    )


def make_admin(
    node: Administered, operated: Operated, faults: FaultInjector = NO_FAULTS
) -> Handler:
    """Make the handler of a node's admin pages.

    ``GET /healthz`` tells that the process runs, ``GET /readyz`` whether it
    may get requests, ``GET /metrics`` gives metrics, ``GET /fleet`` gives
    `FleetStatus` and ``GET /catalogue`` the `CatalogueHead` in force as JSON.
    ``POST /announce`` takes an `Announcement`, ``POST /server`` a
    `ServerOrder` and ``POST /catalogue`` a `CatalogueOffer` in binary form;
    the last two answer with JSON. ``/faults`` gives and takes `LinkFaults` as
    JSON where tests may inject faults, and is unknown elsewhere.
    """

    async def handle(head: RequestHead, body: bytes) -> Answer:
        if head.path == "/faults":
            return answer_faults(faults, head.method, body)
        if head.method == "POST":
            return await _take(operated, head.path, body)
        if head.method not in ("GET", "HEAD"):
            return Answer(405, b"method not allowed\n")
        return _show(node, head.path)

    return handle


def _show(node: Administered, path: str) -> Answer:
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


async def _take(operated: Operated, path: str, body: bytes) -> Answer:
    try:
        if path == "/announce":
            announcement = gossip_pb2.Announcement.FromString(body)
            refusal = operated.take_announcement(announcement)
            if refusal:
                return Answer(400, f"{refusal}\n".encode())
            return Answer(body=b"announced\n")
        if path == "/server":
            order = admin_pb2.ServerOrder.FromString(body)
            return _answer_json(operated.take_order(order))
        if path == "/catalogue":
            offer = admin_pb2.CatalogueOffer.FromString(body)
            return _answer_json(await operated.take_offer(offer))
    except DecodeError:
        return Answer(400, b"the body can't be decoded\n")
    return Answer(405, b"method not allowed\n")


def _answer_json(message: Message) -> Answer:
    text = json_format.MessageToJson(message, preserving_proto_field_name=True)
    return Answer(200, text.encode(), "application/json")
