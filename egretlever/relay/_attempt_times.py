"""What an entry node knows of service times, as its offers say it."""

from egretlever.core import Seconds
from egretlever.placement import (
    Answer,
    Refusal,
    Reply,
    Route,
    RouteTimes,
    estimate_retry_time,
)
from egretlever.relay._outcomes import is_failed, is_unanswered

# Assumed service time of a route before its first answer.
_INITIAL_SERVICE_TIME = Seconds(0.15)
# Service time of a route before its first answer, as a share of its latency
# objective, for home nodes that have to tell whether an answer is overdue.
_SERVICE_SHARE_OF_OBJECTIVE = 1 / 3


class AttemptTimes:
    """Learns service times from replies, and derives limits of attempts."""

    def __init__(self) -> None:
        self._times = RouteTimes()

    def observe(self, route: Route, reply: Reply, now: Seconds) -> Seconds:
        """Learn from the reply to an offer that was not refused.

        Returns
        -------
        Seconds
            Time for which a server was at work without an answer, 0 if it was
            not.
        """
        if isinstance(reply, Answer) and not is_failed(reply):
            mean = reply.condition.route_time
            self._times.observe(route.id, mean, reply.ran, now)
        elif is_unanswered(reply):
            assert not isinstance(reply, Refusal)  # they were not run
            ran = reply.ran
            self._times.observe_longer(route.id, ran, route.timeout, now)
            return ran
        return Seconds(0.0)

    def find(self, route: Route) -> Seconds:
        """Return the usual time of a route, 0 while it is unknown."""
        return self._times.find(route.id) or Seconds(0.0)

    def estimate(self, route: Route) -> Seconds:
        """Return the service time to expect of a request."""
        return self.find(route) or _INITIAL_SERVICE_TIME

    def estimate_least(self, route: Route, now: Seconds) -> Seconds:
        """Estimate the least time in which a request may be answered."""
        return self._times.estimate_least(route.id, now)

    def estimate_usual(self, route: Route) -> Seconds:
        """Return the usual service time of a route at all servers."""
        return self.find(route) or Seconds(
            route.objective * _SERVICE_SHARE_OF_OBJECTIVE
        )

    def estimate_retry_time(
        self, route: Route, unanswered_time: Seconds
    ) -> Seconds:
        """Return the time that has to be left for a further attempt.

        Parameters
        ----------
        route : Route
            Route of the request.
        unanswered_time : Seconds
            Longest time of its ended attempts that got no answer.
        """
        return estimate_retry_time(self.estimate_usual(route), unanswered_time)
