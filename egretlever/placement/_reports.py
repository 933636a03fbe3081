"""What an entry node knows of the home nodes, from replies and notices."""

import collections
from collections.abc import Mapping, Sequence

from egretlever.core import (
    FailureDomain,
    RegionName,
    Seconds,
    ServerId,
)
from egretlever.placement._even_load import LoadEstimate
from egretlever.placement._exclusions import (
    DEFAULT_SERVICE_TIME,
    Exclusion,
    ServerComparison,
    compare_servers,
    find_exclusion,
    find_late_exclusion,
)
from egretlever.placement._groups import ServersByDistance
from egretlever.placement._records import (
    Answer,
    FailureReason,
    HomeCondition,
    HomeNotice,
    HomeServer,
    RefusalReason,
    Reply,
    Trust,
)
from egretlever.placement._search import Distance, Search
from egretlever.placement._views import HomeView

# Age in seconds up to which a report of a doubted server counts. A server may
# recover at any time, and an offer to find out costs a round trip, with traffic
# that is expensive between regions.
_MAX_DOUBT_AGES = {
    Distance.OWN_DOMAIN: Seconds(0.3),
    Distance.OWN_REGION: Seconds(0.5),
    Distance.OTHER_REGION: Seconds(1.0),
}
# Age up to which a report of a broken server counts. It is longer because a
# broken server recovers only by several successful trials, and gray failures
# last for some 10 s.
_MAX_BROKEN_AGE = Seconds(2.5)
_UNUSABLE_REASONS = frozenset(
    {
        RefusalReason.NO_SERVER,
        RefusalReason.LEAVING,
        RefusalReason.MISDIRECTED,
        RefusalReason.DOWN,
    }
)


