"""State of the search for a home node, and its result."""

import dataclasses
import enum

from egretlever.core import Seconds, ServerId
from egretlever.placement._records import HomeServer, Trust


class Distance(enum.IntEnum):
    """Distance of a home node from the entry node."""

    OWN_DOMAIN = 0
    OWN_REGION = 1
    OTHER_REGION = 2


# Share of its spare time that a request may wait for a slot before home nodes
# at the next distance are tried. Traffic between failure domains and regions is
# billed, while a wait nearby costs nothing if the answer is on time.
_WAIT_SHARES = {
    Distance.OWN_DOMAIN: 0.3,
    Distance.OWN_REGION: 0.6,
    Distance.OTHER_REGION: 0.7,
}
# Ranks from this one on tolerate delay. They wait longer in queues nearby until
# a flood is over, behind the other ranks, and take no slots from them. They do
# not cross to another region to be on time, since that traffic is expensive.
_FIRST_DELAY_TOLERANT_RANK = 2
_DELAY_TOLERANT_WAIT_SHARES = {
    Distance.OWN_DOMAIN: 0.45,
    Distance.OWN_REGION: 0.7,
}
# Share of the spare time until the deadline that a late request may wait. It is
# small because a request that waits for long and is then rejected is worse off
# than one that is rejected at once.
_LATE_WAIT_SHARE = 0.12
# Network round-trip time in seconds.
ROUND_TRIP_TIMES_S = {
    Distance.OWN_DOMAIN: 0.001,
    Distance.OWN_REGION: 0.003,
    Distance.OTHER_REGION: 0.018,
}
# Limit of the offers of one request at each distance while it may be on time. A
# refused offer costs traffic, which is billed beyond the own failure domain.
_MAX_OFFERS_BY_DISTANCE = {
    Distance.OWN_DOMAIN: 10,
    Distance.OWN_REGION: 4,
    Distance.OTHER_REGION: 2,
}


class Stage(enum.Enum):
    """Stage of a search, in the order in which they are tried.

    ``ON_TIME`` looks for an answer within the latency objective, ``LATE`` for
    one before the deadline. ``FORCED`` also offers the request to servers that
    are not trusted.
    """

    ON_TIME = "on-time"
    LATE = "late"
    FORCED = "forced"


# Limit of the offers of one request in each stage. A refused offer costs a
# round trip, and a request that no home node accepts has to be rejected soon.
_MAX_OFFERS_BY_STAGE = {Stage.ON_TIME: 10, Stage.LATE: 4, Stage.FORCED: 2}


@dataclasses.dataclass(slots=True)
class Search:
    """State of the search for a home node for one request.

    Parameters
    ----------
    rank : int
        Priority, 0 for the most urgent.
    may_be_trial : bool
        Whether the request may be the trial of a server that is not trusted.
    on_time_at : Seconds
        Time up to which the answer meets the latency objective.
    deadline : Seconds
        Time at which the client or the route gives up.
    service_time : Seconds
        Usual service time of a request of this route.
    least_time : Seconds, optional
        Time that has to be left for an offer to an idle server, by default the
        usual service time. The usual time is no bound for a single request,
        and it may be out of date.
    stage : Stage
        Current stage.
    offered : set of ServerId
        Servers whose home nodes were offered the request in this stage.
    excluded : set of ServerId
        Servers whose home nodes must not be offered the request again.
    offer_distances : list of Distance
        Distances of the offers of all stages.
    budget_refusals : int
        Number of home nodes that had no retry budget left for the request.
    offers : int
        Number of offers in this stage.
    max_share_refusals : int
        Number of home nodes that may refuse the request because its customer
        exceeds its share, before the stage ends.
    share_refusals : int
        Number of home nodes that did so.
    """

    rank: int
    may_be_trial: bool
    on_time_at: Seconds
    deadline: Seconds
    service_time: Seconds
    least_time: Seconds | None = None
    stage: Stage = Stage.ON_TIME
    offered: set[ServerId] = dataclasses.field(default_factory=set)
    excluded: set[ServerId] = dataclasses.field(default_factory=set)
    offer_distances: list[Distance] = dataclasses.field(default_factory=list)
    budget_refusals: int = 0
    offers: int = 0
    max_share_refusals: int = _MAX_OFFERS_BY_STAGE[Stage.ON_TIME]
    share_refusals: int = 0

    def find_max_wait(self, distance: Distance, now: Seconds) -> Seconds | None:
        """Return the longest wait at a distance that keeps the answer on time.

        Parameters
        ----------
        distance : Distance
            Distance of the home node.
        now : Seconds
            Current time.

        Returns
        -------
        Seconds or None
            None when the request may not be offered there.
        """
        shares = _WAIT_SHARES
        if self.rank >= _FIRST_DELAY_TOLERANT_RANK:
            shares = _DELAY_TOLERANT_WAIT_SHARES
        spare = self.on_time_at - now - self.service_time
        spare -= ROUND_TRIP_TIMES_S[distance]
        made = self.offer_distances.count(distance)
        if (
            distance not in shares
            or spare < 0
            or made >= _MAX_OFFERS_BY_DISTANCE[distance]
        ):
            return None
        return Seconds(shares[distance] * spare)

    @property
    def latest_start(self) -> Seconds:
        """Time from which the usual service time exceeds what is left."""
        return Seconds(self.deadline - self.service_time)

    def find_max_late_wait(self, now: Seconds) -> Seconds | None:
        """Return the longest wait of a late request.

        Returns
        -------
        Seconds or None
            0 when only an idle server can be asked, None when too little time
            is left for any.
        """
        spare = self.latest_start - now
        if spare > 0:
            return Seconds(_LATE_WAIT_SHARE * spare)
        if self.least_time is None or self.deadline - now <= self.least_time:
            return None
        return Seconds(0.0)

    def is_stage_over(self) -> bool:
        """Return whether this stage has used up its offers."""
        return self.offers >= _MAX_OFFERS_BY_STAGE[self.stage]

    def end_stage(self) -> None:
        """End this stage: the request expired in the queue of a home node."""
        self.offers = _MAX_OFFERS_BY_STAGE[self.stage]

    def observe_share_refusal(self) -> bool:
        """Record a refusal because the customer exceeds its share.

        Returns
        -------
        bool
            Whether this ends the stage; each further stage has one offer.
        """
        self.share_refusals += 1
        if self.share_refusals < self.max_share_refusals:
            return False
        self.end_stage()
        return True

    def exclude_failed(self, server_id: ServerId) -> None:
        """Leave out a server that had the request and did not answer it."""
        self.excluded.add(server_id)
        self.may_be_trial = False
        # A retry costs budget, so that it has to be likely to succeed.
        self.least_time = None

    def begin_stage(self, stage: Stage) -> None:
        """Begin a stage, in which all home nodes may get an offer again."""
        self.stage = stage
        self.offered.clear()
        self.offers = 0

    def record_offer(self, server_id: ServerId, distance: Distance) -> None:
        """Record an offer to a home node."""
        self.offered.add(server_id)
        self.offer_distances.append(distance)
        self.offers += 1


@dataclasses.dataclass(frozen=True, slots=True)
class HomeChoice:
    """A home node to offer a request to.

    Parameters
    ----------
    server : HomeServer
        Server of the home node.
    max_wait : Seconds
        Longest acceptable wait for a slot there.
    forced : bool
        Whether the server is to get the request although it is not trusted.
    late : bool
        Whether the answer can no longer meet the latency objective.
    reason : str
        Reason of the choice, for the log.
    wait : Seconds
        Expected delay by the queue and the slowness of the server.
    trust : Trust
        Trust in the server by its latest report.
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
