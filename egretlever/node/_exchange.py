"""Sends one request to one backend server and receives the response."""

import dataclasses
import math
import re
from collections.abc import Callable

import curio

from egretlever.core import Attempt, AttemptResult, Seconds, Server, make_log
from egretlever.node._bodies import RequestBody
from egretlever.node._requests import Request
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    CallerDisconnectedError,
    RequestError,
    RequestHead,
    ResponseHead,
    find_content_length,
    headers,
    read_clock,
    remove_hop_by_hop,
)

_LOG = make_log("attempt")
# Bytes; responses up to this size are buffered until they are complete.
RESPONSE_BUFFER_LIMIT = 65536
_MIN_ERROR_STATUS = 500
# Time between checks whether the caller has disconnected.
_DISCONNECT_CHECK_INTERVAL = Seconds(0.25)
# A pooled connection without a response after this time is probably dead rather
# than its server slow, so the request is sent again on a new connection.
_STALE_FACTOR = 4.0  # times the time after which an attempt is overdue
_MIN_STALE_TIME = 0.5  # seconds
_MAX_RETRY_AFTER = 3600  # seconds, as the largest timeout


@dataclasses.dataclass(slots=True)
class AttemptOutcome:
    """Result of an attempt, with the response if one was received.

    Parameters
    ----------
    attempt : Attempt
        Record of the attempt for the decision parts.
    response : ResponseHead or None
        Status and headers of the response.
    data : bytes
        Part of the body that was received.
    complete : bool
        Whether `data` is the complete body.
    connection : BackendConnection or None
        Connection of the attempt, until it is pooled or closed.
    upload_task : curio.Task or None
        Task that still sends the request body.
    buffered : bool
        Whether the response was complete before any of it was forwarded.
    """

    attempt: Attempt
    response: ResponseHead | None = None
    data: bytes = b""
    complete: bool = False
    connection: BackendConnection | None = None
    upload_task: curio.Task | None = None
    buffered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLimits:
    """Time limits of an attempt.

    Parameters
    ----------
    deadline : Seconds
        Local time at which the attempt times out.
    overdue_after : Seconds
        Time after its start at which the attempt is reported as overdue.
    """

    deadline: Seconds
    overdue_after: Seconds


