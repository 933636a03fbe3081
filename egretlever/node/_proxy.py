"""Serves callers' connections: reads requests and sends the responses."""

import dataclasses
import random

import curio

from egretlever.catalogue import CatalogueState
from egretlever.core import (
    AttemptResult,
    Outcome,
    RequestId,
    Seconds,
    make_log,
)
from egretlever.memory import ByteAccount, ProcessLimits, make_byte_account
from egretlever.node import _metrics as metrics
from egretlever.node._bodies import REQUEST_BUFFER_LIMIT, RequestBody
from egretlever.node._context import RequestContext, RouteChoice, make_context
from egretlever.node._ended_attempt import EndedAttempt
from egretlever.node._engine import Engine
from egretlever.node._held_callers import HeldCaller
from egretlever.node._orders import Replay
from egretlever.node._requests import Request
from egretlever.node._responses import (
    LocalResponse,
    encode_local_response,
    mark_outcome,
)
from egretlever.node._slow_readers import SlowReader
from egretlever.transport import (
    BackendClosedError,
    BackendProtocolError,
    CallerConnection,
    CallerDisconnectedError,
    RequestError,
    RequestHead,
    ResponseHead,
    RunningRequests,
    StopTimeout,
    find_content_length,
    read_clock,
)

_LOG = make_log("proxy")
# Time in which the process has dropped callers that are silent.
_RETRY_AFTER = Seconds(1.0)
_STREAM_TIMEOUT = Seconds(30.0)  # between two parts of a response


class TruncatedResponseError(Exception):
    """A server's response was truncated after its head had been forwarded."""


