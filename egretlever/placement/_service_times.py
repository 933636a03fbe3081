"""Usual service times, from answers and from attempts that got none."""

import dataclasses

from egretlever.core import RouteId, Seconds

# Weight of a new answer in the moving average of its route's service time.
_ANSWER_WEIGHT = 0.1
# Weight of a time in which an attempt got no answer. It is larger, since such
# attempts are lost until the estimate has grown.
_UNANSWERED_WEIGHT = 0.3
# Before the first answer, an attempt is taken to have been half done.
_INITIAL_FACTOR = 2.0
# Few answers take less than this share of the usual time.
_LEAST_SHARE = 0.5
# Without answers, nothing shows that a route has become faster. Time after
# which requests with half as much time left are sent to find out.
_HALF_LIFE = Seconds(1.0)


@dataclasses.dataclass(slots=True)
class ServiceTime:
    """Estimate of a service time that learns from unanswered attempts too.

    An attempt that is ended before its answer shows only that the time is
    longer (a censored observation). A mean of the answers alone would never
    reach a time at which all attempts are ended.

    Attributes
    ----------
    answered : Seconds
        Moving average of the answers, 0 before the first one.
    excess : Seconds
        Time beyond it that unanswered attempts suggest, until an answer comes
        sooner.

    Examples
    --------
    >>> time = ServiceTime()
    >>> time.observe(Seconds(0.5), Seconds(0.5), 0.1)
    >>> time.observe_longer(Seconds(2.0))
    >>> time.mean
    1.1
    >>> time.observe(Seconds(0.5), Seconds(0.5), 0.1)
    >>> time.mean
    0.5
    """

    answered: Seconds = Seconds(0.0)
    excess: Seconds = Seconds(0.0)

    @property
    def mean(self) -> Seconds:
        """Estimated mean, 0 before the first observation."""
        return Seconds(self.answered + self.excess)

    def observe(self, mean: Seconds, took: Seconds, weight: float) -> None:
        """Record an answer.

        Parameters
        ----------
        mean : Seconds
            Time to average: its own, or the mean at its server.
        took : Seconds
            Its own time.
        weight : float
            Weight of the time in the moving average.
        """
        old = self.answered or mean
        self.answered = Seconds(old + weight * (mean - old))
        self.excess = Seconds(min(self.excess, max(0.0, took - self.answered)))

    def observe_longer(self, ran: Seconds) -> None:
        """Record an attempt that was ended without an answer.

        Parameters
        ----------
        ran : Seconds
            Time that it had run for.
        """
        if ran <= self.mean:
            return
        if self.mean:
            self.excess = Seconds(self.excess + _UNANSWERED_WEIGHT * ran)
        else:
            self.excess = Seconds(_INITIAL_FACTOR * ran)


@dataclasses.dataclass(slots=True)
class _RouteTime:
    """Service time of one route, and when it was last observed."""

    time: ServiceTime
    observed_at: Seconds


class RouteTimes:
    """Learns the usual service time of each route at all servers.

    Examples
    --------
    >>> times = RouteTimes()
    >>> time = Seconds(0.4)
    >>> times.observe(RouteId("list"), time, time, Seconds(0.0))
    >>> times.find(RouteId("list"))
    0.4
    >>> times.estimate_least(RouteId("list"), Seconds(1.0))
    0.1
    """

    def __init__(self) -> None:
        self._times: dict[RouteId, _RouteTime] = {}

    def _find_or_add(self, route: RouteId, now: Seconds) -> ServiceTime:
        known = self._times.setdefault(route, _RouteTime(ServiceTime(), now))
        known.observed_at = now
        return known.time

    def observe(
        self, route: RouteId, mean: Seconds, took: Seconds, now: Seconds
    ) -> None:
        """Record an answer, and the mean time of its route at its server."""
        if mean > 0:
            self._find_or_add(route, now).observe(mean, took, _ANSWER_WEIGHT)

    def observe_longer(
        self, route: RouteId, ran: Seconds, limit: Seconds, now: Seconds
    ) -> None:
        """Record an attempt that was ended without an answer.

        Parameters
        ----------
        route : RouteId
            Route of the request.
        ran : Seconds
            Time that it had run for at the server.
        limit : Seconds
            Timeout of the route, beyond which nothing is known.
        now : Seconds
            Current time.
        """
        if ran <= 0:
            return
        time = self._find_or_add(route, now)
        time.observe_longer(ran)
        time.excess = Seconds(min(time.excess, max(0.0, limit - time.answered)))

    def find(self, route: RouteId) -> Seconds | None:
        """Return the usual time of a route, None while it is unknown."""
        known = self._times.get(route)
        return None if known is None else known.time.mean

    def estimate_least(self, route: RouteId, now: Seconds) -> Seconds:
        """Estimate the least time in which a request may be answered.

        Parameters
        ----------
        route : RouteId
            Route of the request.
        now : Seconds
            Current time.
        """
        known = self._times.get(route)
        if known is None:
            return Seconds(0.0)
        age = now - known.observed_at
        share = _LEAST_SHARE * 0.5 ** (age / _HALF_LIFE)
        return Seconds(share * known.time.mean)