class Exchange:
    """Exchange of a request and its response over one connection.

    Parameters
    ----------
    connection : BackendConnection
        Connection to the server; the exchange owns it until it has ended.
    server : Server
        Server at the other end.
    request : Request
        The request.
    started_at : Seconds
        Local time at which the attempt started.
    limits : AttemptLimits
        Time limits of the attempt.
    report_overdue : callable
        Called with an overdue `Attempt` that still waits for a response.
    """

    def __init__(
        self,
        connection: BackendConnection,
        server: Server,
        request: Request,
        started_at: Seconds,
        limits: AttemptLimits,
        report_overdue: Callable[[Attempt], None],
    ) -> None:
        self._connection = connection
        self._server = server
        self._request = request
        self._started_at = started_at
        self._limits = limits
        self._report_overdue = report_overdue
        self._fresh = connection.used == 0
        self._send_started = False
        self._overdue = False
        self._upload_task: curio.Task | None = None
        self._returns_when_silent = True
        self._stale_after = math.inf
        if not self._fresh and request.allows_parallel_attempts():
            self._stale_after = max(
                _STALE_FACTOR * limits.overdue_after, _MIN_STALE_TIME
            )

    def end(
        self, result: AttemptResult, response: ResponseHead | None = None
    ) -> AttemptOutcome:
        """Return the outcome of an attempt that ends now."""
        attempt = make_attempt(
            self._server,
            result,
            self._started_at,
            sent=self._connection.sent,
            fresh=self._fresh,
            response=response,
        )
        return AttemptOutcome(
            attempt,
            response,
            connection=self._connection,
            upload_task=self._upload_task,
        )

    @property
    def waited(self) -> float:
        """Seconds since the attempt started."""
        return read_clock() - self._started_at

    @property
    def background_deadline(self) -> float:
        """Local time at which an attempt in the background is cancelled."""
        return self._started_at + _STALE_FACTOR * self._limits.overdue_after

    @property
    def is_silent(self) -> bool:
        """Whether a pooled connection has not responded for too long."""
        return (
            self.waited >= self._stale_after and not self._connection.responded
        )

    def keep_waiting(self) -> None:
        """Wait until the deadline even if the connection stays silent."""
        self._returns_when_silent = False

    async def run(self, until: float = math.inf) -> AttemptOutcome | None:
        """Send the request and receive the response, buffered if it is small.

        Parameters
        ----------
        until : float, optional
            Local time at which to return without a response.

        Returns
        -------
        AttemptOutcome or None
            None when there is no response by then, or when a pooled connection
            is silent. Call again to go on waiting.
        """
        try:
            if not self._send_started:
                self._send_started = True
                await self._send_request()
            response = await self._await_response(until)
            if not isinstance(response, ResponseHead):
                return response
            return await self._receive_body(response)
        except curio.TaskTimeout:
            return self.end(AttemptResult.TIMEOUT)
        except BackendClosedError as error:
            _LOG.debug(
                "Connection to server %s closed: %s.", self._server.id, error
            )
            return self.end(self._classify_close())
        except BackendProtocolError as error:
            _LOG.warning(
                "Protocol error of server %s: %s.", self._server.id, error
            )
            return self.end(AttemptResult.CUT)

    def _classify_close(self) -> AttemptResult:
        if self._request.upload_error is not None:
            return AttemptResult.CANCELLED
        # The server closed the pooled connection while it was idle.
        if not self._fresh and not self._connection.responded:
            return AttemptResult.STALE_CONNECTION
        return AttemptResult.CUT

    def _time_left(self) -> float:
        return max(0.0, self._limits.deadline - read_clock())

    async def _send_request(self) -> None:
        body = self._request.body
        forwarded = _make_forwarded_head(
            self._request, self._server, self._limits
        )
        await self._connection.send_request(
            forwarded, body.buffer, body.complete, self._time_left()
        )
        if not body.complete:
            self._upload_task = await curio.spawn(
                self._upload, body, daemon=True
            )

    async def _upload(self, body: RequestBody) -> None:
        try:
            while data := await body.read_rest():
                await self._connection.send_data(data, ended=False)
            await self._connection.send_data(b"", ended=True)
        except BackendClosedError:
            return  # A response may have been received before the close.
        except (CallerDisconnectedError, RequestError) as error:
            self._request.upload_error = error
            await self._connection.shut_down()

    async def _await_response(
        self, until: float
    ) -> ResponseHead | AttemptOutcome | None:
        while True:
            wait = min(self._time_left(), self._compute_wait(until))
            try:
                async with curio.timeout_after(max(0.0, wait)):
                    return await self._connection.read_response()
            except curio.TaskTimeout:
                if self._time_left() <= 0:
                    raise
            if self._request.is_caller_disconnected():
                return self.end(AttemptResult.CANCELLED)
            self._report_if_overdue()
            silent = self._returns_when_silent and self.is_silent
            if silent or read_clock() >= until:
                return None

    def _compute_wait(self, until: float) -> float:
        waited = self.waited
        wait = min(_DISCONNECT_CHECK_INTERVAL, until - read_clock())
        if not self._overdue:
            wait = min(wait, self._limits.overdue_after - waited)
        if self._returns_when_silent:
            wait = min(wait, self._stale_after - waited)
        return wait

    def _report_if_overdue(self) -> None:
        if self._overdue or self.waited < self._limits.overdue_after:
            return
        self._overdue = True
        self._report_overdue(self.end(AttemptResult.OVERDUE).attempt)

    async def _receive_body(self, response: ResponseHead) -> AttemptOutcome:
        request_id = self._request.context.id
        echoed = response.find(headers.REQUEST_ID)
        if echoed is not None and echoed != request_id:
            _LOG.warning(
                "Server %s sent the response to request %s with the id of %s.",
                self._server.id,
                request_id,
                echoed,
            )
            return self.end(AttemptResult.CUT)
        if echoed is None:
            # On a connection that was used before, it may be a copy of an
            # earlier response.
            if not self._fresh:
                _LOG.warning(
                    "Server %s sent a response without the id of request %s.",
                    self._server.id,
                    request_id,
                )
                return self.end(AttemptResult.CUT)
            self._connection.prevent_reuse()
        data, complete = self._connection.read_buffered_data()
        size = find_content_length(response.headers)
        if not complete and size is not None and size <= RESPONSE_BUFFER_LIMIT:
            async with curio.timeout_after(self._time_left()):
                while not complete:
                    more, complete = await self._connection.read_data()
                    data += more
        if response.find(headers.SHED) is not None:
            if echoed is None:
                # It may be a copy of an earlier refusal on this connection,
                # while the server runs the current request.
                _LOG.warning(
                    "Server %s shed a request without naming its id.",
                    self._server.id,
                )
                return self.end(AttemptResult.CUT)
            result = AttemptResult.SHED
        elif response.status >= _MIN_ERROR_STATUS:
            result = AttemptResult.ERROR
        else:
            result = AttemptResult.OK
        outcome = self.end(result, response)
        outcome.data, outcome.complete, outcome.buffered = (
            data,
            complete,
            complete,
        )
        return outcome


def _make_forwarded_head(
    request: Request, server: Server, limits: AttemptLimits
) -> RequestHead:
    head = request.head
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
    if head.find(b"host") is None:  # optional in HTTP/1.0
        fields.append((b"host", str(server.address).encode()))
    fields.append((headers.DEADLINE, b"%d" % left))
    fields.append((headers.REQUEST_ID, request.context.id.encode()))
    fields.append((b"via", b"1.1 egretlever"))
    return RequestHead(head.method, head.target, fields)


def make_attempt(
    server: Server,
    result: AttemptResult,
    started_at: Seconds,
    sent: bool,
    fresh: bool,
    response: ResponseHead | None = None,
) -> Attempt:
    """Create the record of an attempt that ends now."""
    retry_after = response.find(headers.RETRY_AFTER) if response else None
    return Attempt(
        server=server.id,
        incarnation=server.incarnation,
        service=server.service,
        result=result,
        latency=Seconds(read_clock() - started_at),
        sent=sent,
        fresh_connection=fresh,
        status=response.status if response else 0,
        draining=bool(response and response.find(headers.DRAINING)),
        retry_after=(
            Seconds(float(min(int(retry_after), _MAX_RETRY_AFTER)))
            if retry_after and re.fullmatch("[0-9]{1,9}", retry_after)
            else None
        ),
    )
