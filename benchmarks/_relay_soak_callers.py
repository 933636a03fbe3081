"""Callers of a relay soak run, which use connections until they are gone."""

import collections
import dataclasses
import enum
import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio import socket

from benchmarks._relay_soak_configurations import ConfigurationHistory
from benchmarks._relay_soak_records import Records, SentRequest
from egretlever.core import Address, RequestId, Seconds
from egretlever.platform import headers
from egretlever.transport import read_clock

LARGE_PATH = "/large/"
LONG_PATH = "/long/"
TAIL_PATH = "/tail/"
LONG_ORDERS_PATH = "/long-orders/"
# Fills the bodies of large answers.
PADDING = b"."
_HOST = b"shop.example"
_MEAN_CALL_INTERVAL = 0.08  # seconds between two requests of a caller
_TIME_LIMIT = Seconds(3.0)
_LONG_TIME_LIMIT = Seconds(12.0)
_TAIL_TIME_LIMIT = Seconds(6.0)
_NON_IDEMPOTENT_SHARE = 0.6
_CONNECT_TIMEOUT = Seconds(1.0)
_ANSWER_TIMEOUT = 20.0  # seconds; far above the time limit of every request
_READ_SIZE = 65536
_SLOW_READ_SIZE = 16384
_SLOW_RECEIVE_BUFFER = 16384  # bytes
_SLOW_RATES = (0.2e6, 1.5e6)  # bytes per second
_LARGE_SIZES = (100_000, 900_000)  # bytes
_WORK_TIMES = (0.3, 4.0)  # seconds
# Most requests of a route are short, and a few take up to fifty times as long.
_USUAL_WORK_TIMES = (0.05, 0.15)  # seconds
_TAIL_WORK_TIMES = (0.5, 4.9)  # seconds
_TAIL_SHARE = 0.3
_MORE_REQUESTS_INTERVAL = 0.3  # seconds
_MORE_REQUESTS = 4
_PIPELINED_REQUESTS = 4
_ROUNDS_IN_ONE_MANNER = 40
_MAX_ROUNDS = 100_000  # more than a run has


