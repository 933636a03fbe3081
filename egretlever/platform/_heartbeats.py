"""Decoding of heartbeats and departures of backend servers."""

import urllib.parse

from returns.result import Failure, Result, Success

from egretlever.core import (
    FailureDomain,
    Finding,
    Incarnation,
    Seconds,
    ServerId,
    ServiceName,
)
from egretlever.home import Heartbeat
from egretlever.platform._decoding import (
    MAX_NAME_BYTES,
    FieldReader,
    parse_json,
)
from egretlever.settings import Findings

_PATH = "/instances/"
_STATES = {"ready": False, "draining": True}
MAX_SLOTS = 100_000
_MAX_NUMBER = 1 << 53  # integers up to this are exact in JSON numbers


def parse_server_path(target: str) -> ServerId | None:
    """Parse the server id from the target of a heartbeat or departure.

    Examples
    --------
    >>> parse_server_path("/instances/i-7f3a")
    'i-7f3a'
    """
    path = urllib.parse.urlsplit(target).path
    if not path.startswith(_PATH):
        return None
    name = urllib.parse.unquote(path[len(_PATH) :])
    if not name or "/" in name or len(name.encode()) > MAX_NAME_BYTES:
        return None
    return ServerId(name)


def decode_heartbeat(
    server_id: ServerId, body: bytes
) -> Result[Heartbeat, Findings]:
    """Decode a heartbeat.

    Parameters
    ----------
    server_id : ServerId
        Id from the request path.
    body : bytes
        Request body.

    Returns
    -------
    Result of Heartbeat or tuple of Finding
        State that the server reports, or all findings.
    """
    parsed = parse_json(body, "heartbeat")
    if isinstance(parsed, Failure):
        return parsed
    findings: list[Finding] = []
    reader = FieldReader(parsed.unwrap(), "heartbeat", findings)
    info, status = reader.open("info"), reader.open("status")
    state = status.read_text("state")
    if state not in _STATES:
        status.report("state", f"{state!r} is neither ready nor draining")
    time_to_warm = Seconds(0.0)
    if "coldRemaining" in status.fields:
        time_to_warm = status.read_duration("coldRemaining")
    heartbeat = Heartbeat(
        id=server_id,
        address=reader.read_address("address"),
        service=ServiceName(info.read_text("service")),
        failure_domain=FailureDomain(info.read_text("zone")),
        slots=info.read_integer("slots", 1, MAX_SLOTS),
        draining=_STATES.get(state, False),
        sequence=status.read_integer("sequence", 0, _MAX_NUMBER),
        incarnation=_read_incarnation(reader),
        cold_for=time_to_warm,
    )
    return Failure(tuple(findings)) if findings else Success(heartbeat)


def _read_incarnation(reader: FieldReader) -> Incarnation:
    """Read ``born``, the Unix start time of the server in milliseconds."""
    if "born" not in reader.fields:
        return Incarnation(0)
    return Incarnation(reader.read_integer("born", 0, _MAX_NUMBER))


def decode_departure(body: bytes) -> Incarnation | None:
    """Read the incarnation of a departing server, None without a valid one."""
    parsed = parse_json(body, "departure")
    if isinstance(parsed, Failure) or not isinstance(parsed.unwrap(), dict):
        return None
    born_unix_ms = parsed.unwrap().get("born")
    return (
        Incarnation(born_unix_ms)
        if type(born_unix_ms) is int and born_unix_ms >= 0
        else None
    )
