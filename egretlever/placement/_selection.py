"""Choice of the home node that a request is offered to."""

import random
import statistics
from collections.abc import Iterable, Mapping, Sequence

from egretlever.core import (
    Address,
    FailureDomain,
    RegionName,
    Seconds,
    ServerId,
)
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
    ROUND_TRIPS,
    Distance,
    HomeChoice,
    Search,
    Stage,
)
from egretlever.placement._views import HomeView

# Age in seconds at which a report no longer keeps a request away from a server
# that was doubted. A server may recover at any moment, and asking costs a round
# trip, with bytes that are dear between regions.
_TRUST_LIFETIMES = {
    Distance.OWN_DOMAIN: Seconds(0.3),
    Distance.OWN_REGION: Seconds(0.5),
    Distance.OTHER_REGION: Seconds(1.0),
}
# A broken server needs good answers to several trials, which take longer. Gray
# servers stay so for some 10 s.
_BROKEN_LIFETIME = Seconds(2.5)
# Share of a service's servers that may be broken at a time before requests go
# to them all the same. On ordinary days about a third of them are; when all
# fail a part of their requests, keeping away from them serves nobody.
_FAILING_SHARE = 0.5
_FAILING_LIFETIME = Seconds(2.0)  # age of reports that are counted for it
# Homes of other failure domains compared in one choice. Two are enough to avoid
# the longest queues, and the nodes do not all choose the one last seen free.
_COMPARED = 2
# Expected delays that differ by less than this are taken for equal, seconds.
_DELAY_STEP = 0.02
_USUAL_TIME = Seconds(0.2)  # until a home has reported its own
_UNUSABLE = frozenset(
    {
        RefusalReason.NO_SERVER,
        RefusalReason.LEAVING,
        RefusalReason.MISDIRECTED,
        RefusalReason.DOWN,
    }
)