@dataclasses.dataclass(frozen=True, slots=True)
class CallerContext:
    """What the callers of one host share.

    Parameters
    ----------
    host : str
        Name of the host.
    clients : Address
        Address at which its node accepts connections of clients.
    records : Records
        Records to which requests are added.
    configurations : ConfigurationHistory
        Configurations, whose routes are called.
    read_start : callable
        Returns the number of the start of the node's process.
    """

    host: str
    clients: Address
    records: Records
    configurations: ConfigurationHistory
    read_start: Callable[[], int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A request that was sent, and the parser of its answer."""

    parser: h11.Connection
    sent: SentRequest
    size: int | None


class PipelineConnection:
    """Connection on which requests may be sent before earlier answers.

    Parameters
    ----------
    context : CallerContext
        Host of the caller.
    sock : curio.io.Socket
        Connected socket; the connection owns it.
    rate : float, optional
        Bytes per second that are read; without one all that has come.

    Attributes
    ----------
    announced_close : bool
        Whether an answer said that the connection is closed after it.
    """

    def __init__(
        self, context: CallerContext, sock: Any, rate: float | None = None
    ) -> None:
        self._context = context
        self._sock = sock
        self._rate = rate
        self._pending: collections.deque[_Pending] = collections.deque()
        self._received = b""
        self._used = False
        self.announced_close = False

    async def send(
        self,
        request: RequestId,
        path: str,
        method: str = "GET",
        limit: Seconds = _TIME_LIMIT,
        size: int | None = None,
    ) -> None:
        """Send a request without waiting for earlier answers.

        Parameters
        ----------
        request : RequestId
            Id of the request.
        path, method : str
            Path and method.
        limit : Seconds
            Time limit that the request names.
        size : int, optional
            Expected length of the body of a success.
        """
        parser = h11.Connection(h11.CLIENT)
        fields = [
            (b"host", _HOST),
            (headers.REQUEST_ID, request.encode()),
            (headers.DEADLINE, b"%d" % (limit * 1000)),
            (b"content-length", b"0"),
        ]
        head = parser.send(
            h11.Request(method=method, target=path, headers=fields)
        )
        end = parser.send(h11.EndOfMessage())
        sent = SentRequest(
            request,
            self._context.host,
            method == "GET",
            self._used,
            read_clock(),
            read_clock(),
            path=path,
            behind=bool(self._pending) or self.announced_close,
            limit=limit,
            start=self._context.read_start(),
        )
        self._used = True
        self._context.records.started.add(request)
        self._pending.append(_Pending(parser, sent, size))
        await self._sock.sendall((head or b"") + (end or b""))

    async def read_answers(self) -> bool:
        """Read the answers to all requests sent so far.

        Returns
        -------
        bool
            Whether the connection is still open.
        """
        try:
            async with curio.timeout_after(_ANSWER_TIMEOUT):
                while self._pending:
                    await self._read_answer()
            return True
        except (OSError, h11.RemoteProtocolError, curio.TaskTimeout):
            return False

    async def close(self) -> None:
        """Close; requests without an answer are recorded so."""
        while self._pending:
            self._record(self._pending.popleft().sent)
        await self._sock.close()

    async def _read_answer(self) -> None:
        pending = self._pending[0]
        parser = pending.parser
        parser.receive_data(self._received or await self._receive())
        status, signed, body = 0, False, bytearray()
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                parser.receive_data(await self._receive())
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.Response):
                fields = dict(event.headers)
                status = event.status_code
                signed = headers.SIGNATURE in fields
                if fields.get(b"connection", b"").lower() == b"close":
                    self.announced_close = True
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed between answers")
        self._received = parser.trailing_data[0]
        self._pending.popleft()
        text = bytes(body).rstrip(PADDING)
        if status == 200 and pending.size not in (None, len(body)):
            text = b"%d of %d bytes" % (len(body), pending.size or 0)
        self._record(pending.sent, status=status, body=text, signed=signed)

    async def _receive(self) -> bytes:
        if self._rate is None:
            return bytes(await self._sock.recv(_READ_SIZE))
        data = bytes(await self._sock.recv(_SLOW_READ_SIZE))
        await curio.sleep(len(data) / self._rate)
        return data

    def _record(self, sent: SentRequest, **outcome: Any) -> None:
        same = self._context.read_start() == sent.start
        self._context.records.sent.append(
            dataclasses.replace(
                sent,
                ended=read_clock(),
                start=sent.start if same else 0,
                **outcome,
            )
        )


class _Manner(enum.Enum):
    """How a caller uses a connection."""

    NEW_FOR_EACH_REQUEST = "new-for-each-request"
    PIPELINED = "pipelined"
    SLOW_READER = "slow-reader"
    LONG_WORK = "long-work"


class ConnectionUser:
    """Caller that uses one connection after another.

    Parameters
    ----------
    context : CallerContext
        Host of the caller.
    name : str
        Name of the caller, unique on its host.
    rng : random.Random
        Source of the manners, paths and intervals.
    """

    def __init__(
        self, context: CallerContext, name: str, rng: random.Random
    ) -> None:
        self._context = context
        self._name = name
        self._rng = rng
        self._requests = 0
        self._sender: curio.Task | None = None

    async def run_one_at_a_time(self) -> None:
        """Send one request at a time, until the close is announced."""
        await self._use_connections(self._send_small, obeys_close=True)

    async def run_in_changing_manners(self) -> None:
        """Use connections until they end, even if their close is announced."""
        while True:
            await self._use_connection(self._rng.choice(list(_Manner)))
            await self._pause()

    async def run_changing_routes(self) -> None:
        """Call routes that the configurations change."""
        await self._use_connections(self._call_changing_route)

    async def run_long_tails(self) -> None:
        """Call a route of which some requests take far longer than usual."""
        await self._use_connections(self._send_tail, obeys_close=True)

    async def _use_connections(
        self,
        send: Callable[[PipelineConnection], Awaitable[None]],
        obeys_close: bool = False,
    ) -> None:
        """Use one connection after another for requests of one kind."""
        while True:
            sock = await self._open_socket()
            if sock is not None:
                connection = PipelineConnection(self._context, sock)
                await self._run_rounds(
                    connection, send, _MAX_ROUNDS, obeys_close
                )
            await self._pause()

    async def _use_connection(self, manner: _Manner) -> None:
        is_slow = manner is _Manner.SLOW_READER
        sock = await self._open_socket(
            _SLOW_RECEIVE_BUFFER if is_slow else None
        )
        if sock is None:
            return
        rate = self._rng.uniform(*_SLOW_RATES) if is_slow else None
        connection = PipelineConnection(self._context, sock, rate)
        if manner is _Manner.NEW_FOR_EACH_REQUEST:
            await self._run_rounds(connection, self._send_small, 1)
        elif manner is _Manner.PIPELINED:
            await self._run_rounds(connection, self._send_pipelined)
        elif manner is _Manner.LONG_WORK:
            await self._run_rounds(connection, self._send_long)
        else:
            await self._run_rounds(connection, self._send_large)

    async def _run_rounds(
        self,
        connection: PipelineConnection,
        send: Callable[[PipelineConnection], Awaitable[None]],
        rounds: int = _ROUNDS_IN_ONE_MANNER,
        obeys_close: bool = False,
    ) -> None:
        try:
            for _ in range(rounds):
                await send(connection)
                if not await connection.read_answers():
                    return
                if obeys_close and connection.announced_close:
                    return
                await self._pause()
        except OSError:
            # The node closed the connection, which is recorded below.
            return
        finally:
            await self._stop_sender()
            await connection.close()

    async def _send_small(self, connection: PipelineConnection) -> None:
        if self._rng.random() > _NON_IDEMPOTENT_SHARE:
            await connection.send(self._make_id(), "/reads/1")
        else:
            await connection.send(self._make_id(), "/orders/1", "POST")

    async def _send_pipelined(self, connection: PipelineConnection) -> None:
        for _ in range(self._rng.randint(2, _PIPELINED_REQUESTS)):
            await connection.send(self._make_id(), "/reads/1")

    async def _send_long(self, connection: PipelineConnection) -> None:
        work = self._rng.uniform(*_WORK_TIMES)
        path, method = self._rng.choice(
            [(LONG_PATH, "GET"), (LONG_ORDERS_PATH, "POST")]
        )
        await connection.send(
            self._make_id(), f"{path}{work:.2f}", method, _LONG_TIME_LIMIT
        )

    async def _send_tail(self, connection: PipelineConnection) -> None:
        for _ in range(self._rng.randint(1, _PIPELINED_REQUESTS)):
            is_long = self._rng.random() < _TAIL_SHARE
            times = _TAIL_WORK_TIMES if is_long else _USUAL_WORK_TIMES
            await connection.send(
                self._make_id(),
                f"{TAIL_PATH}{self._rng.uniform(*times):.2f}",
                limit=_TAIL_TIME_LIMIT,
            )

    async def _send_large(self, connection: PipelineConnection) -> None:
        """Send a request with a large answer, and others while it is read."""
        size = self._rng.randint(*_LARGE_SIZES)
        await connection.send(
            self._make_id(),
            f"{LARGE_PATH}{size}",
            limit=_LONG_TIME_LIMIT,
            size=size,
        )
        await self._stop_sender()
        self._sender = await curio.spawn(
            self._send_more, connection, daemon=True
        )

    async def _stop_sender(self) -> None:
        if self._sender is not None:
            await self._sender.cancel()
            self._sender = None

    async def _send_more(self, connection: PipelineConnection) -> None:
        try:
            for _ in range(_MORE_REQUESTS):
                await curio.sleep(_MORE_REQUESTS_INTERVAL)
                await connection.send(self._make_id(), "/reads/1")
        except OSError:
            # The reader records the end of the connection.
            return

    async def _call_changing_route(
        self, connection: PipelineConnection
    ) -> None:
        paths = self._context.configurations.list_recent_paths()
        await connection.send(self._make_id(), self._rng.choice(paths))

    def _make_id(self) -> RequestId:
        self._requests += 1
        return RequestId(f"{self._context.host}-{self._name}-{self._requests}")

    async def _pause(self) -> None:
        await curio.sleep(self._rng.expovariate(1 / _MEAN_CALL_INTERVAL))

    async def _open_socket(self, receive_buffer: int | None = None) -> Any:
        """Connect to the node; None when that fails."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        clients = self._context.clients
        try:
            async with curio.timeout_after(_CONNECT_TIMEOUT):
                await sock.connect((clients.ip, clients.port))
        except (OSError, curio.TaskTimeout):
            await sock.close()
            return None
        return sock
