"""Exchange of one request with one backend server."""

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
    CallerGoneError,
    RequestError,
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
_MAX_RETRY_AFTER = 3600  # seconds, the largest timeout


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
        Connection of the attempt, until it is settled.
    uploader : curio.Task or None
        Task that still sends the body of the request.
    held : bool
        Whether the answer was whole before any of it was passed on.
    """

    attempt: Attempt
    response: ResponseHead | None = None
    data: bytes = b""
    whole: bool = False
    connection: BackendConnection | None = None
    uploader: curio.Task | None = None
    held: bool = False


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


class Exchange:
    """Exchange of one request over one connection.

    Parameters
    ----------
    connection : BackendConnection
        Connection to the server; the exchange owns it until it has ended.
    server : Server
        Server that is tried.
    request : Request
        The request.
    began : Seconds
        Reading of the clock when the attempt began.
    limits : AttemptLimits
        Times of the attempt.
    report_overdue : callable
        Called with an overdue `Attempt` while it still waits.
    """

    def __init__(
        self,
        connection: BackendConnection,
        server: Server,
        request: Request,
        began: Seconds,
        limits: AttemptLimits,
        report_overdue: Callable[[Attempt], None],
    ) -> None:
        self._connection = connection
        self._server = server
        self._request = request
        self._began = began
        self._limits = limits
        self._report_overdue = report_overdue
        self._fresh = connection.used == 0
        self._begun = False
        self._overdue = False
        self._uploader: curio.Task | None = None
        self._may_return = True
        self._stale_after = math.inf
        if not self._fresh and request.is_repeatable():
            self._stale_after = max(
                _STALE_FACTOR * limits.overdue_after, _STALE_MINIMUM
            )

    def end(
        self, result: AttemptResult, response: ResponseHead | None = None
    ) -> AttemptOutcome:
        """Make the outcome of an attempt that ends now."""
        attempt = make_attempt(
            self._server,
            result,
            self._began,
            sent=self._connection.sent,
            fresh=self._fresh,
            response=response,
        )
        return AttemptOutcome(
            attempt,
            response,
            connection=self._connection,
            uploader=self._uploader,
        )

    @property
    def waited(self) -> float:
        """Seconds since the attempt began."""
        return read_clock() - self._began

    @property
    def lost_until(self) -> float:
        """Reading of the clock at which a lost hedge is cancelled."""
        return self._began + _STALE_FACTOR * self._limits.overdue_after

    @property
    def is_silent(self) -> bool:
        """Whether a kept connection has been silent for too long."""
        return (
            self.waited >= self._stale_after and not self._connection.responded
        )

    def keep_waiting(self) -> None:
        """Wait on a silent connection until the deadline."""
        self._may_return = False

    async def run(self, until: float = math.inf) -> AttemptOutcome | None:
        """Exchange heads, and receive the answer whole if it is small.

        Parameters
        ----------
        until : float, optional
            Reading of the clock at which to return without an answer.

        Returns
        -------
        AttemptOutcome or None
            None when no answer came until then, or when a kept connection is
            silent. Another call waits on.
        """
        try:
            if not self._begun:
                self._begun = True
                await self._send_request()
            response = await self._await_response(until)
            if not isinstance(response, ResponseHead):
                return response
            return await self._receive_body(response)
        except curio.TaskTimeout:
            return self.end(AttemptResult.TIMEOUT)
        except BackendClosedError as error:
            _LOG.debug("Server %s: %s.", self._server.id, error)
            return self.end(self._explain_close())
        except BackendProtocolError as error:
            _LOG.warning("Server %s: %s.", self._server.id, error)
            return self.end(AttemptResult.CUT)

    def _explain_close(self) -> AttemptResult:
        if self._request.upload_error is not None:
            return AttemptResult.CANCELLED
        # A kept connection that ends before any answer was closed by the
        # server while it was idle.
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
            forwarded, body.start, body.whole, self._time_left()
        )
        if not body.whole:
            self._uploader = await curio.spawn(self._upload, body, daemon=True)

    async def _upload(self, body: RequestBody) -> None:
        try:
            while data := await body.read_rest():
                await self._connection.send_data(data, ended=False)
            await self._connection.send_data(b"", ended=True)
        except BackendClosedError:
            return  # The answer, if any, was sent before the close.
        except (CallerGoneError, RequestError) as error:
            self._request.upload_error = error
            await self._connection.shut_down()

    async def _await_response(
        self, until: float
    ) -> ResponseHead | AttemptOutcome | None:
        while True:
            pause = min(self._time_left(), self._find_pause(until))
            try:
                async with curio.timeout_after(max(0.0, pause)):
                    return await self._connection.read_response()
            except curio.TaskTimeout:
                if self._time_left() <= 0:
                    raise
            if self._request.is_caller_gone():
                return self.end(AttemptResult.CANCELLED)
            self._report_if_overdue()
            silent = self._may_return and self.is_silent
            if silent or read_clock() >= until:
                return None

    def _find_pause(self, until: float) -> float:
        waited = self.waited
        pause = min(_GONE_CHECK, until - read_clock())
        if not self._overdue:
            pause = min(pause, self._limits.overdue_after - waited)
        if self._may_return:
            pause = min(pause, self._stale_after - waited)
        return pause

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
                "Server %s answered request %s with the answer to %s.",
                self._server.id,
                request_id,
                echoed,
            )
            return self.end(AttemptResult.CUT)
        data, whole = self._connection.take_data()
        size = find_content_length(response.headers)
        if not whole and size is not None and size <= HOLD_LIMIT:
            async with curio.timeout_after(self._time_left()):
                while not whole:
                    more, whole = await self._connection.read_data()
                    data += more
        if response.find(headers.SHED) is not None:
            result = AttemptResult.SHED
        elif response.status >= _ERROR_STATUS:
            result = AttemptResult.ERROR
        else:
            result = AttemptResult.OK
        outcome = self.end(result, response)
        outcome.data, outcome.whole, outcome.held = data, whole, whole
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
    if head.find(b"host") is None:  # HTTP/1.0 callers may leave it out
        fields.append((b"host", str(server.address).encode()))
    fields.append((headers.DEADLINE, b"%d" % left))
    fields.append((headers.REQUEST_ID, request.context.id.encode()))
    fields.append((b"via", b"1.1 egretlever"))
    return RequestHead(head.method, head.target, fields)


def make_attempt(
    server: Server,
    result: AttemptResult,
    began: Seconds,
    sent: bool,
    fresh: bool,
    response: ResponseHead | None = None,
) -> Attempt:
    """Make the record of an attempt that ends now."""
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
            Seconds(float(min(int(retry_after), _MAX_RETRY_AFTER)))
            if retry_after and re.fullmatch("[0-9]{1,9}", retry_after)
            else None
        ),
    )
