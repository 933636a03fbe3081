"""Reports refusals and drops of an account at a bounded rate."""

import enum
from collections.abc import Callable

from egretlever.core import Seconds, make_log

_LOG = make_log("memory")
_LINE_INTERVAL = Seconds(1.0)


class PressureEvent(enum.Enum):
    """What the account does when there is no room."""

    REFUSED = "refused"
    DROPPED = "dropped"


class PressureLog:
    """Counts each event, and logs each kind of event once a second at most.

    Parameters
    ----------
    count : callable
        Called with the event and the kind of bytes that had no room.
    """

    def __init__(self, count: Callable[[str, str], None]) -> None:
        self._count = count
        self._logged_at: dict[tuple[PressureEvent, str], Seconds] = {}
        self._unlogged: dict[tuple[PressureEvent, str], int] = {}

    def report(
        self, event: PressureEvent, kind: str, used: int, now: Seconds
    ) -> None:
        """Report an event.

        Parameters
        ----------
        event : PressureEvent
            What happened.
        kind : str
            Kind of bytes that had no room.
        used : int
            Bytes held now.
        now : Seconds
            Clock time.
        """
        self._count(event.value, kind)
        key = event, kind
        self._unlogged[key] = self._unlogged.get(key, 0) + 1
        logged_at = self._logged_at.get(key)
        if logged_at is not None and now - logged_at < _LINE_INTERVAL:
            return
        self._logged_at[key] = now
        _LOG.warning(
            "No room for bytes of kind %s: %d %s, %d bytes held.",
            kind,
            self._unlogged.pop(key),
            event.value,
            used,
        )
