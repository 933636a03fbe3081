"""Conversion of points in time to the clock of another node."""

from egretlever.core import Seconds

# Time for which readings count. Clocks of hosts drift apart by up to 0.5 ms a
# second while they are corrected.
_WINDOW = Seconds(60.0)
# Time after the first reading at which another one is due, doubled each time
# until it reaches the window: a busy node reads its first frames late.
_FIRST_INTERVAL = Seconds(1.0)


class RemoteClock:
    """Estimates the clock of another node from readings that it sends.

    A reading is late by the time that it was on its way, so the latest estimate
    of several readings is the best one. It is never ahead of the other clock,
    and a deadline that is converted to it comes early rather than late.

    Attributes
    ----------
    known : bool
        Whether there was any reading. Nodes of earlier releases send none.
    """

    def __init__(self) -> None:
        self.known = False
        self._offset = 0.0
        self._previous_offset = 0.0
        self._window_began_at = Seconds(0.0)
        self._interval = _FIRST_INTERVAL
        self._due_at = Seconds(0.0)

    def observe(self, reading: Seconds, now: Seconds) -> None:
        """Record a reading of the other clock that has just arrived.

        Parameters
        ----------
        reading : Seconds
            Reading when it was sent.
        now : Seconds
            Local clock time.
        """
        offset = reading - now
        self._due_at = Seconds(now + self._interval)
        self._interval = Seconds(min(2 * self._interval, _WINDOW))
        if not self.known:
            self.known = True
            self._begin_window(offset, offset, now)
        elif now - self._window_began_at < _WINDOW:
            self._offset = max(self._offset, offset)
        elif now - self._window_began_at < 2 * _WINDOW:
            self._begin_window(offset, self._offset, now)
        else:
            self._begin_window(offset, offset, now)

    def _begin_window(
        self, offset: float, previous_offset: float, now: Seconds
    ) -> None:
        self._offset = offset
        self._previous_offset = previous_offset
        self._window_began_at = now

    def is_due(self, now: Seconds) -> bool:
        """Tell whether a new reading is needed."""
        return self.known and now >= self._due_at

    def convert(self, time: Seconds) -> Seconds:
        """Convert a local clock time to the other clock."""
        return Seconds(time + max(self._offset, self._previous_offset))

    def restore(self, reading: Seconds) -> Seconds:
        """Convert a reading of the other clock to a local clock time."""
        return Seconds(reading - max(self._offset, self._previous_offset))
