"""Control pages of the backend server stand-in."""

from typing import Protocol

from google.protobuf import json_format

from egretlever.core import ServerState
from egretlever.schema import standins_pb2
from egretlever.standins._faults import FaultSchedule
from egretlever.transport import Answer, Handler, RequestHead, read_clock


class Controlled(Protocol):
    """What the control pages need of a stand-in."""

    faults: FaultSchedule
    state: ServerState
    records: list[standins_pb2.BackendRecord]

    @property
    def busy(self) -> int:
        """Requests that run at the moment."""

    def silence_connections(self) -> None:
        """Make the connections that are open now silent for good."""

    async def drain(self) -> None:
        """Announce the departure, finish what runs, then stop."""


def make_control(backend: Controlled) -> Handler:
    """Make the handler of the control pages.

    ``POST /faults`` takes `BackendFaults` as JSON, ``GET /records`` gives
    `BackendRecords` in binary form, ``POST /drain`` begins a planned stop and
    ``GET /state`` names the state and the busy slots.
    """

    async def handle(head: RequestHead, body: bytes) -> Answer:
        request = (head.method, head.path)
        if request == ("POST", "/faults"):
            return _set_faults(backend, body)
        if request == ("GET", "/records"):
            records = standins_pb2.BackendRecords(records=backend.records)
            return Answer(body=records.SerializeToString())
        if request == ("POST", "/drain"):
            await backend.drain()
            return Answer(body=b"draining\n")
        if request == ("GET", "/state"):
            text = f"{backend.state.value} {backend.busy}\n"
            return Answer(body=text.encode())
        return Answer(404, b"unknown page\n")

    return handle


def _set_faults(backend: Controlled, body: bytes) -> Answer:
    faults = standins_pb2.BackendFaults()
    try:
        json_format.Parse(body, faults)
    except (json_format.ParseError, UnicodeDecodeError) as error:
        return Answer(400, f"{error}\n".encode())
    backend.faults.replace(faults, read_clock())
    if faults.silence_open_connections:
        backend.silence_connections()
    return Answer(body=b"set\n")