class Proxy:
    """Serves callers' connections.

    Parameters
    ----------
    catalogue : CatalogueState
        Matches requests to routes and services.
    engine : Engine
        Runs attempts until a request has an outcome.
    randomness : random.Random
        Makes request ids differ between runs of a node.
    account : ByteAccount, optional
        Grants the bytes that are held for callers.
    """

    def __init__(
        self,
        catalogue: CatalogueState,
        engine: Engine,
        randomness: random.Random,
        account: ByteAccount | None = None,
    ) -> None:
        self._account = account or make_byte_account(ProcessLimits())
        self._catalogue = catalogue
        self._engine = engine
        self._id_prefix = f"{randomness.getrandbits(48):012x}"
        self._request_number = 0
        self._in_flight = 0
        self._running = RunningRequests()
        self._connections = 0
        self._idle: set[curio.Task] = set()
        self._draining = False
        self._stopping = False

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return self._in_flight

    @property
    def connections(self) -> int:
        """Number of callers' open connections."""
        return self._connections

    def start_draining(self) -> None:
        """Announce in each response that its connection will be closed."""
        self._draining = True

    async def stop(self) -> None:
        """Close idle connections, and each other one after its response."""
        self._draining = self._stopping = True
        for task in list(self._idle):
            await task.cancel(blocking=False)

    async def end_requests(self) -> None:
        """Answer the requests that have no response yet."""
        await self._running.end_all()

    async def serve(self, connection: CallerConnection, peer: str) -> None:
        """Serve a caller's connection until it ends."""
        caller = HeldCaller(connection, self._account)
        if not caller.admit():
            return
        try:
            await self._serve(connection, caller, peer)
        finally:
            caller.close()

    async def _serve(
        self, connection: CallerConnection, caller: HeldCaller, peer: str
    ) -> None:
        self._connections += 1
        try:
            refusal = await self._serve_requests(connection, caller, peer)
            if refusal is not None:
                metrics.BAD_REQUESTS.labels(refusal.status).inc()
                await self._refuse_bad_request(connection, refusal)
        except TruncatedResponseError:
            await connection.abort()
        except CallerDisconnectedError:
            metrics.LOST_CALLERS.inc()
        finally:
            self._connections -= 1

    async def _serve_requests(
        self, connection: CallerConnection, caller: HeldCaller, peer: str
    ) -> RequestError | None:
        """Serve requests; return the error of one that can't be served."""
        task = await curio.current_task()
        try:
            while head := await self._read_next(connection, task):
                self._in_flight += 1
                try:
                    await self._serve_request(connection, caller, head, peer)
                finally:
                    caller.free_body()
                    self._in_flight -= 1
                if not connection.prepare_next():
                    break
            await connection.close_gracefully()
        except RequestError as error:
            # The frames of its traceback hold the received part of the body.
            return error.with_traceback(None)
        return None

    async def _read_next(
        self, connection: CallerConnection, task: curio.Task
    ) -> RequestHead | None:
        if self._stopping and not connection.has_input():
            return None
        self._idle.add(task)
        try:
            await connection.wait_for_request()
        except curio.CancelledError:
            if not self._stopping:
                raise
            if not connection.has_input():
                return None
        finally:
            self._idle.discard(task)
        return await connection.read_request()

    def _make_id(self) -> RequestId:
        self._request_number += 1
        return RequestId(f"{self._id_prefix}-{self._request_number}")

    async def _refuse_bad_request(
        self, connection: CallerConnection, error: RequestError
    ) -> None:
        if connection.response_started:
            return
        retry_after = _RETRY_AFTER if error.status == 503 else None
        response = LocalResponse(
            error.status, Outcome.NOT_RUN, str(error), retry_after
        )
        head, body = encode_local_response(response, self._make_id())
        head.headers.append((b"connection", b"close"))
        if connection.method == "HEAD":
            body = b""
        try:
            await connection.send_response(head, body)
            await connection.close_gracefully()
        except CallerDisconnectedError:
            return

    async def _serve_request(
        self,
        connection: CallerConnection,
        caller: HeldCaller,
        head: RequestHead,
        peer: str,
    ) -> None:
        now = read_clock()
        request_id = self._make_id()
        choice = self._match_route(head)
        if isinstance(choice, LocalResponse):
            await self._send_local_response(
                connection, head, choice, request_id
            )
            return
        context = make_context(head, choice, request_id, peer, now)
        if self._catalogue.rank(context.rank) is None:
            # Metrics are labelled by rank, so unknown ranks would make the
            # number of time series unbounded.
            raise RequestError(400, "egretlever-rank names no known rank")
        length = find_content_length(head.headers)
        short = length is not None and length <= REQUEST_BUFFER_LIMIT
        body = RequestBody(
            connection, lambda size: caller.hold_body(size, short)
        )
        if not connection.expects_continue:
            await body.fill()
        request = Request(context, head, body, connection.is_disconnected)
        result = await self._run(request)
        outcome = Outcome.COMPLETED
        if isinstance(result, LocalResponse):
            outcome = result.outcome
            await self._send_local_response(
                connection, head, result, request_id
            )
        elif isinstance(result, Replay):
            replayed = mark_outcome(result.head, outcome, request_id)
            await self._send(connection, replayed, result.body)
        else:
            await self._forward(connection, caller, request, result)
        self._count(context, outcome)

    async def _run(
        self, request: Request
    ) -> EndedAttempt | LocalResponse | Replay:
        """Run a request, until a planned stop ends it at the latest."""
        running = await self._running.enter()
        try:
            return await self._engine.run(request)
        except StopTimeout:
            outcome = request.combine()
            status = 503 if outcome is Outcome.NOT_RUN else 504
            return LocalResponse(status, outcome, "the node stops")
        finally:
            await self._running.leave(running)

    def _count(self, context: RequestContext, outcome: Outcome) -> None:
        service = context.choice.service
        metrics.find_child(
            metrics.REQUESTS, service, context.rank, outcome.value
        ).inc()
        metrics.find_child(metrics.REQUEST_SECONDS, service).observe(
            read_clock() - context.received_at
        )

    def _match_route(self, head: RequestHead) -> RouteChoice | LocalResponse:
        if self._catalogue.head is None:
            return LocalResponse(
                503, Outcome.NOT_RUN, "no catalogue yet", Seconds(1.0)
            )
        host = head.find(b"host") or ""
        route = self._catalogue.match(head.method, host, head.path)
        if route is None:
            return LocalResponse(404, Outcome.NOT_RUN, "no route matches")
        resolved = self._catalogue.resolve_route(route)
        if resolved is None:
            return LocalResponse(
                404, Outcome.NOT_RUN, "the route has no service"
            )
        return RouteChoice(
            route.id,
            route.service,
            resolved.rank.name,
            route.order,
            resolved.timeout,
            resolved.worth,
        )

    async def _send_local_response(
        self,
        connection: CallerConnection,
        request: RequestHead,
        response: LocalResponse,
        request_id: RequestId,
    ) -> None:
        if response.outcome is Outcome.NOT_RUN:
            metrics.REFUSALS.labels(response.reason).inc()
        head, body = encode_local_response(response, request_id)
        connection.skip_body()
        if request.method == "HEAD":
            body = b""
        await self._send(connection, head, body)

    async def _send(
        self,
        connection: CallerConnection,
        head: ResponseHead,
        data: bytes,
        ended: bool = True,
    ) -> None:
        if self._draining:
            connection.announce_close()
        await connection.send_response(head, data, ended)

    async def _forward(
        self,
        connection: CallerConnection,
        caller: HeldCaller,
        request: Request,
        ended: EndedAttempt,
    ) -> None:
        result = ended.outcome
        assert result.response is not None
        head = mark_outcome(
            result.response, Outcome.COMPLETED, request.context.id
        )
        try:
            await self._send(connection, head, result.data, result.complete)
            if not result.complete:
                await self._stream(connection, caller, request, ended)
        finally:
            await self._engine.finish(request, ended)

    async def _stream(
        self,
        connection: CallerConnection,
        caller: HeldCaller,
        request: Request,
        ended: EndedAttempt,
    ) -> None:
        result = ended.outcome
        source = result.connection
        assert source is not None
        reader = SlowReader(connection, caller)
        try:
            while not result.complete:
                async with curio.timeout_after(_STREAM_TIMEOUT):
                    data, result.complete = await source.read_data()
                unsent = connection.start_data(data, result.complete)
                if unsent:
                    await reader.start(unsent, result.complete)
                    await reader.receive(source, _STREAM_TIMEOUT)
                    result.complete = True
                    # The server is free before the caller has read everything.
                    await self._engine.finish(request, ended)
                    await reader.finish()
        except (BackendClosedError, BackendProtocolError, curio.TaskTimeout):
            metrics.CUT_ANSWERS.inc()
            result.attempt = dataclasses.replace(
                result.attempt, result=AttemptResult.CUT
            )
            raise TruncatedResponseError from None
        finally:
            await reader.stop()
