"""Records that parts hand to one another."""

import dataclasses

from egretlever.core._ids import (
    FailureDomain,
    HostName,
    Incarnation,
    NodeId,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
)
from egretlever.core._states import AttemptResult, ServerState


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port.

    Parameters
    ----------
    ip : str
        IPv4 or IPv6 number.
    port : int
        TCP or UDP port, 1 to 65535.

    Examples
    --------
    >>> str(Address("127.0.0.1", 8080))
    '127.0.0.1:8080'
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A backend server as announced through its home node.

    Parameters
    ----------
    id : ServerId
        Unique name of the server.
    service : ServiceName
        Service that it runs.
    address : Address
        Where it accepts requests.
    host : HostName
        Host that it runs on.
    node : NodeId
        Home node, the node on the same host.
    failure_domain : FailureDomain
        Failure domain of the host.
    region : RegionName
        Region of the host.
    slots : int
        Requests that it runs at the same time.
    connections : int
        Connections that it accepts.
    state : ServerState
        Lifecycle state that it announced last.
    incarnation : Incarnation
        Grows with each start of the server.
    warm_at : Seconds
        Reading of the local clock at which a cold server has its full share.
        The first ``warmup`` seconds before it are a linear ramp.
    orphaned : bool
        True while the home node is believed dead.
    """

    id: ServerId
    service: ServiceName
    address: Address
    host: HostName
    node: NodeId
    failure_domain: FailureDomain
    region: RegionName
    slots: int
    connections: int
    state: ServerState
    incarnation: Incarnation
    warm_at: Seconds = Seconds(0.0)
    orphaned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What was learned from one attempt on one backend server.

    Parameters
    ----------
    server : ServerId
        Server that was tried.
    incarnation : Incarnation
        Incarnation of the server that was tried.
    service : ServiceName
        Service of the server.
    result : AttemptResult
        How the attempt ended, or ``OVERDUE`` while it still waits.
    latency : Seconds
        Time from dispatch to the result.
    sent : bool
        True when at least one byte of the request may have been written.
    fresh_connection : bool
        True when the attempt opened its own connection.
    status : int
        HTTP status of the answer, 0 without one.
    draining : bool
        True when the answer carried the draining header.
    retry_after : Seconds or None
        Wait that the server asked for.
    """

    server: ServerId
    incarnation: Incarnation
    service: ServiceName
    result: AttemptResult
    latency: Seconds
    sent: bool = True
    fresh_connection: bool = False
    status: int = 0
    draining: bool = False
    retry_after: Seconds | None = None
