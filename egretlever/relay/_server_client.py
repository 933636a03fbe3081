"""HTTP client of a home node for its server."""

import dataclasses

import curio

from egretlever.core import Seconds, make_log
from egretlever.home import Heartbeat, ServerSignals
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
from egretlever.platform import decode_signals, headers
from egretlever.transport import (
    BackendClosedError,
    BackendConnection,
    BackendProtocolError,
    BodyRoom,
    ConnectError,
    ConnectionPool,
    NoRoomError,
    RequestHead,
    ResponseHead,
    read_body,
    remove_hop_by_hop,
)

_LOG = make_log("server")
# The server is on the same host, where connecting takes about a millisecond.
_CONNECT_TIMEOUT = Seconds(0.5)
# Servers close idle connections after a timeout of their own, which most of
# them announce. A shorter timeout here avoids requests on closing connections.
_IDLE_TIMEOUT = Seconds(4.0)
# One idle connection for each slot of a large server.
_MAX_IDLE = 64
# Bodies up to this size fit into the socket buffers, so sending does not block.
_SMALL_BODY_BYTES = 65536
# Answers are buffered completely before they are forwarded.
_MAX_ANSWER_BYTES = 8 << 20
# Answers to other requests that are skipped before the expected one.
_MAX_MISMATCHED_ANSWERS = 3
_SERVER_ERROR = 500
_MISDIRECTED = 421
# Clients take these statuses as a promise that the request was not run.
_NOT_RUN_STATUSES = frozenset({408, 429, 503, _MISDIRECTED})
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
    """Outcome of one request at the server.

    Parameters
    ----------
    reply : Answer, Refusal or Failure
        Reply to the entry node.
    good : bool or None
        Whether the outcome counts as a success of the server; None when it says
        nothing about the server.
    signals : ServerSignals or None
        What the server says about itself; None without an answer of it.
    """

    reply: Reply
    good: bool | None
    signals: ServerSignals | None = None


class ServerClient:
    """Sends requests to the server on the host.

    An answer is forwarded only when it is complete and carries the id of the
    request. Answers to other requests may precede it, when the server sent an
    answer twice.

    Parameters
    ----------
    buffered : BodyRoom
        Bound that all answers share while they are received.
    """

    def __init__(self, buffered: BodyRoom) -> None:
        self._pool = ConnectionPool(_CONNECT_TIMEOUT, _IDLE_TIMEOUT, _MAX_IDLE)
        self._buffered = buffered

    async def exchange(
        self, server: Heartbeat, offer: Offer, time_left: Seconds
    ) -> ServerResult:
        """Run one request.

        Parameters
        ----------
        server : Heartbeat
            Latest heartbeat of the server.
        offer : Offer
            The request.
        time_left : Seconds
            Timeout of the whole exchange.
        """
        try:
            connection = await self._pool.acquire(server.address)
        except ConnectError as error:
            _LOG.debug("Connecting to the server failed: %s.", error)
            return ServerResult(Refusal(RefusalReason.DOWN), False)
        reusable = False
        try:
            async with curio.timeout_after(time_left):
                result = await self._send_and_receive(
                    connection, server, offer, time_left
                )
            reusable = True
            await self._pool.release(server.address, connection)
        except curio.TaskTimeout:
            result = ServerResult(Failure(FailureReason.OVERDUE), False)
        except BackendClosedError as error:
            _LOG.debug(
                "Server closed the connection during request %s: %s.",
                offer.request_id,
                error,
            )
            result = ServerResult(Failure(FailureReason.CUT_OFF), False)
        except NoRoomError as error:
            _LOG.debug(
                "Answer to request %s is dropped: %s.", offer.request_id, error
            )
            # It says nothing about the server.
            result = ServerResult(Failure(FailureReason.GARBLED), None)
        except BackendProtocolError as error:
            _LOG.debug(
                "Invalid answer to request %s: %s.", offer.request_id, error
            )
            result = ServerResult(Failure(FailureReason.GARBLED), False)
        finally:
            if not reusable:
                await connection.close()
        return result

    async def _send_and_receive(
        self,
        connection: BackendConnection,
        server: Heartbeat,
        offer: Offer,
        time_left: Seconds,
    ) -> ServerResult:
        head = _make_head(server, offer, time_left)
        if len(offer.body) <= _SMALL_BODY_BYTES:
            await connection.send_request(head, offer.body)
            return _classify(*await self._read_matching(connection, offer))
        # A server may answer before it has read a large body. The rest of the
        # body is then not sent, and the connection is not reused.
        sender = await curio.spawn(
            _send_large_body, connection, head, offer.body, daemon=True
        )
        try:
            return _classify(*await self._read_matching(connection, offer))
        finally:
            if not sender.terminated:
                await sender.cancel()
                connection.prevent_reuse()

    async def _read_matching(
        self, connection: BackendConnection, offer: Offer
    ) -> tuple[ResponseHead, bytes]:
        for _ in range(_MAX_MISMATCHED_ANSWERS + 1):
            response = await connection.read_response()
            body = await read_body(
                connection, _MAX_ANSWER_BYTES, self._buffered
            )
            if response.find(headers.REQUEST_ID) == offer.request_id:
                return response, body
            _LOG.warning(
                "Skipped an answer before that of request %s; its id is %s.",
                offer.request_id,
                response.find(headers.REQUEST_ID),
            )
            connection.skip_response()
        raise BackendProtocolError("too many answers to other requests")

    async def expire(self, now: Seconds) -> None:
        """Close connections that have been idle for too long."""
        await self._pool.expire(now)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.close()


async def _send_large_body(
    connection: BackendConnection, head: RequestHead, body: bytes
) -> None:
    try:
        await connection.send_request(head, body)
    except BackendClosedError as error:
        # The task that reads the answer detects the closed connection as well.
        _LOG.debug("Sending a request body to the server failed: %s.", error)


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


def _classify(response: ResponseHead, body: bytes) -> ServerResult:
    """Classify an answer: what it says about the request and the server.

    Raises
    ------
    BackendProtocolError
        When the answer is no valid one. A status that promises "not run" is
        invalid unless the server confirms that it did not run the request:
        the answer may be a copy of an earlier refusal.
    """
    if response.status in _NOT_RUN_STATUSES:
        if response.status == _MISDIRECTED:
            return ServerResult(Refusal(RefusalReason.MISDIRECTED), None)
        if response.find(headers.NOT_RUN) is None:
            raise BackendProtocolError(
                f"status {response.status} without confirmation that the"
                " request was not run"
            )
        return ServerResult(
            Refusal(RefusalReason.SHED), None, decode_signals(response.find)
        )
    successful = 200 <= response.status < 300
    if successful and response.find(headers.SIGNATURE) is None:
        raise BackendProtocolError("successful answer without a signature")
    fields = tuple(
        (name, value)
        for name, value in remove_hop_by_hop(response.headers)
        if name != b"content-length"
    )
    answer = Answer(response.status, fields, body, HomeCondition())
    return ServerResult(
        answer, response.status < _SERVER_ERROR, decode_signals(response.find)
    )
