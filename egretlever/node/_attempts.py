"""One attempt of a request on one backend server."""

import dataclasses
from collections.abc import Callable

import curio

from egretlever.core import Attempt, AttemptResult, Seconds, Server, make_log
from egretlever.node._bodies import RequestBody
from egretlever.node._context import RequestContext
from egretlever.node._requests import Request
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    ConnectError,
    ConnectionPool,
    RequestHead,
    ResponseHead,
    find_content_length,
    headers,
    read_clock,
    remove_hop_by_hop,
)

_LOG = make_log("attempt")
HOLD_LIMIT = 65536  # bytes of an answer that are held until it is whole
_ERROR_STATUS = 500
_GONE_CHECK = Seconds(0.25)  # between looks for a caller that went away
# A slow server answers late; a kept connection that stays silent for longer
# than this is given up, and the request is tried on a new one.
_STALE_FACTOR = 4.0  # times the wait after which an attempt is overdue
_STALE_MINIMUM = 0.5  # seconds


@dataclasses.dataclass(slots=True)
class AttemptOutcome:
    """End of an attempt, with the answer if one came.

    Parameters
    ----------
    attempt : Attempt
        What was learned.
    response : ResponseHead or None
        Head of the answer.
    data : bytes
        Part of the body that was received.
    whole : bool
        Whether `data` is the whole body.
    connection : BackendConnection or None
        Connection with the rest of the body; the receiver owns it.
    """

    attempt: Attempt
    response: ResponseHead | None = None
    data: bytes = b""
    whole: bool = False
    connection: BackendConnection | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Times of an attempt.

    Parameters
    ----------
    deadline : Seconds
        Reading of the clock at which the attempt times out.
    overdue_after : Seconds
        Wait after which the attempt is reported as overdue.
    """

    deadline: Seconds
    overdue_after: Seconds


class AttemptRunner:
    """Runs attempts over kept or new connections.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers.
    report_overdue : callable
        Called with an overdue `Attempt` while it still waits.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        report_overdue: Callable[[Attempt], None],
    ) -> None:
        self._pool = pool
        self._report_overdue = report_overdue

    async def run(
        self,
        server: Server,
        request: Request,
        limits: AttemptLimits,
        fresh: bool = False,
    ) -> AttemptOutcome:
        """Run one attempt.

        Parameters
        ----------
        server : Server
            Server to try.
        request : Request
            The request.
        limits : AttemptLimits
            Times of the attempt.
        fresh : bool, default=False
            Use a new connection. Orders always do: a kept connection may have
            gone silent, and its loss would leave the order unknown.

        Returns
        -------
        AttemptOutcome
            What was learned, and the answer.
        """
        began = read_clock()
        fresh = fresh or request.context.order_key is not None
        try:
            connection = await self._pool.acquire(server.address, fresh)
        except ConnectError as error:
            result = (
                AttemptResult.CONNECT_TIMEOUT
                if error.timed_out
                else AttemptResult.REFUSED
            )
            return AttemptOutcome(
                _make_attempt(server, result, began, sent=False, fresh=True)
            )
        exchange = _Exchange(
            connection, server, began, limits, self._report_overdue
        )
        try:
            outcome = await exchange.run(request)
        except BaseException:
            await connection.close()
            raise
        if outcome.connection is None:
            await self._settle(server, connection, outcome)
        return outcome

    async def settle(self, server: Server, outcome: AttemptOutcome) -> None:
        """Keep or close the connection of an answer that was passed on."""
        if outcome.connection is not None:
            await self._settle(server, outcome.connection, outcome)

    async def _settle(
        self,
        server: Server,
        connection: BackendConnection,
        outcome: AttemptOutcome,
    ) -> None:
        if outcome.attempt.result is AttemptResult.STALE_CONNECTION:
            # Connections opened through the same path at the same time are
            # likely to be lost as well.
            await self._pool.discard(server.address)
        if outcome.whole:
            await self._pool.release(server.address, connection)
        else:
            await connection.close()


