"""Reasons for which a home node gets no offer, and the servers' comparison."""

import dataclasses
import enum
import itertools
import statistics
from collections.abc import Collection

from egretlever.core import Seconds
from egretlever.placement._records import HomeServer, Trust
from egretlever.placement._search import Search, Stage
from egretlever.placement._views import HomeView

# Servers whose service times give the usual one of their service.
_MEDIAN_SAMPLE_SIZE = 16
DEFAULT_SERVICE_TIME = Seconds(0.2)  # until a home node reports one


class Exclusion(enum.Enum):
    """What kept a request from being offered to a home node."""

    FAILED = "failed"
    REFUSED = "refused"
    BACKOFF = "backoff"
    CIRCUIT_OPEN = "circuit-open"
    TRUST = "trust"
    TIME = "time"
    WAIT = "wait"
    SLOWNESS = "slowness"


def find_exclusion(
    search: Search,
    server: HomeServer,
    view: HomeView,
    trust: Trust,
    now: Seconds,
) -> Exclusion | None:
    """Return why a home node may get no offer in this stage, else None.

    Parameters
    ----------
    search : Search
        State of the request's search.
    server : HomeServer
        Server of the home node.
    view : HomeView
        What is known of the home node.
    trust : Trust
        Current trust in its server.
    now : Seconds
        Current time.
    """
    if server.id in search.excluded:
        return Exclusion.FAILED
    if server.id in search.offered:
        return Exclusion.REFUSED
    if view.is_backing_off(now):
        return Exclusion.BACKOFF
    if search.stage is Stage.FORCED:
        allowed = search.may_be_trial or trust is not Trust.BROKEN
        return None if allowed else Exclusion.TRUST
    if view.is_circuit_open(now):
        return Exclusion.CIRCUIT_OPEN
    if trust is Trust.BROKEN:
        allowed = search.stage is Stage.LATE and search.may_be_trial
    else:
        allowed = search.may_be_trial or trust is Trust.TRUSTED
    return None if allowed else Exclusion.TRUST


def find_late_exclusion(
    search: Search, wait: Seconds, extra_time: Seconds, now: Seconds
) -> Exclusion | None:
    """Return why a late request is not offered to an allowed home node.

    Parameters
    ----------
    search : Search
        State of the request's search.
    wait : Seconds
        Estimated wait for a slot.
    extra_time : Seconds
        Extra time that the server needs, compared with the others.
    now : Seconds
        Current time.
    """
    max_wait = search.find_max_late_wait(now)
    if max_wait is None:
        return Exclusion.TIME
    if wait > max_wait:
        return Exclusion.WAIT
    if extra_time and now + wait + extra_time > search.latest_start:
        return Exclusion.SLOWNESS
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerComparison:
    """Times of a service's servers, with which each of them is compared.

    Parameters
    ----------
    service_time : Seconds
        Usual service time of a request of the service.
    least_slowness : float
        Slowness of the fastest server that a request could be offered to.
    """

    service_time: Seconds
    least_slowness: float


def compare_servers(
    views: Collection[HomeView], usable: Collection[HomeView], now: Seconds
) -> ServerComparison:
    """Compare the servers of a service.

    Parameters
    ----------
    views : collection of HomeView
        What is known of their home nodes.
    usable : collection of HomeView
        Those of them that the request could be offered to.
    now : Seconds
        Current time.
    """
    known = (view.service_time for view in views if view.service_time)
    times = list(itertools.islice(known, _MEDIAN_SAMPLE_SIZE))
    return ServerComparison(
        Seconds(statistics.median(times)) if times else DEFAULT_SERVICE_TIME,
        min((view.measure_slowness(now) for view in usable), default=1.0),
    )
