"""Selection of the home node that a request is offered to."""

import random
from collections.abc import Mapping, Sequence

from egretlever.core import (
    Address,
    FailureDomain,
    RegionName,
    Seconds,
    ServiceName,
)
from egretlever.placement._even_load import EvenLoad
from egretlever.placement._exclusions import ServerComparison
from egretlever.placement._groups import ServersByDistance
from egretlever.placement._records import HomeServer, Trust
from egretlever.placement._reports import HomeReports
from egretlever.placement._search import (
    ROUND_TRIP_TIMES_S,
    Distance,
    HomeChoice,
    Search,
    Stage,
)
from egretlever.placement._views import count_relevant_slots

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
# The same for choices that are spread by free capacity, at each distance.
_EVEN_SAMPLE_SIZE = 12
# Time for which a comparison of the servers of a service is used again. Service
# times and slowness are moving averages.
_COMPARISON_LIFETIME = Seconds(0.05)
# Servers looked at for each one of a sample. The others are left alone for now,
# such as those of hosts that were lost together.
_LOOKS_PER_CANDIDATE = 4
# Seconds to which expected delays are rounded down before they are compared.
_DELAY_STEP_S = 0.02


class HomeSelector(HomeReports):
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
    even_load : EvenLoad, optional
        Chooses among the servers of a distance that keep an answer on time. By
        default the best of the own failure domain, or of two random ones
        elsewhere, is chosen.
    """

    def __init__(
        self,
        domain: FailureDomain,
        regions: Mapping[FailureDomain, RegionName],
        own_relay: Address,
        rng: random.Random,
        even_load: EvenLoad | None = None,
    ) -> None:
        super().__init__(domain, regions)
        self.own_relay = own_relay
        self._rng = rng
        self._even_load = even_load
        self._sample_sizes = _SAMPLE_SIZES
        if even_load is not None:
            self._sample_sizes = dict.fromkeys(Distance, _EVEN_SAMPLE_SIZE)
        self._comparisons: dict[
            ServiceName, tuple[Seconds, ServerComparison]
        ] = {}

    @property
    def has_even_load(self) -> bool:
        """Whether choices are spread by `EvenLoad`."""
        return self._even_load is not None

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
            distance: self._sample_group(
                servers, self._sample_sizes[distance], now
            )
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
        find_view = self._views.get
        looks = _LOOKS_PER_CANDIDATE * size
        for server in [*servers[start:], *servers[:start]][:looks]:
            view = find_view(server.id)
            if view is None or view.skip_until <= now:
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
        comparison = self._find_comparison(search, servers, now)
        while True:
            choice = self._choose(search, servers, comparison, now)
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

    def _find_comparison(
        self, search: Search, servers: ServersByDistance, now: Seconds
    ) -> ServerComparison:
        """Compare servers, or use a recent comparison for even load."""
        first = next((group[0] for group in servers.values() if group), None)
        if self._even_load is None or search.excluded or first is None:
            return self._compare_servers(search, servers, now)
        found = self._comparisons.get(first.service)
        if found is not None and now - found[0] < _COMPARISON_LIFETIME:
            return found[1]
        comparison = self._compare_servers(search, servers, now)
        self._comparisons[first.service] = now, comparison
        return comparison

    def _choose(
        self,
        search: Search,
        servers: ServersByDistance,
        comparison: ServerComparison,
        now: Seconds,
    ) -> HomeChoice | None:
        if search.is_stage_over():
            return None
        trial = self._choose_trial(search, servers[Distance.OWN_DOMAIN], now)
        if trial is not None:
            return trial
        if search.stage is Stage.ON_TIME:
            return self._choose_on_time(search, servers, comparison, now)
        return self._choose_least_delayed(search, servers, comparison, now)

    def _list_eligible(
        self, search: Search, servers: Sequence[HomeServer], now: Seconds
    ) -> list[HomeServer]:
        return [
            server
            for server in servers
            if self._find_exclusion(search, server, now) is None
        ]

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
        comparison: ServerComparison,
        now: Seconds,
    ) -> HomeChoice | None:
        for distance in Distance:
            max_wait = search.find_max_wait(distance, now)
            if max_wait is None:
                continue
            eligible = self._list_eligible(search, servers[distance], now)
            compare = self._compare
            if self._even_load is not None:
                compare = self._spread
            candidate = compare(
                search, eligible, distance, comparison, max_wait, now
            )
            if candidate is not None:
                reason = distance.name.lower()
                return self._make_choice(*candidate, max_wait, reason, now)
        return None

    def _choose_least_delayed(
        self,
        search: Search,
        servers: ServersByDistance,
        comparison: ServerComparison,
        now: Seconds,
    ) -> HomeChoice | None:
        max_wait = search.find_max_late_wait(now)
        eligible = [
            (server, ROUND_TRIP_TIMES_S[distance])
            for distance in Distance
            for server in self._list_eligible(search, servers[distance], now)
            if self._find_late_exclusion(search, server, comparison, now)
            is None
        ]
        if not eligible or max_wait is None:
            return None
        server, _ = min(
            eligible,
            key=lambda found: (
                self._find_current_trust(found[0], now) is Trust.BROKEN,
                self._estimate_delay(search, found[0], comparison, now)
                + found[1],
            ),
        )
        delay = Seconds(self._estimate_delay(search, server, comparison, now))
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
        comparison: ServerComparison,
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
            if (delay := self._estimate_delay(search, server, comparison, now))
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

    def _spread(
        self,
        search: Search,
        servers: list[HomeServer],
        distance: Distance,
        comparison: ServerComparison,
        max_wait: Seconds,
        now: Seconds,
    ) -> tuple[HomeServer, Seconds] | None:
        """Return a server drawn by free capacity, and its expected delay.

        The own server is taken if it has a free slot, since an offer to it
        needs no message.
        """
        assert self._even_load is not None
        loads = []
        for server in servers:
            load = self._estimate_load(search, server, comparison, now)
            if load.wait < 0 and server.relay == self.own_relay:
                return server, Seconds(0.0)
            loads.append(load)
        offers = search.offer_distances.count(distance)
        place = self._even_load.choose(loads, max_wait, offers)
        if place is None:
            return None
        return servers[place], Seconds(max(0.0, loads[place].wait))

    def _has_outage(self, servers: ServersByDistance, now: Seconds) -> bool:
        """Return whether most servers of a service were reported as broken."""
        broken = [
            self._view(server).find_trust(now, _MAX_OUTAGE_REPORT_AGE)
            is Trust.BROKEN
            for group in servers.values()
            for server in group
        ]
        return sum(broken) > _OUTAGE_SHARE * len(broken)

    def _estimate_delay(
        self,
        search: Search,
        server: HomeServer,
        comparison: ServerComparison,
        now: Seconds,
    ) -> float:
        wait, extra_time = self._estimate_times(search, server, comparison, now)
        return wait + extra_time
