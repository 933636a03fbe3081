"""Offers of an entry node's requests to home nodes."""

import functools
from collections import Counter

from egretlever.core import (
    CustomerId,
    Seconds,
    ServiceName,
    describe_version,
    make_log,
)
from egretlever.placement import Exclusion, HomeChoice, Offer, Reply
from egretlever.relay import _metrics as metrics
from egretlever.relay._attempt_times import AttemptTimes
from egretlever.relay._fleet import FleetView
from egretlever.relay._home import HomeNode
from egretlever.relay._interfaces import OfferObserver, OfferSender
from egretlever.relay._load_log import LoadLog
from egretlever.relay._request_task import (
    RETURN_MARGIN,
    RequestTask,
    RunningOffer,
)
from egretlever.schema import logs_pb2
from egretlever.transport import read_clock

_LOG = make_log("entry")


class OfferDispatcher:
    """Chooses home nodes for requests, and sends them offers.

    Parameters
    ----------
    service : ServiceName
        Service of this host, sent as the caller of its requests.
    fleet : FleetView
        Servers of the fleet and the reports of their home nodes.
    home : HomeNode
        Home node in the same process.
    links : OfferSender
        Connections to the other home nodes.

    Attributes
    ----------
    times : AttemptTimes
        What is known of service times.
    """

    def __init__(
        self,
        service: ServiceName,
        fleet: FleetView,
        home: HomeNode,
        links: OfferSender,
    ) -> None:
        self._service = service
        self._fleet = fleet
        self._selector = fleet.selector
        self._home = home
        self._links = links
        self._load_log = LoadLog(fleet.selector)
        self.times = AttemptTimes()

    async def start(self, task: RequestTask) -> bool:
        """Offer a request to the next home node; false when none is left."""
        servers = self._fleet.sample_servers(task.service)
        if self._selector.has_even_load:
            self._observe_own(task)
        choice = self._selector.decide(task.search, servers, read_clock())
        if choice is None:
            return False
        await self._start(task, choice)
        return True

    def _observe_own(self, task: RequestTask) -> None:
        """Record the present condition of the own home node.

        No notice tells of it, and other entry nodes fill its slots.
        """
        server = self._fleet.find_local(task.service)
        if server is not None:
            self._selector.observe_condition(
                server, self._home.describe(task.route.id), read_clock()
            )

    async def start_alongside(self, task: RequestTask) -> bool:
        """Offer a request whose attempt is overdue to a further home node.

        Returns
        -------
        bool
            False when no server seems to be able to take it now.
        """
        server = task.offers[-1].choice.server
        servers = self._fleet.sample_servers(task.service)
        return self._selector.has_alternative(
            task.search, server, servers, read_clock()
        ) and await self.start(task)

    async def _start(self, task: RequestTask, choice: HomeChoice) -> None:
        offer = self._make_offer(task, choice)
        running = RunningOffer(choice, task.changed)
        task.offers.append(running)
        await running.start(functools.partial(self._send, task, choice, offer))

    def _make_offer(self, task: RequestTask, choice: HomeChoice) -> Offer:
        now = read_clock()
        head = task.request.head
        attempts = task.count_attempts()
        return Offer(
            request_id=task.id,
            service=task.service,
            route=task.route.id,
            method=head.method,
            target=head.target.encode("latin-1"),
            headers=task.headers,
            body=task.request.body,
            rank=task.search.rank,
            idempotent=task.route.idempotent,
            time_left=Seconds(task.answer_by - now - RETURN_MARGIN),
            max_wait=choice.max_wait,
            caller_service=self._service,
            forced=choice.forced,
            careful=not task.search.may_be_trial,
            late=choice.late,
            repeated=attempts > 0,
            derived=task.derived,
            retriable=attempts + 1 < task.route.max_attempts,
            granted=(
                task.granted_until is not None and now < task.granted_until
            ),
            usual_time=self.times.estimate_usual(task.route),
            guessed=not self.times.find(task.route),
            customer=CustomerId("")
            if task.customer is None
            else task.customer.id,
            age=task.age,
        )

    async def _send(
        self,
        task: RequestTask,
        choice: HomeChoice,
        offer: Offer,
        observer: OfferObserver,
    ) -> Reply:
        server = choice.server
        self._selector.start_offer(server)
        reply: Reply | None = None
        try:
            if self._fleet.is_own(server.relay):
                reply = await self._home.run(offer, observer)
            else:
                reply = await self._links.offer(
                    server.relay,
                    offer,
                    follow=self._fleet.is_in_own_domain(server),
                    observer=observer,
                )
        finally:
            if reply is None and self._fleet.is_own(server.relay):
                # No notice tells of the own home node.
                condition = self._home.describe(task.route.id)
                self._selector.observe_condition(
                    server, condition, read_clock()
                )
            self._selector.finish_offer(
                server, reply, read_clock(), self.times.find(task.route)
            )
        metrics.OFFERS.labels(reply.name).inc()
        self._load_log.observe(
            choice, reply, self._fleet.find_servers(task.service), read_clock()
        )
        return reply

    def estimate_room(self, task: RequestTask) -> Seconds:
        """Estimate the time until a server has room for a request."""
        return self._selector.estimate_room(
            task.search, self._fleet.sample_servers(task.service), read_clock()
        )

    def find_exclusions(self, task: RequestTask) -> Counter[Exclusion]:
        """Count what keeps the home nodes of a service from a request."""
        excluded = self._selector.explain(
            task.search,
            self._fleet.sample_servers(task.service),
            read_clock(),
        )
        for reason, count in excluded.items():
            metrics.EXCLUSIONS.labels(reason.value).inc(count)
        return excluded

    def log_reply(
        self, task: RequestTask, offer: RunningOffer, reply: Reply
    ) -> None:
        """Log the reply to an offer, with what the choice rested on."""
        choice, now = offer.choice, read_clock()
        _LOG.event(
            logs_pb2.RequestLine(
                event="offered",
                request=task.id,
                route=task.route.id,
                service=task.service,
                server=choice.server.id,
                rank=task.search.rank,
                offers=task.search.offers,
                attempts=task.history.attempts,
                reason=choice.reason,
                max_wait_s=round(choice.max_wait, 4),
                time_left_s=round(task.answer_by - now, 4),
                wait_s=round(choice.wait, 4),
                trust=choice.trust.value,
                view_age_s=round(choice.view_age or 0.0, 3),
                directory=describe_version(self._fleet.directory.version),
                outcome=reply.name,
                took_s=round(offer.measure_age(now), 4),
            )
        )
