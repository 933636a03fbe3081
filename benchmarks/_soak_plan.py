"""Schedule of the randomised run: faults, catalogue edits and floods."""

import dataclasses
import enum
import random
from collections.abc import Sequence

from egretlever.schema import standins_pb2

_MEAN_EVENT_INTERVAL_S = 1.6
_QUIET_START_S = 6.0  # time without events at the start
_QUIET_END_S = 8.0  # time without events at the end
_SIMULTANEOUS_SHARE = 0.25  # of the events, with another at the same time
_REPETITION_SHARE = 0.15  # of the events, repeated once on the same target


class Kind(enum.Enum):
    """Kind of an event."""

    SERVER_KILL = "server-kill"
    SERVER_PAUSE = "server-pause"
    SERVER_FAULT = "server-fault"
    SERVER_DRAIN = "server-drain"
    NODE_KILL = "node-kill"
    NODE_PAUSE = "node-pause"
    NODE_LEAVE = "node-leave"
    CUT_TO_SERVER = "cut-to-server"
    CUT_TO_NODE = "cut-to-node"
    PLATFORM = "platform"
    EDIT = "edit"
    RACE = "race"
    FLOOD = "flood"


_WEIGHTS = {
    Kind.SERVER_KILL: 4,
    Kind.SERVER_PAUSE: 4,
    Kind.SERVER_FAULT: 12,
    Kind.SERVER_DRAIN: 4,
    Kind.NODE_KILL: 2,
    Kind.NODE_PAUSE: 3,
    Kind.NODE_LEAVE: 3,
    Kind.CUT_TO_SERVER: 4,
    Kind.CUT_TO_NODE: 5,
    Kind.PLATFORM: 3,
    Kind.EDIT: 3,
    Kind.RACE: 2,
    Kind.FLOOD: 2,
}

