"""Connections of an entry node to home nodes."""

import dataclasses
from collections.abc import Callable

import curio

from egretlever.core import (
    Address,
    Incarnation,
    Seconds,
    ServerId,
    make_log,
)
from egretlever.placement import (
    Failure,
    FailureReason,
    Offer,
    Refusal,
    RefusalReason,
    Reply,
)
from egretlever.relay._changes import Handover, TableChange
from egretlever.relay._codec import (
    decode_change,
    decode_notice,
    decode_reply,
    encode_handover,
    encode_offer,
)
from egretlever.relay._fleet import NoticeObserver
from egretlever.relay._frames import FrameError, FrameStream
from egretlever.schema import relay_pb2
from egretlever.transport import ConnectError, open_connection, read_clock

_LOG = make_log("relay")
# Covers a round trip between regions (16 ms) and one lost packet (200 ms).
_CONNECT_TIMEOUT = Seconds(0.3)
_ACCEPT_TIMEOUT = Seconds(0.35)
_PING_TIMEOUT = Seconds(0.35)
# A connection that received nothing for this time is checked by a ping. It can
# stop working for good without being closed.
_SILENCE_BEFORE_PING = Seconds(0.7)
# A request that is not idempotent is sent only on a connection that received
# data within this time; otherwise a ping has to be answered first.
_RECENTLY_ACTIVE_TIME = Seconds(0.5)
# Times that an idempotent request is resumed after its connection was lost; it
# is better retried elsewhere then. Others can't be, and their home node may
# only be silent for a while, so they are resumed until their time is up.
_MAX_IDEMPOTENT_RESUMES = 1
_RESUME_INTERVAL = 0.25  # seconds between two attempts to reach the home node
# A connection without requests for this time is closed.
_IDLE_TIMEOUT = Seconds(20.0)


class LinkError(Exception):
    """No connection to the home node can be established."""


@dataclasses.dataclass(slots=True)
class _Exchange:
    """State of one offer that waits for its reply."""

    accepted: curio.Event = dataclasses.field(default_factory=curio.Event)
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    reply: Reply | None = None  # None at the end: the connection was lost


