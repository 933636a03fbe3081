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


# Part of the time to spare that a request may wait for a slot before homes
# further away are tried. Bytes between failure domains and regions are paid,
# and the wait nearby is free as long as the answer is on time.
_WAIT_SHARES = {
    Distance.OWN_DOMAIN: 0.3,
    Distance.OWN_REGION: 0.6,
    Distance.OTHER_REGION: 0.7,
}
# Ranks from this one on have time to wait. They are held in queues nearby until
# a flood is over, go behind the other ranks there and take no slot from them.
# They do not cross to the other region to be on time, whose bytes are dear.
_FIRST_PATIENT_RANK = 2
_PATIENT_WAIT_SHARES = {
    Distance.OWN_DOMAIN: 0.45,
    Distance.OWN_REGION: 0.7,
}
# Part of the time left that a request may wait when it can't be on time any
# more. A request that is held for long and then rejected is worse off than one
# that is rejected at once.
_LATE_WAIT_SHARE = 0.12
# One exchange of messages, in seconds, on top of the time at the home node.
ROUND_TRIPS = {
    Distance.OWN_DOMAIN: 0.001,
    Distance.OWN_REGION: 0.003,
    Distance.OTHER_REGION: 0.018,
}
# Offers to homes at a distance for a request to be on time. A refusal costs
# bytes that are paid beyond the own failure domain.
_MAX_DISTANT_OFFERS = {
    Distance.OWN_DOMAIN: 10,
    Distance.OWN_REGION: 4,
    Distance.OTHER_REGION: 2,
}


class Stage(enum.Enum):
    """How much is still asked of a home node for one request."""

    ON_TIME = "on-time"
    LATE = "late"
    FORCED = "forced"


# Offers of one request in each stage. A refused offer costs a round trip, and a
# request that nobody takes has to be rejected soon.
_MAX_OFFERS = {Stage.ON_TIME: 10, Stage.LATE: 4, Stage.FORCED: 2}


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

    def measure_wait(self, distance: Distance, now: Seconds) -> Seconds | None:
        """Return the longest wait at a distance for an answer on time.

        Parameters
        ----------
        distance : Distance
            How far the home node is.
        now : Seconds
            Reading of the clock.

        Returns
        -------
        Seconds or None
            None when the request is not to be offered there any more.
        """
        shares = _WAIT_SHARES
        if self.rank >= _FIRST_PATIENT_RANK:
            shares = _PATIENT_WAIT_SHARES
        spare = self.on_time_at - now - self.service_time
        spare -= ROUND_TRIPS[distance]
        asked = self.asked_at.count(distance)
        if (
            distance not in shares
            or spare < 0
            or asked >= _MAX_DISTANT_OFFERS[distance]
        ):
            return None
        return Seconds(shares[distance] * spare)

    def measure_late_wait(self, now: Seconds) -> Seconds:
        """Return the longest wait when the answer can't be on time."""
        spare = self.deadline - now - self.service_time
        return Seconds(_LATE_WAIT_SHARE * spare)

    def is_stage_over(self) -> bool:
        """Tell whether no further offer is made in this stage."""
        return self.offers >= _MAX_OFFERS[self.stage]

    def skip_stage(self) -> None:
        """Give the present stage up: the request has waited in vain."""
        self.offers = _MAX_OFFERS[self.stage]

    def begin_stage(self, stage: Stage) -> None:
        """Ask less of the home nodes, those asked before included."""
        self.stage = stage
        self.asked.clear()
        self.offers = 0

    def note_offer(self, server_id: ServerId, distance: Distance) -> None:
        """Note that a home node is being offered the request."""
        self.asked.add(server_id)
        self.asked_at.append(distance)
        self.offers += 1


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
