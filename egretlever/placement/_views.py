"""What an entry node believes of one home node."""

from egretlever.core import Interval, Seconds, check_parameters
from egretlever.placement._records import HomeCondition, Trust

# A reported wait says little about a queue a second later.
_REPORT_LIFETIME = Seconds(1.0)
# A home node that sends notices says when its condition changes, and every 4 s.
# A connection may have gone silent: its last notice holds for two of these.
_NOTICE_LIFETIME = Seconds(9.0)
# An unreachable home node is left alone for this time, doubled with each
# further failure, so that a cut costs few requests and ends unnoticed by none
# for long.
_FIRST_ABSENCE = Seconds(0.5)
_MAX_ABSENCE = Seconds(4.0)
# A home node without a usable server is asked again after this time: its
# server may have restarted, which the directory shows only later. The time is
# doubled with each refusal, since most of these servers have left for good.
_UNUSABLE_PAUSE = Seconds(0.75)
_MAX_UNUSABLE_PAUSE = Seconds(3.0)
# Servers whose routes take this much longer than elsewhere are avoided. Routes
# are compared one by one, since a server that ran some long requests has a
# long mean time and is not slow.
_SLOW_FACTOR = 1.5
_NEW_WEIGHT = 0.3  # weight of a new report in the slowness of a server


class HomeView:
    """Latest report of a home node, and what was sent to it since.

    Parameters
    ----------
    slots : int
        Slots of the server.
    """

    __slots__ = (
        "_absence",
        "_at",
        "_pause",
        "_report",
        "_slowness",
        "absent_until",
        "followed",
        "in_flight",
        "sent_since",
        "slots",
    )

    def __init__(self, slots: int) -> None:
        check_parameters("HomeView", {"slots": slots}, {"slots": Interval(1)})
        self.slots = slots
        self.in_flight = 0
        self.sent_since = 0
        self.absent_until = Seconds(0.0)
        self.followed = False
        self._absence = _FIRST_ABSENCE
        self._pause = _UNUSABLE_PAUSE
        self._report: HomeCondition | None = None
        self._slowness = 1.0
        self._at = Seconds(0.0)

    def observe(self, report: HomeCondition, now: Seconds) -> None:
        """Take the condition that came with a reply."""
        self._report = report
        self._at = now
        self.sent_since = 0
        self._absence = _FIRST_ABSENCE
        self.absent_until = Seconds(0.0)

    def observe_absence(self, now: Seconds) -> None:
        """Leave a home node alone that could not be reached."""
        self.absent_until = Seconds(now + self._absence)
        self._absence = Seconds(min(_MAX_ABSENCE, 2 * self._absence))

    def observe_usable(self) -> None:
        """Note that the server has answered a request."""
        self._pause = _UNUSABLE_PAUSE

    def observe_unusable(self, now: Seconds) -> None:
        """Leave a home node alone whose server takes no requests."""
        self.absent_until = Seconds(now + self._pause)
        self._pause = Seconds(min(_MAX_UNUSABLE_PAUSE, 2 * self._pause))

    def is_absent(self, now: Seconds) -> bool:
        """Tell whether the home node is left alone for now."""
        return now < self.absent_until

    def _find_report(
        self, now: Seconds, lifetime: Seconds
    ) -> HomeCondition | None:
        if self.followed:
            lifetime = _NOTICE_LIFETIME
        if self._report is None or now - self._at > lifetime:
            return None
        return self._report

    def is_closed(self, now: Seconds) -> bool:
        """Tell whether a broken server gets no trial yet."""
        report = self._report
        return report is not None and now - self._at < report.closed_for

    def is_trial_due(self, now: Seconds) -> bool:
        """Tell whether a broken server that sends notices needs a trial."""
        return (
            self.followed
            and self.describe_trust(now, _NOTICE_LIFETIME) is Trust.BROKEN
            and not self.is_closed(now)
            and not self.is_absent(now)
        )

    def find_repeat_use(self, now: Seconds) -> float | None:
        """Return the reported use of repeated attempts, None when unknown."""
        report = self._find_report(now, _REPORT_LIFETIME)
        return None if report is None else report.repeat_use

    def count_free(self, now: Seconds) -> int:
        """Estimate the free slots after what was sent since the report."""
        report = self._find_report(now, _REPORT_LIFETIME)
        if report is None:
            return self.slots - self.in_flight
        return report.free_slots - self.sent_since

    def describe_trust(self, now: Seconds, lifetime: Seconds) -> Trust:
        """Return the trust of the last report, if it is recent.

        Parameters
        ----------
        now : Seconds
            Reading of the clock.
        lifetime : Seconds
            Age at which a report is too old to keep a request away.
        """
        report = self._find_report(now, lifetime)
        return Trust.TRUSTED if report is None else report.trust

    def estimate_wait(
        self, rank: int, service_time: Seconds, now: Seconds
    ) -> Seconds:
        """Estimate the wait of a new request.

        Parameters
        ----------
        rank : int
            Priority, 0 for the most urgent.
        service_time : Seconds
            Usual time of a request of the service.
        now : Seconds
            Reading of the clock.
        """
        report = self._find_report(now, _REPORT_LIFETIME)
        if report is None:
            taken, free, wait = self.in_flight, self.slots, 0.0
        else:
            taken, free = self.sent_since, report.free_slots
            wait = max(0.0, report.find_wait(rank) - (now - self._at))
        excess = max(0, taken + 1 - free)
        if report is not None and report.free_slots == 0:
            excess = taken
        return Seconds(wait + excess * service_time / self.slots)

    def observe_slowness(self, ratio: float) -> None:
        """Take the time of a route here, relative to its time elsewhere."""
        self._slowness += _NEW_WEIGHT * (ratio - self._slowness)

    def estimate_slowness(self, service_time: Seconds) -> Seconds:
        """Estimate how much longer than usual a request takes there.

        Parameters
        ----------
        service_time : Seconds
            Usual time of a request of its route.
        """
        if self._slowness < _SLOW_FACTOR:
            return Seconds(0.0)
        return Seconds((self._slowness - 1.0) * service_time)

    def measure_age(self, now: Seconds) -> Seconds | None:
        """Return the age of the last report, None without one."""
        return None if self._report is None else Seconds(now - self._at)

    @property
    def service_time(self) -> Seconds | None:
        """Mean time at the server by the last report."""
        return None if self._report is None else self._report.service_time
