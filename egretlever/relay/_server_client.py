"""Exchanges of a home node with its server."""

import dataclasses

import curio

from egretlever.core import Seconds, make_log
from egretlever.home import Heartbeat
from egretlever.placement import (
    Answer,
    Failure,
    FailureReason,
    HomeCondition,
    Offer,
    Refusal,
    RefusalReason,
    Reply,
)
from egretlever.platform import headers
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    ConnectError,
    ConnectionPool,
    RequestHead,
    ResponseHead,
    read_body,
    remove_hop_by_hop,
)

_LOG = make_log("server")
# The server is on the same host: a connection takes a millisecond there.
_CONNECT_TIMEOUT = Seconds(0.5)
# Servers close idle connections after a time of their own, which most of them
# state. A shorter one avoids sending a request into a closing connection.
_IDLE_TIMEOUT = Seconds(4.0)
# Idle connections kept: one for each slot of a large server.
_MAX_IDLE = 64
# Bodies up to this size fit the buffers of a socket, so sending does not wait.
_SMALL_BODY_BYTES = 65536
# Largest answer that is held in memory as a whole.
_MAX_ANSWER_BYTES = 64 << 20
# Answers of other requests that may precede the one that is waited for.
_MAX_FOREIGN_ANSWERS = 3
_SERVER_ERROR = 500
_MISDIRECTED = 421
_SHED_STATUSES = frozenset({429, 503, _MISDIRECTED})
_SET_BY_NODE = frozenset(
    {
        headers.DEADLINE,
        headers.EXPECTED_SERVER,
        headers.CALLER_SERVICE,
        b"content-length",
        b"transfer-encoding",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerResult:
    """What became of one request at the server.

    Parameters
    ----------
    reply : Answer, Refusal or Failure
        What the entry node is told.
    good : bool or None
        Whether the outcome speaks for the server; None when it says nothing.
    """

    reply: Reply
    good: bool | None


class ServerClient:
    """Sends requests to the server on the host.

    An answer is passed on only when it is whole and carries the id of the
    request. Bytes of other answers may come first, when the server sent an
    answer twice.
    """

    def __init__(self) -> None:
        self._pool = ConnectionPool(_CONNECT_TIMEOUT, _IDLE_TIMEOUT, _MAX_IDLE)

    async def exchange(
        self, server: Heartbeat, offer: Offer, time_left: Seconds
    ) -> ServerResult:
        """Run one request.

        Parameters
        ----------
        server : Heartbeat
            Server to run it.
        offer : Offer
            The request.
        time_left : Seconds
            Time that the server may take.
        """
        try:
            connection = await self._pool.acquire(server.address)
        except ConnectError as error:
            _LOG.debug("No connection to the server: %s.", error)
            return ServerResult(Refusal(RefusalReason.DOWN), False)
        kept = False
        try:
            async with curio.timeout_after(time_left):
                result = await self._converse(
                    connection, server, offer, time_left
                )
            kept = True
            await self._pool.release(server.address, connection)
        except curio.TaskTimeout:
            result = ServerResult(Failure(FailureReason.OVERDUE), False)
        except BackendClosedError as error:
            _LOG.debug("The server cut %s: %s.", offer.request_id, error)
            result = ServerResult(Failure(FailureReason.CUT_OFF), False)
        except BackendProtocolError as error:
            _LOG.debug("The server garbled %s: %s.", offer.request_id, error)
            result = ServerResult(Failure(FailureReason.GARBLED), False)
        finally:
            if not kept:
                await connection.close()
        return result

    async def _converse(
        self,
        connection: BackendConnection,
        server: Heartbeat,
        offer: Offer,
        time_left: Seconds,
    ) -> ServerResult:
        head = _make_head(server, offer, time_left)
        if len(offer.body) <= _SMALL_BODY_BYTES:
            await connection.send_request(head, offer.body)
            return _interpret(*await self._read_own(connection, offer))
        # A server may answer before it has read a long body. The rest of the
        # body is not sent then, and the connection is not used again.
        sender = await curio.spawn(
            _send_long, connection, head, offer.body, daemon=True
        )
        try:
            return _interpret(*await self._read_own(connection, offer))
        finally:
            if not sender.terminated:
                await sender.cancel()
                connection.prevent_reuse()

    async def _read_own(
        self, connection: BackendConnection, offer: Offer
    ) -> tuple[ResponseHead, bytes]:
        for _ in range(_MAX_FOREIGN_ANSWERS + 1):
            response = await connection.read_response()
            body = await read_body(connection, _MAX_ANSWER_BYTES)
            if response.find(headers.REQUEST_ID) == offer.request_id:
                return response, body
            _LOG.warning(
                "An answer before that of %s belongs to %s.",
                offer.request_id,
                response.find(headers.REQUEST_ID),
            )
            connection.skip_response()
        raise BackendProtocolError("only answers of other requests")

    async def expire(self, now: Seconds) -> None:
        """Close connections that have been idle for too long."""
        await self._pool.expire(now)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.close()


async def _send_long(
    connection: BackendConnection, head: RequestHead, body: bytes
) -> None:
    try:
        await connection.send_request(head, body)
    except BackendClosedError as error:
        # The task that reads the answer finds the end of the connection too.
        _LOG.debug("The server stopped reading a body: %s.", error)


def _make_head(
    server: Heartbeat, offer: Offer, time_left: Seconds
) -> RequestHead:
    fields = [
        (name, value)
        for name, value in offer.headers
        if name not in _SET_BY_NODE
    ]
    fields += [
        (headers.DEADLINE, b"%d" % max(1, int(time_left * 1000))),
        (headers.EXPECTED_SERVER, server.id.encode()),
        (headers.CALLER_SERVICE, offer.caller_service.encode()),
    ]
    if offer.body or offer.method not in ("GET", "HEAD"):
        fields.append((b"content-length", b"%d" % len(offer.body)))
    return RequestHead(offer.method, offer.target.decode("latin-1"), fields)


def _interpret(response: ResponseHead, body: bytes) -> ServerResult:
    """Tell what an answer says of the request and of the server."""
    if response.find(headers.NOT_RUN) is not None:
        if response.status in _SHED_STATUSES:
            reason = (
                RefusalReason.MISDIRECTED
                if response.status == _MISDIRECTED
                else RefusalReason.SHED
            )
            return ServerResult(Refusal(reason), None)
    elif response.status == _MISDIRECTED:
        return ServerResult(Refusal(RefusalReason.MISDIRECTED), None)
    successful = 200 <= response.status < 300
    if successful and response.find(headers.SIGNATURE) is None:
        raise BackendProtocolError("a success without the server's signature")
    fields = tuple(
        (name, value)
        for name, value in remove_hop_by_hop(response.headers)
        if name != b"content-length"
    )
    answer = Answer(response.status, fields, body, HomeCondition())
    return ServerResult(answer, response.status < _SERVER_ERROR)
