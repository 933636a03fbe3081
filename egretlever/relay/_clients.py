"""Client connections, with HTTP pipelining."""

import collections
import dataclasses
from collections.abc import Callable
from typing import Any

import curio
import h11
from curio import socket

from egretlever.core import RequestId, Seconds, make_log
from egretlever.memory import (
    SHORT_BYTES,
    ByteAccount,
    HoldingKind,
    ProcessLimits,
    make_byte_account,
)
from egretlever.placement import ClientLimits
from egretlever.platform import headers
from egretlever.relay._client_messages import (
    ClientAnswer,
    ClientHandler,
    ClientRequest,
    encode_answer,
    make_error_answer,
)
from egretlever.relay._connection_ends import ConnectionEnd, EndReason
from egretlever.relay._request_reading import RequestReader
from egretlever.transport import (
    RequestError,
    RequestHead,
    is_closed_by_peer,
    measure_unacknowledged,
    read_clock,
    shut_down_now,
)

_LOG = make_log("client")
_READ_SIZE = 65536
_WRITE_TIMEOUT = Seconds(10.0)  # of one answer
# Requests of one connection that are handled concurrently. Further ones stay
# unread until the first is answered.
_MAX_PIPELINED = 16
# Time for a client to close after the last answer, and time for one that has
# not got all of it yet. Lingering connections count against their limit.
_LINGER_TIME = Seconds(1.0)
_SLOW_LINGER_TIME = Seconds(10.0)
_LINGER_POLL_INTERVAL = 0.25  # seconds
# Holds the rest of the largest body that a client may send.
_MAX_DISCARDED_BYTES = 64 << 20
# Unsent answers of this size keep further requests of the client unread.
_MAX_UNSENT_BYTES = 1 << 20
_SEND_SIZE = 262144  # bytes of an answer that are sent at once
_NO_SILENCE = Seconds(0.0)


@dataclasses.dataclass(slots=True)
class _PendingAnswer:
    """A request whose answer has not been sent."""

    http: h11.Connection
    head: RequestHead | None
    last: bool
    answer: ClientAnswer | None = None
    task: Any = None
    request_bytes: int = 0
    answer_bytes: int = 0
    ready: curio.Event = dataclasses.field(default_factory=curio.Event)


def _ignore(end: ConnectionEnd) -> None:
    """Ignore the end of a connection."""


