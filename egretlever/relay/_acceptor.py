"""Accepts connections of entry nodes to a home node."""

import dataclasses
import functools
import types
from collections.abc import Callable, Mapping
from typing import Any

import curio

from egretlever.allotments import PermitReply, PermitRequest
from egretlever.core import (
    Incarnation,
    Seconds,
    StoreEra,
    join_version,
    make_log,
)
from egretlever.memory import ByteAccount, ProcessLimits, make_byte_account
from egretlever.placement import (
    HomeNotice,
    OverdueReport,
    Refusal,
    RefusalReason,
)
from egretlever.relay._allotment_codec import (
    decode_permit_request,
    encode_permit_reply,
)
from egretlever.relay._change_codec import (
    TABLES_BY_SUBSCRIPTION,
    decode_handover,
    encode_change,
)
from egretlever.relay._changes import SharedTable, TableChange
from egretlever.relay._codec import (
    decode_offer,
    encode_hello,
    encode_notice,
    encode_overdue,
    encode_pong,
    encode_reply,
)
from egretlever.relay._frames import FrameError, FrameStream
from egretlever.relay._handover import HandoverExchange
from egretlever.relay._held_bytes import HeldBodies
from egretlever.relay._home import HomeNode
from egretlever.relay._jobs import Job
from egretlever.relay._sharing import TableSharing
from egretlever.schema import relay_pb2
from egretlever.transport import accept_connections, read_clock

_LOG = make_log("relay")
# Other nodes close a connection within a round trip between regions (16 ms),
# unless their hosts are slow.
_CLOSE_TIME = Seconds(0.3)
_CLOSE_POLL_INTERVAL = 0.01  # seconds
_MAX_CONNECTIONS = 3000  # one for each node of the fleet, plus a reserve


class _StreamPeer:
    """Sends notices, changes and requests to the node on one connection."""

    def __init__(self, stream: FrameStream) -> None:
        self._stream = stream

    async def send_notice(self, notice: HomeNotice) -> None:
        """Send a notice; a closed connection ignores it."""
        await self._stream.post(_encode_shared_notice(notice))

    async def send_change(
        self, table: SharedTable, change: TableChange
    ) -> None:
        """Send a change; a closed connection ignores it."""
        await self._stream.post(_encode_shared_change(table, change))

    async def request_handover(self) -> None:
        """Ask for a handover; a closed connection ignores it."""
        message = relay_pb2.HandoverRequest()
        await self._stream.post(relay_pb2.RelayFrame(handover_request=message))


class _ProgressSender:
    """Tells the node on one connection how its offer proceeds."""

    def __init__(self, stream: FrameStream, sequence: int) -> None:
        self._stream = stream
        self._sequence = sequence

    async def observe_overdue(self, report: OverdueReport) -> None:
        """Report that it is overdue; a closed connection ignores it."""
        await self._stream.post(encode_overdue(self._sequence, report))


@functools.lru_cache(maxsize=1)
def _encode_shared_notice(notice: HomeNotice) -> bytes:
    """Encode a notice once for all of its subscribers."""
    return encode_notice(notice).SerializeToString()


@functools.lru_cache(maxsize=1)
def _encode_shared_change(table: SharedTable, change: TableChange) -> bytes:
    """Encode a change once for all of its subscribers."""
    return encode_change(table, change, read_clock()).SerializeToString()


