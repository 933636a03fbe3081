"""A connection of an entry node to a home node."""

import dataclasses
from collections.abc import Callable

import curio

from egretlever.allotments import PermitReply, PermitRequest
from egretlever.core import (
    Address,
    Incarnation,
    Seconds,
    ServerId,
    Version,
    find_era,
    find_number,
    make_log,
)
from egretlever.placement import Offer, Reply
from egretlever.relay._allotment_codec import (
    decode_permit_reply,
    encode_permit_request,
)
from egretlever.relay._change_codec import (
    TABLES_BY_CHANGE,
    decode_change,
    encode_handover,
    encode_subscription,
)
from egretlever.relay._changes import Handover, SharedTable, TableChange
from egretlever.relay._codec import (
    decode_clock,
    decode_notice,
    decode_overdue,
    decode_reply,
    encode_offer,
)
from egretlever.relay._fleet import NoticeObserver
from egretlever.relay._frame_bodies import MAX_INLINE_BYTES
from egretlever.relay._frames import FrameError, FrameStream
from egretlever.relay._interfaces import OfferObserver
from egretlever.relay._remote_clock import RemoteClock
from egretlever.schema import relay_pb2
from egretlever.transport import read_clock

_LOG = make_log("relay")
_ACCEPT_TIMEOUT = Seconds(0.35)
_PING_TIMEOUT = Seconds(0.35)
# A connection that received nothing for this time is checked by a ping. It can
# stop working for good without being closed.
_SILENCE_BEFORE_PING = Seconds(0.7)
# A request that is not idempotent is sent only on a connection that received
# data within this time; otherwise a ping has to be answered first.
_RECENTLY_ACTIVE_TIME = Seconds(0.5)
# Parts sent within a timeout that show that a large body is on its way.
_SENDING = 2
_CLOCK_PING = 0  # number of pings whose replies only matter for the clock
# An offer that was on its way for less than this time does not expire sooner
# for it. It covers the error of the estimated clock.
_TRANSIT_TOLERANCE = Seconds(0.25)


@dataclasses.dataclass(slots=True)
class _Exchange:
    """State of one offer that waits for its reply."""

    observer: OfferObserver | None = None
    accepted: curio.Event = dataclasses.field(default_factory=curio.Event)
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    reply: Reply | None = None  # None at the end: the connection was lost


@dataclasses.dataclass(slots=True)
class _PermitExchange:
    """State of a request for permits that waits for its reply."""

    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    reply: PermitReply | None = None