class ClientConnection:
    """Handles pipelined requests concurrently and sends answers in order.

    When a client closes its connection, its requests are cancelled.

    Parameters
    ----------
    sock : curio.io.Socket
        Accepted socket.
    handle : callable
        Coroutine function that returns the answer to a request.
    read_limits : callable
        Returns the current limits.
    is_stopping : callable
        Tells whether connections are to be closed after their next answer.
    report_end : callable, optional
        Called with the state of the connection at its end.
    account : ByteAccount, optional
        Grants the bytes that are held for the client; by default it has one of
        its own.
    """

    def __init__(
        self,
        sock: Any,
        handle: ClientHandler,
        read_limits: Callable[[], ClientLimits],
        is_stopping: Callable[[], bool],
        report_end: Callable[[ConnectionEnd], None] = _ignore,
        account: ByteAccount | None = None,
    ) -> None:
        self._sock = sock
        self._handle = handle
        self._read_limits = read_limits
        self._is_stopping = is_stopping
        self._account = account or make_byte_account(ProcessLimits())
        self._unsent_bytes = 0
        self._pending: collections.deque[_PendingAnswer] = collections.deque()
        self._enqueued = curio.Event()
        self._slot_freed = curio.Event()
        self._reader = RequestReader(
            sock,
            self,
            self._account,
            lambda: bool(self._pending),
            self._send_continue,
        )
        self._closing = False
        self._lingering = False
        self._report_end = report_end
        self._answer_bytes = self._sent_bytes = 0
        self._end_reason = EndReason.NODE_ENDED

    @property
    def is_unfinished(self) -> bool:
        """Whether the client may still miss an answer if the process ends."""
        unacknowledged = measure_unacknowledged(self._sock, self._lingering)
        if unacknowledged is None:
            return self._lingering or bool(self._pending)
        return unacknowledged > 0 or bool(self._pending)

    @property
    def awaits_peer(self) -> bool:
        """Whether the client has to send or to read next."""
        return not self._pending or self._pending[0].ready.is_set()

    def drop(self) -> None:
        """Free what is held for the client, and end the connection."""
        self._end_reason = EndReason.DROPPED
        self._reader.drop()
        for pending in self._pending:
            pending.answer = None
        shut_down_now(self._sock)

    async def run(self) -> None:
        """Serve the connection until it ends."""
        if not self._account.admit(self, read_clock()):
            return
        try:
            await self._run()
        finally:
            # Answers that come later have no client.
            self._reader.dropped = True
            self._account.close(self)

    async def _run(self) -> None:
        writer = await curio.spawn(self._write_forever, daemon=True)
        watcher = None
        try:
            if await self._read_forever():
                self._note_client_closed()
            else:
                self._reader.input_ended = True
                await self._enqueued.set()
                watcher = await curio.spawn(
                    self._watch_for_close, writer, daemon=True
                )
                await writer.wait()
        except OSError as error:
            self._note_client_closed()
            _LOG.debug("Client connection failed: %s.", error)
        finally:
            # No task may wait on the socket once it is closed.
            if watcher is not None:
                await watcher.cancel()
            await writer.cancel()
            for pending in self._pending:
                if pending.task is not None:
                    await pending.task.cancel(blocking=False)
            self._report_end(self._describe_end())

    def _note_client_closed(self) -> None:
        """Record that the client has closed, unless the node had."""
        if self._end_reason is EndReason.NODE_ENDED:
            self._end_reason = EndReason.CLIENT_CLOSED

    def _describe_end(self) -> ConnectionEnd:
        return ConnectionEnd(
            unanswered=tuple(map(_find_id, self._pending)),
            answer_bytes=self._answer_bytes,
            sent_bytes=self._sent_bytes,
            unacknowledged_bytes=measure_unacknowledged(
                self._sock, self._lingering
            ),
            stopping=self._is_stopping(),
            reason=self._end_reason,
        )

    async def _watch_for_close(self, writer: Any) -> None:
        """Cancel the requests when the client closes after its last request."""
        left = _MAX_DISCARDED_BYTES
        try:
            while data := await self._reader.receive():
                left -= len(data)
                if left < 0:
                    # It sends without end; unread bytes stop it.
                    if self._lingering:
                        await self._end(EndReason.NOT_CLOSED)
                        await writer.cancel(blocking=False)
                    return
        except OSError as error:
            _LOG.debug("Client connection failed: %s.", error)
        self._note_client_closed()
        await writer.cancel(blocking=False)

    def _has_too_much_pending(self) -> bool:
        return bool(self._pending) and (
            len(self._pending) >= _MAX_PIPELINED
            or self._unsent_bytes >= _MAX_UNSENT_BYTES
        )

    async def _read_forever(self) -> bool:
        """Read requests; true when the client has closed the connection."""
        while True:
            while self._has_too_much_pending() and not self._closing:
                self._slot_freed.clear()
                await self._slot_freed.wait()
            limits = self._read_limits()
            http = _make_parser(limits)
            try:
                request = await self._reader.read(http, limits)
            except RequestError as error:
                if self._closing:
                    return False
                await self._enqueue(
                    _PendingAnswer(http, None, True), make_error_answer(error)
                )
                return False
            if request is None:
                return self._reader.input_ended
            if self._closing:
                # It arrived after an answer that closes the connection.
                return False
            if is_closed_by_peer(self._sock):
                # The client left before its request was read: this process may
                # have been paused.
                return True
            last = http.their_state is h11.MUST_CLOSE
            pending = _PendingAnswer(
                http,
                request.head,
                last,
                request_bytes=self._reader.take_body_bytes(),
            )
            pending.task = await curio.spawn(
                self._answer, pending, request, daemon=True
            )
            await self._enqueue(pending, None)
            if last:
                return False
            trailing, _ = http.trailing_data
            self._reader.received += trailing

    async def _enqueue(
        self, pending: _PendingAnswer, answer: ClientAnswer | None
    ) -> None:
        if answer is not None:
            pending.answer = answer
            await pending.ready.set()
        self._pending.append(pending)
        await self._enqueued.set()

    async def _answer(
        self, pending: _PendingAnswer, request: ClientRequest
    ) -> None:
        try:
            pending.answer = await self._handle(request)
        except curio.CancelledError:
            return
        except Exception as error:
            # An exception in one request must not affect the others.
            _LOG.error("Handling a request failed: %r.", error)
            pending.answer = ClientAnswer(502, (), b"internal error\n")
        kind = HoldingKind.REQUEST
        self._account.shrink(self, kind, pending.request_bytes)
        self._hold_answer(pending, len(pending.answer.body))
        if self._reader.dropped:
            pending.answer = None
        await pending.ready.set()

    def _hold_answer(self, pending: _PendingAnswer, size: int) -> None:
        """Hold an answer until it is sent, or drop the connection.

        The request has run, so it can't be refused any more.
        """
        granted = self._account.grow(
            self,
            HoldingKind.ANSWER,
            size,
            read_clock(),
            short=size <= SHORT_BYTES,
            min_silence=_NO_SILENCE,
        )
        if granted:
            pending.answer_bytes = size
            self._unsent_bytes += size
        elif not self._reader.dropped:
            self._account.close(self)
            self.drop()

    async def _send_continue(self, http: h11.Connection) -> None:
        # Only one task may write, and answers are sent in order.
        while self._pending and not self._closing:
            self._slot_freed.clear()
            await self._slot_freed.wait()
        if self._closing:
            return
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await self._sock.sendall(http.send(interim) or b"")

    async def _write_forever(self) -> None:
        while True:
            while not self._pending:
                if self._reader.input_ended:
                    await self._close_after_linger()
                    return
                self._enqueued.clear()
                await self._enqueued.wait()
            pending = self._pending[0]
            await pending.ready.wait()
            # A connection is closed only after the answers to all requests that
            # were read; otherwise the client can't know whether they ran.
            alone = len(self._pending) == 1
            ends = pending.last or (alone and self._is_stopping())
            self._closing = self._closing or ends
            if pending.answer is None:
                # The connection was dropped.
                return
            head, body = _encode(pending, ends)
            self._answer_bytes, self._sent_bytes = len(head) + len(body), 0
            try:
                async with curio.timeout_after(_WRITE_TIMEOUT):
                    await self._send_answer(head, body)
            except (OSError, curio.CancelledError) as error:
                # curio adds the number of bytes to the exception.
                self._sent_bytes += getattr(error, "bytes_sent", 0)
                if isinstance(error, OSError):
                    await self._end(EndReason.CLIENT_CLOSED)
                elif isinstance(error, curio.TaskTimeout):
                    await self._end(EndReason.NOT_READ)
                else:
                    raise
                return
            self._pending.popleft()
            held = pending.answer_bytes
            self._unsent_bytes -= held
            self._account.shrink(self, HoldingKind.ANSWER, held)
            await self._slot_freed.set()
            if ends:
                await self._close_after_linger()
                return

    async def _send_answer(self, head: bytes, body: bytes) -> None:
        if len(body) <= _SEND_SIZE:
            await self._sock.sendall(head + body)
            self._sent_bytes += len(head) + len(body)
            return
        await self._sock.sendall(head)
        self._sent_bytes += len(head)
        view = memoryview(body)
        for start in range(0, len(body), _SEND_SIZE):
            part = view[start : start + _SEND_SIZE]
            await self._sock.sendall(part)
            self._sent_bytes += len(part)
            self._account.touch(self, read_clock())

    async def _close_after_linger(self) -> None:
        """Half-close, and leave the client time to read and to close.

        What the client sends meanwhile is read and discarded: the system resets
        a connection that is closed with unread bytes, and then the client may
        lose the answer (RFC 9112, 9.6).
        """
        self._closing = self._lingering = True
        try:
            await self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            await self._end(EndReason.CLIENT_CLOSED)
            return
        ends_at = read_clock() + _SLOW_LINGER_TIME
        await curio.sleep(_LINGER_TIME)
        while read_clock() < ends_at and self.is_unfinished:
            await curio.sleep(_LINGER_POLL_INTERVAL)
        await self._end(EndReason.NOT_CLOSED)

    async def _end(self, reason: EndReason) -> None:
        """End the connection, which wakes the reading task."""
        self._closing = True
        self._end_reason = reason
        _LOG.debug("Client connection ends: %s.", reason.value)
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            _LOG.debug("Client connection was already closed: %s.", error)
        await self._slot_freed.set()


def _make_parser(limits: ClientLimits) -> h11.Connection:
    limit = limits.max_head_bytes + _READ_SIZE
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)


def _find_id(pending: _PendingAnswer) -> RequestId:
    found = pending.head and pending.head.find(headers.REQUEST_ID)
    return RequestId(found or "")


def _encode(pending: _PendingAnswer, ends: bool) -> tuple[bytes, bytes]:
    assert pending.answer is not None  # set before it is ready
    method = "" if pending.head is None else pending.head.method
    return encode_answer(pending.http, method, pending.answer, ends)
