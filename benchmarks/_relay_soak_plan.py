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
_CONFIGURE_INTERVAL_S = (0.4, 6.0)
_ROLLS_PER_S = 0.06
_ROLL_INTERVAL_S = (0.3, 4.0)
_RESTART_DELAY_S = (0.3, 4.0)
_PAUSES_OF_SOURCES_PER_S = 0.1
_SLOWINGS_PER_S = 0.08
_SIGNALS_PER_S = 0.1
_RESTORES_PER_S = 0.06
# Limits last until those that a node has learned late are excused.
_MIN_LIMIT_DURATION_S = 8.0
# Number of failure domains; the first hosts of all are the sources of others.
DOMAINS = 3


class Faults(enum.Enum):
    """Events that a run injects, besides planned work."""

    ALL = "all"
    PLANNED = "planned"
    STORE = "store"
    HOSTS = "hosts"


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
    CONFIGURE = "configure"
    ROLL = "roll"
    ROLL_AFTER_SERVER = "roll-after-server"
    PAUSE_SOURCE = "pause-source"
    SLOW = "slow"
    LIMIT = "limit"
    LEAVE = "leave"
    STORE_RESTORED = "store-restored"

    @property
    def is_planned(self) -> bool:
        """Whether the event is planned work, which excuses no lost request."""
        return self in _PLANNED

    @property
    def is_store_event(self) -> bool:
        """Whether the event concerns the store instead of a host."""
        return self.value.startswith("store")


_PLANNED = frozenset(
    {
        EventKind.STOP,
        EventKind.RELOAD,
        EventKind.REPLACE_SERVER,
        EventKind.CONFIGURE,
        EventKind.ROLL,
        EventKind.ROLL_AFTER_SERVER,
        EventKind.LIMIT,
        EventKind.LEAVE,
    }
)
# Kinds drawn by the first generator.
_FIRST_KINDS = tuple(EventKind)[: tuple(EventKind).index(EventKind.BAD_ANSWERS)]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One scheduled event, with times in seconds from the start.

    The duration of a roll's stop is the time until the restart.
    """

    at: float
    duration: float
    kind: EventKind
    host: int


def make_schedule(
    seed: int, seconds: float, hosts: int, faults: Faults = Faults.ALL
) -> list[Event]:
    """Create a schedule, always the same for a seed.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    seconds : float
        Time in which the first events of a series begin.
    hosts : int
        Number of hosts.
    faults : Faults, optional
        Events that are kept in the schedule.
    """
    # Schedules of their own keep the other events of a seed as they are.
    schedule = _draw_events(
        random.Random(seed), _FIRST_KINDS, _EVENTS_PER_S, seconds, hosts
    )
    for name, kinds, rate, count in (
        ("bad", (EventKind.BAD_ANSWERS,), _BAD_ANSWERS_PER_S, hosts),
        ("slow", (EventKind.SLOW,), _SLOWINGS_PER_S, hosts),
        ("restore", (EventKind.STORE_RESTORED,), _RESTORES_PER_S, 1),
        ("signals", (EventKind.LIMIT, EventKind.LEAVE), _SIGNALS_PER_S, hosts),
        (
            "source",
            (EventKind.PAUSE_SOURCE,),
            _PAUSES_OF_SOURCES_PER_S,
            min(DOMAINS, hosts),
        ),
    ):
        rng = random.Random(f"{name}-{seed}")
        schedule += _draw_events(rng, kinds, rate, seconds, count)
    schedule += _draw_configurations(random.Random(f"conf-{seed}"), seconds)
    schedule += _draw_rolls(random.Random(f"roll-{seed}"), seconds, hosts)
    kept = [event for event in schedule if _is_kept(event.kind, faults)]
    return sorted(kept, key=lambda event: event.at)


def _is_kept(kind: EventKind, faults: Faults) -> bool:
    if faults is Faults.ALL or kind.is_planned:
        return True
    if faults is Faults.PLANNED:
        return False
    return kind.is_store_event == (faults is Faults.STORE)


def _draw_configurations(rng: random.Random, seconds: float) -> list[Event]:
    schedule = []
    at = rng.uniform(*_CONFIGURE_INTERVAL_S)
    while at < seconds:
        schedule.append(Event(at, 0.0, EventKind.CONFIGURE, 0))
        at += rng.uniform(*_CONFIGURE_INTERVAL_S)
    return schedule


def _draw_rolls(rng: random.Random, seconds: float, hosts: int) -> list[Event]:
    """Draw planned stops that go from host to host and overlap."""
    schedule = []
    rate = _ROLLS_PER_S * max(1.0, hosts / 8)
    begun = rng.uniform(0.0, 1.0 / rate)
    while begun < seconds:
        first, count = rng.randrange(hosts), rng.randint(2, max(2, hosts // 2))
        at = begun
        for number in range(first, first + count):
            kind = rng.choice([EventKind.ROLL, EventKind.ROLL_AFTER_SERVER])
            delay = rng.uniform(*_RESTART_DELAY_S)
            schedule.append(Event(at, delay, kind, number % hosts))
            at += rng.uniform(*_ROLL_INTERVAL_S)
        begun += rng.expovariate(rate)
    return schedule


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
        if kind is EventKind.LIMIT:
            duration += _MIN_LIMIT_DURATION_S
        event = Event(at, duration, kind, rng.randrange(hosts))
        schedule.append(event)
        if rng.random() < _SERIES_SHARE:
            repetition = dataclasses.replace(event, at=at + _SERIES_INTERVAL_S)
            schedule.append(repetition)
        at += rng.expovariate(rate)
    return schedule