class HomeSelector:
    """Chooses home nodes by distance, reported waits and trust.

    It answers these load patterns. Failure domains hold unequal numbers of
    servers for equal traffic, so work spills to the region and then to the
    other region before its wait makes it late. In a flood each entry node sends
    a home node less than one request a second and would know nothing of it, so
    home nodes of the own failure domain send notices, and the best is taken.
    When all queues are long, the shortest one is taken while an answer is still
    useful to the client. When every server is doubted, or most are broken, one
    of them gets the request all the same.

    Parameters
    ----------
    domain : FailureDomain
        Failure domain of the entry node.
    regions : mapping of FailureDomain to RegionName
        Regions of all failure domains.
    own_relay : Address
        Relay address of the entry node; its own server needs no message.
    rng : random.Random
        Source of the compared homes.
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
        """Take over the regions of failure domains."""
        self._regions = regions

    def measure_distance(self, server: HomeServer) -> Distance:
        """Tell how far the home node of a server is."""
        if server.failure_domain == self._domain:
            return Distance.OWN_DOMAIN
        own = self._regions.get(self._domain)
        if own is not None and own == self._regions.get(server.failure_domain):
            return Distance.OWN_REGION
        return Distance.OTHER_REGION

    def decide(
        self, search: Search, servers: Sequence[HomeServer], now: Seconds
    ) -> HomeChoice | None:
        """Choose the next home node for a request.

        Parameters
        ----------
        search : Search
            Progress of the request's search; it is advanced.
        servers : sequence of HomeServer
            Servers of the service that are not leaving.
        now : Seconds
            Reading of the clock.

        Returns
        -------
        HomeChoice or None
            None when the request can't be served in time.
        """
        usual = self._estimate_usual_time(servers)
        while True:
            choice = self._choose(search, servers, usual, now)
            if choice is not None:
                distance = self.measure_distance(choice.server)
                search.note_offer(choice.server.id, distance)
                return choice
            if search.stage is Stage.ON_TIME:
                search.begin_stage(Stage.LATE)
            elif search.stage is Stage.LATE and (
                not search.may_test or self._is_failing(servers, now)
            ):
                search.begin_stage(Stage.FORCED)
            else:
                return None

    def _choose(
        self,
        search: Search,
        servers: Sequence[HomeServer],
        usual: Seconds,
        now: Seconds,
    ) -> HomeChoice | None:
        if search.is_stage_over():
            return None
        trial = self._choose_trial(search, servers, now)
        if trial is not None:
            return trial
        open_servers = [
            server
            for server in servers
            if server.id not in search.asked
            and server.id not in search.excluded
            and server.failure_domain not in search.spent
            and self._may_ask(search, server, now)
        ]
        if search.stage is Stage.ON_TIME:
            return self._choose_on_time(search, open_servers, usual, now)
        return self._choose_any(search, open_servers, usual, now)

    def _may_ask(
        self, search: Search, server: HomeServer, now: Seconds
    ) -> bool:
        view = self._view(server)
        if view.is_absent(now):
            return False
        if search.stage is not Stage.FORCED and view.is_closed(now):
            return False
        trust = self._believe(server, now)
        if search.stage is Stage.FORCED:
            return search.may_test or trust is not Trust.BROKEN
        if trust is Trust.BROKEN:
            return search.stage is Stage.LATE and search.may_test
        return search.may_test or trust is Trust.TRUSTED

    def _choose_trial(
        self, search: Search, servers: Sequence[HomeServer], now: Seconds
    ) -> HomeChoice | None:
        """Choose a broken server nearby whose next trial is due.

        A trial that fails costs its client little: gray servers mostly fail
        at once, and the request goes elsewhere.
        """
        first = search.stage is Stage.ON_TIME and search.offers == 0
        allowed = search.measure_wait(Distance.OWN_DOMAIN, now)
        if not first or not search.may_test or allowed is None:
            return None
        due = [
            server for server in servers if self._view(server).is_trial_due(now)
        ]
        if not due:
            return None
        server = self._rng.choice(due)
        return self._make_choice(server, Seconds(0.0), allowed, "trial", now)

    def _make_choice(
        self,
        server: HomeServer,
        cost: Seconds,
        allowed: Seconds,
        reason: str,
        now: Seconds,
        forced: bool = False,
        late: bool = False,
    ) -> HomeChoice:
        return HomeChoice(
            server=server,
            max_wait=allowed,
            forced=forced,
            late=late,
            reason=reason,
            wait=cost,
            trust=self._believe(server, now),
            view_age=self._view(server).measure_age(now),
        )

    def _choose_on_time(
        self,
        search: Search,
        servers: list[HomeServer],
        usual: Seconds,
        now: Seconds,
    ) -> HomeChoice | None:
        for distance in Distance:
            allowed = search.measure_wait(distance, now)
            if allowed is None:
                continue
            near = [
                server
                for server in servers
                if self.measure_distance(server) is distance
            ]
            found = self._compare(search, near, usual, allowed, now)
            if found is not None:
                reason = distance.name.lower()
                return self._make_choice(*found, allowed, reason, now)
        return None

    def _choose_any(
        self,
        search: Search,
        servers: list[HomeServer],
        usual: Seconds,
        now: Seconds,
    ) -> HomeChoice | None:
        allowed = search.measure_late_wait(now)
        if not servers or allowed <= 0:
            return None
        server = min(
            servers,
            key=lambda server: (
                self._believe(server, now) is Trust.BROKEN,
                self._estimate_cost(search, server, usual, now)
                + ROUND_TRIPS[self.measure_distance(server)],
            ),
        )
        cost = Seconds(self._estimate_cost(search, server, usual, now))
        if cost > allowed:
            return None
        forced = search.stage is Stage.FORCED
        late = now + search.service_time > search.on_time_at or not forced
        reason = search.stage.value
        return self._make_choice(
            server, cost, allowed, reason, now, forced, late
        )

    def _compare(
        self,
        search: Search,
        servers: list[HomeServer],
        usual: Seconds,
        allowed: Seconds,
        now: Seconds,
    ) -> tuple[HomeServer, Seconds] | None:
        """Return a server with a short wait, and its expected delay.

        In the own failure domain conditions are known as they change, and the
        best server is taken. Elsewhere two are compared.
        """
        compared = [
            (server, Seconds(cost))
            for server in servers
            if (cost := self._estimate_cost(search, server, usual, now))
            <= allowed
        ]
        if not compared:
            return None
        self._rng.shuffle(compared)
        distance = self.measure_distance(compared[0][0])
        if distance is not Distance.OWN_DOMAIN:
            compared = compared[:_COMPARED]
        return min(
            compared,
            key=lambda found: (
                found[1] // _DELAY_STEP,
                found[0].relay != self.own_relay,
                -self._view(found[0]).count_free(now),
            ),
        )

    def _is_failing(self, servers: Sequence[HomeServer], now: Seconds) -> bool:
        """Tell whether most servers of a service were broken at last."""
        broken = sum(
            self._view(server).describe_trust(now, _FAILING_LIFETIME)
            is Trust.BROKEN
            for server in servers
        )
        return broken > _FAILING_SHARE * len(servers)

    def _believe(self, server: HomeServer, now: Seconds) -> Trust:
        view = self._view(server)
        if view.describe_trust(now, _BROKEN_LIFETIME) is Trust.BROKEN:
            return Trust.BROKEN
        lifetime = _TRUST_LIFETIMES[self.measure_distance(server)]
        return view.describe_trust(now, lifetime)

    def _estimate_cost(
        self,
        search: Search,
        server: HomeServer,
        usual: Seconds,
        now: Seconds,
    ) -> float:
        view = self._view(server)
        wait = view.estimate_wait(search.rank, usual, now)
        return wait + view.estimate_slowness(search.service_time)

    def _estimate_usual_time(self, servers: Sequence[HomeServer]) -> Seconds:
        times = [
            view.service_time
            for server in servers
            if (view := self._views.get(server.id)) is not None
            and view.service_time
        ]
        return Seconds(statistics.median(times)) if times else _USUAL_TIME

    def _view(self, server: HomeServer) -> HomeView:
        view = self._views.get(server.id)
        if view is None:
            view = self._views[server.id] = HomeView(server.slots)
        return view

    def start(self, server: HomeServer) -> None:
        """Count an offer that is on its way."""
        view = self._view(server)
        view.in_flight += 1
        view.sent_since += 1

    def finish(
        self,
        server: HomeServer,
        reply: Reply | None,
        now: Seconds,
        route_time: Seconds = Seconds(0.0),
    ) -> None:
        """Take the reply to an offer, or None when it was withdrawn.

        Parameters
        ----------
        server : HomeServer
            Server that the request was offered to.
        reply : Answer, Refusal, Failure or None
            What its home node replied.
        now : Seconds
            Reading of the clock.
        route_time : Seconds, optional
            Usual time of the request's route at all servers.
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
        if reply.reason in _UNUSABLE:
            view.observe_unusable(now)
        elif reply.reason in (
            RefusalReason.HOME_UNREACHABLE,
            FailureReason.HOME_LOST,
        ):
            view.observe_absence(now)

    def observe(self, notice: HomeNotice, now: Seconds) -> None:
        """Take the notice of a home node that says when it changes."""
        view = self._views.get(notice.server)
        if view is not None:
            view.observe(notice.condition, now)
            view.followed = True

    def lose(self, server_id: ServerId) -> None:
        """Note that no further notices come from a home node."""
        view = self._views.get(server_id)
        if view is not None:
            view.followed = False

    def list_repeat_uses(
        self, servers: Iterable[HomeServer], now: Seconds
    ) -> list[float]:
        """List the reported use of repeats of home nodes that send notices."""
        uses = []
        for server in servers:
            view = self._views.get(server.id)
            if view is not None and view.followed:
                use = view.find_repeat_use(now)
                if use is not None:
                    uses.append(use)
        return uses

    def forget(self, server_id: ServerId) -> None:
        """Forget a server that left the directory."""
        view = self._views.get(server_id)
        if view is not None and view.in_flight == 0:
            del self._views[server_id]
