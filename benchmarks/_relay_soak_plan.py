"""Schedule of a soak: what is done to which host, and when."""

import dataclasses
import enum
import random

# Events a second in the mean; several are at work at a time.
_RATE = 0.8
_MEAN_LENGTH = 2.0  # seconds
_MAX_LENGTH = 6.0
# Shares of repeats of one kind on the same host soon after, as in a series.
_SERIES_SHARE = 0.3
_SERIES_PAUSE = 0.7  # seconds


class EventKind(enum.Enum):
    """What is done to a host, or to the store for those that begin so."""

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

    @property
    def is_global(self) -> bool:
        """Whether it concerns the store and no host."""
        return self.value.startswith("store")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One entry of a schedule, with times in seconds from its start."""

    at: float
    length: float
    kind: EventKind
    host: int


def make_schedule(seed: int, seconds: float, hosts: int) -> list[Event]:
    """Draw a schedule, the same one for each seed.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    seconds : float
        Time in which events begin.
    hosts : int
        Number of hosts.
    """
    rng = random.Random(seed)
    rate = _RATE * max(1.0, hosts / 8)
    schedule = []
    at = rng.expovariate(rate)
    while at < seconds:
        length = min(_MAX_LENGTH, rng.expovariate(1 / _MEAN_LENGTH))
        kind = rng.choice(list(EventKind))
        event = Event(at, length, kind, rng.randrange(hosts))
        schedule.append(event)
        if rng.random() < _SERIES_SHARE:
            later = dataclasses.replace(event, at=at + _SERIES_PAUSE)
            schedule.append(later)
        at += rng.expovariate(rate)
    return sorted(schedule, key=lambda event: event.at)