class RelayLink:
    """A connection to a home node that multiplexes requests.

    Parameters
    ----------
    stream : FrameStream
        Connection on which the home node has sent its hello frame.
    incarnation : Incarnation
        Distinguishes the home node's process from earlier and later ones.
    notices : NoticeObserver
        Receives the notices of the home node.
    describe_handover : callable
        Returns what this node can hand over to the home node, None when it has
        nothing to hand over.
    """

    def __init__(
        self,
        stream: FrameStream,
        incarnation: Incarnation,
        notices: NoticeObserver,
        describe_handover: Callable[[], Handover | None],
    ) -> None:
        self._stream = stream
        self._notices = notices
        self._describe_handover = describe_handover
        self._subscribed_servers: set[ServerId] = set()
        self._subscribed = False
        # Changes of the directory, while they are followed; None is the end.
        self._changes: curio.Queue | None = None
        self.incarnation = incarnation
        self._exchanges: dict[int, _Exchange] = {}
        self._pongs: dict[int, curio.Event] = {}
        self._sequence = 0
        self.used_at = read_clock()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._stream.closed

    @property
    def busy(self) -> bool:
        """Whether offers wait for replies, or the directory is followed."""
        return bool(self._exchanges) or self._changes is not None

    async def run(self) -> None:
        """Read replies until the connection ends."""
        writer = await curio.spawn(self._stream.write_forever, daemon=True)
        try:
            while (frame := await self._stream.read()) is not None:
                await self._handle_frame(frame)
        except (FrameError, KeyError, ValueError) as error:
            _LOG.warning("Invalid frame from a home node: %s.", error)
        finally:
            await writer.cancel()
            await self._stream.close()
            for server_id in self._subscribed_servers:
                self._notices.end_notices(server_id)
            for exchange in list(self._exchanges.values()):
                await exchange.accepted.set()
                await exchange.done.set()
            for pong in list(self._pongs.values()):
                await pong.set()
            if self._changes is not None:
                await self._changes.put(None)

    async def _handle_frame(self, frame: relay_pb2.RelayFrame) -> None:
        kind = frame.WhichOneof("kind")
        if kind == "pong":
            pong = self._pongs.get(frame.pong.number)
            if pong is not None:
                await pong.set()
        elif kind == "notice":
            notice = decode_notice(frame.notice)
            self._subscribed_servers.add(notice.server)
            self._notices.observe(notice)
        elif kind == "directory_change":
            if self._changes is not None:
                await self._changes.put(decode_change(frame.directory_change))
        elif kind == "handover_request":
            handover = self._describe_handover()
            if handover is not None:
                await self._stream.post(encode_handover(handover))
        elif kind == "accepted":
            exchange = self._exchanges.get(frame.accepted.sequence)
            if exchange is not None:
                await exchange.accepted.set()
        elif kind in ("answer", "refusal", "failure"):
            message = getattr(frame, kind)
            exchange = self._exchanges.get(message.sequence)
            if exchange is not None:
                exchange.reply = decode_reply(message)
                await exchange.accepted.set()
                await exchange.done.set()

    async def follow(self) -> None:
        """Subscribe to the home node's notices, unless done before."""
        if not self._subscribed:
            self._subscribed = True
            message = relay_pb2.Subscription()
            await self._stream.post(relay_pb2.RelayFrame(subscription=message))

    async def follow_directory(self) -> None:
        """Subscribe to the changes of the directory that the node reads."""
        self._changes = curio.Queue()
        message = relay_pb2.DirectorySubscription()
        await self._stream.post(
            relay_pb2.RelayFrame(directory_subscription=message)
        )

    async def leave_directory(self) -> None:
        """End the subscription to the changes of the directory."""
        self._changes = None
        message = relay_pb2.DirectorySubscription(ended=True)
        await self._stream.post(
            relay_pb2.RelayFrame(directory_subscription=message)
        )

    async def read_change(self) -> TableChange | None:
        """Return the next change of the directory.

        Returns
        -------
        TableChange or None
            None when the connection has ended.
        """
        if self._changes is None or (self.closed and self._changes.empty()):
            return None
        change: TableChange | None = await self._changes.get()
        return change

    def is_silent(self, duration: Seconds) -> bool:
        """Tell whether nothing was received for a duration."""
        return read_clock() - self._stream.last_received_at >= duration

    def is_recently_active(self) -> bool:
        """Tell whether data was received recently."""
        return not self.is_silent(_RECENTLY_ACTIVE_TIME)

    async def ping(self) -> bool:
        """Check the connection by a ping, and close it if no pong arrives."""
        self._sequence += 1
        number = self._sequence
        pong = self._pongs[number] = curio.Event()
        message = relay_pb2.Ping(number=number)
        try:
            await self._stream.post(relay_pb2.RelayFrame(ping=message))
            async with curio.timeout_after(_PING_TIMEOUT):
                await pong.wait()
        except curio.TaskTimeout:
            await self.shut_down()
        finally:
            del self._pongs[number]
        return not self.closed

    async def exchange(self, offer: Offer) -> Reply | None:
        """Offer a request and wait for its reply.

        Returns
        -------
        Answer, Refusal, Failure or None
            None when the connection was lost before the reply.
        """
        self._sequence += 1
        sequence = self._sequence
        exchange = self._exchanges[sequence] = _Exchange()
        self.used_at = read_clock()
        try:
            if self.closed:
                return None
            await self._stream.post(encode_offer(sequence, offer))
            await self._await_accepted(exchange)
            while not exchange.done.is_set():
                await self._await_done(exchange)
        except curio.CancelledError:
            if not exchange.done.is_set():
                message = relay_pb2.Withdrawal(sequence=sequence)
                await self._stream.post(
                    relay_pb2.RelayFrame(withdrawal=message)
                )
            raise
        finally:
            del self._exchanges[sequence]
            self.used_at = read_clock()
        return exchange.reply

    async def _await_accepted(self, exchange: _Exchange) -> None:
        try:
            async with curio.timeout_after(_ACCEPT_TIMEOUT):
                await exchange.accepted.wait()
        except curio.TaskTimeout:
            await self.shut_down()
            await exchange.done.wait()

    async def _await_done(self, exchange: _Exchange) -> None:
        try:
            async with curio.timeout_after(_SILENCE_BEFORE_PING):
                await exchange.done.wait()
        except curio.TaskTimeout:
            if self.is_silent(_SILENCE_BEFORE_PING):
                await self.ping()

    async def shut_down(self) -> None:
        """Close the connection."""
        await self._stream.shut_down()


