"""Age of what a node knows of a table, and how long it may do with it."""

import dataclasses

from egretlever.core import Seconds
from egretlever.relay._changes import Position

# Shares of the time in which a change has to be in force:
# Time that an answer of the store may be on its way. What exceeds it counts as
# age: this node was late to read the answer, or the store to give it.
_ANSWER_SHARE = 0.1
# Age at which information is reported as late.
_LATE_SHARE = 0.5
# Duration of a long poll, and age at which its answer is due. After an answer
# with rows the next poll begins late, and a slow store answers late.
_POLL_SHARE = 0.37
_ANSWER_DUE_SHARE = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTimes:
    """When the store was asked, and when its answer was read.

    Parameters
    ----------
    asked_at, answered_at : Seconds
        Clock times.
    wait : Seconds
        Time for which the store was asked to wait for a change.
    """

    asked_at: Seconds
    answered_at: Seconds
    wait: Seconds = Seconds(0.0)


class Freshness:
    """Knows up to when a node knows the changes of a table.

    Parameters
    ----------
    in_force_within : Seconds
        Time in which a change has to be in force.

    Attributes
    ----------
    position : Position or None
        Newest position; None before the first one, and while the source is a
        node of an earlier release.

    Examples
    --------
    >>> freshness = Freshness(Seconds(2.0))
    >>> freshness.advance(Position(Seconds(10.0), 1), Seconds(10.1))
    >>> freshness.measure_age(Seconds(10.5))
    0.5
    """

    def __init__(self, in_force_within: Seconds) -> None:
        self._answer_time = _ANSWER_SHARE * in_force_within
        self._late_age = _LATE_SHARE * in_force_within
        self._poll_time = _POLL_SHARE * in_force_within
        self._answer_due_age = _ANSWER_DUE_SHARE * in_force_within
        # Time of the latest whole poll beyond its wait.
        self._store_delay = 0.0
        self.position: Position | None = None

    def measure_age(self, now: Seconds) -> Seconds | None:
        """Return the age of what is known; None when that is not known."""
        if self.position is None:
            return None
        return Seconds(now - self.position.as_of)

    def advance(self, position: Position, now: Seconds) -> Seconds | None:
        """Record a position; an earlier one than the known one is ignored.

        Returns
        -------
        Seconds or None
            Age that was reached before, if that was late.
        """
        age = self.measure_age(now)
        if self.position is None or position.as_of > self.position.as_of:
            self.position = position
        elif position.hops != self.position.hops:
            self.position = Position(self.position.as_of, position.hops)
        return age if age is not None and age > self._late_age else None

    def forget(self) -> None:
        """Record that the source tells no positions."""
        self.position = None

    def find_read_position(self, times: ReadTimes) -> Position:
        """Find the position that an answer of the store leads to."""
        delay = times.answered_at - times.asked_at - times.wait
        if delay >= 0:
            self._store_delay = delay
        latest = times.asked_at + times.wait + self._answer_time
        return Position(Seconds(min(times.answered_at, latest)), 0)

    def find_poll_time(self, now: Seconds) -> Seconds:
        """Find the duration of a long poll that begins now."""
        if self.position is None:
            return Seconds(self._poll_time)
        due_at = self.position.as_of + self._answer_due_age
        left = due_at - self._store_delay - now
        return Seconds(max(0.0, min(self._poll_time, left)))