class RelayLink:
    """A connection to a home node that multiplexes requests.

    Parameters
    ----------
    stream : FrameStream
        Connection to the home node.
    hello : Hello
        The first frame of the home node.
    notices : NoticeObserver
        Receives the notices of the home node.
    describe_handover : callable
        Returns what this node can hand over to the home node, None when it has
        nothing to hand over.

    Attributes
    ----------
    incarnation : Incarnation
        Distinguishes the home node's process from earlier and later ones.
    """

    def __init__(
        self,
        stream: FrameStream,
        hello: relay_pb2.Hello,
        notices: NoticeObserver,
        describe_handover: Callable[[], Handover | None],
    ) -> None:
        self._stream = stream
        self._notices = notices
        self._describe_handover = describe_handover
        self._subscribed_servers: set[ServerId] = set()
        self._subscribed = False
        # Changes of each table that is followed; None is the end.
        self._changes: dict[SharedTable, curio.Queue] = {}
        self.incarnation = Incarnation(hello.incarnation)
        self._clock = RemoteClock()
        self._observe_clock(hello)
        self._exchanges: dict[int, _Exchange] = {}
        self._permit_exchanges: dict[int, _PermitExchange] = {}
        self._pongs: dict[int, curio.Event] = {}
        self._sequence = 0
        self.used_at = read_clock()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._stream.closed

    @property
    def busy(self) -> bool:
        """Whether offers wait for replies, or a table is followed."""
        return bool(self._exchanges) or bool(self._changes)

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
            for permits in list(self._permit_exchanges.values()):
                await permits.done.set()
            for pong in list(self._pongs.values()):
                await pong.set()
            for changes in self._changes.values():
                await changes.put(None)

    async def _handle_frame(self, frame: relay_pb2.RelayFrame) -> None:
        kind = frame.WhichOneof("kind")
        if kind == "pong":
            self._observe_clock(frame.pong)
            pong = self._pongs.get(frame.pong.number)
            if pong is not None:
                await pong.set()
        elif kind == "notice":
            notice = decode_notice(frame.notice)
            self._subscribed_servers.add(notice.server)
            self._notices.observe(notice)
        elif kind in TABLES_BY_CHANGE:
            changes = self._changes.get(TABLES_BY_CHANGE[kind])
            if changes is not None:
                await changes.put(self._decode_change(getattr(frame, kind)))
        elif kind == "handover_request":
            handover = self._describe_handover()
            if handover is not None:
                await self._stream.post(encode_handover(handover))
        elif kind == "permit_reply":
            permits = self._permit_exchanges.get(frame.permit_reply.sequence)
            if permits is not None:
                permits.reply = decode_permit_reply(frame.permit_reply)
                await permits.done.set()
        elif kind == "accepted":
            exchange = self._exchanges.get(frame.accepted.sequence)
            if exchange is not None:
                await exchange.accepted.set()
        elif kind == "overdue":
            exchange = self._exchanges.get(frame.overdue.sequence)
            if exchange is not None and exchange.observer is not None:
                report = decode_overdue(frame.overdue)
                await exchange.observer.observe_overdue(report)
        elif kind in ("answer", "refusal", "failure"):
            message = getattr(frame, kind)
            exchange = self._exchanges.get(message.sequence)
            if exchange is not None:
                exchange.reply = decode_reply(message)
                await exchange.accepted.set()
                await exchange.done.set()

    def _decode_change(self, frame: relay_pb2.DirectoryChange) -> TableChange:
        """Decode a change, and convert its position to the local clock."""
        self._observe_clock(frame)
        change = decode_change(frame)
        if change.position is None:
            return change
        as_of = min(self._clock.restore(change.position.as_of), read_clock())
        position = dataclasses.replace(change.position, as_of=Seconds(as_of))
        return dataclasses.replace(change, position=position)

    def _observe_clock(
        self,
        frame: relay_pb2.Hello | relay_pb2.Pong | relay_pb2.DirectoryChange,
    ) -> None:
        reading = decode_clock(frame)
        if reading is not None:
            self._clock.observe(reading, read_clock())

    async def follow(self) -> None:
        """Subscribe to the home node's notices, unless done before."""
        if not self._subscribed:
            self._subscribed = True
            message = relay_pb2.Subscription()
            await self._stream.post(relay_pb2.RelayFrame(subscription=message))

    async def follow_table(
        self, table: SharedTable, own_relay: Address, known: Version
    ) -> None:
        """Subscribe to the changes of a table that the node passes on.

        Parameters
        ----------
        table : SharedTable
            Table to follow.
        own_relay : Address
            Relay address of this node.
        known : Version
            Version that this node holds.
        """
        self._changes[table] = curio.Queue()
        message = relay_pb2.DirectorySubscription(
            relay_address=str(own_relay),
            known_version=find_number(known),
            known_era=find_era(known),
        )
        await self._stream.post(encode_subscription(table, message))

    async def leave_table(self, table: SharedTable) -> None:
        """End the subscription to the changes of a table."""
        self._changes.pop(table, None)
        message = relay_pb2.DirectorySubscription(ended=True)
        await self._stream.post(encode_subscription(table, message))

    async def read_change(self, table: SharedTable) -> TableChange | None:
        """Return the next change of a table.

        Returns
        -------
        TableChange or None
            None when the connection has ended.
        """
        changes = self._changes.get(table)
        if changes is None or (self.closed and changes.empty()):
            return None
        change: TableChange | None = await changes.get()
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
        try:
            await self._post_ping(number)
            await self._wait_while_sending(pong, _PING_TIMEOUT)
        except curio.TaskTimeout:
            await self.shut_down()
        finally:
            del self._pongs[number]
        return not self.closed

    async def _post_ping(self, number: int) -> None:
        message = relay_pb2.Ping(number=number)
        await self._stream.post(relay_pb2.RelayFrame(ping=message))

    async def exchange(
        self,
        offer: Offer,
        deadline: Seconds,
        observer: OfferObserver | None = None,
    ) -> Reply | None:
        """Offer a request and wait for its reply.

        Parameters
        ----------
        offer : Offer
            The request.
        deadline : Seconds
            Clock time at which it expires. The home node gets it as a reading
            of its own clock, since an offer can be on its way for seconds.
        observer : OfferObserver, optional
            Learns how the offer proceeds.

        Returns
        -------
        Answer, Refusal, Failure or None
            None when the connection was lost before the reply.
        """
        self._sequence += 1
        sequence = self._sequence
        exchange = self._exchanges[sequence] = _Exchange(observer)
        self.used_at = read_clock()
        try:
            if self.closed:
                return None
            if self._clock.known:
                expires_at = self._clock.convert(
                    Seconds(deadline + _TRANSIT_TOLERANCE)
                )
                offer = dataclasses.replace(offer, expires_at=expires_at)
            body = offer.body
            if len(body) > MAX_INLINE_BYTES:
                offer = dataclasses.replace(offer, body=b"")
                await self._stream.post(encode_offer(sequence, offer), body)
            else:
                await self._stream.post(encode_offer(sequence, offer))
            if self._clock.is_due(self.used_at):
                await self._post_ping(_CLOCK_PING)
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

    async def request_permits(
        self, request: PermitRequest
    ) -> PermitReply | None:
        """Ask a pool node for permits.

        Returns
        -------
        PermitReply or None
            None when the connection was lost before the reply.
        """
        self._sequence += 1
        sequence = self._sequence
        exchange = self._permit_exchanges[sequence] = _PermitExchange()
        self.used_at = read_clock()
        try:
            if not self.closed:
                await self._stream.post(
                    encode_permit_request(sequence, request)
                )
                await exchange.done.wait()
        finally:
            del self._permit_exchanges[sequence]
        return exchange.reply

    async def _await_accepted(self, exchange: _Exchange) -> None:
        try:
            await self._wait_while_sending(exchange.accepted, _ACCEPT_TIMEOUT)
        except curio.TaskTimeout:
            await self.shut_down()
            await exchange.done.wait()

    async def _wait_while_sending(
        self, event: curio.Event, timeout: Seconds
    ) -> None:
        """Wait for a frame; the time begins anew while others are being sent.

        A large body before or in the awaited exchange takes seconds to send.

        Raises
        ------
        curio.TaskTimeout
            When the peer neither replies nor takes further bytes.
        """
        while True:
            sent = self._stream.sent_parts
            try:
                async with curio.timeout_after(timeout):
                    await event.wait()
                return
            except curio.TaskTimeout:
                if self.closed or self._stream.sent_parts - sent < _SENDING:
                    raise

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