class _Exchange:
    """Exchange of one request over one connection."""

    def __init__(
        self,
        connection: BackendConnection,
        server: Server,
        began: Seconds,
        limits: AttemptLimits,
        report_overdue: Callable[[Attempt], None],
    ) -> None:
        self._connection = connection
        self._server = server
        self._began = began
        self._limits = limits
        self._report_overdue = report_overdue
        self._fresh = connection.used == 0

    def _end(
        self, result: AttemptResult, response: ResponseHead | None = None
    ) -> Attempt:
        return _make_attempt(
            self._server,
            result,
            self._began,
            sent=self._connection.sent,
            fresh=self._fresh,
            response=response,
        )

    async def run(self, request: Request) -> AttemptOutcome:
        """Send the request and receive the answer, whole if it is small."""
        try:
            response = await self._exchange_heads(request)
            if isinstance(response, Attempt):
                return AttemptOutcome(response)
            return await self._receive_body(request.context, response)
        except curio.TaskTimeout:
            return AttemptOutcome(self._end(AttemptResult.TIMEOUT))
        except BackendClosedError as error:
            _LOG.debug("Server %s: %s.", self._server.id, error)
            # A kept connection that ends before any answer was closed by the
            # server while it was idle.
            stale = not self._fresh and not self._connection.responded
            return AttemptOutcome(
                self._end(
                    AttemptResult.STALE_CONNECTION
                    if stale
                    else AttemptResult.CUT
                )
            )
        except BackendProtocolError as error:
            _LOG.warning("Server %s: %s.", self._server.id, error)
            return AttemptOutcome(self._end(AttemptResult.CUT))

    def _time_left(self) -> float:
        return max(0.0, self._limits.deadline - read_clock())

    async def _exchange_heads(self, request: Request) -> ResponseHead | Attempt:
        body = request.body
        forwarded = _make_forwarded_head(
            request.context, request.head, self._limits
        )
        uploader = None
        async with curio.timeout_after(self._time_left()):
            await self._connection.send_request(
                forwarded, body.start, body.whole
            )
        if not body.whole:
            uploader = await curio.spawn(self._upload, body, daemon=True)
        try:
            return await self._await_response(request)
        finally:
            if uploader is not None:
                await uploader.cancel()

    async def _upload(self, body: RequestBody) -> None:
        while data := await body.read_rest():
            await self._connection.send_data(data, ended=False)
        await self._connection.send_data(b"", ended=True)

    async def _await_response(self, request: Request) -> ResponseHead | Attempt:
        first = min(self._limits.overdue_after, self._time_left())
        try:
            async with curio.timeout_after(first):
                return await self._connection.read_response()
        except curio.TaskTimeout:
            if self._time_left() <= 0:
                raise
        self._report_overdue(self._end(AttemptResult.OVERDUE))
        stale_after = max(
            _STALE_FACTOR * self._limits.overdue_after, _STALE_MINIMUM
        )
        may_be_stale = (
            not self._fresh
            and request.context.idempotent
            and request.body.whole
        )
        while True:
            pause = min(_GONE_CHECK, self._time_left())
            try:
                async with curio.timeout_after(pause):
                    return await self._connection.read_response()
            except curio.TaskTimeout:
                if self._time_left() <= 0:
                    raise
            if request.is_caller_gone():
                return self._end(AttemptResult.CANCELLED)
            waited = read_clock() - self._began
            silent = not self._connection.responded
            if may_be_stale and silent and waited > stale_after:
                return self._end(AttemptResult.STALE_CONNECTION)

    async def _receive_body(
        self, context: RequestContext, response: ResponseHead
    ) -> AttemptOutcome:
        echoed = response.find(headers.REQUEST_ID)
        if echoed is not None and echoed != context.id:
            _LOG.warning(
                "Server %s answered request %s with the answer to %s.",
                self._server.id,
                context.id,
                echoed,
            )
            return AttemptOutcome(self._end(AttemptResult.CUT))
        data, whole = self._connection.take_data()
        size = find_content_length(response.headers)
        hold = size is not None and size <= HOLD_LIMIT
        async with curio.timeout_after(self._time_left()):
            while hold and not whole:
                more, whole = await self._connection.read_data()
                data += more
        if response.find(headers.SHED) is not None:
            result = AttemptResult.SHED
        elif response.status >= _ERROR_STATUS:
            result = AttemptResult.ERROR
        else:
            result = AttemptResult.OK
        return AttemptOutcome(
            self._end(result, response),
            response,
            data,
            whole,
            None if whole else self._connection,
        )


def _make_forwarded_head(
    context: RequestContext, head: RequestHead, limits: AttemptLimits
) -> RequestHead:
    left = max(0, int((limits.deadline - read_clock()) * 1000))
    replaced = (headers.DEADLINE, headers.REQUEST_ID)
    fields = [
        (name, value)
        for name, value in remove_hop_by_hop(head.headers)
        if name not in replaced
    ]
    if head.find(b"content-length") is None and (
        head.find(b"transfer-encoding") is not None
    ):
        fields.append((b"transfer-encoding", b"chunked"))
    fields.append((headers.DEADLINE, b"%d" % left))
    fields.append((headers.REQUEST_ID, context.id.encode()))
    fields.append((b"via", b"1.1 egretlever"))
    return RequestHead(head.method, head.target, fields)


def _make_attempt(
    server: Server,
    result: AttemptResult,
    began: Seconds,
    sent: bool,
    fresh: bool,
    response: ResponseHead | None = None,
) -> Attempt:
    retry_after = response.find(headers.RETRY_AFTER) if response else None
    return Attempt(
        server=server.id,
        incarnation=server.incarnation,
        service=server.service,
        result=result,
        latency=Seconds(read_clock() - began),
        sent=sent,
        fresh_connection=fresh,
        status=response.status if response else 0,
        draining=bool(response and response.find(headers.DRAINING)),
        retry_after=(
            Seconds(float(retry_after))
            if retry_after and retry_after.isdecimal()
            else None
        ),
    )
