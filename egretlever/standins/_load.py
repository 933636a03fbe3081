"""Load generator: replays recorded requests and checks every response."""

import random
import time
from collections.abc import Sequence

import curio

from egretlever.core import Address, Outcome, Seconds
from egretlever.schema import standins_pb2
from egretlever.standins._answers import TOKEN_HEADER, is_expected_body
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    ConnectError,
    ConnectionPool,
    RequestHead,
    ResponseHead,
    headers,
    read_clock,
)

_CONNECT_TIMEOUT = Seconds(1.0)
_IDLE_TIMEOUT = Seconds(5.0)
_MAX_IDLE_CONNECTIONS = 256
_DEADLINE_GRACE_S = 2.0  # time to wait for a response after the deadline
_RETRY_DELAY_S = 0.1  # delay before an order is retried
_AVOIDANCE_TIME_S = 5.0  # time without requests to a node that shuts down


class LoadGenerator:
    """Sends requests through nodes as callers would.

    An order is retried under the same key and through a node drawn at random
    when the response says that the order was not run or when there was no
    response with an outcome. It is not retried when the response says that
    its outcome is unknown. A node that responds with ``Connection: close`` is
    shutting down and gets no requests for a while.

    Parameters
    ----------
    nodes : sequence of Address
        Traffic addresses of the nodes.
    randomness : random.Random
        Chooses the nodes and the prefix of the order keys.
    order_attempts : int
        Maximum number of attempts of an order.
    max_in_flight : int
        Maximum number of requests in flight; further ones wait.

    Attributes
    ----------
    results : list of LoadResult
        One for each attempt, in the order in which the attempts end.
    """

    def __init__(
        self,
        nodes: Sequence[Address],
        randomness: random.Random,
        order_attempts: int,
        max_in_flight: int,
    ) -> None:
        self._nodes = list(nodes)
        self._randomness = randomness
        self._order_attempts = order_attempts
        self._in_flight = curio.Semaphore(max_in_flight)
        self._pool = ConnectionPool(
            _CONNECT_TIMEOUT, _IDLE_TIMEOUT, _MAX_IDLE_CONNECTIONS
        )
        self._stopped = curio.Event()
        self._avoided_until: dict[Address, float] = {}
        self._run_id = f"{randomness.getrandbits(64):016x}"
        self.results: list[standins_pb2.LoadResult] = []

    async def play(self, requests: Sequence[standins_pb2.LoadRequest]) -> None:
        """Send requests at their recorded times and wait for all of them."""
        start = read_clock()
        async with curio.TaskGroup() as tasks:
            for number, request in enumerate(requests):
                wait = start + request.at_s - read_clock()
                if wait > 0:
                    await curio.ignore_after(wait, self._stopped.wait)
                if self._stopped.is_set():
                    break
                await tasks.spawn(self._send_with_retries, number, request)
        await self._pool.close()

    async def stop(self) -> None:
        """Send no further requests; `play` returns after those in flight."""
        await self._stopped.set()

    async def _send_with_retries(
        self, number: int, request: standins_pb2.LoadRequest
    ) -> None:
        started_at = read_clock()
        attempts = self._order_attempts if request.order else 1
        unknown_outcomes = 0
        async with self._in_flight:
            for attempt in range(1, attempts + 1):
                # Attempts that were not run don't count in the attempt header.
                head = _make_head(
                    request, self._make_token(number), unknown_outcomes + 1
                )
                result = await self._send_attempt(
                    number, request, attempt, started_at, head
                )
                self.results.append(result)
                unknown_outcomes += result.outcome == ""
                may_retry = result.outcome in ("", Outcome.NOT_RUN.value)
                if result.whole or not may_retry:
                    return
                await curio.sleep(_RETRY_DELAY_S)

    def _make_token(self, number: int) -> str:
        return f"{self._run_id}-{number}"

    async def _send_attempt(
        self,
        number: int,
        request: standins_pb2.LoadRequest,
        attempt: int,
        started_at: Seconds,
        head: RequestHead,
    ) -> standins_pb2.LoadResult:
        token = self._make_token(number)
        result = standins_pb2.LoadResult(
            number=number,
            rank=request.rank,
            at_s=request.at_s,
            worth=request.worth,
            attempt=attempt,
            order_key=token if request.order else "",
        )
        node = self._choose_node()
        result.node = str(node)
        result.began_unix_s = time.time()
        body = b"x" * request.body_bytes
        timeout = (
            started_at + request.deadline_s + _DEADLINE_GRACE_S - read_clock()
        )
        try:
            async with curio.timeout_after(max(timeout, _DEADLINE_GRACE_S)):
                answer, content = await self._exchange(node, head, body)
        except (
            curio.TaskTimeout,
            BackendClosedError,
            BackendProtocolError,
            ConnectError,
        ) as error:
            result.failure = _classify_failure(error)
            result.latency_s = read_clock() - started_at
            return result
        result.latency_s = read_clock() - started_at
        _fill_result(result, request, answer, content, token)
        return result

    def _choose_node(self) -> Address:
        now = read_clock()
        candidates = [
            node
            for node in self._nodes
            if self._avoided_until.get(node, 0.0) <= now
        ]
        return self._randomness.choice(candidates or self._nodes)

    async def _exchange(
        self, node: Address, head: RequestHead, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        connection = await self._pool.acquire(node)
        try:
            await connection.send_request(head, body)
            answer = await connection.read_response()
            content = await _read_content(connection)
        except BackendClosedError as error:
            await connection.close()
            if connection.responded:
                raise _TruncatedError(str(error)) from None
            raise
        except BaseException:
            await connection.close()
            raise
        if answer.find(b"connection") == "close":
            self._avoided_until[node] = read_clock() + _AVOIDANCE_TIME_S
        await self._pool.release(node, connection)
        return answer, content


class _TruncatedError(BackendClosedError):
    """The connection was closed before the response was complete."""


def _classify_failure(error: BaseException) -> str:
    if isinstance(error, ConnectError):
        return "refused"
    if isinstance(error, _TruncatedError):
        return "cut"
    if isinstance(error, BackendClosedError):
        return "closed"
    return "timeout" if isinstance(error, curio.TaskTimeout) else "malformed"


async def _read_content(connection: BackendConnection) -> bytes:
    parts = []
    ended = False
    while not ended:
        data, ended = await connection.read_data()
        parts.append(data)
    return b"".join(parts)


def _make_head(
    request: standins_pb2.LoadRequest, token: str, attempt: int
) -> RequestHead:
    fields = [
        (b"host", b"egretlever"),
        (b"content-length", b"%d" % request.body_bytes),
        (TOKEN_HEADER, token.encode()),
        (b"x-answer-bytes", b"%d" % request.answer_bytes),
        (headers.CALLER, request.caller.encode()),
        (headers.DEADLINE, b"%d" % int(request.deadline_s * 1000)),
    ]
    if request.rank:
        fields.append((headers.RANK, request.rank.encode()))
    if request.order:
        fields.append((headers.ORDER_KEY, token.encode()))
        fields.append((headers.ATTEMPT, b"%d" % attempt))
    return RequestHead(request.method, request.path, fields)


def _fill_result(
    result: standins_pb2.LoadResult,
    request: standins_pb2.LoadRequest,
    answer: ResponseHead,
    content: bytes,
    token: str,
) -> None:
    result.status = answer.status
    result.outcome = answer.find(headers.OUTCOME) or ""
    result.reason = answer.find(headers.REASON) or ""
    result.request_id = answer.find(headers.REQUEST_ID) or ""
    result.whole = answer.status == 200 and is_expected_body(
        token, request.answer_bytes, content
    )
    if result.whole:
        result.server = content.split(b" ", 2)[1].decode()
    result.on_time = result.whole and result.latency_s <= request.deadline_s


def make_load_generator(
    nodes: Sequence[Address],
    seed: int,
    order_attempts: int = 3,
    max_in_flight: int = 512,
) -> LoadGenerator:
    """Make a load generator.

    Parameters
    ----------
    nodes : sequence of Address
        Traffic addresses of the nodes.
    seed : int
        Seed of the choice of nodes and of the order keys.
    order_attempts : int, default=3
        Maximum number of attempts of an order.
    max_in_flight : int, default=512
        Maximum number of requests in flight.

    Returns
    -------
    LoadGenerator
        A generator that replays one mix.
    """
    return LoadGenerator(
        nodes, random.Random(seed), order_attempts, max_in_flight
    )
