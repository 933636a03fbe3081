"""Age of what a node knows of a table, and how long it may do with it.

Ages, as shares of the time in which a change has to be in force, while a source
passes nothing on:

====  ====================================================================
0.45  the next answer of the store is due at a reader that others follow
0.55  the node leaves its source, 0.02 later for each hop
0.75  one more source is tried at most, then the store is asked
0.80  followers have waited for a source that looks for another one
0.90  the store is asked at the latest
====  ====================================================================
"""

import dataclasses

from egretlever.core import Seconds
from egretlever.relay._changes import Position
from egretlever.relay._remote_clock import RemoteClock

# All shares are of the time in which a change has to be in force.
# Time that an answer of the store may be on its way. What exceeds it counts as
# age: this node was late to read the answer, or the store to give it.
_ANSWER_SHARE = 0.1
# Age at which information is reported as late.
_LATE_SHARE = 0.5
# Duration of a long poll, and age at which its answer is due. After an answer
# with rows the next poll begins late, and a slow store answers late.
_POLL_SHARE = 0.37
_ANSWER_DUE_SHARE = 0.45
# Age at which a node leaves its source, and what each hop adds to it, so that
# it hears before whether its source looks for another one itself.
_OLD_SHARE = 0.55
_HOP_SHARE = 0.02
_MAX_HOPS_COUNTED = 4
# Age until which the followers of a node that does so wait for it.
_WAIT_SHARE = 0.8
# Time in which another source has to send something, and its bound while what
# is known is not too old.
_TRY_SHARE = 0.1
_LONG_TRY_SHARE = 0.25
# Age from which on one more source is tried at most.
_LAST_TRY_SHARE = 0.75
# Time after which a source that was found too slow before is relied on again.
_TRIAL_SHARE = 2.0
# Nodes that are tried before the store is read while nothing is known yet.
_MAX_FIRST_TRIES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTimes:
    """When the store was asked, and when its answer was read.

    Parameters
    ----------
    asked_at, answered_at : Seconds
        Clock times.
    wait : Seconds
        Time for which the store was asked to wait for a change.
    store_clock : Seconds or None
        Reading of the store's clock in the answer, if there is one.
    """

    asked_at: Seconds
    answered_at: Seconds
    wait: Seconds = Seconds(0.0)
    store_clock: Seconds | None = None


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
    poll_time : Seconds
        Longest duration of a long poll.
    try_time : Seconds
        Least time that another source gets to send something.
    trial_time : Seconds
        Time after which earlier failures of a source are forgotten.

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
        self._old_age = _OLD_SHARE * in_force_within
        self._hop_time = _HOP_SHARE * in_force_within
        self._wait_age = _WAIT_SHARE * in_force_within
        self.try_time = Seconds(_TRY_SHARE * in_force_within)
        self.trial_time = Seconds(_TRIAL_SHARE * in_force_within)
        self._long_try_time = _LONG_TRY_SHARE * in_force_within
        self._last_try_age = _LAST_TRY_SHARE * in_force_within
        self.poll_time = Seconds(_POLL_SHARE * in_force_within)
        self._answer_due_age = _ANSWER_DUE_SHARE * in_force_within
        # Time of the latest whole poll beyond its wait.
        self._store_delay = 0.0
        self._store_clock = RemoteClock()
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
            Age that was reached before, if that was late and is over.
        """
        if self.position is None:
            self.position = position
            return None
        age = Seconds(now - self.position.as_of)
        known_late = now - position.as_of > self._late_age
        if position.as_of > self.position.as_of:
            self.position = position
        elif not known_late:
            self.position = Position(self.position.as_of, position.hops)
        return age if age > self._late_age and not known_late else None

    def forget(self) -> None:
        """Record that the source tells no positions."""
        self.position = None

    def find_read_position(self, times: ReadTimes) -> Position:
        """Find the position that an answer of the store leads to."""
        delay = times.answered_at - times.asked_at - times.wait
        if delay >= 0:
            self._store_delay = delay
        latest = times.asked_at + times.wait + self._answer_time
        if times.store_clock is not None:
            self._store_clock.observe(times.store_clock, times.answered_at)
            made_at = self._store_clock.restore(times.store_clock)
            latest = min(latest, max(made_at, times.asked_at))
        return Position(Seconds(min(times.answered_at, latest)), 0)

    def find_poll_time(self, now: Seconds) -> Seconds:
        """Find the duration of a long poll that begins now."""
        if self.position is None:
            return self.poll_time
        due_at = self.position.as_of + self._answer_due_age
        left = due_at - self._store_delay - now
        return Seconds(max(0.0, min(self.poll_time, left)))

    def find_deadline(self) -> Seconds | None:
        """Find the time at which what is known is too old.

        Returns
        -------
        Seconds or None
            None when the age is not known.
        """
        if self.position is None:
            return None
        return self._find_end(self.position)

    def _find_end(self, position: Position) -> Seconds:
        hops = min(position.hops, _MAX_HOPS_COUNTED)
        return Seconds(position.as_of + self._old_age + hops * self._hop_time)

    def is_outdated(self, position: Position | None, now: Seconds) -> bool:
        """Tell whether a position is too old to rely on its source."""
        return position is not None and now >= self._find_end(position)

    def find_wait_end(self) -> Seconds:
        """Find the time until which a source may look for another one."""
        if self.position is None:
            return Seconds(0.0)
        return Seconds(self.position.as_of + self._wait_age)

    def may_try_another(self, tried: int, now: Seconds) -> bool:
        """Tell whether time is left for another source before the store.

        Parameters
        ----------
        tried : int
            Sources that were tried in a row without success.
        now : Seconds
            Clock time.
        """
        if self.position is None:
            return tried < _MAX_FIRST_TRIES
        return tried <= 1 or now < self.position.as_of + self._last_try_age

    def find_try_end(self, now: Seconds) -> Seconds | None:
        """Find the time until which another source may send something.

        Returns
        -------
        Seconds or None
            None when the age of what is known is not known.
        """
        if self.position is None:
            return None
        long_end = min(now + self._long_try_time, self._find_end(self.position))
        return Seconds(max(now + self.try_time, long_end))
