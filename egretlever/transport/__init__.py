"""HTTP/1.1 connections, UDP datagrams and injected link faults on curio."""

from egretlever.transport import _headers as headers
from egretlever.transport._backends import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
)
from egretlever.transport._callers import (
    CallerConnection,
    CallerDisconnectedError,
)
from egretlever.transport._datagrams import (
    DatagramEndpoint,
    DatagramFaults,
    InjectedFaults,
    NoFaults,
)
from egretlever.transport._exchanges import (
    BodyRoom,
    BufferLimit,
    ExchangeError,
    ExchangeFailure,
    NoRoomError,
    Reply,
    read_body,
    send_request,
)
from egretlever.transport._faults import (
    NO_FAULTS,
    Direction,
    FaultInjector,
    LinkFaultInjector,
    make_fault_injector,
)
from egretlever.transport._heads import (
    Headers,
    RequestError,
    RequestHead,
    ResponseHead,
    check_raw_head,
    check_request,
    find_content_length,
    is_chunked,
    make_request_error,
    remove_hop_by_hop,
)
from egretlever.transport._pool import ConnectionPool
from egretlever.transport._running_requests import RunningRequests, StopTimeout
from egretlever.transport._services import (
    Answer,
    Handler,
    accept_connections,
    answer_requests,
    serve_requests,
)
from egretlever.transport._sockets import (
    ConnectError,
    ParsingTurns,
    SocketReader,
    adopt_listener,
    is_closed_by_peer,
    measure_unacknowledged,
    open_connection,
    open_listener,
    read_clock,
    set_no_delay,
    shut_down_now,
)

__all__ = [
    "NO_FAULTS",
    "Answer",
    "BackendClosedError",
    "BackendConnection",
    "BackendProtocolError",
    "BodyRoom",
    "BufferLimit",
    "CallerConnection",
    "CallerDisconnectedError",
    "ConnectError",
    "ConnectionPool",
    "DatagramEndpoint",
    "DatagramFaults",
    "Direction",
    "ExchangeError",
    "ExchangeFailure",
    "FaultInjector",
    "Handler",
    "Headers",
    "InjectedFaults",
    "LinkFaultInjector",
    "NoFaults",
    "NoRoomError",
    "ParsingTurns",
    "Reply",
    "RequestError",
    "RequestHead",
    "RunningRequests",
    "StopTimeout",
    "ResponseHead",
    "SocketReader",
    "accept_connections",
    "answer_requests",
    "check_raw_head",
    "check_request",
    "find_content_length",
    "headers",
    "is_chunked",
    "make_fault_injector",
    "is_closed_by_peer",
    "make_request_error",
    "measure_unacknowledged",
    "open_connection",
    "adopt_listener",
    "open_listener",
    "read_body",
    "read_clock",
    "remove_hop_by_hop",
    "send_request",
    "serve_requests",
    "set_no_delay",
    "shut_down_now",
]
