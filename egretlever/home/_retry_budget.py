"""Fleet-wide retry budget that home nodes enforce without coordination."""

import collections
import dataclasses
import enum

from egretlever.core import Interval, Seconds, check_parameters

# Share of the ratio that home nodes use for all arrivals. Calls between servers
# arrive like other requests but may not count as requests for the service; half
# of the ratio keeps the bound for services with as many calls as requests.
_ARRIVALS_RATIO_SHARE = 0.5
# Share of its part that a process uses once it knows a whole window.
_KNOWN_SHARE = 0.9
# Share that a process gains evenly over its first window, in which the retries
# of its predecessors still count. Each gains it for its own time only, so that
# any number of them in a row stays within the rest of the part.
_UNKNOWN_SHARE = 0.08
# Nested calls of retried requests use this share of a home node's part at most.
# The retries of the service itself need fewer requests for each one served.
_CALLS_SHARE = 0.5
# A granted retry reaches its server up to this time after it was counted.
_MAX_GRANT_DELAY = Seconds(1.0)


class RetryKind(enum.Enum):
    """What an entry in the retry budget of a home node stands for.

    A ``RETRY`` and a ``CALL``, a nested call of a retried request, reach the
    home node's own server. A ``GRANT`` is the retry at another server of a
    request that failed at the own one.
    """

    RETRY = "retry"
    GRANT = "grant"
    CALL = "call"


@dataclasses.dataclass(frozen=True, slots=True)
class RetryCounts:
    """Arrivals at one server in the window of its retry budget.

    Parameters
    ----------
    requests : int
        Arrivals that are no retries.
    client_requests : int
        Those of them that are known to come from clients.
    retries : int
        Retries.
    grants : int
        Retries at other servers of requests that failed here.
    calls : int
        Nested calls of retried requests.
    allowance : float
        Retries and such calls that are this home node's part of the budget.
    """

    requests: int
    client_requests: int
    retries: int
    grants: int
    calls: int
    allowance: float