SERVER_FAULTS: dict[str, dict[str, object]] = {
    "slow": {"slow_factor": 8.0},
    "black-hole": {"black_hole": True},
    "errors": {"error_share": 0.4},
    "flapping": {"error_share": 0.8, "flap_period_s": 1.0},
    "one-way": {"one_way": True},
    "refusing": {"refuse": True},
    "cut": {"cut_share": 0.3},
    "crossed": {"crossed_share": 0.3},
    "silent": {"silence_open_connections": True},
    "lying": {"black_hole": True, "lying_health": True},
    "queueing": {"queue_instead_of_shed": True, "slow_factor": 3.0},
}
PLATFORM_FAULTS: dict[str, dict[str, object]] = {
    "away": {"away": True},
    "slow": {"latency_s": 0.6},
    "lost answers": {"lost_answers": 0.4, "latency_s": 0.002},
    "silent": {"answer": 1},
}
FLOODS = ("lookup", "order", "lookup and order")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One planned event.

    Parameters
    ----------
    at : float
        Seconds after the start of the run.
    kind : Kind
        Kind of the event.
    target : str
        Name of a server or node; empty for other events.
    duration : float
        Seconds until the event is undone.
    detail : str
        Name of the fault or flood, or the effect and other end of a cut.
    """

    at: float
    kind: Kind
    target: str
    duration: float
    detail: str = ""

    def __str__(self) -> str:
        words = [self.kind.value, self.target, self.detail]
        shown = " ".join(word for word in words if word)
        return f"{self.at:6.1f} s  {shown} for {self.duration:.1f} s"


def make_schedule(
    randomness: random.Random,
    duration: float,
    servers: Sequence[str],
    nodes: Sequence[str],
) -> list[Event]:
    """Create a random schedule.

    Parameters
    ----------
    randomness : random.Random
        Source of all random choices.
    duration : float
        Length of the run, in seconds.
    servers, nodes : sequence of str
        Names of possible targets.

    Returns
    -------
    list of Event
        Events ordered by time.
    """
    events: list[Event] = []
    at = _QUIET_START_S
    while at < duration - _QUIET_END_S:
        event = _make_event(randomness, at, servers, nodes)
        events.append(event)
        if randomness.random() < _REPETITION_SHARE:
            repeated_at = at + event.duration + randomness.uniform(0.0, 3.0)
            events.append(dataclasses.replace(event, at=repeated_at))
        if randomness.random() >= _SIMULTANEOUS_SHARE:
            at += randomness.expovariate(1.0 / _MEAN_EVENT_INTERVAL_S)
    events.sort(key=lambda event: event.at)
    return [event for event in events if event.at < duration - _QUIET_END_S]


def _make_event(
    randomness: random.Random,
    at: float,
    servers: Sequence[str],
    nodes: Sequence[str],
) -> Event:
    kinds = list(_WEIGHTS)
    kind = randomness.choices(kinds, [_WEIGHTS[kind] for kind in kinds])[0]
    target, detail = "", ""
    if kind.value.startswith("server"):
        target = randomness.choice(servers)
    elif kind.value.startswith(("node", "cut")):
        target = randomness.choice(nodes)
    if kind is Kind.SERVER_FAULT:
        detail = randomness.choice(list(SERVER_FAULTS))
    elif kind is Kind.CUT_TO_SERVER:
        direction = randomness.choice(("sending", "receiving"))
        detail = f"{direction} {randomness.choice(servers)}"
    elif kind is Kind.CUT_TO_NODE:
        effect = randomness.choice(("sending", "receiving", "loss", "delay"))
        other = randomness.choice([node for node in nodes if node != target])
        detail = f"{effect} {other}"
    elif kind is Kind.PLATFORM:
        detail = randomness.choice(list(PLATFORM_FAULTS))
    elif kind is Kind.FLOOD:
        detail = randomness.choice(FLOODS)
    return Event(at, kind, target, randomness.uniform(1.0, 8.0), detail)


def _build_request(
    method: str, path: str, rank: str, deadline: float, **fields: object
) -> standins_pb2.LoadRequest:
    values: dict[str, object] = {
        "method": method,
        "path": path,
        "rank": rank,
        "deadline_s": deadline,
        "answer_bytes": 1500,
        **fields,
    }
    return standins_pb2.LoadRequest(**values)  # type: ignore[arg-type]


_ORDER = _build_request("POST", "/swatches", "order", 2.0, order=True, worth=20)
_LOOKUP = _build_request("GET", "/internal/lookups", "lookup", 3.0)

# Requests of one load generator, each with its rate in requests per second.
KAPRA_MIX = [
    (_ORDER, 6.0),
    (_build_request("GET", "/swatches/1", "browse", 1.5, worth=3), 3.0),
    (
        _build_request(
            "POST", "/mills/callbacks", "callback", 3.0, order=True, worth=10
        ),
        2.5,
    ),
    (_build_request("GET", "/fabrics/silk", "browse", 1.5, worth=3), 8.0),
    (_build_request("GET", "/fabrics/sheets/1", "export", 5.0, worth=0.2), 1.5),
]
SABLAT_MIX = [
    (
        _build_request(
            "POST", "/kits/orders", "kit-order", 3.0, order=True, worth=15
        ),
        5.0,
    ),
    (_build_request("GET", "/kits/1", "progress", 3.0, worth=2), 2.5),
    (_LOOKUP, 2.5),
    (_build_request("GET", "/lessons/1", "lesson", 1.5, worth=10), 8.0),
    (
        _build_request(
            "PUT", "/progress/1", "progress", 3.0, worth=2, body_bytes=300
        ),
        2.5,
    ),
]
# Three times the capacity of the service, as in the targets of the design.
FLOOD_MIXES = {
    "lookup": [(_LOOKUP, 420.0)],
    "order": [(_ORDER, 440.0)],
    "lookup and order": [(_LOOKUP, 420.0), (_ORDER, 440.0)],
}
SERVICES = {
    "ordering": (11, 4),
    "catalogue": (8, 4),
    "members-desk": (14, 3),
    "classroom-hub": (8, 3),
}
SERVICE_TIME_S = 0.3  # 44 and 42 slots then run about 145 requests per second
