"""Records exchanged between packages."""

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
    """An IP address and a port.

    Parameters
    ----------
    ip : str
        IPv4 or IPv6 address.
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
        Address on which it accepts requests.
    host : HostName
        Host that it runs on.
    node : NodeId
        Home node, the node on the same host.
    failure_domain : FailureDomain
        Failure domain of the host.
    region : RegionName
        Region of the host.
    slots : int
        Maximum number of requests that it runs concurrently.
    connections : int
        Maximum number of connections that it accepts.
    state : ServerState
        Last announced lifecycle state.
    incarnation : Incarnation
        Increases with each start of the server.
    warm_at : Seconds
        Local clock reading from which a cold server gets its full share of
        requests. Its share increases linearly during the last ``warmup``
        seconds before.
    orphaned : bool
        Whether the home node is considered dead.
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
    """Observed result of one attempt to run a request on one backend server.

    Parameters
    ----------
    server : ServerId
        Server of the attempt.
    incarnation : Incarnation
        Incarnation of that server.
    service : ServiceName
        Service of the server.
    result : AttemptResult
        Result of the attempt; ``OVERDUE`` while it is still waiting.
    latency : Seconds
        Time from dispatch to the result.
    sent : bool
        Whether any byte of the request may have been written.
    fresh_connection : bool
        Whether the attempt opened a new connection.
    status : int
        HTTP status of the response, 0 without a response.
    draining : bool
        Whether the response had the draining header.
    retry_after : Seconds or None
        Delay that the server requested in the response, if any.
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