class WindowRetryBudget:
    """Limits the retries that one server gets in a sliding window.

    The fleet may retry a share of the service's requests plus a fixed slack.
    Each home node enforces the share on the requests that its own server got,
    and an equal part of the slack, so that the sum over all home nodes keeps
    the bound even when they decide concurrently. Both the home node of the
    server that failed a request and that of the server that gets it next can
    pay for a retry, so that the whole budget can be used wherever the failures
    are.

    Parameters
    ----------
    ratio : float
        Allowed retries as a share of the requests.
    slack : float
        Allowed retries beyond the share, in the whole fleet.
    window : Seconds
        Length of the sliding window.
    started_at : Seconds
        Time at which counting begins, negative infinity when there was no
        earlier process.

    Attributes
    ----------
    rounding : float
        Added to this home node's part before it is rounded down, 0 to 1. With
        values spread evenly over the home nodes, no part is lost by rounding.

    Examples
    --------
    >>> budget = WindowRetryBudget(0.2, 4.0, Seconds(10.0), Seconds(0.0))
    >>> [budget.take(Seconds(12.0), home_count=2) for _ in range(2)]
    [True, False]
    """

    def __init__(
        self, ratio: float, slack: float, window: Seconds, started_at: Seconds
    ) -> None:
        self._started_at = started_at
        self._set_limits(ratio, slack, window)
        self.rounding = 0.0
        self._largest_count = 1
        self._largest_at = started_at
        self._requests: collections.deque[Seconds] = collections.deque()
        self._client_requests: collections.deque[Seconds] = collections.deque()
        self._possible_calls = 0.0
        self._used: dict[RetryKind, collections.deque[Seconds]] = {
            kind: collections.deque() for kind in RetryKind
        }

    def _set_limits(self, ratio: float, slack: float, window: Seconds) -> None:
        check_parameters(
            "WindowRetryBudget",
            {"ratio": ratio, "slack": slack, "window": window},
            {
                "ratio": Interval(0, 1),
                "slack": Interval(0),
                "window": Interval(0.001),
            },
        )
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def reload(
        self, now: Seconds, ratio: float, slack: float, window: Seconds
    ) -> None:
        """Replace the limits; what was counted still counts.

        Parameters
        ----------
        now : Seconds
            Current time.
        ratio, slack, window
            As in the constructor.
        """
        if window > self._window:
            # Nothing is known from before the old window.
            known_since = Seconds(now - self._window)
            self._started_at = max(self._started_at, known_since)
        self._set_limits(ratio, slack, window)

    def observe(self, now: Seconds, from_client: bool = False) -> None:
        """Count an arrival that is not limited by the budget.

        Parameters
        ----------
        now : Seconds
            Current time.
        from_client : bool, default=False
            Whether the request is known to come from a client: it began on a
            host of the same service, and servers call other services only.
        """
        self._requests.append(now)
        if from_client:
            self._client_requests.append(now)
        self._expire(now)

    def take(
        self,
        now: Seconds,
        home_count: int | None,
        host_share: float = 1.0,
        kind: RetryKind = RetryKind.RETRY,
    ) -> bool:
        """Count a retry and return true if the budget allows it.

        Parameters
        ----------
        now : Seconds
            Current time.
        home_count : int or None
            Number of home nodes that share the slack. While it is unknown, this
            home node uses none of it.
        host_share : float, default=1
            Share of the fleet's hosts that have a server of this service.
        kind : RetryKind, default=RETRY
            What it is.
        """
        if not self.has_room(now, home_count, host_share, kind):
            return False
        self._used[kind].append(now)
        return True

    def has_room(
        self,
        now: Seconds,
        home_count: int | None,
        host_share: float = 1.0,
        kind: RetryKind = RetryKind.RETRY,
    ) -> bool:
        """Return whether the budget allows a retry of a kind."""
        part = self._measure_part(now, home_count, host_share)
        if kind is RetryKind.CALL:
            calls = len(self._used[kind]) + 1
            if calls > _CALLS_SHARE * part + self.rounding:
                return False
        return self._count_used() + 1 <= part + self.rounding

    def _count_used(self) -> int:
        return sum(map(len, self._used.values()))

    def observe_possible_call(self, now: Seconds, probability: float) -> None:
        """Count an arrival that may be a nested call of a retried request.

        It is not limited, since it may also be a request of a client.

        Parameters
        ----------
        now : Seconds
            Current time.
        probability : float
            Probability that it is such a call. It is counted as one when these
            add up to 1, and as a request otherwise.
        """
        self._possible_calls += probability
        if self._possible_calls >= 1:
            self._possible_calls -= 1
            self._used[RetryKind.CALL].append(now)
        else:
            self._requests.append(now)
        self._expire(now)

    def measure_usage(
        self, now: Seconds, home_count: int | None, host_share: float = 1.0
    ) -> float:
        """Return the used share of this home node's part of the budget."""
        part = self._measure_part(now, home_count, host_share)
        return self._count_used() / part if part > 0 else 1.0

    def describe(
        self, now: Seconds, home_count: int | None, host_share: float = 1.0
    ) -> RetryCounts:
        """Return the counts of the window and the part of the budget."""
        part = self._measure_part(now, home_count, host_share)
        return RetryCounts(
            len(self._requests),
            len(self._client_requests),
            len(self._used[RetryKind.RETRY]),
            len(self._used[RetryKind.GRANT]),
            len(self._used[RetryKind.CALL]),
            part,
        )

    def _measure_part(
        self, now: Seconds, home_count: int | None, host_share: float
    ) -> float:
        """Return the retries per window that are this home node's part."""
        self._expire(now)
        counted = max(
            _ARRIVALS_RATIO_SHARE * len(self._requests),
            self._estimate_clients(host_share),
        )
        slack = 0.0
        if home_count is not None:
            slack = self._slack / self._find_largest(home_count, now)
        known_for = now - self._started_at
        if known_for >= self._window + _MAX_GRANT_DELAY:
            return _KNOWN_SHARE * (self._ratio * counted + slack)
        # The counted requests grow with the time since the start by themselves.
        slack *= min(1.0, known_for / self._window)
        return _UNKNOWN_SHARE * (self._ratio * counted + slack)

    def _find_largest(self, home_count: int, now: Seconds) -> int:
        """Return the largest number of home nodes within the last window.

        When rows are missing from the directory for a while, their home nodes
        still use their parts.
        """
        if (
            home_count >= self._largest_count
            or now - self._largest_at > self._window
        ):
            self._largest_count = home_count
            self._largest_at = now
        return self._largest_count

    def _estimate_clients(self, host_share: float) -> float:
        """Estimate the requests of clients among those in the window.

        Clients send from all hosts alike, so those of the hosts that have a
        server of this service are a known share of all.
        """
        if host_share <= 0:
            return 0.0
        estimate = len(self._client_requests) / host_share
        return min(float(len(self._requests)), estimate)

    def _expire(self, now: Seconds) -> None:
        lifetimes = [
            (self._requests, self._window),
            (self._client_requests, self._window),
        ]
        for kind, times in self._used.items():
            delay = _MAX_GRANT_DELAY if kind is RetryKind.GRANT else 0.0
            lifetimes.append((times, Seconds(self._window + delay)))
        for times, lifetime in lifetimes:
            while times and times[0] <= now - lifetime:
                times.popleft()
