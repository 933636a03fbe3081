"""Records of routes, servers, offers and replies."""

import dataclasses
import enum
import math
from typing import NewType

from egretlever.core import (
    Address,
    CustomerId,
    FailureDomain,
    Finding,
    Incarnation,
    RequestId,
    RouteId,
    Seconds,
    ServerId,
    ServiceName,
    Version,
)


class Trust(enum.Enum):
    """State of a server's circuit breaker, by its recent outcomes.

    A ``TRUSTED`` server gets all requests. A ``DOUBTED`` one normally gets only
    idempotent requests that are not careful (see ``Offer``), and a ``BROKEN``
    one only single such requests as trials, as a half-open circuit breaker
    does. The circuit breaker in ``egretlever.home`` may also let through forced
    requests and, after some seconds without outcomes, requests of any kind.
    """

    TRUSTED = "trusted"
    DOUBTED = "doubted"
    BROKEN = "broken"


class RefusalReason(enum.Enum):
    """Why a home node refused a request, which proves that it was not run."""

    NO_SERVER = "no-server"
    LEAVING = "leaving"
    UNTRUSTED = "untrusted"
    BUSY = "busy"
    EXPIRED = "expired"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    DOWN = "down"
    FENCED = "fenced"
    NO_BUDGET = "no-budget"
    HOME_UNREACHABLE = "home-unreachable"


class FailureReason(enum.Enum):
    """Why an attempt that may have run at the server has no answer."""

    CUT_OFF = "cut-off"
    GARBLED = "garbled"
    OVERDUE = "overdue"
    HOME_LOST = "home-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service that gets a share of the requests of a route.

    Parameters
    ----------
    service : ServiceName
        Name of the service.
    weight : float
        Weight of its share, relative to the other services of the route.
    """

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the operator's configuration.

    Parameters
    ----------
    id : RouteId
        Name of the route.
    host : str
        Host of the requests, in lower case.
    prefix : str
        Path prefix, with a slash at both ends.
    idempotent : bool
        Whether a request may run more than once.
    timeout : Seconds
        Longest time until the client gets a response.
    objective : Seconds
        Latency objective, within which an answer has its full worth.
    rank : int
        Priority, 0 for the most urgent.
    max_attempts : int
        Number of servers to which one request may be sent.
    backends : tuple of Backend
        Services with their weights, at least one.
    public : bool
        Whether its requests need no key.
    """

    id: RouteId
    host: str
    prefix: str
    idempotent: bool
    timeout: Seconds
    objective: Seconds
    rank: int
    max_attempts: int
    backends: tuple[Backend, ...]
    public: bool = False


