"""Notices of a home node to entry nodes nearby when its condition changes."""

from collections.abc import Callable
from typing import Protocol

import curio

from egretlever.core import Seconds
from egretlever.placement import HomeNotice
from egretlever.transport import read_clock

# Shortest time between two notices to one entry node, in seconds. Requests
# take longer, so an entry node misses little.
_MIN_INTERVAL = 0.05
# Notices a second of one home node. With more entry nodes each hears less
# often, which bounds the time and bytes spent on them.
_MAX_RATE = 200.0
# Time after which an unchanged condition is sent again, in seconds. An entry
# node finds by it that a connection has gone silent.
_REFRESH_INTERVAL = 4.0
# Times that differ by less are the same for an entry node, in seconds.
_TIME_STEP = 0.1


class NoticeSubscriber(Protocol):
    """Takes notices to an entry node."""

    async def take(self, notice: HomeNotice) -> None:
        """Send a notice; it may be lost with its connection."""
        ...


class NoticeBoard:
    """Tells subscribers the condition of a home node when it has changed.

    It answers a fleet in which each entry node sends one home node a request
    every few seconds: replies alone would leave it without a recent view, and
    requests would be rejected while servers nearby have free slots.

    Parameters
    ----------
    describe : callable
        Returns the present notice, None while there is no server.
    """

    def __init__(self, describe: Callable[[], HomeNotice | None]) -> None:
        self._describe = describe
        self._subscribers: list[NoticeSubscriber] = []
        self._changed = curio.Event()
        self._sent: HomeNotice | None = None
        self._sent_at = Seconds(0.0)

    async def subscribe(self, subscriber: NoticeSubscriber) -> None:
        """Send notices to a subscriber, beginning with the present one."""
        self._subscribers.append(subscriber)
        notice = self._describe()
        if notice is not None:
            await subscriber.take(notice)

    def unsubscribe(self, subscriber: NoticeSubscriber) -> None:
        """Send no further notices to a subscriber."""
        if subscriber in self._subscribers:
            self._subscribers.remove(subscriber)

    async def touch(self) -> None:
        """Say that the condition may have changed."""
        await self._changed.set()

    async def publish_forever(self) -> None:
        """Send notices of changes, for ever."""
        while True:
            await curio.ignore_after(_REFRESH_INTERVAL, self._changed.wait())
            self._changed.clear()
            notice = self._describe()
            now = read_clock()
            elapsed = Seconds(now - self._sent_at)
            due = elapsed >= _REFRESH_INTERVAL
            if notice is None or not (
                due or _is_news(self._sent, notice, elapsed)
            ):
                continue
            self._sent, self._sent_at = notice, now
            for subscriber in list(self._subscribers):
                await subscriber.take(notice)
            count = len(self._subscribers)
            await curio.sleep(max(_MIN_INTERVAL, count / _MAX_RATE))


def _is_news(old: HomeNotice | None, new: HomeNotice, elapsed: Seconds) -> bool:
    """Tell whether a notice would change what entry nodes choose.

    Parameters
    ----------
    old, new : HomeNotice
        Notice that was sent last, None before the first, and the present one.
    elapsed : Seconds
        Time between the two. Entry nodes count times down by themselves.
    """
    if old is None or old.server != new.server:
        return True
    before, after = old.condition, new.condition
    if (before.trust, before.free_slots) != (after.trust, after.free_slots):
        return True
    times = [(before.closed_for, after.closed_for)]
    times += zip(before.waits, after.waits, strict=True)
    return any(
        abs(max(0.0, earlier - elapsed) - later) >= _TIME_STEP
        for earlier, later in times
    )
