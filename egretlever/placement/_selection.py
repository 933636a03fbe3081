"""Selection of the home node that a request is offered to."""

import itertools
import random
import statistics
from collections.abc import Mapping, Sequence

from egretlever.core import (
    Address,
    FailureDomain,
    RegionName,
    Seconds,
    ServerId,
)
from egretlever.placement._groups import ServersByDistance
from egretlever.placement._records import (
    Answer,
    FailureReason,
    HomeNotice,
    HomeServer,
    RefusalReason,
    Reply,
    Trust,
)
from egretlever.placement._search import (
    ROUND_TRIP_TIMES_S,
    Distance,
    HomeChoice,
    Search,
    Stage,
)
from egretlever.placement._views import HomeView, count_relevant_slots

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
# Share of broken servers of a service above which they get forced requests. On
# ordinary days about a third of them is broken; when all servers fail a part of
# their requests, avoiding them would reject nearly everything.
_OUTAGE_SHARE = 0.5
_MAX_OUTAGE_REPORT_AGE = Seconds(2.0)  # age of the reports that count for it
# Number of random candidates beyond the own failure domain (power of two
# choices). Two are enough to avoid the longest queues, and the nodes do not
# herd on the home node that was last seen free.
_MAX_CANDIDATES = 2
# Servers of a service that one request considers at each distance, so that the
# cost of a choice does not grow with the service. Home nodes of the own failure
# domain send notices, so a choice among more of them is worthwhile.
_SAMPLE_SIZES = {
    Distance.OWN_DOMAIN: 32,
    Distance.OWN_REGION: 16,
    Distance.OTHER_REGION: 16,
}
# Servers looked at for each one of a sample. The others are left alone for now,
# such as those of hosts that were lost together.
_LOOKS_PER_CANDIDATE = 4
# Seconds to which expected delays are rounded down before they are compared.
_DELAY_STEP_S = 0.02
# Servers whose service times give the usual one of their service.
_MEDIAN_SAMPLE_SIZE = 16
_DEFAULT_SERVICE_TIME = Seconds(0.2)  # until a home node reports one
_UNUSABLE_REASONS = frozenset(
    {
        RefusalReason.NO_SERVER,
        RefusalReason.LEAVING,
        RefusalReason.MISDIRECTED,
        RefusalReason.DOWN,
    }
)


