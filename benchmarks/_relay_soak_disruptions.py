"""Disruptions that excuse a host of a relay soak run."""

from collections.abc import Sequence

from benchmarks._relay_soak_plan import EventKind
from benchmarks._relay_soak_records import AppliedEvent
from egretlever.core import Seconds

# Time without disruption after which a host is in touch.
CONTACT = Seconds(3.0)
_PLANNED = frozenset(kind.value for kind in EventKind if kind.is_planned)
_STORE = frozenset(kind.value for kind in EventKind if kind.is_store_event)
# Events after which the process of a host runs on as before.
_HARMLESS = frozenset(
    kind.value
    for kind in (
        EventKind.RELOAD,
        EventKind.REPLACE_SERVER,
        EventKind.CONFIGURE,
        EventKind.LIMIT,
        EventKind.LEAVE,
        EventKind.GRAY,
        EventKind.BAD_ANSWERS,
    )
)


def is_in_touch(
    events: Sequence[AppliedEvent], host: str, begun: Seconds, ended: Seconds
) -> bool:
    """Return whether a host was in touch from one time to another.

    Parameters
    ----------
    events : sequence of AppliedEvent
        All events of the run.
    host : str
        Name of the host.
    begun, ended : Seconds
        Times between which the host has to be in touch.
    """
    return not any(
        event.kind not in _HARMLESS
        and event.subject in (host, "")
        and _overlaps(event, begun, ended)
        for event in events
    )


def has_unplanned_disruption(
    events: Sequence[AppliedEvent], begun: Seconds, ended: Seconds
) -> bool:
    """Return whether any host had an unplanned disruption.

    Disruption of the store is none, since requests do not depend on it.
    """
    return any(
        event.kind not in _PLANNED | _STORE and _overlaps(event, begun, ended)
        for event in events
    )


def _overlaps(event: AppliedEvent, begun: Seconds, ended: Seconds) -> bool:
    return event.begun <= ended and event.ended > begun - CONTACT
