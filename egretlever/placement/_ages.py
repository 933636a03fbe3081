"""Ages of requests that clients send again after a refusal."""

from egretlever.core import RouteId, Seconds

# Period after which the longest time left on a route is measured anew; the
# previous period counts as well.
_PERIOD = Seconds(30.0)
# Clients' deadlines differ by less than this for other reasons.
_LEAST_AGE = Seconds(0.1)
# A returning request has used at most this share of its time. One with less
# time left comes from a client with a shorter deadline.
_MAX_USED_SHARE = 0.5


class RequestAges:
    """Estimates the time since the first attempt of a request.

    It handles a burst after which refused clients return: they have less time
    left than first attempts on the same route.

    Examples
    --------
    >>> ages = RequestAges()
    >>> ages.observe("orders", Seconds(2.0), Seconds(0.0))
    0.0
    >>> ages.observe("orders", Seconds(1.5), Seconds(0.5))
    0.5
    >>> ages.observe("orders", Seconds(0.5), Seconds(0.5))
    0.0
    """

    def __init__(self) -> None:
        self._longest: dict[RouteId, Seconds] = {}
        self._previous: dict[RouteId, Seconds] = {}
        self._period_ends = Seconds(0.0)

    def observe(
        self, route: RouteId, time_left: Seconds, now: Seconds
    ) -> Seconds:
        """Record a request, and return its age.

        Parameters
        ----------
        route : RouteId
            Route of the request.
        time_left : Seconds
            Time that its client has left, at most the timeout of the route.
        now : Seconds
            Current time.

        Returns
        -------
        Seconds
            0 for a first attempt.
        """
        if now >= self._period_ends:
            recent = now < self._period_ends + _PERIOD
            self._previous = self._longest if recent else {}
            self._longest = {}
            self._period_ends = Seconds(now + _PERIOD)
        none = Seconds(0.0)
        self._longest[route] = max(self._longest.get(route, none), time_left)
        longest = max(self._longest[route], self._previous.get(route, none))
        age = Seconds(longest - time_left)
        if age < _LEAST_AGE or age > _MAX_USED_SHARE * longest:
            return none
        return age
