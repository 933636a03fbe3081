"""State of one home node as an entry node knows it."""

from egretlever.core import Interval, Seconds, check_parameters
from egretlever.placement._even_load import LoadEstimate
from egretlever.placement._records import HomeCondition, Trust

# Queues change too fast for a reported wait to be valid for longer.
_REPORT_LIFETIME = Seconds(1.0)
# A home node sends notices, messages with its condition, to its subscribers on
# each change and every 4 s. The last notice is valid for two of these periods,
# since a connection may fail silently.
_NOTICE_LIFETIME = Seconds(9.0)
# Exponential backoff of offers to an unreachable home node. It limits how many
# requests a network partition delays, and the maximum limits how long its end
# goes unnoticed.
_INITIAL_UNREACHABLE_BACKOFF = Seconds(0.5)
_MAX_UNREACHABLE_BACKOFF = Seconds(4.0)
# Exponential backoff of offers to a home node without a usable server. It
# starts short because the server may have restarted, which the directory shows
# only later, and doubles because most of these servers have left for good.
_INITIAL_UNUSABLE_BACKOFF = Seconds(0.75)
_MAX_UNUSABLE_BACKOFF = Seconds(3.0)
# Servers that are slower than others by this factor are avoided. Times are
# compared route by route, since a few long requests raise the mean time of a
# server that is not slow.
_SLOW_FACTOR = 1.5
_SLOWNESS_SMOOTHING = 0.3  # weight of a new ratio in the moving average
# A server that gets no requests shows no more whether it is slow. Time in which
# half of its slowness is forgotten.
_SLOWNESS_HALF_LIFE = Seconds(5.0)
# More free slots than this do not make a server preferable, and home nodes do
# not report changes among such numbers.
_AMPLE_SLOTS = 2


def count_relevant_slots(free_slots: int) -> int:
    """Return the number of free slots as far as it affects choices."""
    return min(free_slots, _AMPLE_SLOTS)