class HomeSelector:
    """Chooses home nodes by distance, reported waits and trust.

    It handles these cases:

    - Failure domains hold unequal numbers of servers for equal traffic.
      Requests spill over to the own region and then to another one before
      their wait makes them late.
    - In a flood each entry node sends a home node less than one request per
      second, too few to know its load from replies. Home nodes of the own
      failure domain therefore send notices of their condition, and the best
      of them is chosen.
    - When all queues are long, the shortest one is chosen while the answer is
      still useful to the client.
    - When every server is doubted, or most are broken, one of them still gets
      the request.

    Parameters
    ----------
    domain : FailureDomain
        Failure domain of the entry node.
    regions : mapping of FailureDomain to RegionName
        Region of each failure domain.
    own_relay : Address
        Relay address of the entry node. Its own server is preferred among
        equals, since an offer to it needs no message.
    rng : random.Random
        Random generator for the choice of candidates.
    """

    def __init__(
        self,
        domain: FailureDomain,
        regions: Mapping[FailureDomain, RegionName],
        own_relay: Address,
        rng: random.Random,
    ) -> None:
        self._domain = domain
        self._regions = regions
        self.own_relay = own_relay
        self._rng = rng
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

    def sample(
        self, groups: ServersByDistance, now: Seconds
    ) -> dict[Distance, list[HomeServer]]:
        """Return the servers of a service that a request considers.

        A small service is returned as a whole.

        Parameters
        ----------
        groups : mapping of Distance to sequence of HomeServer
            Servers of the service, in random order.
        now : Seconds
            Current time.
        """
        return {
            distance: self._sample_group(servers, _SAMPLE_SIZES[distance], now)
            for distance, servers in groups.items()
        }

    def _sample_group(
        self, servers: Sequence[HomeServer], size: int, now: Seconds
    ) -> list[HomeServer]:
        """Return servers from a random position on, without unusable ones."""
        if len(servers) <= size:
            return list(servers)
        found: list[HomeServer] = []
        start = self._rng.randrange(len(servers))
        for look in range(min(len(servers), _LOOKS_PER_CANDIDATE * size)):
            server = servers[(start + look) % len(servers)]
            view = self._views.get(server.id)
            if view is None or not view.is_backing_off(now):
                found.append(server)
                if len(found) == size:
                    break
        return found

    def decide(
        self, search: Search, servers: ServersByDistance, now: Seconds
    ) -> HomeChoice | None:
        """Choose the next home node for a request.

        Parameters
        ----------
        search : Search
            State of the request's search, which is updated.
        servers : mapping of Distance to sequence of HomeServer
            Servers of the service that are not draining, or a sample of them.
        now : Seconds
            Current time.

        Returns
        -------
        HomeChoice or None
            None when the request should not be offered to another home node.
        """
        median_time = self._estimate_median_time(servers)
        while True:
            choice = self._choose(search, servers, median_time, now)
            if choice is not None:
                distance = self.measure_distance(choice.server)
                search.record_offer(choice.server.id, distance)
                return choice
            if search.stage is Stage.ON_TIME:
                search.begin_stage(Stage.LATE)
            elif search.stage is Stage.LATE and (
                not search.may_be_trial or self._has_outage(servers, now)
            ):
                search.begin_stage(Stage.FORCED)
            else:
                return None

    def _choose(
        self,
        search: Search,
        servers: ServersByDistance,
        median_time: Seconds,
        now: Seconds,
    ) -> HomeChoice | None:
        if search.is_stage_over():
            return None
        trial = self._choose_trial(search, servers[Distance.OWN_DOMAIN], now)
        if trial is not None:
            return trial
        if search.stage is Stage.ON_TIME:
            return self._choose_on_time(search, servers, median_time, now)
        return self._choose_least_delayed(search, servers, median_time, now)

    def _list_eligible(
        self, search: Search, servers: Sequence[HomeServer], now: Seconds
    ) -> list[HomeServer]:
        return [
            server
            for server in servers
            if server.id not in search.offered
            and server.id not in search.excluded
            and self._may_offer(search, server, now)
        ]

    def _may_offer(
        self, search: Search, server: HomeServer, now: Seconds
    ) -> bool:
        view = self._view(server)
        if view.is_backing_off(now):
            return False
        if search.stage is not Stage.FORCED and view.is_circuit_open(now):
            return False
        trust = self._find_current_trust(server, now)
        if search.stage is Stage.FORCED:
            return search.may_be_trial or trust is not Trust.BROKEN
        if trust is Trust.BROKEN:
            return search.stage is Stage.LATE and search.may_be_trial
        return search.may_be_trial or trust is Trust.TRUSTED

    def _choose_trial(
        self, search: Search, nearby: Sequence[HomeServer], now: Seconds
    ) -> HomeChoice | None:
        """Choose a broken server nearby that is due for a trial.

        A trial that fails costs its client little: servers with gray failures
        mostly fail at once, and the request is retried elsewhere.
        """
        first = search.stage is Stage.ON_TIME and search.offers == 0
        max_wait = search.find_max_wait(Distance.OWN_DOMAIN, now)
        if not first or not search.may_be_trial or max_wait is None:
            return None
        due = [
            server for server in nearby if self._view(server).is_trial_due(now)
        ]
        if not due:
            return None
        server = self._rng.choice(due)
        return self._make_choice(server, Seconds(0.0), max_wait, "trial", now)

    def _make_choice(
        self,
        server: HomeServer,
        delay: Seconds,
        max_wait: Seconds,
        reason: str,
        now: Seconds,
        forced: bool = False,
        late: bool = False,
    ) -> HomeChoice:
        return HomeChoice(
            server=server,
            max_wait=max_wait,
            forced=forced,
            late=late,
            reason=reason,
            wait=delay,
            trust=self._find_current_trust(server, now),
            view_age=self._view(server).measure_age(now),
        )

    def _choose_on_time(
        self,
        search: Search,
        servers: ServersByDistance,
        median_time: Seconds,
        now: Seconds,
    ) -> HomeChoice | None:
        for distance in Distance:
            max_wait = search.find_max_wait(distance, now)
            if max_wait is None:
                continue
            eligible = self._list_eligible(search, servers[distance], now)
            candidate = self._compare(
                search, eligible, distance, median_time, max_wait, now
            )
            if candidate is not None:
                reason = distance.name.lower()
                return self._make_choice(*candidate, max_wait, reason, now)
        return None

    def _choose_least_delayed(
        self,
        search: Search,
        servers: ServersByDistance,
        median_time: Seconds,
        now: Seconds,
    ) -> HomeChoice | None:
        max_wait = search.find_max_late_wait(now)
        eligible = [
            (server, ROUND_TRIP_TIMES_S[distance])
            for distance in Distance
            for server in self._list_eligible(search, servers[distance], now)
        ]
        if not eligible or max_wait <= 0:
            return None
        server, _ = min(
            eligible,
            key=lambda found: (
                self._find_current_trust(found[0], now) is Trust.BROKEN,
                self._estimate_delay(search, found[0], median_time, now)
                + found[1],
            ),
        )
        delay = Seconds(self._estimate_delay(search, server, median_time, now))
        if delay > max_wait:
            return None
        forced = search.stage is Stage.FORCED
        late = now + search.service_time > search.on_time_at or not forced
        reason = search.stage.value
        return self._make_choice(
            server, delay, max_wait, reason, now, forced, late
        )

    def _compare(
        self,
        search: Search,
        servers: list[HomeServer],
        distance: Distance,
        median_time: Seconds,
        max_wait: Seconds,
        now: Seconds,
    ) -> tuple[HomeServer, Seconds] | None:
        """Return a server with a short expected delay, and this delay.

        In the own failure domain home nodes send notices of each change, so
        the best of all servers is chosen. Elsewhere two random servers are
        compared.
        """
        candidates = [
            (server, Seconds(delay))
            for server in servers
            if (delay := self._estimate_delay(search, server, median_time, now))
            <= max_wait
        ]
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        if distance is not Distance.OWN_DOMAIN:
            candidates = candidates[:_MAX_CANDIDATES]
        return min(
            candidates,
            key=lambda candidate: (
                candidate[1] // _DELAY_STEP_S,
                candidate[0].relay != self.own_relay,
                -count_relevant_slots(self._view(candidate[0]).count_free(now)),
            ),
        )

    def _has_outage(self, servers: ServersByDistance, now: Seconds) -> bool:
        """Return whether most servers of a service were reported as broken."""
        broken = [
            self._view(server).find_trust(now, _MAX_OUTAGE_REPORT_AGE)
            is Trust.BROKEN
            for group in servers.values()
            for server in group
        ]
        return sum(broken) > _OUTAGE_SHARE * len(broken)

    def _find_current_trust(self, server: HomeServer, now: Seconds) -> Trust:
        return self._view(server).find_current_trust(
            now,
            _MAX_DOUBT_AGES[self.measure_distance(server)],
            _MAX_BROKEN_AGE,
        )

    def _estimate_delay(
        self,
        search: Search,
        server: HomeServer,
        median_time: Seconds,
        now: Seconds,
    ) -> float:
        view = self._view(server)
        wait = view.estimate_wait(search.rank, median_time, now)
        return wait + view.estimate_slowness(search.service_time)

    def _estimate_median_time(self, servers: ServersByDistance) -> Seconds:
        known = (
            view.service_time
            for group in servers.values()
            for server in group
            if (view := self._views.get(server.id)) is not None
            and view.service_time
        )
        times = list(itertools.islice(known, _MEDIAN_SAMPLE_SIZE))
        return (
            Seconds(statistics.median(times))
            if times
            else _DEFAULT_SERVICE_TIME
        )

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
                view.observe_slowness(reply.condition.route_time / route_time)
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
