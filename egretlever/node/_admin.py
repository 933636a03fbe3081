"""Admin pages of a node: health, metrics, announcements and its view."""

from typing import Protocol

from google.protobuf import json_format
from google.protobuf.message import DecodeError

from egretlever.node._fault_page import answer_faults
from egretlever.node._metrics import render_metrics
from egretlever.schema import admin_pb2, gossip_pb2
from egretlever.transport import (
    NO_FAULTS,
    Answer,
    FaultInjector,
    Handler,
    RequestHead,
)

_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Administered(Protocol):
    """What the admin pages need of a node."""

    @property
    def ready(self) -> bool:
        """Whether the node may get requests."""

    async def take_announcement(
        self, announcement: gossip_pb2.Announcement
    ) -> str:
        """Take what a backend server says of itself; empty when accepted."""

    def describe(self) -> admin_pb2.FleetStatus:
        """Describe the fleet as the node sees it."""


def make_admin(
    node: Administered, faults: FaultInjector = NO_FAULTS
) -> Handler:
    """Make the handler of a node's admin pages.

    ``GET /healthz`` tells that the process runs, ``GET /readyz`` whether it
    may get requests, ``GET /metrics`` gives metrics, ``GET /fleet`` gives
    `FleetStatus` as JSON, and ``POST /announce`` takes an `Announcement` in
    binary form. ``/faults`` gives and takes `LinkFaults` as JSON where tests
    may inject faults, and is unknown elsewhere.
    """

    async def handle(head: RequestHead, body: bytes) -> Answer:
        request = (head.method, head.path)
        if request == ("POST", "/announce"):
            return await _take_announcement(node, body)
        if head.path == "/faults":
            return answer_faults(faults, head.method, body)
        if head.method not in ("GET", "HEAD"):
            return Answer(405, b"method not allowed\n")
        if head.path == "/healthz":
            return Answer(body=b"ok\n")
        if head.path == "/readyz":
            if node.ready:
                return Answer(body=b"ready\n")
            return Answer(503, b"not ready\n")
        if head.path == "/metrics":
            return Answer(200, render_metrics(), _METRICS_TYPE)
        if head.path == "/fleet":
            text = json_format.MessageToJson(
                node.describe(), preserving_proto_field_name=True
            )
            return Answer(200, text.encode(), "application/json")
        return Answer(404, b"unknown page\n")

    return handle


async def _take_announcement(node: Administered, body: bytes) -> Answer:
    try:
        announcement = gossip_pb2.Announcement.FromString(body)
    except DecodeError:
        return Answer(400, b"the body is no announcement\n")
    refusal = await node.take_announcement(announcement)
    if refusal:
        return Answer(400, f"{refusal}\n".encode())
    return Answer(body=b"announced\n")
