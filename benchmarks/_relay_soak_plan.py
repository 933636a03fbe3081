"""Random schedule of the events of a relay soak run."""

import dataclasses
import enum
import random

# Mean rate for up to 8 hosts; events overlap, since they last 2 s on average.
_EVENTS_PER_S = 0.8
_BAD_ANSWERS_PER_S = 0.15
_MEAN_DURATION_S = 2.0
_MAX_DURATION_S = 6.0
# Share of events that are repeated on the same host soon after.
_SERIES_SHARE = 0.3
_SERIES_INTERVAL_S = 0.7


class EventKind(enum.Enum):
    """Kind of an event on a host, or on the store with the prefix STORE."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    REPLACE_SERVER = "replace-server"
    GRAY = "gray"
    LINK_DELAY = "link-delay"
    LINK_SILENT = "link-silent"
    LINK_CUT_TO = "link-cut-to"
    LINK_CUT_FROM = "link-cut-from"
    LINK_RESET = "link-reset"
    STORE_BUSY = "store-busy"
    STORE_SILENT = "store-silent"
    STORE_LOST = "store-lost"
    STORE_LATE = "store-late"
    STORE_GARBLED = "store-garbled"
    STORE_FORGETS = "store-forgets"
    BAD_ANSWERS = "bad-answers"

    @property
    def is_store_event(self) -> bool:
        """Whether the event concerns the store instead of a host."""
        return self.value.startswith("store")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One scheduled event, with times in seconds from the start."""

    at: float
    duration: float
    kind: EventKind
    host: int


def make_schedule(seed: int, seconds: float, hosts: int) -> list[Event]:
    """Create a schedule, always the same for a seed.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    seconds : float
        Time in which the first events of a series begin.
    hosts : int
        Number of hosts.
    """
    # A schedule of its own keeps the other events of a seed as they are.
    bad = (EventKind.BAD_ANSWERS,)
    others = tuple(kind for kind in EventKind if kind not in bad)
    schedule = _draw_events(
        random.Random(seed), others, _EVENTS_PER_S, seconds, hosts
    ) + _draw_events(
        random.Random(f"bad-{seed}"), bad, _BAD_ANSWERS_PER_S, seconds, hosts
    )
    return sorted(schedule, key=lambda event: event.at)


def _draw_events(
    rng: random.Random,
    kinds: tuple[EventKind, ...],
    rate: float,
    seconds: float,
    hosts: int,
) -> list[Event]:
    """Draw events of some kinds, `rate` per second with up to 8 hosts."""
    rate *= max(1.0, hosts / 8)
    schedule = []
    at = rng.expovariate(rate)
    while at < seconds:
        duration = min(_MAX_DURATION_S, rng.expovariate(1 / _MEAN_DURATION_S))
        kind = rng.choice(kinds)
        event = Event(at, duration, kind, rng.randrange(hosts))
        schedule.append(event)
        if rng.random() < _SERIES_SHARE:
            repetition = dataclasses.replace(event, at=at + _SERIES_INTERVAL_S)
            schedule.append(repetition)
        at += rng.expovariate(rate)
    return schedule
