"""Usual service times of routes, as an entry node knows them."""

import dataclasses

from egretlever.core import RouteId, Seconds

# Weight of a new answer in the moving average of its route's service time.
_ANSWER_WEIGHT = 0.1
# Few answers take less than this share of the usual time.
_LEAST_SHARE = 0.5
# Without answers, nothing shows that a route has become faster. Time after
# which requests with half as much time left are sent to find out.
_HALF_LIFE = Seconds(5.0)


@dataclasses.dataclass(slots=True)
class _RouteTime:
    """Service time of one route, and when an answer last showed it."""

    mean: Seconds
    answered_at: Seconds


class RouteTimes:
    """Learns the usual service time of each route at all servers.

    Examples
    --------
    >>> times = RouteTimes()
    >>> times.observe(RouteId("list"), Seconds(0.4), Seconds(0.0))
    >>> times.find(RouteId("list"))
    0.4
    >>> times.estimate_least(RouteId("list"), Seconds(5.0))
    0.1
    """

    def __init__(self) -> None:
        self._times: dict[RouteId, _RouteTime] = {}

    def observe(self, route: RouteId, time: Seconds, now: Seconds) -> None:
        """Record the mean time of a route at a server that has answered."""
        if time <= 0:
            return
        known = self._times.get(route)
        if known is None:
            self._times[route] = _RouteTime(time, now)
            return
        change = _ANSWER_WEIGHT * (time - known.mean)
        known.mean = Seconds(known.mean + change)
        known.answered_at = now

    def find(self, route: RouteId) -> Seconds | None:
        """Return the usual time of a route, None before its first answer."""
        known = self._times.get(route)
        return None if known is None else known.mean

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
        age = now - known.answered_at
        share = _LEAST_SHARE * 0.5 ** (age / _HALF_LIFE)
        return Seconds(share * known.mean)