class HomeReports:
    """Reports of home nodes, and what they mean for a request.

    Parameters
    ----------
    domain : FailureDomain
        Failure domain of the entry node.
    regions : mapping of FailureDomain to RegionName
        Region of each failure domain.
    """

    def __init__(
        self,
        domain: FailureDomain,
        regions: Mapping[FailureDomain, RegionName],
    ) -> None:
        self._domain = domain
        self._regions = regions
        self._views: dict[ServerId, HomeView] = {}

    def reload(self, regions: Mapping[FailureDomain, RegionName]) -> None:
        """Replace the regions of the failure domains."""
        self._regions = regions

    def measure_distance(self, server: HomeServer) -> Distance:
        """Return the distance of the home node of a server."""
        if server.failure_domain == self._domain:
            return Distance.OWN_DOMAIN
        if self.is_in_own_region(server.failure_domain):
            return Distance.OWN_REGION
        return Distance.OTHER_REGION

    def is_in_own_region(self, domain: FailureDomain) -> bool:
        """Tell whether a failure domain is known to be in the own region."""
        own = self._regions.get(self._domain)
        return own is not None and own == self._regions.get(domain)

    def _find_current_trust(self, server: HomeServer, now: Seconds) -> Trust:
        view = self._view(server)
        if view.reported_trust is Trust.TRUSTED:
            return Trust.TRUSTED
        return view.find_current_trust(
            now,
            _MAX_DOUBT_AGES[self.measure_distance(server)],
            _MAX_BROKEN_AGE,
        )

    def _find_exclusion(
        self, search: Search, server: HomeServer, now: Seconds
    ) -> Exclusion | None:
        trust = self._find_current_trust(server, now)
        return find_exclusion(search, server, self._view(server), trust, now)

    def _find_late_exclusion(
        self,
        search: Search,
        server: HomeServer,
        comparison: ServerComparison,
        now: Seconds,
    ) -> Exclusion | None:
        times = self._estimate_times(search, server, comparison, now)
        return find_late_exclusion(search, *times, now)

    def _estimate_times(
        self,
        search: Search,
        server: HomeServer,
        comparison: ServerComparison,
        now: Seconds,
    ) -> tuple[Seconds, Seconds]:
        """Return the wait for a slot, and the extra time of a slow server."""
        view = self._view(server)
        return (
            view.estimate_wait(search.rank, comparison.service_time, now),
            view.estimate_extra_time(
                search.service_time, comparison.least_slowness, now
            ),
        )

    def _compare_servers(
        self, search: Search, servers: ServersByDistance, now: Seconds
    ) -> ServerComparison:
        known = [
            (server, self._view(server))
            for group in servers.values()
            for server in group
        ]
        usable = [
            view
            for server, view in known
            if server.id not in search.excluded
            and not view.is_backing_off(now)
            and not view.is_circuit_open(now)
        ]
        return compare_servers([view for _, view in known], usable, now)

    def has_alternative(
        self,
        search: Search,
        chosen: HomeServer,
        servers: ServersByDistance,
        now: Seconds,
    ) -> bool:
        """Tell whether a request could be sent to another server afterwards.

        Parameters
        ----------
        search : Search
            State of the request's search.
        chosen : HomeServer
            Server that gets the request now.
        servers : mapping of Distance to sequence of HomeServer
            Servers of the service, or a sample of them.
        now : Seconds
            Current time.
        """
        max_wait = search.find_max_late_wait(now) or Seconds(0.0)
        return any(
            server.id != chosen.id
            and server.id not in search.excluded
            and self._is_sound(server, now)
            and self._view(server).estimate_wait(
                search.rank, search.service_time, now
            )
            <= max_wait
            for group in servers.values()
            for server in group
        )

    def _estimate_load(
        self,
        search: Search,
        server: HomeServer,
        comparison: ServerComparison,
        now: Seconds,
    ) -> LoadEstimate:
        view = self._view(server)
        load = view.estimate_load(search.rank, comparison.service_time, now)
        extra_time = view.estimate_extra_time(
            search.service_time, comparison.least_slowness, now
        )
        if not extra_time:
            return load
        return LoadEstimate(max(0.0, load.wait) + extra_time, load.age)

    def measure_spread(
        self, servers: Sequence[HomeServer], now: Seconds
    ) -> float:
        """Return the load of the busiest server over the mean load.

        Loads are those of the latest reports, with the requests that wait. The
        spread of idle servers is 1.

        Parameters
        ----------
        servers : sequence of HomeServer
            Servers of one service.
        now : Seconds
            Current time.
        """
        loads = []
        for server in servers:
            view = self._view(server)
            time = view.service_time or DEFAULT_SERVICE_TIME
            wait = view.estimate_load(0, time, now).wait
            loads.append(server.slots * max(0.0, 1 + wait / time))
        return max(loads) * len(loads) / sum(loads) if any(loads) else 1.0

    def estimate_room(
        self, search: Search, servers: ServersByDistance, now: Seconds
    ) -> Seconds:
        """Return the shortest wait at a sound server, 0 if none is known.

        Parameters
        ----------
        search : Search
            State of a request's search.
        servers : mapping of Distance to sequence of HomeServer
            Servers of the service, or a sample of them.
        now : Seconds
            Current time.
        """
        waits = (
            self._view(server).estimate_wait(
                search.rank, search.service_time, now
            )
            for group in servers.values()
            for server in group
            if self._is_sound(server, now)
        )
        return min(waits, default=Seconds(0.0))

    def _is_sound(self, server: HomeServer, now: Seconds) -> bool:
        view = self._view(server)
        return (
            self._find_current_trust(server, now) is Trust.TRUSTED
            and not view.is_backing_off(now)
            and not view.is_circuit_open(now)
        )

    def explain(
        self, search: Search, servers: ServersByDistance, now: Seconds
    ) -> "collections.Counter[Exclusion]":
        """Count what keeps the home nodes of a service from an offer.

        Parameters
        ----------
        search : Search
            State of a search that has ended without a choice.
        servers : mapping of Distance to sequence of HomeServer
            Servers of the service, or a sample of them.
        now : Seconds
            Current time.
        """
        comparison = self._compare_servers(search, servers, now)
        found = (
            self._find_exclusion(search, server, now)
            or self._find_late_exclusion(search, server, comparison, now)
            for group in servers.values()
            for server in group
        )
        return collections.Counter(one for one in found if one is not None)

    def _view(self, server: HomeServer) -> HomeView:
        view = self._views.get(server.id)
        if view is None:
            view = self._views[server.id] = HomeView(server.slots)
        return view

    def start_offer(self, server: HomeServer) -> None:
        """Record that an offer is sent."""
        view = self._view(server)
        view.in_flight += 1
        view.sent_since_report += 1

    def finish_offer(
        self,
        server: HomeServer,
        reply: Reply | None,
        now: Seconds,
        route_time: Seconds = Seconds(0.0),
    ) -> None:
        """Record the reply to an offer, or None when it was withdrawn.

        Parameters
        ----------
        server : HomeServer
            Server that the request was offered to.
        reply : Answer, Refusal, Failure or None
            Reply of its home node.
        now : Seconds
            Current time.
        route_time : Seconds, optional
            Usual service time of the request's route at all servers.
        """
        view = self._view(server)
        view.in_flight -= 1
        if reply is None:
            return
        if reply.condition is not None:
            view.observe(reply.condition, now)
            if reply.condition.route_time > 0 and route_time > 0:
                view.observe_slowness(
                    reply.condition.route_time / route_time, now
                )
        if isinstance(reply, Answer):
            view.observe_usable()
            return
        if reply.reason in _UNUSABLE_REASONS:
            view.observe_unusable(now)
        elif reply.reason in (
            RefusalReason.HOME_UNREACHABLE,
            FailureReason.HOME_LOST,
        ):
            view.observe_unreachable(now)

    def observe_condition(
        self, server: HomeServer, condition: HomeCondition, now: Seconds
    ) -> None:
        """Record a condition that came before the reply to an offer."""
        self._view(server).observe(condition, now)

    def observe(self, notice: HomeNotice, now: Seconds) -> None:
        """Record a notice of a home node."""
        view = self._views.get(notice.server)
        if view is not None:
            view.observe(notice.condition, now)
            view.subscribed = True

    def end_notices(self, server_id: ServerId) -> None:
        """Record that no further notices come from a home node."""
        view = self._views.get(server_id)
        if view is not None:
            view.subscribed = False

    def forget(self, server_id: ServerId) -> None:
        """Remove the state of a server that left the directory."""
        view = self._views.get(server_id)
        if view is not None and view.in_flight == 0:
            del self._views[server_id]