class HomeView:
    """Latest report of a home node, and the offers sent to it since.

    Parameters
    ----------
    slots : int
        Number of slots of the server.

    Attributes
    ----------
    in_flight : int
        Offers that have no reply yet.
    sent_since_report : int
        Offers sent since the latest report.
    skip_until : Seconds
        Time until which the home node gets no offers, after a failed one.
    subscribed : bool
        Whether the entry node is subscribed to the home node's notices.
    """

    __slots__ = (
        "_unreachable_backoff",
        "_reported_at",
        "_unusable_backoff",
        "_report",
        "_slowness",
        "_slowness_at",
        "skip_until",
        "subscribed",
        "in_flight",
        "sent_since_report",
        "slots",
    )

    def __init__(self, slots: int) -> None:
        check_parameters("HomeView", {"slots": slots}, {"slots": Interval(1)})
        self.slots = slots
        self.in_flight = 0
        self.sent_since_report = 0
        self.skip_until = Seconds(0.0)
        self.subscribed = False
        self._unreachable_backoff = _INITIAL_UNREACHABLE_BACKOFF
        self._unusable_backoff = _INITIAL_UNUSABLE_BACKOFF
        self._report: HomeCondition | None = None
        self._slowness = 1.0
        self._slowness_at = Seconds(0.0)
        self._reported_at = Seconds(0.0)

    def observe(self, report: HomeCondition, now: Seconds) -> None:
        """Record the condition from a reply or a notice."""
        self._report = report
        self._reported_at = now
        self.sent_since_report = 0
        self._unreachable_backoff = _INITIAL_UNREACHABLE_BACKOFF
        self.skip_until = Seconds(0.0)

    def observe_unreachable(self, now: Seconds) -> None:
        """Back off from a home node that could not be reached."""
        self.skip_until = Seconds(now + self._unreachable_backoff)
        self._unreachable_backoff = Seconds(
            min(_MAX_UNREACHABLE_BACKOFF, 2 * self._unreachable_backoff)
        )

    def observe_usable(self) -> None:
        """Reset the backoff for unusable servers after an answer."""
        self._unusable_backoff = _INITIAL_UNUSABLE_BACKOFF

    def observe_unusable(self, now: Seconds) -> None:
        """Back off from a home node without a usable server."""
        self.skip_until = Seconds(now + self._unusable_backoff)
        self._unusable_backoff = Seconds(
            min(_MAX_UNUSABLE_BACKOFF, 2 * self._unusable_backoff)
        )

    def is_backing_off(self, now: Seconds) -> bool:
        """Return whether the home node gets no offers during a backoff."""
        return now < self.skip_until

    def _find_recent_report(
        self, now: Seconds, lifetime: Seconds
    ) -> HomeCondition | None:
        if self.subscribed:
            lifetime = _NOTICE_LIFETIME
        if self._report is None or now - self._reported_at > lifetime:
            return None
        return self._report

    def is_circuit_open(self, now: Seconds) -> bool:
        """Return whether a broken server is not yet due for a trial."""
        report = self._report
        return (
            report is not None
            and now - self._reported_at < report.time_to_trial
        )

    def is_trial_due(self, now: Seconds) -> bool:
        """Return whether a broken server with notices is due for a trial."""
        return (
            self.subscribed
            and self.reported_trust is Trust.BROKEN
            and self.find_trust(now, _NOTICE_LIFETIME) is Trust.BROKEN
            and not self.is_circuit_open(now)
            and not self.is_backing_off(now)
        )

    def count_free(self, now: Seconds) -> int:
        """Estimate the free slots, less the offers sent since the report."""
        report = self._find_recent_report(now, _REPORT_LIFETIME)
        if report is None:
            return self.slots - self.in_flight
        return report.free_slots - self.sent_since_report

    @property
    def reported_trust(self) -> Trust:
        """Trust of the latest report, whatever its age."""
        return Trust.TRUSTED if self._report is None else self._report.trust

    def find_trust(self, now: Seconds, lifetime: Seconds) -> Trust:
        """Return the trust of the latest report, TRUSTED when it is too old.

        Parameters
        ----------
        now : Seconds
            Current time.
        lifetime : Seconds
            Age up to which a report counts. A report of a home node whose
            notices are subscribed counts for the lifetime of a notice.
        """
        report = self._find_recent_report(now, lifetime)
        return Trust.TRUSTED if report is None else report.trust

    def find_current_trust(
        self, now: Seconds, doubt_age: Seconds, broken_age: Seconds
    ) -> Trust:
        """Return the trust of the latest report, TRUSTED when it is too old.

        Parameters
        ----------
        now : Seconds
            Current time.
        doubt_age : Seconds
            Age up to which a report counts.
        broken_age : Seconds
            Age up to which a report of a broken server counts.
        """
        report = self._report
        if report is None or report.trust is Trust.TRUSTED:
            return Trust.TRUSTED
        lifetime = broken_age if report.trust is Trust.BROKEN else doubt_age
        recent = self._find_recent_report(now, lifetime)
        return Trust.TRUSTED if recent is None else recent.trust

    def estimate_wait(
        self, rank: int, service_time: Seconds, now: Seconds
    ) -> Seconds:
        """Estimate the wait of a new request.

        Parameters
        ----------
        rank : int
            Priority, 0 for the most urgent.
        service_time : Seconds
            Usual service time of a request of the service.
        now : Seconds
            Current time.
        """
        report = self._find_recent_report(now, _REPORT_LIFETIME)
        if report is None:
            taken, free, wait = self.in_flight, self.slots, 0.0
        else:
            taken, free = self.sent_since_report, report.free_slots
            wait = max(0.0, report.find_wait(rank) - (now - self._reported_at))
        excess = max(0, taken + 1 - free)
        if report is not None and report.free_slots == 0:
            excess = taken
        return Seconds(wait + excess * service_time / self.slots)

    def estimate_load(
        self, rank: int, service_time: Seconds, now: Seconds
    ) -> LoadEstimate:
        """Estimate the load of the server for a choice by `EvenLoad`.

        Parameters
        ----------
        rank : int
            Priority, 0 for the most urgent.
        service_time : Seconds
            Usual service time of a request of the service.
        now : Seconds
            Current time.
        """
        report = self._find_recent_report(now, _REPORT_LIFETIME)
        if report is None:
            free, wait = self.slots - self.in_flight, 0.0
            age = _REPORT_LIFETIME
        else:
            free = report.free_slots - self.sent_since_report
            wait = report.find_wait(rank)
            age = Seconds(now - self._reported_at)
        slot_time = service_time / self.slots
        if free > 0:
            return LoadEstimate(wait or -free * slot_time, age)
        if report is None or report.free_slots > 0:
            free -= 1
        return LoadEstimate(wait - free * slot_time, age)

    def observe_slowness(self, ratio: float, now: Seconds) -> None:
        """Record a route's time at this server, relative to its usual time."""
        known = self._age_slowness(now)
        self._slowness = known + _SLOWNESS_SMOOTHING * (ratio - known)
        self._slowness_at = now

    def _age_slowness(self, now: Seconds) -> float:
        age = now - self._slowness_at
        share = 0.5 ** (age / _SLOWNESS_HALF_LIFE)
        return 1.0 + share * (self._slowness - 1.0)

    def measure_slowness(self, now: Seconds) -> float:
        """Return the time of requests here, relative to the usual time."""
        if self._slowness <= 1.0:
            return 1.0
        return self._age_slowness(now)

    def estimate_extra_time(
        self, service_time: Seconds, least_slowness: float, now: Seconds
    ) -> Seconds:
        """Estimate the extra time of a request, compared with other servers.

        Parameters
        ----------
        service_time : Seconds
            Usual service time of a request of its route.
        least_slowness : float
            Slowness of the fastest server in question, 1 or more.
        now : Seconds
            Current time.
        """
        if self._slowness <= 1.0:
            return Seconds(0.0)
        slowness = self._age_slowness(now)
        if slowness < _SLOW_FACTOR * least_slowness:
            return Seconds(0.0)
        return Seconds((slowness - least_slowness) * service_time)

    def measure_age(self, now: Seconds) -> Seconds | None:
        """Return the age of the latest report, None without one."""
        return (
            None if self._report is None else Seconds(now - self._reported_at)
        )

    @property
    def service_time(self) -> Seconds | None:
        """Mean service time of the latest report, None without one."""
        return None if self._report is None else self._report.service_time
