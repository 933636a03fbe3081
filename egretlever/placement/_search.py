"""Progress of the search for a home node, and what it chooses."""

import dataclasses
import enum

from egretlever.core import FailureDomain, Seconds, ServerId
from egretlever.placement._records import HomeServer, Trust


class Distance(enum.IntEnum):
    """How far a home node is from the entry node."""

    OWN_DOMAIN = 0
    OWN_REGION = 1
    OTHER_REGION = 2


class Stage(enum.Enum):
    """How much is still asked of a home node for one request."""

    ON_TIME = "on-time"
    LATE = "late"
    FORCED = "forced"


@dataclasses.dataclass(slots=True)
class Search:
    """Progress of the search for a home node for one request.

    Parameters
    ----------
    rank : int
        Priority, 0 for the most urgent.
    may_test : bool
        Whether the request may be the trial of a doubted server.
    on_time_at : Seconds
        Reading of the clock until which the answer has its full worth.
    deadline : Seconds
        Reading of the clock at which the client or the route gives up.
    service_time : Seconds
        Usual time of a request of this route at a server.
    stage : Stage
        What is asked at present.
    asked : set of ServerId
        Homes that were offered the request in this stage.
    excluded : set of ServerId
        Homes that the request must not be offered to again.
    asked_at : list of Distance
        How far the homes of all offers were.
    spent : set of FailureDomain
        Failure domains whose home nodes allow no repeated attempts now.
    offers : int
        Offers made in this stage.
    """

    rank: int
    may_test: bool
    on_time_at: Seconds
    deadline: Seconds
    service_time: Seconds
    stage: Stage = Stage.ON_TIME
    asked: set[ServerId] = dataclasses.field(default_factory=set)
    excluded: set[ServerId] = dataclasses.field(default_factory=set)
    asked_at: list[Distance] = dataclasses.field(default_factory=list)
    spent: set[FailureDomain] = dataclasses.field(default_factory=set)
    offers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HomeChoice:
    """A home node to offer a request to.

    Parameters
    ----------
    server : HomeServer
        Server behind the home node.
    max_wait : Seconds
        Longest wait for a slot that the request can bear there.
    forced : bool
        Whether doubt about the server must not keep the request out.
    late : bool
        Whether the answer can't be on time any more.
    reason : str
        Why it was chosen, for the log.
    wait : Seconds
        Expected wait and slowness, by which it was compared.
    trust : Trust
        What its last report said of the server.
    view_age : Seconds or None
        Age of that report, None without one.
    """

    server: HomeServer
    max_wait: Seconds
    forced: bool
    late: bool
    reason: str
    wait: Seconds
    trust: Trust
    view_age: Seconds | None