KeyDigest = NewType("KeyDigest", bytes)
"""SHA-256 digest of a customer's key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer of the operator's configuration.

    Parameters
    ----------
    id : CustomerId
        Name of the customer.
    keys : tuple of KeyDigest
        Digests of its keys. The keys themselves are kept nowhere.
    rank : int or None
        Priority of its requests, 0 for the most urgent. None leaves them the
        priority of their route.
    rate : float
        Requests per second of its allotment over all nodes; 0 for no limit.
    burst : float
        Requests beyond this rate that the allotment allows at once.
    """

    id: CustomerId
    keys: tuple[KeyDigest, ...]
    rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    @property
    def weight(self) -> float:
        """Weight of its requests at a server that is full."""
        return self.rate or 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the requests of clients and their duration.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Largest request head and body.
    head_timeout : Seconds
        Time to receive a complete request head.
    idle_timeout : Seconds
        Time between two requests on one connection.
    """

    max_head_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    head_timeout: Seconds = Seconds(3.0)
    idle_timeout: Seconds = Seconds(15.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A version of the operator's configuration.

    Parameters
    ----------
    version : Version
        Version number; a higher one replaces a lower one.
    routes : tuple of Route
        All routes.
    limits : ClientLimits
        Limits on clients' connections and requests.
    customers : tuple of Customer
        All customers.
    keys_required : bool
        Whether requests need the key of a customer, unless their route is
        public.
    omissions : tuple of Finding
        What was left out because it could not be decoded.
    """

    version: Version
    routes: tuple[Route, ...]
    limits: ClientLimits
    customers: tuple[Customer, ...] = ()
    keys_required: bool = False
    omissions: tuple[Finding, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HomeServer:
    """A server in the directory, with its home node.

    The home node is the relay node on the host of the server, which runs the
    requests of the server.

    Parameters
    ----------
    id : ServerId
        Id of the server.
    service : ServiceName
        Service that it runs.
    failure_domain : FailureDomain
        Failure domain of its host.
    relay : Address
        Address at which its home node accepts offers of other nodes.
    slots : int
        Number of requests that it runs concurrently.
    incarnation : Incarnation
        Unix time of its start, in milliseconds.
    draining : bool
        Whether it is about to leave the fleet.
    """

    id: ServerId
    service: ServiceName
    failure_domain: FailureDomain
    relay: Address
    slots: int
    incarnation: Incarnation
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HomeCondition:
    """Load and health of a home node and its server at the time of a reply.

    Parameters
    ----------
    waits : tuple of Seconds
        Forecast wait for a slot by rank, from the most urgent one. The last
        one applies to all further ranks.
    free_slots : int
        Number of free slots.
    trust : Trust
        Trust in the server by its recent outcomes.
    service_time : Seconds
        Mean service time of all requests at the server.
    route_time : Seconds
        Mean service time of requests of the same route, 0 when unknown.
    time_to_trial : Seconds
        Time until the next trial of a broken server.
    """

    waits: tuple[Seconds, ...] = (Seconds(0.0),)
    free_slots: int = 0
    trust: Trust = Trust.TRUSTED
    service_time: Seconds = Seconds(0.0)
    route_time: Seconds = Seconds(0.0)
    time_to_trial: Seconds = Seconds(0.0)

    def find_wait(self, rank: int) -> Seconds:
        """Return the forecast wait of a rank."""
        return self.waits[min(rank, len(self.waits) - 1)]


@dataclasses.dataclass(frozen=True, slots=True)
class HomeNotice:
    """Message of a home node to its subscribers when its condition changes.

    Parameters
    ----------
    server : ServerId
        Server of the home node.
    condition : HomeCondition
        Its current condition.
    """

    server: ServerId
    condition: HomeCondition


HeaderFields = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A request forwarded by an entry node to a home node, which may refuse it.

    Parameters
    ----------
    request_id : RequestId
        Id that the client gave to the request.
    service : ServiceName
        Service that runs it.
    route : RouteId
        Route of the request; service times are averaged by route.
    method : str
        HTTP method.
    target : bytes
        Request target as received.
    headers : tuple of tuple of bytes
        Headers to forward, with lower-case names.
    body : bytes
        Complete body.
    rank : int
        Priority, 0 for the most urgent.
    idempotent : bool
        Whether the request may run more than once.
    time_left : Seconds
        Time left until the client or the route gives up.
    max_wait : Seconds
        Longest acceptable wait for a slot.
    caller_service : ServiceName
        Service of the host from which the request comes.
    forced : bool
        Whether the server is to get it although it is not trusted.
    resumed : bool
        Whether it is sent again after the connection of the nodes was lost.
    careful : bool
        Whether it must not be a trial, since it has failed once or cannot be
        retried.
    late : bool
        Whether its answer can no longer meet the latency objective.
    repeated : bool
        Whether it is a retry: another server was sent the request before.
    derived : bool
        Whether it counts as a nested call of a retried request. The sender
        decides it by chance, with the probability that it is one.
    retriable : bool
        Whether another server may get it if this one does not run it, or fails
        it and it is idempotent.
    granted : bool
        Whether the home node of an earlier attempt has paid for this one from
        its part of the retry budget.
    usual_time : Seconds
        Usual service time of the route at all servers, as far as the entry node
        knows it; 0 when it is unknown.
    guessed : bool
        Whether this time is derived from the latency objective, since nothing
        was observed yet.
    expires_at : Seconds
        Clock time of the home node at which the client or the route gives up.
        It also holds for an offer that was long on its way.
    customer : CustomerId
        Customer that holds the key of the request, empty for none.
    age : Seconds
        Time since the first attempt of a client that returns after a refusal.
    """

    request_id: RequestId
    service: ServiceName
    route: RouteId
    method: str
    target: bytes
    headers: HeaderFields
    body: bytes
    rank: int
    idempotent: bool
    time_left: Seconds
    max_wait: Seconds
    caller_service: ServiceName
    forced: bool = False
    resumed: bool = False
    careful: bool = False
    late: bool = False
    repeated: bool = False
    derived: bool = False
    retriable: bool = False
    granted: bool = False
    usual_time: Seconds = Seconds(0.0)
    guessed: bool = False
    expires_at: Seconds = Seconds(math.inf)
    customer: CustomerId = CustomerId("")
    age: Seconds = Seconds(0.0)

    @property
    def may_be_trial(self) -> bool:
        """Whether the request may be the trial of a server not trusted."""
        return self.idempotent and not self.careful


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete response of a server.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of bytes
        Headers to forward, with lower-case names.
    body : bytes
        Complete body.
    condition : HomeCondition
        Condition of the home node after the request.
    retry_granted : bool
        Whether the home node has paid for a retry of the request.
    ran : Seconds
        Time that the server took; 0 from earlier releases.
    """

    status: int
    headers: HeaderFields
    body: bytes
    condition: HomeCondition
    retry_granted: bool = False
    ran: Seconds = Seconds(0.0)

    @property
    def name(self) -> str:
        """Short name of the reply, for logs and metrics."""
        return f"answer-{self.status}"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reply that the request was not run by this server and never will be."""

    reason: RefusalReason
    condition: HomeCondition | None = None
    retry_granted: bool = False

    @property
    def name(self) -> str:
        """Short name of the reply, for logs and metrics."""
        return self.reason.value


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Reply that the request may have run but has no answer.

    Parameters
    ----------
    reason : FailureReason
        What ended the attempt.
    condition : HomeCondition or None
        Condition of the home node afterwards, if it is known.
    retry_granted : bool
        Whether the home node has paid for a retry of the request.
    ran : Seconds
        Time for which the server was at work; 0 when it is unknown.
    """

    reason: FailureReason
    condition: HomeCondition | None = None
    retry_granted: bool = False
    ran: Seconds = Seconds(0.0)

    @property
    def name(self) -> str:
        """Short name of the reply, for logs and metrics."""
        return self.reason.value


Reply = Answer | Refusal | Failure
