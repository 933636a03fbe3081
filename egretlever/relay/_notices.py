"""Notices: condition updates that a home node pushes to entry nodes nearby."""

from collections.abc import Callable
from typing import Protocol

import curio

from egretlever.core import Seconds
from egretlever.placement import HomeNotice, count_relevant_slots
from egretlever.transport import read_clock

# Shortest time between two notices to one entry node, in seconds. Requests
# take longer than that, so few changes are missed.
_MIN_INTERVAL = 0.05
# Notices per second of one home node to all entry nodes. With more subscribers
# each is notified less often, which limits the CPU time and traffic.
_MAX_NOTICES_PER_S = 200.0
# Time after which an unchanged condition is sent again, in seconds. It lets an
# entry node detect that a connection has stopped working.
_REFRESH_INTERVAL = 4.0
# Smaller changes of a wait, in seconds, do not trigger a notice.
_MIN_WAIT_CHANGE = 0.1


class NoticeSubscriber(Protocol):
    """Sends notices to an entry node."""

    async def send_notice(self, notice: HomeNotice) -> None:
        """Send a notice; it may be lost with its connection."""
        ...


class NoticePublisher:
    """Sends the condition of a home node to subscribers when it has changed.

    In a large fleet an entry node sends a given home node one request every
    few seconds. With the conditions on replies alone its view would be
    outdated, and it would reject requests while servers nearby have free slots.

    Under an ordinary load the number of free slots changes with every request
    and most servers have several. Such changes are not sent: each notice goes
    to all entry nodes of the failure domain, and they would take most of the
    processor time of the fleet.

    Parameters
    ----------
    describe : callable
        Returns the current notice, None while there is no server to offer.
    """

    def __init__(self, describe: Callable[[], HomeNotice | None]) -> None:
        self._describe = describe
        self._subscribers: list[NoticeSubscriber] = []
        self._changed = curio.Event()
        self._sent: HomeNotice | None = None
        self._sent_at = Seconds(0.0)

    async def subscribe(self, subscriber: NoticeSubscriber) -> None:
        """Add a subscriber and send it the current notice."""
        self._subscribers.append(subscriber)
        notice = self._describe()
        if notice is not None:
            await subscriber.send_notice(notice)

    def unsubscribe(self, subscriber: NoticeSubscriber) -> None:
        """Remove a subscriber."""
        if subscriber in self._subscribers:
            self._subscribers.remove(subscriber)

    async def mark_changed(self) -> None:
        """Signal that the condition may have changed."""
        await self._changed.set()

    async def publish_forever(self) -> None:
        """Send a notice after each significant change until cancelled."""
        while True:
            await curio.ignore_after(_REFRESH_INTERVAL, self._changed.wait())
            self._changed.clear()
            notice = self._describe()
            now = read_clock()
            elapsed = Seconds(now - self._sent_at)
            due = elapsed >= _REFRESH_INTERVAL
            if notice is None or not (
                due or _is_significant_change(self._sent, notice, elapsed)
            ):
                continue
            self._sent, self._sent_at = notice, now
            for subscriber in list(self._subscribers):
                await subscriber.send_notice(notice)
            count = len(self._subscribers)
            await curio.sleep(max(_MIN_INTERVAL, count / _MAX_NOTICES_PER_S))


def _is_significant_change(
    old: HomeNotice | None, new: HomeNotice, elapsed: Seconds
) -> bool:
    """Tell whether a notice would change the choices of entry nodes.

    Parameters
    ----------
    old, new : HomeNotice
        Last sent notice, None before the first one, and the current notice.
    elapsed : Seconds
        Time between the two. Entry nodes reduce reported waits by the time that
        has passed.
    """
    if old is None or old.server != new.server:
        return True
    before, after = old.condition, new.condition
    if before.trust is not after.trust:
        return True
    if count_relevant_slots(before.free_slots) != count_relevant_slots(
        after.free_slots
    ):
        return True
    times = [(before.time_to_trial, after.time_to_trial)]
    times += zip(before.waits, after.waits, strict=True)
    return any(
        abs(max(0.0, earlier - elapsed) - later) >= _MIN_WAIT_CHANGE
        for earlier, later in times
    )