class LinkPool:
    """Keeps one connection to each home node in use.

    Parameters
    ----------
    notices : NoticeObserver
        Receives the notices of home nodes.
    describe_handover : callable, optional
        Returns what this node can hand over, None when that is nothing.
    """

    def __init__(
        self,
        notices: NoticeObserver,
        describe_handover: Callable[[], Handover | None] = lambda: None,
    ) -> None:
        self._notices = notices
        self._describe_handover = describe_handover
        self._links: dict[Address, RelayLink] = {}
        self._locks: dict[Address, curio.Lock] = {}
        self._failed_at: dict[Address, Seconds] = {}

    async def acquire(self, relay: Address) -> RelayLink:
        """Return the connection to a home node, and open one if needed.

        Raises
        ------
        LinkError
            When no connection can be established.
        """
        link = self._links.get(relay)
        if link is not None and not link.closed:
            return link
        requested_at = read_clock()
        async with self._locks.setdefault(relay, curio.Lock()):
            link = self._links.get(relay)
            if link is not None and not link.closed:
                return link
            # Tasks that waited while another one failed share its result.
            if self._failed_at.get(relay, -1.0) >= requested_at:
                raise LinkError(f"{relay} has just been found unreachable")
            try:
                link = await self._open(relay)
            except LinkError:
                self._failed_at[relay] = read_clock()
                raise
            self._links[relay] = link
            await curio.spawn(link.run, daemon=True)
            return link

    async def _open(self, relay: Address) -> RelayLink:
        try:
            sock = await open_connection(relay, _CONNECT_TIMEOUT)
        except ConnectError as error:
            raise LinkError(str(error)) from None
        stream = FrameStream(sock)
        try:
            async with curio.timeout_after(_CONNECT_TIMEOUT):
                frame = await stream.read()
        except (curio.TaskTimeout, FrameError) as error:
            await stream.close()
            raise LinkError(f"{relay} sent no hello frame") from error
        except curio.CancelledError:
            await stream.close()
            raise
        if frame is None or frame.WhichOneof("kind") != "hello":
            await stream.close()
            raise LinkError(f"{relay} sent no hello frame")
        incarnation = Incarnation(frame.hello.incarnation)
        return RelayLink(
            stream, incarnation, self._notices, self._describe_handover
        )

    async def offer(
        self, relay: Address, offer: Offer, follow: bool = False
    ) -> Reply:
        """Offer a request to the home node at an address.

        If the connection is lost before the reply, the request is resumed on a
        new one. The home node runs each request id once, so this is safe for
        requests that are not idempotent, as long as the same process replies.
        """
        deadline = read_clock() + offer.time_left
        unreachable = Refusal(RefusalReason.HOME_UNREACHABLE)
        try:
            link = await self.acquire(relay)
        except LinkError as error:
            _LOG.debug("%s.", error)
            return unreachable
        if not (
            offer.idempotent or link.is_recently_active() or await link.ping()
        ):
            return unreachable
        if follow:
            await link.follow()
        incarnation = link.incarnation
        reply = await link.exchange(offer)
        resumes = 0
        while reply is None and not (
            offer.idempotent and resumes == _MAX_IDEMPOTENT_RESUMES
        ):
            left = deadline - read_clock()
            if left <= 0:
                break
            resumes += 1
            offer = dataclasses.replace(
                offer, resumed=True, time_left=Seconds(left)
            )
            try:
                link = await self.acquire(relay)
            except LinkError as error:
                _LOG.debug("%s.", error)
                if not offer.idempotent:
                    await curio.sleep(_RESUME_INTERVAL)
                continue
            if link.incarnation != incarnation:
                break
            reply = await link.exchange(offer)
        return reply or Failure(FailureReason.HOME_LOST)

    async def expire_forever(self) -> None:
        """Close connections that have been idle for too long."""
        while True:
            await curio.sleep(1.0)
            now = read_clock()
            for relay, link in list(self._links.items()):
                if link.closed:
                    del self._links[relay]
                elif not link.busy and now - link.used_at > _IDLE_TIMEOUT:
                    await link.shut_down()

    async def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            await link.shut_down()