class RelayAcceptor:
    """Receives offers of other nodes for the server on this host.

    Parameters
    ----------
    home : HomeNode
        Runs the offers.
    incarnation : Incarnation
        Tells peers whether the process that accepted an offer still runs.
    sharings : mapping of SharedTable to TableSharing, optional
        Send the changes of tables to the nodes that follow this one.
    handovers : HandoverExchange, optional
        Asks the nodes that connect for what the store holds.
    answer_permits : callable, optional
        Replies to the requests of other nodes for permits.
    account : ByteAccount, optional
        Grants the bytes of large bodies; by default it has one of its own.
    """

    def __init__(
        self,
        home: HomeNode,
        incarnation: Incarnation,
        sharings: Mapping[SharedTable, TableSharing] = types.MappingProxyType(
            {}
        ),
        handovers: HandoverExchange | None = None,
        answer_permits: Callable[[PermitRequest], PermitReply] | None = None,
        account: ByteAccount | None = None,
    ) -> None:
        self._account = account or make_byte_account(ProcessLimits())
        self._home = home
        self._incarnation = incarnation
        self._sharings = sharings
        self._handovers = handovers
        self._answer_permits = answer_permits
        self._streams: set[FrameStream] = set()

    @property
    def has_unsent_replies(self) -> bool:
        """Whether other nodes are still being sent what they wait for."""
        return any(stream.has_unsent_frames for stream in self._streams)

    async def end_sending(self, ends_at: Seconds) -> None:
        """Let the other nodes read everything, and close their connections.

        Parameters
        ----------
        ends_at : Seconds
            Clock time until which nodes that are still getting sent bytes are
            waited for. Others have to close within a short time.
        """
        ended = set(self._streams)
        for stream in ended:
            await stream.end_sending()
        closed_by = read_clock() + _CLOSE_TIME
        while (now := read_clock()) < ends_at and any(
            now < closed_by or stream.is_still_read(now)
            for stream in ended.intersection(self._streams)
        ):
            await curio.sleep(_CLOSE_POLL_INTERVAL)

    async def serve_forever(self, listener: Any) -> None:
        """Accept connections of other nodes."""
        await accept_connections(
            listener, self._serve, _MAX_CONNECTIONS, cancel_connections=True
        )

    async def _serve(self, sock: Any) -> None:
        bodies = HeldBodies(self._account)
        stream = FrameStream(sock, bodies.grant)
        peer = _StreamPeer(stream)
        writer = await curio.spawn(stream.write_forever, daemon=True)
        jobs: dict[int, Job] = {}
        self._streams.add(stream)
        if self._handovers is not None:
            self._handovers.add_peer(peer)
        try:
            await stream.post(encode_hello(self._incarnation, read_clock()))
            while (frame := await stream.read()) is not None:
                await self._handle_frame(stream, peer, bodies, jobs, frame)
        except FrameError as error:
            _LOG.warning("Invalid frame from a node: %s.", error)
        finally:
            self._streams.remove(stream)
            self._home.notice_publisher.unsubscribe(peer)
            for sharing in self._sharings.values():
                sharing.unsubscribe(peer)
            if self._handovers is not None:
                self._handovers.remove_peer(peer)
            for job in jobs.values():
                await self._home.jobs.detach(job, stream)
            await writer.cancel()
            await stream.close()
            # Jobs that go on without their entry node end soon.
            bodies.close()

    async def _handle_frame(
        self,
        stream: FrameStream,
        peer: _StreamPeer,
        bodies: HeldBodies,
        jobs: dict[int, Job],
        frame: relay_pb2.RelayFrame,
    ) -> None:
        kind = frame.WhichOneof("kind")
        if kind == "ping":
            await stream.post(encode_pong(frame.ping.number, read_clock()))
        elif kind == "subscription":
            await self._home.notice_publisher.subscribe(peer)
        elif kind in TABLES_BY_SUBSCRIPTION:
            await self._handle_subscription(
                peer, TABLES_BY_SUBSCRIPTION[kind], getattr(frame, kind)
            )
        elif kind == "handover" and self._handovers is not None:
            self._handovers.take(decode_handover(frame.handover))
        elif kind == "permit_request" and self._answer_permits is not None:
            try:
                request = decode_permit_request(frame.permit_request)
            except ValueError as error:
                raise FrameError(str(error)) from None
            await stream.post(
                encode_permit_reply(
                    frame.permit_request.sequence, self._answer_permits(request)
                )
            )
        elif kind == "withdrawal":
            job = jobs.pop(frame.withdrawal.sequence, None)
            if job is not None:
                await self._home.withdraw(job)
        elif kind == "offer":
            await self._take_offer(stream, bodies, jobs, frame.offer)
        else:
            _LOG.warning("Unexpected frame of kind %s from a node.", kind)

    async def _take_offer(
        self,
        stream: FrameStream,
        bodies: HeldBodies,
        jobs: dict[int, Job],
        frame: relay_pb2.Offer,
    ) -> None:
        sequence = frame.sequence
        if stream.body_refused:
            refusal = Refusal(RefusalReason.BUSY, self._home.describe())
            await stream.post(encode_reply(sequence, refusal))
            return
        offer = decode_offer(frame)
        size = 0
        if stream.body is not None:
            size = len(stream.body)
            offer = dataclasses.replace(offer, body=stream.body)
            stream.body = None
        job = await self._home.jobs.submit(
            offer, stream, _ProgressSender(stream, sequence)
        )
        jobs[sequence] = job
        await curio.spawn(
            self._reply, stream, bodies, jobs, sequence, job, size, daemon=True
        )

    async def _handle_subscription(
        self,
        peer: _StreamPeer,
        table: SharedTable,
        subscription: relay_pb2.DirectorySubscription,
    ) -> None:
        sharing = self._sharings.get(table)
        if sharing is None:
            return
        if subscription.ended:
            sharing.unsubscribe(peer)
        else:
            await sharing.subscribe(
                peer,
                subscription.relay_address,
                join_version(
                    StoreEra(subscription.known_era), subscription.known_version
                ),
            )

    async def _reply(
        self,
        stream: FrameStream,
        bodies: HeldBodies,
        jobs: dict[int, Job],
        sequence: int,
        job: Job,
        body_size: int,
    ) -> None:
        # An immediate refusal is sent without an acknowledgement before it.
        await curio.sleep(0)
        if not job.done.is_set():
            accepted = relay_pb2.Accepted(sequence=sequence)
            await stream.post(relay_pb2.RelayFrame(accepted=accepted))
            await job.done.wait()
        bodies.free(body_size)
        if jobs.pop(sequence, None) is None or job.reply is None:
            return
        await stream.post(encode_reply(sequence, job.reply))
