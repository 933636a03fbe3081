"""Intake of client requests: their keys, routes and deadlines."""

import dataclasses
import random

from egretlever.core import RequestId, Seconds, Version
from egretlever.placement import (
    ClientLimits,
    Configuration,
    Customer,
    CustomerTable,
    HeaderFields,
    HomeChoice,
    HomeCondition,
    RequestAges,
    Route,
    RouteTable,
    Search,
    ShareRefusals,
)
from egretlever.platform import headers
from egretlever.relay import _metrics as metrics
from egretlever.relay._attempt_times import AttemptTimes
from egretlever.relay._client_messages import ClientAnswer, ClientRequest
from egretlever.relay._home import HomeNode
from egretlever.relay._outcomes import (
    Ending,
    make_local_answer,
    make_unauthorized_answer,
)
from egretlever.relay._request_task import (
    RETURN_MARGIN,
    PlannedEnd,
    RequestTask,
)
from egretlever.transport import read_clock, remove_hop_by_hop

_SET_BY_NODE = frozenset({headers.AUTHORIZATION, headers.CUSTOMER})


@dataclasses.dataclass(frozen=True, slots=True)
class IntakeRefusal:
    """A request that the configuration does not allow.

    Parameters
    ----------
    ending : Ending
        How it ends.
    answer : ClientAnswer
        Its answer.
    reason : str
        Reason for the log.
    """

    ending: Ending
    answer: ClientAnswer
    reason: str


class RequestIntake:
    """Checks requests against the configuration in force.

    Parameters
    ----------
    home : HomeNode
        Home node in the same process, whose server makes calls.
    times : AttemptTimes
        What is known of service times.
    planned_end : PlannedEnd
        Planned stop of the node.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        home: HomeNode,
        times: AttemptTimes,
        planned_end: PlannedEnd,
        rng: random.Random,
    ) -> None:
        self._home = home
        self._times = times
        self._planned_end = planned_end
        self._rng = rng
        self._routes: RouteTable | None = None
        self._customers: CustomerTable | None = None
        self._ages = RequestAges()
        self._share_refusals = ShareRefusals()

    def configure(self, configuration: Configuration) -> bool:
        """Apply a configuration; false when it is not newer."""
        held = self.version
        if held is not None and configuration.version <= held:
            return False
        self._routes = RouteTable(configuration, self._rng)
        self._customers = CustomerTable(configuration)
        self._home.shares.configure(self._customers)
        self._share_refusals = ShareRefusals()
        return True

    @property
    def has_customers(self) -> bool:
        """Whether customers of the configuration compete for servers."""
        return self._customers is not None and self._customers.keys_required

    @property
    def version(self) -> Version | None:
        """Version of the configuration in force, None before the first one."""
        return None if self._routes is None else self._routes.version

    def read_limits(self) -> ClientLimits:
        """Return the current limits for clients."""
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    def check(self, request: ClientRequest) -> RequestTask | IntakeRefusal:
        """Find the customer and the route of a request.

        Parameters
        ----------
        request : ClientRequest
            The request; a configuration is in force.

        Returns
        -------
        RequestTask or IntakeRefusal
            The task to serve it, or its answer.
        """
        assert self._routes is not None and self._customers is not None
        head = request.head
        found = head.find(headers.REQUEST_ID)
        route = self._routes.match(head.find(b"host") or "", head.path)
        customer = None
        if self._customers.keys_required:
            values = [
                value
                for name, value in head.headers
                if name == headers.AUTHORIZATION
            ]
            customer = self._customers.identify(headers.decode_keys(values))
            if customer is None and not (route is not None and route.public):
                return IntakeRefusal(
                    Ending.UNKNOWN_KEY,
                    make_unauthorized_answer(found),
                    "unknown key" if values else "no key",
                )
        if route is None:
            return IntakeRefusal(
                Ending.NO_ROUTE,
                make_local_answer(404, found, "no route"),
                "no route",
            )
        if not found:
            return IntakeRefusal(
                Ending.MALFORMED,
                make_local_answer(400, None, "the request has no id"),
                "no id",
            )
        return self._make_task(request, RequestId(found), route, customer)

    def observe_busy(
        self,
        task: RequestTask,
        choice: HomeChoice,
        condition: HomeCondition | None,
    ) -> None:
        """Count refusals of a customer that exceeds its share of a server.

        A customer without waiting requests would not have been refused.
        """
        if (
            task.customer is not None
            and condition is not None
            and condition.find_wait(task.search.rank) <= choice.max_wait
        ):
            metrics.SHARE_REFUSALS.inc()
            if task.search.observe_share_refusal():
                self._share_refusals.observe(task.customer.id, read_clock())

    def _make_task(
        self,
        request: ClientRequest,
        request_id: RequestId,
        route: Route,
        customer: Customer | None,
    ) -> RequestTask:
        assert self._routes is not None  # checked by check
        begun = request.received_at
        # A request without a deadline counts as one that may expire any time.
        expires_at, limit = begun, route.timeout
        text = request.head.find(headers.DEADLINE)
        if text is not None and text.strip().isdecimal():
            time_left = int(text) / 1000
            expires_at = Seconds(begun + time_left)
            limit = Seconds(min(limit, time_left))
        age = Seconds(0.0)
        if self.has_customers and expires_at > begun:
            age = self._ages.observe(route.id, limit, begun)
        deadline = Seconds(begun + limit)
        answer_by = min(deadline, self._planned_end.ends_at)
        service = self._routes.choose_service(route)
        # A request that can't be retried must not be the trial of a server that
        # is not trusted.
        may_be_trial = route.idempotent and route.max_attempts > 1
        search = Search(
            rank=route.rank,
            may_be_trial=may_be_trial,
            on_time_at=Seconds(min(answer_by, begun - age + route.objective)),
            deadline=Seconds(answer_by - RETURN_MARGIN),
            service_time=self._times.estimate(route),
            least_time=self._times.estimate_least(route, begun),
        )
        if customer is not None:
            search.max_share_refusals = self._share_refusals.find_limit(
                customer.id, begun
            )
        return RequestTask(
            request,
            request_id,
            route,
            service,
            deadline,
            search,
            expires_at,
            self._rng.random()
            < self._home.estimate_derived_share(service, expires_at),
            self._select_headers(request, customer),
            self._planned_end,
            customer,
            age,
        )

    def _select_headers(
        self, request: ClientRequest, customer: Customer | None
    ) -> HeaderFields:
        """Return the headers to forward, without any key of a customer."""
        assert self._customers is not None  # checked by check
        fields = remove_hop_by_hop(request.head.headers)
        if not self._customers.keys_required:
            return tuple(fields)
        fields = [field for field in fields if field[0] not in _SET_BY_NODE]
        if customer is not None:
            fields.append((headers.CUSTOMER, customer.id.encode()))
        return tuple(fields)
