"""Connections of an entry node to home nodes."""

import dataclasses
from collections.abc import Callable

import curio

from egretlever.allotments import PermitReply, PermitRequest
from egretlever.core import (
    Address,
    Seconds,
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
from egretlever.relay._changes import Handover
from egretlever.relay._fleet import NoticeObserver
from egretlever.relay._frames import FrameError, FrameStream
from egretlever.relay._interfaces import OfferObserver
from egretlever.relay._relay_link import RelayLink
from egretlever.transport import ConnectError, open_connection, read_clock

_LOG = make_log("relay")
# Covers a round trip between regions (16 ms) and one lost packet (200 ms).
_CONNECT_TIMEOUT = Seconds(0.3)
# Times that an idempotent request is resumed after its connection was lost; it
# is better retried elsewhere then. Others can't be, and their home node may
# only be silent for a while, so they are resumed until their time is up.
_MAX_IDEMPOTENT_RESUMES = 1
_RESUME_INTERVAL = 0.25  # seconds between two attempts to reach the home node
# A connection without requests for this time is closed.
_IDLE_TIMEOUT = Seconds(20.0)


class LinkError(Exception):
    """No connection to the home node can be established."""


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
        return RelayLink(
            stream, frame.hello, self._notices, self._describe_handover
        )

    async def offer(
        self,
        relay: Address,
        offer: Offer,
        follow: bool = False,
        observer: OfferObserver | None = None,
    ) -> Reply:
        """Offer a request to the home node at an address.

        If the connection is lost before the reply, the request is resumed on a
        new one. The home node runs each request id once, so this is safe for
        requests that are not idempotent, as long as the same process replies.
        """
        deadline = Seconds(read_clock() + offer.time_left)
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
        reply = await link.exchange(offer, deadline, observer)
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
            reply = await link.exchange(offer, deadline, observer)
        return reply or Failure(FailureReason.HOME_LOST)

    async def request_permits(
        self, relay: Address, request: PermitRequest, timeout: Seconds
    ) -> PermitReply | None:
        """Ask the pool node at an address for permits.

        Returns
        -------
        PermitReply or None
            None when there is no reply in time.
        """
        link = None
        try:
            async with curio.timeout_after(timeout):
                link = await self.acquire(relay)
                return await link.request_permits(request)
        except LinkError as error:
            _LOG.debug("%s.", error)
        except curio.TaskTimeout:
            # The connection may have stopped working for good.
            if link is not None and not link.is_recently_active():
                await curio.spawn(link.ping, daemon=True)
        return None

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
            self._forget_unused(now)

    def _forget_unused(self, now: Seconds) -> None:
        """Drop the state of addresses that are not in use any more."""
        for relay, failed_at in list(self._failed_at.items()):
            if now - failed_at > _IDLE_TIMEOUT:
                del self._failed_at[relay]
        for relay, lock in list(self._locks.items()):
            if not (lock.locked() or relay in self._links):
                del self._locks[relay]

    async def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            await link.shut_down()
